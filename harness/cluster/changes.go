package cluster

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"orchidjunction/harness/checker"
	"orchidjunction/operator"
	"orchidjunction/rpc"
)

func backendDrained(fleet *Fleet) {
	fleet.rest(0.2)
	fleet.drain("backends", fleet.Backends[0].Name)
	fleet.rest(0.5)
	fleet.drain("backends", "")
}

func zoneEmptied(fleet *Fleet) {
	fleet.rest(0.2)
	forecast := fleet.forecast(fleet.zones[0])
	fleet.drain("zones", fleet.zones[0])
	fleet.goroutines.Sleep(2 * time.Second)
	fleet.compareForecast(forecast)
	fleet.rest(0.4)
	fleet.drain("zones", "")
}

// drain empties what is named, or refills all, and notes the window for the verdict.
func (fleet *Fleet) drain(kind, name string) {
	names := []string{}
	if name != "" {
		names = append(names, name)
	}
	body, _ := json.Marshal(map[string]any{"drained": map[string][]string{kind: names}})
	if !fleet.patch(body) {
		fleet.codes = append(fleet.codes, "drain not acknowledged")
		return
	}
	now := time.Now().UnixMilli()
	for index := range fleet.windows {
		if fleet.windows[index].Until == 0 {
			fleet.windows[index].Until = now
		}
	}
	for _, process := range append(append([]*Process{}, fleet.Backends...), fleet.Proxies...) {
		if name == "" || process.Name != name && process.Zone != name {
			continue
		}
		window := checker.Window{Kind: "backend", Subject: process.Name, From: now + 4500}
		if process.Kind == "ojproxy" {
			window.Kind, window.Subject = "front", process.PublicAddress
		}
		fleet.windows = append(fleet.windows, window)
	}
}

// patch makes a partial change, again after lost races.
func (fleet *Fleet) patch(body []byte) bool {
	for try := range 20 {
		settings, err := fleet.Operator(try).Read(false)
		if err == nil && settings.Confirmed {
			if _, err = fleet.Operator(try).
				Patch(operator.Change{Base: settings.Serial, Change: fmt.Sprintf("fleet-%d-%d", time.Now().UnixNano(), try), Operator: "ojcluster", Settings: body}); err == nil {
				return true
			}
		}
		fleet.goroutines.Sleep(30 * time.Millisecond)
	}
	return false
}

func keysWithdrawn(fleet *Fleet) {
	fleet.rest(0.3)
	names := sortedKeys(fleet.settings.Tenants)
	name := names[0]
	if fleet.patch([]byte(fmt.Sprintf(`{"tenants":{%q:{"keys":[]}}}`, name))) {
		fleet.windows = append(fleet.windows, checker.Window{Kind: "tenant", Subject: name, From: time.Now().UnixMilli() + 4500})
	}
}

func settingsLarge(fleet *Fleet) {
	fleet.rest(0.2)
	fleet.grow(20_000)
}

// grow adds so many routes to the last class.
func (fleet *Fleet) grow(count int) {
	routes := map[string]any{}
	for index := range count {
		routes[fmt.Sprintf("bulk-%d", index)] = map[string]any{
			"method": "GET",
			"path":   fmt.Sprintf("/bulk/%d/%s", index, strings.Repeat("x", 60)),
		}
	}
	class := sortedKeys(fleet.settings.Classes)[len(fleet.settings.Classes)-1]
	body, _ := json.Marshal(
		map[string]any{
			"classes": map[string]any{
				class: map[string]any{"services": map[string]any{fleet.services[0]: map[string]any{"routes": routes}}},
			},
		},
	)
	begin := time.Now()
	taken := fleet.patch(body)
	fmt.Printf(
		"%s: large settings: %d bytes, acknowledged %v after %v\n",
		fleet.name,
		len(body),
		taken,
		time.Since(begin).Round(time.Millisecond),
	)
	if !taken {
		fleet.codes = append(fleet.codes, "large settings not acknowledged")
	}
}

// storm lets dozens of operators change a large tree while the leader changes;
// bodies above the limit are refused meanwhile.
func storm(fleet *Fleet) {
	fleet.grow(5_000)
	fleet.ledger.StartOperators(24, 2*time.Second)
	for range 2 {
		huge := operator.Change{Base: 1, Settings: []byte(`{"fill":"` + strings.Repeat("x", 17<<20) + `"}`)}
		if _, err := fleet.Operator(0).Put(huge); err == nil || rpc.CodeOf(err) != rpc.TooLarge {
			fleet.codes = append(fleet.codes, fmt.Sprintf("17 MB taken: %v", err))
		}
		leaderChanges(fleet)
	}
}
