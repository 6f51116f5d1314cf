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
	fleet.sleepFraction(0.2)
	fleet.drain("backends", fleet.Backends[0].Name)
	fleet.sleepFraction(0.5)
	fleet.drain("backends", "")
}

func zoneDrained(fleet *Fleet) {
	fleet.sleepFraction(0.2)
	forecast := fleet.drainForecast(fleet.zones[0])
	fleet.drain("zones", fleet.zones[0])
	fleet.goroutines.Sleep(2 * time.Second)
	fleet.checkForecast(forecast)
	fleet.sleepFraction(0.4)
	fleet.drain("zones", "")
}

// drain drains a zone or backend, or ends all drains if name is empty, and records the windows for the checker.
func (fleet *Fleet) drain(kind, name string) {
	names := []string{}
	if name != "" {
		names = append(names, name)
	}
	body, _ := json.Marshal(map[string]any{"drained": map[string][]string{kind: names}})
	if !fleet.patchSettings(body) {
		fleet.failures = append(fleet.failures, "change of drains not acknowledged")
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

// patchSettings makes a partial change. It retries, as a concurrent change may win.
func (fleet *Fleet) patchSettings(body []byte) bool {
	for attempt := range 20 {
		settings, err := fleet.OperatorClient(attempt).Read(false)
		if err == nil && settings.Confirmed {
			if _, err = fleet.OperatorClient(attempt).
				Patch(operator.Change{Base: settings.Serial, Change: fmt.Sprintf("fleet-%d-%d", time.Now().UnixNano(), attempt), Operator: "ojcluster", Settings: body}); err == nil {
				return true
			}
		}
		fleet.goroutines.Sleep(30 * time.Millisecond)
	}
	return false
}

func keysWithdrawn(fleet *Fleet) {
	fleet.sleepFraction(0.3)
	names := sortedKeys(fleet.settings.Tenants)
	name := names[0]
	if fleet.patchSettings([]byte(fmt.Sprintf(`{"tenants":{%q:{"keys":[]}}}`, name))) {
		fleet.windows = append(fleet.windows, checker.Window{Kind: "tenant", Subject: name, From: time.Now().UnixMilli() + 4500})
	}
}

func settingsLarge(fleet *Fleet) {
	fleet.sleepFraction(0.2)
	fleet.addRoutes(20_000)
}

// addRoutes adds count routes to the last class.
func (fleet *Fleet) addRoutes(count int) {
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
	start := time.Now()
	acknowledged := fleet.patchSettings(body)
	fmt.Printf(
		"%s: large settings: %d bytes, acknowledged %v after %v\n",
		fleet.partnerName,
		len(body),
		acknowledged,
		time.Since(start).Round(time.Millisecond),
	)
	if !acknowledged {
		fleet.failures = append(fleet.failures, "large settings not acknowledged")
	}
}

// concurrentChanges lets dozens of operators change large settings during leader changes.
// Meanwhile, bodies above the size limit must be refused.
func concurrentChanges(fleet *Fleet) {
	fleet.addRoutes(5_000)
	fleet.ledger.StartOperators(24, 2*time.Second)
	for range 2 {
		oversized := operator.Change{Base: 1, Settings: []byte(`{"fill":"` + strings.Repeat("x", 17<<20) + `"}`)}
		if _, err := fleet.OperatorClient(0).Put(oversized); err == nil || rpc.CodeOf(err) != rpc.TooLarge {
			fleet.failures = append(fleet.failures, fmt.Sprintf("settings of 17 MiB were not refused as too large: %v", err))
		}
		leaderChanges(fleet)
	}
}
