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

// compareLatency prints the latency of a backend called directly and through a proxy.
func compareLatency(fleet *Fleet) {
	fleet.sleepFraction(0.2)
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
			start := time.Now()
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
				times[name] = append(times[name], float64(time.Since(start).Microseconds())/1000)
			}
		}
	}
	fmt.Printf(
		"compare: direct p50 %.2f ms p99 %.2f ms, through a proxy p50 %.2f ms p99 %.2f ms, ratio of p50 %.2f, %d and %d samples\n",
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

// drainForecast returns the planner's forecast of draining a zone, or nil if a read fails.
func (fleet *Fleet) drainForecast(zone string) *planner.Forecast {
	response, err := fleet.OperatorClient(0).Read(false)
	status, statusErr := fleet.OperatorClient(0).Status()
	if err != nil || statusErr != nil {
		return nil
	}
	before, err := config.Read(response.Settings)
	if err != nil {
		return nil
	}
	after := *before
	after.Drained.Zones = []string{zone}
	state := planner.Fleet{Serial: response.Serial, Settings: before, Backends: status.Backends, Capacity: 30}
	for _, entry := range status.Members {
		state.Members = append(state.Members, entry.Member)
	}
	return planner.NewForecast(state, &after)
}

// checkForecast compares a directory's current placements with the forecast.
func (fleet *Fleet) checkForecast(forecast *planner.Forecast) {
	if forecast == nil {
		fleet.failures = append(fleet.failures, "no forecast of the drain")
		return
	}
	matching := 0
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
			fleet.failures = append(fleet.failures, fmt.Sprintf("placement of %s: %v", move.Tenant, err))
			continue
		}
		found := []string{}
		for _, proxy := range placement.Proxies {
			found = append(found, proxy.Name)
		}
		sort.Strings(found)
		if strings.Join(found, " ") == strings.Join(move.To, " ") {
			matching++
		} else {
			fleet.failures = append(fleet.failures, fmt.Sprintf("tenant %s: proxies %v forecast, %v found", move.Tenant, move.To, found))
		}
	}
	fmt.Printf(
		"%s: forecast: %d of %d tenants would move, %d moved as forecast\n",
		fleet.partnerName,
		len(forecast.Moves),
		forecast.Tenants,
		matching,
	)
}
