package hostproxy

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/message"
	"orchidjunction/routing"
)

// order is a roll-out of the plain service to version v2.
func order(phase message.RolloutPhase, share float64) []message.Rollout {
	return []message.Rollout{{Service: "plain", Target: "v2", ID: 7, Phase: phase, Step: 1, Share: share}}
}

// addVersion brings up a backend of a version of the plain service.
func (env *testEnv) addVersion(name, revision string, slots int) *fakeBackend {
	added := env.addBackendAt(name, "plain", "e1", slots)
	env.update(func() { env.table.Backends[len(env.table.Backends)-1].Revision = revision })
	return added
}

// roll puts roll-outs in force.
func (env *testEnv) roll(orders []message.Rollout) {
	env.rollouts = orders
	env.proxy.Apply(env.state, env.table, orders)
}

// twoVersions are backends of v1 and of v2.
func twoVersions(former, target int) []message.Backend {
	backends := []message.Backend{}
	for number := range former {
		backends = append(
			backends,
			message.Backend{Name: fmt.Sprint("a", number), Service: "plain", Zone: "e1", Capacity: 4, Revision: "v1"},
		)
	}
	for number := range target {
		backends = append(
			backends,
			message.Backend{Name: fmt.Sprint("b", number), Service: "plain", Zone: "e1", Capacity: 4, Revision: "v2"},
		)
	}
	return backends
}

// applyVersions puts backends and roll-outs in force at a proxy that only chooses.
func applyVersions(proxy *Proxy, backends []message.Backend, orders []message.Rollout) {
	table := &message.Table{Version: leaderVersion, Members: members([]string{"p1"}, []string{"e1"}), Backends: backends}
	proxy.Apply(&routing.State{Config: testRoutingConfig()}, table, orders)
}

// newRequest is a request of the plain service that is never sent.
func newRequest(proxy *Proxy) *request {
	return &request{source: &http.Request{}, stats: proxy.stats, route: &routing.Route{Name: "picked", TargetMs: 800}}
}

// countVersions counts the versions chosen for so many requests, "" where none was.
func countVersions(proxy *Proxy, requests int) map[string]int {
	counts := map[string]int{}
	for range requests {
		held, _ := proxy.chooseVersion(newRequest(proxy), proxy.view.Load(), 0)
		if held == nil {
			counts[""]++
			continue
		}
		held.target.endRequest()
		counts[held.target.backend.Revision]++
	}
	return counts
}

// Guards against small proxies that together send far more or less than the share to a version.
func TestShareIsKeptOverManySmallProxies(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		random := rand.New(rand.NewPCG(5, 23))
		for _, share := range []float64{0.02, 0.1, 0.35, 0.9} {
			sent, all := 0, 0
			for range 80 {
				proxy := many([]string{"p1"}, []string{"e1"})[0]
				requests, own := 1+random.IntN(60), 0
				for number := range requests {
					if number == 0 || random.IntN(10) == 0 {
						applyVersions(proxy, twoVersions(3, 2), order(message.RolloutActive, share))
					}
					own += countVersions(proxy, 1)["v2"]
				}
				if away := float64(own) - share*float64(requests); away > 1 || away < -1 {
					test.Errorf("share %v: %d of %d at one proxy", share, own, requests)
				}
				sent, all = sent+own, all+requests
			}
			if away := float64(sent) - share*float64(all); away > 20 || away < -20 {
				test.Errorf("share %v: %d of %d", share, sent, all)
			}
		}
	})
}

// Guards against requests at a version that no roll-out, or a reverted one, lets them reach,
// and at the old version once a roll-out is complete.
func TestVersionsByPhase(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		for _, one := range []struct {
			name   string
			orders []message.Rollout
			wanted string
		}{
			{"unknown", nil, "v1"},
			{"reverted", order(message.RolloutReverted, 1), "v1"},
			{"nothing yet", order(message.RolloutActive, 0), "v1"},
			{"all", order(message.RolloutActive, 1), "v2"},
			{"complete", order(message.RolloutComplete, 0), "v2"},
		} {
			proxy := many([]string{"p1"}, []string{"e1"})[0]
			applyVersions(proxy, twoVersions(3, 0), nil)
			applyVersions(proxy, twoVersions(3, 4), one.orders)
			if counts := countVersions(proxy, 50); counts[one.wanted] != 50 {
				test.Errorf("%s: %v", one.name, counts)
			}
		}
		fresh := many([]string{"p1"}, []string{"e1"})[0]
		applyVersions(fresh, twoVersions(3, 2), nil)
		if counts := countVersions(fresh, 50); counts["v1"] != 50 {
			test.Errorf("fresh and without an order: %v", counts)
		}
	})
}

// Guards against a version that keeps requests waiting: where it is full, ejected, cold or
// gone, the old version takes them.
func TestVersionWithoutRoomIsPassedOver(test *testing.T) {
	cold := twoVersions(3, 1)
	cold[3].WarmAtMs = time.Now().Add(time.Hour).UnixMilli()
	for _, one := range []struct {
		name     string
		backends []message.Backend
		prepare  func(target *target)
	}{
		{"full", twoVersions(3, 1), func(target *target) {
			for range 13 {
				target.startRequest()
			}
		}},
		{"ejected", twoVersions(3, 1), func(target *target) { target.recordFailure(time.Now(), true) }},
		{"cold", cold, func(*target) {}},
		{"gone", twoVersions(3, 0), nil},
	} {
		synctest.Test(test, func(test *testing.T) {
			for _, share := range []float64{0.5, 1} {
				proxy := many([]string{"p1"}, []string{"e1"})[0]
				applyVersions(proxy, one.backends, order(message.RolloutActive, share))
				if one.prepare != nil {
					one.prepare(proxy.targets["b0"])
				}
				if counts := countVersions(proxy, 20); counts["v1"] != 20 {
					test.Errorf("%s, share %v: %v", one.name, share, counts)
				}
			}
		})
	}
}

// Guards against a version under test that gets more than its share because the old version
// is full.
func TestOldVersionDoesNotSpill(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxy := many([]string{"p1"}, []string{"e1"})[0]
		for _, share := range []float64{0.25, 1} {
			applyVersions(proxy, twoVersions(1, 3), order(message.RolloutActive, share))
			old := proxy.targets["a0"]
			for range 13 {
				old.startRequest()
			}
			counts := countVersions(proxy, 40)
			if wanted := int(40 * share); counts["v2"] < wanted-1 || counts["v2"] > wanted+1 || counts["v1"] != 0 {
				test.Errorf("share %v: %v", share, counts)
			}
			for range 13 {
				old.endRequest()
			}
		}
	})
}

// Guards against a second attempt at the version that has just failed the request, against
// one without budget, and against a second attempt of what may run only once.
func TestRetryGoesToTheOldVersion(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		old := env.addVersion("a1", "v1", 8)
		bad := []*fakeBackend{env.addVersion("b1", "v2", 8), env.addVersion("b2", "v2", 8)}
		bad[0].handleByDefault(respondStatus("500 Own"))
		bad[1].handleByDefault(respondStatus("500 Own"))
		env.roll(order(message.RolloutActive, 1))
		reply, id := env.get("/again/a")
		env.expectSuccess(reply, id)
		if tries := len(bad[0].requests()) + len(bad[1].requests()); tries != 1 || len(old.requests()) != 1 {
			test.Errorf("%d at the version, %d at the old one", tries, len(old.requests()))
		}
		if reply, _ := env.get("/again/a"); reply.status != 500 || env.counters.Get("budget_empty") != 1 {
			test.Errorf("without budget: %d", reply.status)
		}
		seen := len(old.requests())
		if reply, _ := env.get("/once/a"); reply.status != 500 || len(old.requests()) != seen {
			test.Errorf("sent twice: %d", reply.status)
		}
	})
}

// Guards against requests at an old version that is about to end: neither a retry nor a
// request without room goes there once the version under test is exclusive.
func TestExclusiveVersionKeepsItsRequests(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		old := env.addVersion("a1", "v1", 8)
		bad, good := env.addVersion("b1", "v2", 8), env.addVersion("b2", "v2", 8)
		bad.handleByDefault(respondStatus("500 Own"))
		orders := order(message.RolloutActive, 1)
		orders[0].Exclusive = true
		env.roll(orders)
		for range 20 {
			env.get("/again/a")
		}
		if len(old.requests()) != 0 || len(good.requests()) == 0 {
			test.Errorf("%d at the old version, %d at the other backend", len(old.requests()), len(good.requests()))
		}
	})
}

// Guards against a leader that ends a roll-out while requests run at the old version, and
// against counts that are lost when the table or the step changes.
func TestRolloutCountsOutliveViews(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxy := many([]string{"p1"}, []string{"e1"})[0]
		applyVersions(proxy, twoVersions(2, 2), order(message.RolloutActive, 0.1))
		proxy.targets["a0"].startRequest()
		proxy.targets["b0"].startRequest()
		proxy.view.Load().canaries[0].counts.items.Add(3)
		next := order(message.RolloutActive, 0.2)
		next[0].Step = 2
		applyVersions(proxy, twoVersions(2, 3), next)
		proxy.view.Load().canaries[0].counts.failures.Add(1)
		applyVersions(proxy, twoVersions(2, 3), order(message.RolloutReverted, 0))
		wanted := []message.RolloutCounts{
			{Service: "plain", ID: 7, Step: 1, Items: 3, FormerInFlight: 1},
			{Service: "plain", ID: 7, Step: 2, Failures: 1, FormerInFlight: 1},
		}
		if got := proxy.RolloutCounts(); fmt.Sprint(got) != fmt.Sprint(wanted) {
			test.Errorf("%v, want %v", got, wanted)
		}
	})
}

// A request that had chosen a backend of the version under test, and whose dial came through
// after the roll-out was reverted, was sent there all the same (EXPOSURE): the table lists such
// backends for a moment longer.
func TestRevertedWhileDialling(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addVersion("b1", "v1", 8)
		env.addVersion("b2", "v2", 8)
		env.roll(order(message.RolloutActive, 1))
		env.network.silence("b2:80", true)
		wait := env.begin("/once/a")
		env.goroutines.Sleep(100 * time.Millisecond)
		env.roll(order(message.RolloutReverted, 0))
		env.network.unsilence("b2:80")
		reply, id := wait()
		env.expectSuccess(reply, id)
		if count := len(env.backends["b2"].requests()); count != 0 {
			test.Errorf("%d requests at the reverted version", count)
		}
	})
}

// Guards against a service without backends once those of a completed roll-out were replaced
// by another version without an order: the core lists that one, proxies passed over it.
func TestVersionAfterACompleteOneIsServed(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxy, complete := many([]string{"p1"}, []string{"e1"})[0], order(message.RolloutComplete, 0)
		applyVersions(proxy, twoVersions(0, 3), complete)
		replaced := twoVersions(0, 3)
		for index := range replaced {
			replaced[index].Name, replaced[index].Revision = fmt.Sprint("c", index), "v3"
		}
		applyVersions(proxy, replaced, complete)
		if counts := countVersions(proxy, 10); counts["v3"] != 10 {
			test.Errorf("10 requests went to %v", counts)
		}
	})
}
