package hostproxy

import (
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/message"
	"orchidjunction/routing"
)

// The nearest backends are chosen until they are busy; then requests overflow to the next nearest.
func TestNearestBackendsFirstThenOverflow(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies, table := proxyAndTable()
		proxies[0].Apply(&routing.State{Config: testRoutingConfig()}, table, nil)
		if candidate, _ := proxies[0].choosePlain(nil, nil); candidate.target.backend.Name != "near" {
			test.Errorf("chose %s, want near", candidate.target.backend.Name)
		}
		for range 30 {
			proxies[0].choosePlain(nil, nil)
		}
		for name, target := range proxies[0].targets {
			if zone := target.backend.Zone; target.backend.Service == "plain" && (target.running == 0 || target.running > 12) {
				test.Errorf("%s in %s has %d running requests", name, zone, target.running)
			}
		}
		for range 100 {
			proxies[0].choosePlain(nil, nil)
		}
		if _, result := proxies[0].choosePlain(nil, nil); result != allFull {
			test.Errorf("result %d with all backends full", result)
		}
		for name, target := range proxies[0].targets {
			if target.running > 12 {
				test.Errorf("%s has %d running requests", name, target.running)
			}
			if target.backend.Service != "plain" && target.running > 0 {
				test.Errorf("%s of another service has %d running requests", name, target.running)
			}
		}
	})
}

// Equal backends get about equal shares.
func TestEqualBackendsShareEvenly(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxy := newProxies([]string{"p1"}, []string{"e1"})[0]
		backends := []message.Backend{}
		for _, name := range []string{"a", "b", "c", "d"} {
			backends = append(backends, message.Backend{Name: name, Service: "plain", Zone: "e1", Capacity: 4})
		}
		proxy.Apply(
			&routing.State{Config: testRoutingConfig()},
			&message.Table{Version: leaderVersion, Members: proxyMembers([]string{"p1"}, []string{"e1"}), Backends: backends},
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
				test.Errorf("%s was chosen %d times of 400", name, count)
			}
		}
	})
}

// An ejected backend gets no overflow from full ones.
func TestOverflowSkipsEjectedBackends(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies, table := proxyAndTable()
		proxies[0].Apply(&routing.State{Config: testRoutingConfig()}, table, nil)
		proxies[0].targets["far"].recordFailure(time.Now(), true)
		for range 36 {
			proxies[0].choosePlain(nil, nil)
		}
		if candidate, result := proxies[0].choosePlain(nil, nil); result != allFull {
			test.Errorf("result %d, candidate %v, want allFull", result, candidate)
		}
	})
}

// A backend that was tried is not chosen again for the request, and an ejected one only if all are
// ejected and none was tried.
func TestTriedBackendsAreNotChosenAgain(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies, table := proxyAndTable()
		proxies[0].Apply(&routing.State{Config: testRoutingConfig()}, table, nil)
		tried := []*target{}
		for range 4 {
			candidate, result := proxies[0].choosePlain(nil, nil, tried...)
			if result != chosen {
				test.Fatalf("result %d, want a choice", result)
			}
			tried = append(tried, candidate.target)
		}
		if _, result := proxies[0].choosePlain(nil, nil, tried...); result != noneAvailable {
			test.Errorf("result %d with all tried", result)
		}
		for _, target := range tried {
			target.recordFailure(time.Now(), true)
		}
		if _, result := proxies[0].choosePlain(nil, nil, tried[0]); result != noneAvailable {
			test.Errorf("result %d with the others ejected", result)
		}
		if _, result := proxies[0].choosePlain(nil, nil); result != chosen {
			test.Errorf("result %d with all ejected", result)
		}
	})
}

// If no backend is in the home regions of its route or tenant, a request is refused at once, with a
// time to retry.
func TestNoBackendInHomeRegions(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleByDefault(succeed)
		if _, result := env.proxy.choosePlain(nil, []string{"nowhere"}); result != noneInHomeRegions {
			test.Errorf("result %d with the route's homes", result)
		}
		if _, result := env.proxy.choosePlain(&routing.Tenant{Name: "t", Homes: []string{"nowhere"}}, nil); result != noneInHomeRegions {
			test.Errorf("result %d with the tenant's homes", result)
		}
	})
}

// An idle connection outweighs a little waiting: it lowers a target's cost by openPenaltyMs.
func TestIdleConnectionIsPreferred(test *testing.T) {
	target := newTarget(message.Backend{Name: "b", Capacity: 4})
	now := time.Now()
	without, _, _ := target.evaluate(now, 100, 0)
	target.idle = append(target.idle, &connection{})
	with, _, _ := target.evaluate(now, 100, 0)
	if without-with != openPenaltyMs {
		test.Errorf("cost %v without and %v with an idle connection", without, with)
	}
}
