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

func fleet(test *testing.T) Fleet {
	test.Helper()
	body, err := os.ReadFile("../examples/volta.json")
	if err != nil {
		test.Fatal(err)
	}
	settings, err := config.Read(body)
	if err != nil {
		test.Fatal(err)
	}
	look := Fleet{Serial: 1, Settings: settings, Capacity: 30}
	zones := []string{"accra", "kumasi", "tamale", "tema", "sunyani", "bolga"}
	for index := range 9 {
		look.Members = append(
			look.Members,
			message.Member{Name: fmt.Sprint("proxy-", index), Kind: "proxy", Zone: zones[index%6], Ready: true},
		)
	}
	for index := range 12 {
		look.Backends = append(
			look.Backends,
			message.Backend{
				Name:    fmt.Sprint("back-", index),
				Service: []string{"reading-grid", "office-review"}[index%2],
				Zone:    zones[index/2],
			},
		)
	}
	return look
}

func TestForecast(test *testing.T) {
	look := fleet(test)
	if same := NewForecast(look, look.Settings); same.Moving() || len(same.Shorts) > 0 {
		test.Errorf("no change moves %+v", same)
	}
	emptied := *look.Settings
	emptied.Drained.Zones = []string{"accra"}
	forecast := NewForecast(look, &emptied)
	for _, move := range forecast.Moves {
		for _, front := range move.To {
			if front == "proxy-0" || front == "proxy-6" {
				test.Errorf("%s goes to %s in the emptied zone", move.Tenant, front)
			}
		}
	}
	if len(forecast.Moves) == 0 || forecast.Rooms[0].Before != 6 || forecast.Rooms[0].After != 5 {
		test.Errorf("%d moves, %+v", len(forecast.Moves), forecast.Rooms)
	}
	look.Capacity = 1
	if shorts := NewForecast(look, &emptied).Shorts; len(shorts) != 2 {
		test.Errorf("shorts %+v", shorts)
	}
	faster := *look.Settings
	limit := 900
	faster.Rule.TimeoutMs = &limit
	if changes := NewForecast(
		look,
		&faster,
	).Changes; len(changes) != 1 || changes[0].Route != "reading/reading-grid/history" || changes[0].Field != "limit_ms" ||
		changes[0].After != 900 {
		test.Errorf("changes %+v", changes)
	}
}

// Placements spread over zones, keep out of forbidden regions, give large
// tenants more fronts, and move few tenants when a front leaves.
func TestPlacements(test *testing.T) {
	look := fleet(test)
	routes := serviceproxy.NewRoutes(1, look.Settings, nil)
	placed := func(members []message.Member) map[string][]directory.Proxy {
		chart, all := directory.NewView(routes, members), map[string][]directory.Proxy{}
		for name := range look.Settings.Tenants {
			index, _ := routes.TenantNamed(name)
			placement, err := chart.Place(index, "")
			if err != nil {
				test.Fatal(err)
			}
			all[name] = placement.Proxies
		}
		return all
	}
	before := placed(look.Members)
	for name, fronts := range before {
		want, zones := 3+(look.Settings.Tenants[name].Share-1)/4, map[string]int{}
		for _, front := range fronts {
			zones[front.Zone]++
			if name == "clinic-lines" && (front.Zone == "tamale" || front.Zone == "bolga") {
				test.Errorf("%s is placed in a forbidden region", name)
			}
		}
		if len(fronts) != want || len(zones) != want {
			test.Errorf("%s has %d fronts in %d zones, want %d", name, len(fronts), len(zones), want)
		}
	}
	kept, all := 0, 0
	for name, fronts := range placed(look.Members[:8]) {
		for _, front := range fronts {
			all++
			for _, former := range before[name] {
				if former.Name == front.Name {
					kept++
				}
			}
		}
	}
	if kept*4 < all*3 {
		test.Errorf("only %d of %d placements stay when one of nine fronts leaves", kept, all)
	}
	guest := append([]message.Member{{Name: "guest", Kind: "proxy", Zone: "accra", Ready: true, Guest: true}}, look.Members...)
	for name, fronts := range placed(guest) {
		for _, front := range fronts {
			if front.Name == "guest" {
				test.Errorf("%s is sent to a guest though own fronts are there", name)
			}
		}
	}
}
