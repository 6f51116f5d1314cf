package hostproxy

import (
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/message"
	"orchidjunction/routing"
)

// Near backends go first until they are busy; then the next nearest share.
func TestChoosesNearThenIdle(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies, table := proxyAndTable()
		proxies[0].Apply(&routing.State{Config: ownConfig()}, table, nil)
		if candidate, _ := proxies[0].choosePlain(nil, nil); candidate.target.backend.Name != "near" {
			test.Errorf("chose %s", candidate.target.backend.Name)
		}
		for range 30 {
			proxies[0].choosePlain(nil, nil)
		}
		for name, held := range proxies[0].targets {
			if zone := held.backend.Zone; held.backend.Service == "plain" && (held.running == 0 || held.running > 12) {
				test.Errorf("%s in %s has %d", name, zone, held.running)
			}
		}
		for range 100 {
			proxies[0].choosePlain(nil, nil)
		}
		if _, how := proxies[0].choosePlain(nil, nil); how != allFull {
			test.Errorf("choice %d with all full", how)
		}
		for name, held := range proxies[0].targets {
			if held.running > 12 {
				test.Errorf("%s has %d", name, held.running)
			}
			if held.backend.Service != "plain" && held.running > 0 {
				test.Errorf("%s of another service has %d", name, held.running)
			}
		}
	})
}

// Equal backends share evenly.
func TestChoosesEvenly(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxy := newProxies([]string{"p1"}, []string{"e1"})[0]
		backends := []message.Backend{}
		for _, name := range []string{"a", "b", "c", "d"} {
			backends = append(backends, message.Backend{Name: name, Service: "plain", Zone: "e1", Capacity: 4})
		}
		proxy.Apply(
			&routing.State{Config: ownConfig()},
			&message.Table{Version: leaderMark, Members: proxyMembers([]string{"p1"}, []string{"e1"}), Backends: backends},
			nil,
		)
		counts := map[string]int{}
		for range 400 {
			candidate, _ := proxy.choosePlain(nil, nil)
			counts[candidate.target.backend.Name]++
			candidate.target.endRequest()
		}
		for name, count := range counts {
			if count < 50 || count > 160 {
				test.Errorf("%s had %d of 400", name, count)
			}
		}
	})
}

// One that is left out gets no overflow of those that are full.
func TestOverflowIsNotForTheLeftOut(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies, table := proxyAndTable()
		proxies[0].Apply(&routing.State{Config: ownConfig()}, table, nil)
		proxies[0].targets["far"].recordFailure(time.Now(), true)
		for range 36 {
			proxies[0].choosePlain(nil, nil)
		}
		if candidate, how := proxies[0].choosePlain(nil, nil); how != allFull {
			test.Errorf("choice %d: %v", how, candidate)
		}
	})
}

// What was tried is not chosen again, and one that is left out only where nothing
// else is there.
func TestChoosesUntried(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies, table := proxyAndTable()
		proxies[0].Apply(&routing.State{Config: ownConfig()}, table, nil)
		tried := []*target{}
		for range 4 {
			candidate, how := proxies[0].choosePlain(nil, nil, tried...)
			if how != chosen {
				test.Fatalf("choice %d", how)
			}
			tried = append(tried, candidate.target)
		}
		if _, how := proxies[0].choosePlain(nil, nil, tried...); how != noneAvailable {
			test.Errorf("choice %d with all tried", how)
		}
		for _, held := range tried {
			held.recordFailure(time.Now(), true)
		}
		if _, how := proxies[0].choosePlain(nil, nil, tried[0]); how != noneAvailable {
			test.Errorf("choice %d with the rest left out", how)
		}
		if _, how := proxies[0].choosePlain(nil, nil); how != chosen {
			test.Errorf("choice %d with all left out", how)
		}
	})
}

// Where no backend may serve a request it is refused at once, with a time to come back.
func TestNobodyMayServe(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").ever(well)
		if _, how := world.proxy.choosePlain(nil, []string{"nowhere"}); how != noneInHomeRegions {
			test.Errorf("choice %d", how)
		}
		if _, how := world.proxy.choosePlain(&routing.Tenant{Name: "t", Homes: []string{"nowhere"}}, nil); how != noneInHomeRegions {
			test.Errorf("choice %d with the tenant's homes", how)
		}
	})
}

// An idle connection is worth a little waiting, not much.
func TestIdleConnectionIsPreferred(test *testing.T) {
	target := newTarget(message.Backend{Name: "b", Capacity: 4})
	now := time.Now()
	bare, _, _ := target.evaluate(now, 100, 0)
	target.idle = append(target.idle, &connection{})
	with, _, _ := target.evaluate(now, 100, 0)
	if bare-with != openPenaltyMs {
		test.Errorf("%v without, %v with one", bare, with)
	}
}
