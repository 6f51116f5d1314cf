package hostproxy

import (
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/message"
	"orchidjunction/routing"
)

// selectable returns the backends that a proxy may choose, by excluding each one chosen.
func (proxy *Proxy) selectable(tenant *routing.Tenant, homes []string) map[string]bool {
	names, tried := map[string]bool{}, []*target{}
	for {
		candidate, result := proxy.choosePlain(tenant, homes, tried...)
		if result != chosen {
			return names
		}
		candidate.target.endRequest()
		names[candidate.target.backend.Name] = true
		tried = append(tried, candidate.target)
	}
}

func sameNames(names map[string]bool, wanted ...string) bool {
	for _, name := range wanted {
		if !names[name] {
			return false
		}
	}
	return len(names) == len(wanted)
}

func proxyAndTable() ([]*Proxy, *message.Table) {
	proxies := newProxies([]string{"p1"}, []string{"e1"})
	return proxies, &message.Table{
		Version: leaderVersion,
		Members: proxyMembers([]string{"p1"}, []string{"e1"}),
		Backends: []message.Backend{
			{Name: "near", Service: "plain", Zone: "e1", Capacity: 4},
			{Name: "beside", Service: "plain", Zone: "e2", Capacity: 4},
			{Name: "far", Service: "plain", Zone: "w1", Capacity: 4},
			{Name: "foreign", Service: "other", Zone: "e1", Capacity: 4},
			{Name: "stray", Service: "unknown", Zone: "e1", Capacity: 4},
			{Name: "nowhere", Service: "plain", Zone: "z9", Capacity: 4},
		},
	}
}

// Home regions of route and tenant both apply, even if no backend remains.
func TestHomes(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies, table := proxyAndTable()
		proxies[0].Apply(&routing.State{Config: testRoutingConfig()}, table, nil)
		east, west, both := []string{"east"}, []string{"west"}, []string{"west", "east"}
		for _, homes := range []struct {
			route, tenant []string
			want          []string
		}{
			{nil, nil, []string{"near", "beside", "far", "nowhere"}},
			{east, nil, []string{"near", "beside"}},
			{nil, west, []string{"far"}},
			{both, west, []string{"far"}},
			{both, both, []string{"near", "beside", "far"}},
			{east, west, nil},
			{[]string{"north"}, nil, nil},
		} {
			if got := proxies[0].selectable(&routing.Tenant{Name: "t", Homes: homes.tenant}, homes.route); !sameNames(got, homes.want...) {
				test.Errorf("%v and %v: %v", homes.route, homes.tenant, got)
			}
		}
	})
}

// Leaving and removed backends and those in evacuated zones get no requests; after the end of an
// evacuation, they are treated as cold for a while.
func TestLeavingAndEvacuated(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies, table := proxyAndTable()
		state := &routing.State{Config: testRoutingConfig()}
		apply := func(change func()) {
			stateCopy, tableCopy := *state, *table
			tableCopy.Backends = append([]message.Backend{}, table.Backends...)
			state, table = &stateCopy, &tableCopy
			change()
			proxies[0].Apply(state, table, nil)
		}
		apply(func() { state.Evacuated = []string{"e1", "z9"} })
		if names := proxies[0].selectable(nil, nil); !sameNames(names, "beside", "far") {
			test.Errorf("evacuated: %v", names)
		}
		apply(func() { table.Backends[2].Leaving = true })
		if names := proxies[0].selectable(nil, nil); !sameNames(names, "beside") {
			test.Errorf("leaving: %v", names)
		}
		removed := proxies[0].targets["beside"]
		apply(func() { table.Backends = append(table.Backends[:1:1], table.Backends[2:]...) })
		if names := proxies[0].selectable(nil, nil); len(names) != 0 || !removed.retired || removed.reserveConnection(64) {
			test.Errorf("removed: %v", names)
		}
		apply(func() { state.Evacuated = []string{"z9"} })
		if names := proxies[0].selectable(nil, nil); len(names) != 0 {
			test.Errorf("just after the end of the evacuation: %v", names)
		}
		time.Sleep(time.Second)
		if names := proxies[0].selectable(nil, nil); !sameNames(names, "near") {
			test.Errorf("with a warmup token: %v", names)
		}
		if names := proxies[0].selectable(nil, nil); len(names) != 0 {
			test.Errorf("after the token was used: %v", names)
		}
		time.Sleep(proxies[0].config.suspectTTL())
		for range 5 {
			if names := proxies[0].selectable(nil, nil); !sameNames(names, "near") {
				test.Errorf("warm again: %v", names)
			}
		}
	})
}

// A target and its state are kept across views for as long as its backend is listed.
func TestTargetsOutliveViews(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies, table := proxyAndTable()
		state := &routing.State{Config: testRoutingConfig()}
		proxies[0].Apply(state, table, nil)
		first, index := proxies[0].targets["near"], proxies[0].view.Load().index
		proxies[0].Apply(state, table, nil)
		if proxies[0].targets["near"] != first || proxies[0].view.Load().index != index {
			test.Error("replaced by a new one")
		}
		proxies[0].Apply(state, &message.Table{Version: leaderVersion, Members: table.Members}, nil)
		proxies[0].Apply(state, table, nil)
		if proxies[0].targets["near"] == first {
			test.Error("a retired target is reused")
		}
	})
}

// A service's connections are divided among the proxies; the number of proxies assumed never
// decreases.
func TestConnectionsAreShared(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies, table := proxyAndTable()
		names, zones := []string{"p1", "p2", "p3", "p4"}, []string{"e1", "e1", "e2", "w1"}
		config := testRoutingConfig()
		config.Services = append(config.Services, routing.Service{Name: "small", MaxConnections: 3}, routing.Service{Name: "free"})
		for _, step := range []struct{ count, plain, small int }{{1, 104, 2}, {4, 26, 2}, {2, 26, 2}} {
			table.Members = proxyMembers(names[:step.count], zones[:step.count])
			proxies[0].Apply(&routing.State{Config: config}, table, nil)
			limit := proxies[0].view.Load().connectionLimits
			if limit[0] != step.plain || limit[2] != step.small || limit[3] != defaultMaxConnections {
				test.Errorf("%d proxies: %v", step.count, limit)
			}
		}
		table.Members[1].Leaving = true
		table.Members = append(table.Members, message.Member{Name: "d1", Kind: "dir"})
		fresh := newProxies([]string{"p1"}, []string{"e1"})[0]
		fresh.Apply(&routing.State{Config: config}, table, nil)
		if limit := fresh.view.Load().connectionLimits[0]; limit != 104 {
			test.Errorf("with a leaving proxy: %d", limit)
		}
	})
}

// Before a leader's first table the number of proxies is unknown: cold backends get no requests,
// and few connections are opened.
func TestTableWithoutLeader(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies := newProxies([]string{"p1"}, []string{"e1"})
		cold := message.Backend{
			Name:     "b1",
			Service:  "plain",
			Address:  "10.0.0.1:80",
			Zone:     "e1",
			Capacity: 4,
			WarmAtMs: time.Now().UnixMilli() + 60000,
		}
		for round, want := range map[uint64]chooseResult{0: noneAvailable, 1: chosen} {
			table := &message.Table{
				Version:  message.TableVersion{Term: message.Term{Number: round}, Number: 1},
				Members:  proxyMembers([]string{"p1"}, []string{"e1"}),
				Backends: []message.Backend{cold},
			}
			proxies[0].Apply(&routing.State{Config: testRoutingConfig()}, table, nil)
			proxies[0].choosePlain(nil, nil)
			time.Sleep(time.Second)
			if _, result := proxies[0].choosePlain(nil, nil); result != want {
				test.Errorf("term %d: choice %d, want %d", round, result, want)
			}
		}
	})
}

// A proxy started after the end of an evacuation also treats the zone's backends as cold for a
// while.
func TestNewProxyTreatsRestoredZoneAsCold(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		for ago, want := range map[time.Duration]chooseResult{500 * time.Millisecond: allFull, time.Minute: chosen} {
			proxies := newProxies([]string{"p1"}, []string{"e1"})
			backend := message.Backend{Name: "b1", Service: "plain", Address: "10.0.0.1:80", Zone: "e1", Capacity: 4}
			state := &routing.State{
				Config:   testRoutingConfig(),
				Restored: []routing.RestoredZone{{Zone: "e1", AtMs: time.Now().Add(-ago).UnixMilli()}},
			}
			proxies[0].Apply(
				state,
				&message.Table{
					Version:  leaderVersion,
					Members:  proxyMembers([]string{"p1"}, []string{"e1"}),
					Backends: []message.Backend{backend},
				},
				nil,
			)
			if _, result := proxies[0].choosePlain(nil, nil); result != want {
				test.Errorf("restored %v ago: choice %d, want %d", ago, result, want)
			}
		}
	})
}
