package cluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"orchidjunction/config"
	"orchidjunction/directory"
	"orchidjunction/harness/checker"
	"orchidjunction/planner"
)

// compare asks a backend directly and through a proxy, in turns.
func compare(fleet *Fleet) {
	fleet.rest(0.2)
	backend, proxy := fleet.Backends[0], fleet.Proxies[0]
	var path string
	for _, route := range fleet.settings.Resolve() {
		if route.Service == backend.Service && route.Method == http.MethodGet && route.Integer("receipt_bytes") <= 1<<20 {
			path = strings.Replace(route.Path, "*", "7?bytes=2000", 1)
		}
	}
	tenant := sortedKeys(fleet.settings.Tenants)[0]
	times := map[string][]float64{}
	for number := range 400 {
		for name, address := range map[string]string{"direct": backend.PublicAddress + path, "through": proxy.PublicAddress + "/" + backend.Service + path} {
			request, _ := http.NewRequest(http.MethodGet, "http://"+address, nil)
			request.Header.Set("Authorization", "Bearer key-of-"+tenant)
			request.Header.Set("Oj-Service", backend.Service)
			request.Header.Set("Oj-Task", fmt.Sprintf("compare-%d", number))
			begin := time.Now()
			response, err := fleet.client.Do(request)
			if err != nil {
				continue
			}
			buffer := make([]byte, 4096)
			for err == nil {
				_, err = response.Body.Read(buffer)
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				times[name] = append(times[name], float64(time.Since(begin).Microseconds())/1000)
			}
		}
	}
	fmt.Printf(
		"compare: direct p50 %.2f ms p99 %.2f ms, through p50 %.2f ms p99 %.2f ms, ratio of p50 %.2f, of %d and %d\n",
		checker.Quantile(times["direct"], 0.5),
		checker.Quantile(times["direct"], 0.99),
		checker.Quantile(
			times["through"],
			0.5,
		),
		checker.Quantile(times["through"], 0.99),
		checker.Quantile(times["through"], 0.5)/checker.Quantile(times["direct"], 0.5),
		len(times["direct"]),
		len(times["through"]),
	)
}

// forecast is what the planner says of emptying a zone.
func (fleet *Fleet) forecast(zone string) *planner.Forecast {
	held, err := fleet.Operator(0).Read(false)
	status, silent := fleet.Operator(0).Status()
	if err != nil || silent != nil {
		return nil
	}
	before, err := config.Read(held.Settings)
	if err != nil {
		return nil
	}
	after := *before
	after.Drained.Zones = []string{zone}
	look := planner.Fleet{Serial: held.Serial, Settings: before, Backends: status.Backends, Capacity: 30}
	for _, known := range status.Members {
		look.Members = append(look.Members, known.Member)
	}
	return planner.NewForecast(look, &after)
}

// compareForecast asks a directory where tenants go now and sets it against the forecast.
func (fleet *Fleet) compareForecast(forecast *planner.Forecast) {
	if forecast == nil {
		fleet.codes = append(fleet.codes, "no forecast")
		return
	}
	right := 0
	for _, move := range forecast.Moves {
		request, _ := http.NewRequest(http.MethodGet, "http://"+fleet.Directories[0].PublicAddress+"/v1/place", nil)
		request.Header.Set("Authorization", "Bearer key-of-"+move.Tenant)
		response, err := fleet.client.Do(request)
		if err != nil {
			continue
		}
		placement := directory.Placement{}
		err = json.NewDecoder(response.Body).Decode(&placement)
		response.Body.Close()
		if err != nil {
			fleet.codes = append(fleet.codes, fmt.Sprintf("placement of %s: %v", move.Tenant, err))
			continue
		}
		got := []string{}
		for _, front := range placement.Proxies {
			got = append(got, front.Name)
		}
		sort.Strings(got)
		if strings.Join(got, " ") == strings.Join(move.To, " ") {
			right++
		} else {
			fleet.codes = append(fleet.codes, fmt.Sprintf("%s forecast at %v, found at %v", move.Tenant, move.To, got))
		}
	}
	fmt.Printf("%s: forecast: %d of %d tenants would move, %d moved as said\n", fleet.name, len(forecast.Moves), forecast.Tenants, right)
}
