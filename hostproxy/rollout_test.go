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

// rolloutInPhase returns a rollout of the plain service to version v2.
func rolloutInPhase(phase message.RolloutPhase, share float64) []message.Rollout {
	return []message.Rollout{{Service: "plain", Target: "v2", ID: 7, Phase: phase, Step: 1, Share: share}}
}

// addVersion adds a backend of a version of the plain service.
func (env *testEnv) addVersion(name, revision string, slots int) *fakeBackend {
	added := env.addBackendAt(name, "plain", "e1", slots)
	env.update(func() { env.table.Backends[len(env.table.Backends)-1].Revision = revision })
	return added
}

// applyRollouts applies rollouts to the proxy.
func (env *testEnv) applyRollouts(rollouts []message.Rollout) {
	env.rollouts = rollouts
	env.proxy.Apply(env.state, env.table, rollouts)
}

// twoVersions returns backends a0, a1, ... of v1 and b0, b1, ... of v2.
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

// applyVersions applies backends and rollouts to a proxy that sends no requests.
func applyVersions(proxy *Proxy, backends []message.Backend, rollouts []message.Rollout) {
	table := &message.Table{Version: leaderVersion, Members: proxyMembers([]string{"p1"}, []string{"e1"}), Backends: backends}
	proxy.Apply(&routing.State{Config: testRoutingConfig()}, table, rollouts)
}

// newPlainRequest returns a request of the plain service that is never sent.
func newPlainRequest(proxy *Proxy) *request {
	return &request{source: &http.Request{}, stats: proxy.stats, route: &routing.Route{Name: "picked", TargetMs: 800}}
}

// countVersions counts the versions chosen for a number of requests; "" stands for none.
func countVersions(proxy *Proxy, requests int) map[string]int {
	counts := map[string]int{}
	for range requests {
		selected, _ := proxy.chooseVersion(newPlainRequest(proxy), proxy.view.Load(), 0)
		if selected == nil {
			counts[""]++
			continue
		}
		selected.target.endRequest()
		counts[selected.target.backend.Revision]++
	}
	return counts
}

// Guards against many proxies with few requests each that together miss a version's share.
func TestShareAcrossSmallProxies(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		random := rand.New(rand.NewPCG(5, 23))
		for _, share := range []float64{0.02, 0.1, 0.35, 0.9} {
			sent, total := 0, 0
			for range 80 {
				proxy := newProxies([]string{"p1"}, []string{"e1"})[0]
				requests, sentHere := 1+random.IntN(60), 0
				for number := range requests {
					if number == 0 || random.IntN(10) == 0 {
						applyVersions(proxy, twoVersions(3, 2), rolloutInPhase(message.RolloutActive, share))
					}
					sentHere += countVersions(proxy, 1)["v2"]
				}
				if deviation := float64(sentHere) - share*float64(requests); deviation > 1 || deviation < -1 {
					test.Errorf("share %v: %d of %d at one proxy", share, sentHere, requests)
				}
				sent, total = sent+sentHere, total+requests
			}
			if deviation := float64(sent) - share*float64(total); deviation > 20 || deviation < -20 {
				test.Errorf("share %v: %d of %d", share, sent, total)
			}
		}
	})
}

// Guards against requests at a new version without a rollout or after a reverted one, and at
// the old version after a complete one.
func TestVersionsByPhase(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		for _, testCase := range []struct {
			name     string
			rollouts []message.Rollout
			wanted   string
		}{
			{"no rollout", nil, "v1"},
			{"reverted", rolloutInPhase(message.RolloutReverted, 1), "v1"},
			{"share 0", rolloutInPhase(message.RolloutActive, 0), "v1"},
			{"share 1", rolloutInPhase(message.RolloutActive, 1), "v2"},
			{"complete", rolloutInPhase(message.RolloutComplete, 0), "v2"},
		} {
			proxy := newProxies([]string{"p1"}, []string{"e1"})[0]
			applyVersions(proxy, twoVersions(3, 0), nil)
			applyVersions(proxy, twoVersions(3, 4), testCase.rollouts)
			if counts := countVersions(proxy, 50); counts[testCase.wanted] != 50 {
				test.Errorf("%s: %v", testCase.name, counts)
			}
		}
		fresh := newProxies([]string{"p1"}, []string{"e1"})[0]
		applyVersions(fresh, twoVersions(3, 2), nil)
		if counts := countVersions(fresh, 50); counts["v1"] != 50 {
			test.Errorf("new proxy without a rollout: %v", counts)
		}
	})
}

// Guards against requests that wait for a version under test: if it is full, ejected, cold or
// removed, they go to the old version.
func TestVersionWithoutCapacityFallsBack(test *testing.T) {
	cold := twoVersions(3, 1)
	cold[3].WarmAtMs = time.Now().Add(time.Hour).UnixMilli()
	for _, testCase := range []struct {
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
		{"removed", twoVersions(3, 0), nil},
	} {
		synctest.Test(test, func(test *testing.T) {
			for _, share := range []float64{0.5, 1} {
				proxy := newProxies([]string{"p1"}, []string{"e1"})[0]
				applyVersions(proxy, testCase.backends, rolloutInPhase(message.RolloutActive, share))
				if testCase.prepare != nil {
					testCase.prepare(proxy.targets["b0"])
				}
				if counts := countVersions(proxy, 20); counts["v1"] != 20 {
					test.Errorf("%s, share %v: %v", testCase.name, share, counts)
				}
			}
		})
	}
}

// Guards against a version under test that gets more than its share while the old version is
// full.
func TestFullOldVersionDoesNotOverflow(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxy := newProxies([]string{"p1"}, []string{"e1"})[0]
		for _, share := range []float64{0.25, 1} {
			applyVersions(proxy, twoVersions(1, 3), rolloutInPhase(message.RolloutActive, share))
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

// Guards against a retry at the version under test that has just failed, against one without
// budget, and against retries of non-repeatable requests.
func TestRetryGoesToOldVersion(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		old := env.addVersion("a1", "v1", 8)
		bad := []*fakeBackend{env.addVersion("b1", "v2", 8), env.addVersion("b2", "v2", 8)}
		bad[0].handleByDefault(respondStatus("500 Own"))
		bad[1].handleByDefault(respondStatus("500 Own"))
		env.applyRollouts(rolloutInPhase(message.RolloutActive, 1))
		reply, id := env.get("/again/a")
		env.expectSuccess(reply, id)
		if tries := len(bad[0].requests()) + len(bad[1].requests()); tries != 1 || len(old.requests()) != 1 {
			test.Errorf("%d requests at the version under test, %d at the old one", tries, len(old.requests()))
		}
		if reply, _ := env.get("/again/a"); reply.status != 500 || env.counters.Get("budget_empty") != 1 {
			test.Errorf("without budget: %d", reply.status)
		}
		seen := len(old.requests())
		if reply, _ := env.get("/once/a"); reply.status != 500 || len(old.requests()) != seen {
			test.Errorf("non-repeatable request was retried: %d", reply.status)
		}
	})
}

// Guards against requests at an old version that is being shut down: with an exclusive version
// under test, neither retries nor requests without capacity go there.
func TestExclusiveVersionKeepsItsRequests(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		old := env.addVersion("a1", "v1", 8)
		bad, good := env.addVersion("b1", "v2", 8), env.addVersion("b2", "v2", 8)
		bad.handleByDefault(respondStatus("500 Own"))
		rollouts := rolloutInPhase(message.RolloutActive, 1)
		rollouts[0].Exclusive = true
		env.applyRollouts(rollouts)
		for range 20 {
			env.get("/again/a")
		}
		if len(old.requests()) != 0 || len(good.requests()) == 0 {
			test.Errorf("%d requests at the old version, %d at the other backend", len(old.requests()), len(good.requests()))
		}
	})
}

// Guards against a leader that ends a rollout with requests in flight at the old version, and
// against counts lost with a new table or step.
func TestRolloutCountsOutliveViews(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxy := newProxies([]string{"p1"}, []string{"e1"})[0]
		applyVersions(proxy, twoVersions(2, 2), rolloutInPhase(message.RolloutActive, 0.1))
		proxy.targets["a0"].startRequest()
		proxy.targets["b0"].startRequest()
		proxy.view.Load().canaries[0].counts.items.Add(3)
		next := rolloutInPhase(message.RolloutActive, 0.2)
		next[0].Step = 2
		applyVersions(proxy, twoVersions(2, 3), next)
		proxy.view.Load().canaries[0].counts.failures.Add(1)
		applyVersions(proxy, twoVersions(2, 3), rolloutInPhase(message.RolloutReverted, 0))
		wanted := []message.RolloutCounts{
			{Service: "plain", ID: 7, Step: 1, Items: 3, FormerInFlight: 1},
			{Service: "plain", ID: 7, Step: 2, Failures: 1, FormerInFlight: 1},
		}
		if got := proxy.RolloutCounts(); fmt.Sprint(got) != fmt.Sprint(wanted) {
			test.Errorf("%v, want %v", got, wanted)
		}
	})
}

// Guards against a request sent to the version under test if the rollout is reverted while its
// connection is being dialled (EXPOSURE); the table still lists such backends for a moment.
func TestRevertedWhileDialling(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addVersion("b1", "v1", 8)
		env.addVersion("b2", "v2", 8)
		env.applyRollouts(rolloutInPhase(message.RolloutActive, 1))
		env.network.setUnresponsive("b2:80", true)
		wait := env.startGet("/once/a")
		env.goroutines.Sleep(100 * time.Millisecond)
		env.applyRollouts(rolloutInPhase(message.RolloutReverted, 0))
		env.network.resume("b2:80")
		reply, id := wait()
		env.expectSuccess(reply, id)
		if count := len(env.backends["b2"].requests()); count != 0 {
			test.Errorf("%d requests at the reverted version", count)
		}
	})
}

// Guards against a service without candidates after the backends of a completed rollout were
// replaced by another version without a rollout: the core lists it, but proxies excluded it.
func TestNewVersionAfterCompletedRollout(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxy, complete := newProxies([]string{"p1"}, []string{"e1"})[0], rolloutInPhase(message.RolloutComplete, 0)
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
