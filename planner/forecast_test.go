package planner

import (
	"fmt"
	"os"
	"testing"

	"orchidjunction/config"
	"orchidjunction/directory"
	"orchidjunction/message"
	"orchidjunction/serviceproxy"
)

func testFleet(test *testing.T) Fleet {
	test.Helper()
	body, err := os.ReadFile("../examples/volta.json")
	if err != nil {
		test.Fatal(err)
	}
	settings, err := config.Read(body)
	if err != nil {
		test.Fatal(err)
	}
	fleet := Fleet{Serial: 1, Settings: settings, Capacity: 30}
	zones := []string{"accra", "kumasi", "tamale", "tema", "sunyani", "bolga"}
	for index := range 9 {
		fleet.Members = append(
			fleet.Members,
			message.Member{Name: fmt.Sprint("proxy-", index), Kind: "proxy", Zone: zones[index%6], Ready: true},
		)
	}
	for index := range 12 {
		fleet.Backends = append(
			fleet.Backends,
			message.Backend{
				Name:    fmt.Sprint("back-", index),
				Service: []string{"reading-grid", "office-review"}[index%2],
				Zone:    zones[index/2],
			},
		)
	}
	return fleet
}

func TestForecast(test *testing.T) {
	fleet := testFleet(test)
	if unchanged := NewForecast(fleet, fleet.Settings); unchanged.HasEffect() || len(unchanged.Shortages) > 0 {
		test.Errorf("forecast without a change: %+v", unchanged)
	}
	drained := *fleet.Settings
	drained.Drained.Zones = []string{"accra"}
	forecast := NewForecast(fleet, &drained)
	for _, move := range forecast.Moves {
		for _, proxy := range move.To {
			if proxy == "proxy-0" || proxy == "proxy-6" {
				test.Errorf("%s is sent to %s in the drained zone", move.Tenant, proxy)
			}
		}
	}
	if len(forecast.Moves) == 0 || forecast.CapacityChanges[0].Before != 6 || forecast.CapacityChanges[0].After != 5 {
		test.Errorf("%d moves, capacity changes %+v", len(forecast.Moves), forecast.CapacityChanges)
	}
	fleet.Capacity = 1
	if shortages := NewForecast(fleet, &drained).Shortages; len(shortages) != 2 {
		test.Errorf("shortages %+v", shortages)
	}
	withTimeout := *fleet.Settings
	limit := 900
	withTimeout.Rule.TimeoutMs = &limit
	if changes := NewForecast(
		fleet,
		&withTimeout,
	).Changes; len(changes) != 1 || changes[0].Route != "reading/reading-grid/history" || changes[0].Field != "limit_ms" ||
		changes[0].After != 900 {
		test.Errorf("changes %+v", changes)
	}
}

// Placements spread over zones, avoid forbidden regions, give large tenants more proxies, and move
// few tenants when a proxy leaves.
func TestPlacements(test *testing.T) {
	fleet := testFleet(test)
	routes := serviceproxy.NewRoutes(1, fleet.Settings, nil)
	place := func(members []message.Member) map[string][]directory.Proxy {
		view, all := directory.NewView(routes, members), map[string][]directory.Proxy{}
		for name := range fleet.Settings.Tenants {
			index, _ := routes.TenantNamed(name)
			placement, err := view.Place(index, "")
			if err != nil {
				test.Fatal(err)
			}
			all[name] = placement.Proxies
		}
		return all
	}
	before := place(fleet.Members)
	for name, proxies := range before {
		want, zones := 3+(fleet.Settings.Tenants[name].Share-1)/4, map[string]int{}
		for _, proxy := range proxies {
			zones[proxy.Zone]++
			if name == "clinic-lines" && (proxy.Zone == "tamale" || proxy.Zone == "bolga") {
				test.Errorf("%s is placed in a forbidden region", name)
			}
		}
		if len(proxies) != want || len(zones) != want {
			test.Errorf("%s has %d proxies in %d zones, want %d", name, len(proxies), len(zones), want)
		}
	}
	kept, all := 0, 0
	for name, proxies := range place(fleet.Members[:8]) {
		for _, proxy := range proxies {
			all++
			for _, previous := range before[name] {
				if previous.Name == proxy.Name {
					kept++
				}
			}
		}
	}
	if kept*4 < all*3 {
		test.Errorf("only %d of %d placements stay when one of nine proxies leaves", kept, all)
	}
	guest := append([]message.Member{{Name: "guest", Kind: "proxy", Zone: "accra", Ready: true, Guest: true}}, fleet.Members...)
	for name, proxies := range place(guest) {
		for _, proxy := range proxies {
			if proxy.Name == "guest" {
				test.Errorf("%s is sent to a guest although own proxies are available", name)
			}
		}
	}
}
