package hostproxy

import (
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/message"
	"orchidjunction/routing"
)

// names are the backends that a proxy may choose, with those chosen put aside.
func (proxy *Proxy) names(tenant *routing.Tenant, homes []string) map[string]bool {
	names, tried := map[string]bool{}, []*target{}
	for {
		candidate, how := proxy.pick(tenant, homes, tried...)
		if how != chosen {
			return names
		}
		candidate.target.endRequest()
		names[candidate.target.backend.Name] = true
		tried = append(tried, candidate.target)
	}
}

func same(names map[string]bool, wanted ...string) bool {
	for _, name := range wanted {
		if !names[name] {
			return false
		}
	}
	return len(names) == len(wanted)
}

func placed() ([]*Proxy, *message.Table) {
	proxies := many([]string{"p1"}, []string{"e1"})
	return proxies, &message.Table{Version: leaderVersion, Members: members([]string{"p1"}, []string{"e1"}), Backends: []message.Backend{
		{Name: "near", Service: "plain", Zone: "e1", Capacity: 4},
		{Name: "beside", Service: "plain", Zone: "e2", Capacity: 4},
		{Name: "far", Service: "plain", Zone: "w1", Capacity: 4},
		{Name: "foreign", Service: "other", Zone: "e1", Capacity: 4},
		{Name: "stray", Service: "unknown", Zone: "e1", Capacity: 4},
		{Name: "nowhere", Service: "plain", Zone: "z9", Capacity: 4},
	}}
}

// Homes of route and tenant both bind, also where nothing is left.
func TestHomes(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies, table := placed()
		proxies[0].Apply(&routing.State{Config: testRoutingConfig()}, table, nil)
		east, west, both := []string{"east"}, []string{"west"}, []string{"west", "east"}
		for _, bound := range []struct {
			route, tenant []string
			names         []string
		}{
			{nil, nil, []string{"near", "beside", "far", "nowhere"}},
			{east, nil, []string{"near", "beside"}},
			{nil, west, []string{"far"}},
			{both, west, []string{"far"}},
			{both, both, []string{"near", "beside", "far"}},
			{east, west, nil},
			{[]string{"north"}, nil, nil},
		} {
			if names := proxies[0].names(&routing.Tenant{Name: "t", Homes: bound.tenant}, bound.route); !same(names, bound.names...) {
				test.Errorf("%v and %v: %v", bound.route, bound.tenant, names)
			}
		}
	})
}

// Backends that leave, that are gone and that stand in evacuated zones get nothing.
func TestLeavingAndEvacuated(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies, table := placed()
		state := &routing.State{Config: testRoutingConfig()}
		lay := func(change func()) {
			copied, moved := *state, *table
			moved.Backends = append([]message.Backend{}, table.Backends...)
			state, table = &copied, &moved
			change()
			proxies[0].Apply(state, table, nil)
		}
		lay(func() { state.Evacuated = []string{"e1", "z9"} })
		if names := proxies[0].names(nil, nil); !same(names, "beside", "far") {
			test.Errorf("evacuated: %v", names)
		}
		lay(func() { table.Backends[2].Leaving = true })
		if names := proxies[0].names(nil, nil); !same(names, "beside") {
			test.Errorf("leaving: %v", names)
		}
		gone := proxies[0].targets["beside"]
		lay(func() { table.Backends = append(table.Backends[:1:1], table.Backends[2:]...) })
		if names := proxies[0].names(nil, nil); len(names) != 0 || !gone.retired || gone.reserveConnection(64) {
			test.Errorf("gone: %v", names)
		}
		lay(func() { state.Evacuated = []string{"z9"} })
		if names := proxies[0].names(nil, nil); len(names) != 0 {
			test.Errorf("at the end of the evacuation: %v", names)
		}
		time.Sleep(time.Second)
		if names := proxies[0].names(nil, nil); !same(names, "near") {
			test.Errorf("with a token of the cold one: %v", names)
		}
		if names := proxies[0].names(nil, nil); len(names) != 0 {
			test.Errorf("with its token gone: %v", names)
		}
		time.Sleep(proxies[0].config.suspectTTL())
		for range 5 {
			if names := proxies[0].names(nil, nil); !same(names, "near") {
				test.Errorf("warm again: %v", names)
			}
		}
	})
}

// A target lives as long as its backend is listed: what is known of it outlives views.
func TestTargetsOutliveViews(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies, table := placed()
		state := &routing.State{Config: testRoutingConfig()}
		proxies[0].Apply(state, table, nil)
		first, index := proxies[0].targets["near"], proxies[0].view.Load().index
		proxies[0].Apply(state, table, nil)
		if proxies[0].targets["near"] != first || proxies[0].view.Load().index != index {
			test.Error("made anew")
		}
		proxies[0].Apply(state, &message.Table{Version: leaderVersion, Members: table.Members}, nil)
		proxies[0].Apply(state, table, nil)
		if proxies[0].targets["near"] == first {
			test.Error("a retired target is back")
		}
	})
}

// Proxies share a service's connections; the count of proxies only rises.
func TestConnectionsAreShared(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies, table := placed()
		names, zones := []string{"p1", "p2", "p3", "p4"}, []string{"e1", "e1", "e2", "w1"}
		config := testRoutingConfig()
		config.Services = append(config.Services, routing.Service{Name: "small", MaxConnections: 3}, routing.Service{Name: "free"})
		for _, step := range []struct{ count, most, small int }{{1, 104, 2}, {4, 26, 2}, {2, 26, 2}} {
			table.Members = members(names[:step.count], zones[:step.count])
			proxies[0].Apply(&routing.State{Config: config}, table, nil)
			limit := proxies[0].view.Load().connectionLimits
			if limit[0] != step.most || limit[2] != step.small || limit[3] != defaultMaxConnections {
				test.Errorf("%d proxies: %v", step.count, limit)
			}
		}
		table.Members[1].Leaving = true
		table.Members = append(table.Members, message.Member{Name: "d1", Kind: "dir"})
		fresh := many([]string{"p1"}, []string{"e1"})[0]
		fresh.Apply(&routing.State{Config: config}, table, nil)
		if limit := fresh.view.Load().connectionLimits[0]; limit != 104 {
			test.Errorf("beside one that leaves: %d", limit)
		}
	})
}

// Before a leader made a table nobody knows how many proxies there are: cold backends
// get nothing, and few connections are opened.
func TestTableBeforeALeader(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies := many([]string{"p1"}, []string{"e1"})
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
				Members:  members([]string{"p1"}, []string{"e1"}),
				Backends: []message.Backend{cold},
			}
			proxies[0].Apply(&routing.State{Config: testRoutingConfig()}, table, nil)
			proxies[0].pick(nil, nil)
			time.Sleep(time.Second)
			if _, how := proxies[0].pick(nil, nil); how != want {
				test.Errorf("round %d: choice %d, want %d", round, how, want)
			}
		}
	})
}

// A proxy that did not see an evacuation end, since it began after that, takes the
// zone's backends for cold for a while all the same.
func TestReopenedZoneIsDoubtedByNewProxies(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		for ago, want := range map[time.Duration]chooseResult{500 * time.Millisecond: allFull, time.Minute: chosen} {
			proxies := many([]string{"p1"}, []string{"e1"})
			backend := message.Backend{Name: "b1", Service: "plain", Address: "10.0.0.1:80", Zone: "e1", Capacity: 4}
			state := &routing.State{
				Config:   testRoutingConfig(),
				Restored: []routing.RestoredZone{{Zone: "e1", AtMs: time.Now().Add(-ago).UnixMilli()}},
			}
			proxies[0].Apply(
				state,
				&message.Table{
					Version:  leaderVersion,
					Members:  members([]string{"p1"}, []string{"e1"}),
					Backends: []message.Backend{backend},
				},
				nil,
			)
			if _, how := proxies[0].pick(nil, nil); how != want {
				test.Errorf("taken back %v ago: choice %d, want %d", ago, how, want)
			}
		}
	})
}
