package hostproxy

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/message"
	"orchidjunction/rollout/martingale"
	"orchidjunction/rollout/score"
)

// randomLatency responds after a log-normal time with a median of 30 ms times the factor.
func randomLatency(random *rand.Rand, factor float64, respond handler) handler {
	return func(exchange *exchange) bool {
		latencyMs := 30 * factor * math.Exp(0.6*random.NormFloat64())
		return delayed(time.Duration(latencyMs*float64(time.Millisecond)), respond)(exchange)
	}
}

// withProbability selects between two acts at random.
func withProbability(random *rand.Rand, probability float64, first, other handler) handler {
	return func(exchange *exchange) bool {
		if random.Float64() < probability {
			return first(exchange)
		}
		return other(exchange)
	}
}

// byPrefix selects between two acts by whether the request line contains the prefix.
func byPrefix(prefix string, first, other handler) handler {
	return func(exchange *exchange) bool {
		if strings.Contains(exchange.requestLine, prefix) {
			return first(exchange)
		}
		return other(exchange)
	}
}

// runCanary sends requests of two routes, half of them to a version with the given behaviour,
// and returns the counts at the first alarm or at the end.
func (env *testEnv) runCanary(version handler, requests int) (message.RolloutCounts, bool) {
	random := rand.New(rand.NewPCG(11, 12))
	for number := range 4 {
		env.addVersion(fmt.Sprint("a", number), "v1", 8).
			handleByDefault(byPrefix("/once/", randomLatency(random, 6, succeed), randomLatency(random, 1, succeed)))
	}
	ask := func() { env.get([]string{"/once/a", "/again/a", "/again/b"}[random.IntN(3)]) }
	for range 100 {
		ask()
	}
	for number := range 4 {
		env.addVersion(fmt.Sprint("b", number), "v2", 8).handleByDefault(version)
	}
	env.applyRollouts(rolloutInPhase(message.RolloutActive, 0.5))
	sequentialTest, err := martingale.NewTest(martingale.DefaultOptions())
	if err != nil {
		env.test.Fatal(err)
	}
	counts := message.RolloutCounts{}
	for range requests {
		ask()
		counts = env.proxy.RolloutCounts()[0]
		if sequentialTest.Alarm(counts.Items, counts.Exceedances) {
			return counts, true
		}
	}
	return counts, false
}

// Guards against bad versions that are not distinguished from healthy ones.
func TestBadVersionRaisesAlarm(test *testing.T) {
	for name, testCase := range map[string]struct {
		version  func(random *rand.Rand) handler
		maxItems uint64 // before the alarm
	}{
		"errors": {func(random *rand.Rand) handler {
			return withProbability(random, 0.5, respondStatus("500 Own"), byPrefix("/once/", randomLatency(random, 6, succeed), randomLatency(random, 1, succeed)))
		}, 60},
		"connections lost": {func(random *rand.Rand) handler {
			return withProbability(random, 0.5, closeAfterReading, byPrefix("/once/", randomLatency(random, 6, succeed), randomLatency(random, 1, succeed)))
		}, 60},
		"slow": {func(random *rand.Rand) handler {
			return byPrefix("/once/", randomLatency(random, 48, succeed), randomLatency(random, 8, succeed))
		}, 40},
		"slow later": {func(random *rand.Rand) handler {
			requests := 0
			return func(exchange *exchange) bool {
				if requests++; requests < 60 {
					return byPrefix("/once/", randomLatency(random, 6, succeed), randomLatency(random, 1, succeed))(exchange)
				}
				return byPrefix("/once/", randomLatency(random, 48, succeed), randomLatency(random, 8, succeed))(exchange)
			}
		}, 200},
		"one route": {func(random *rand.Rand) handler {
			return byPrefix("/once/", respondStatus("500 Own"), randomLatency(random, 1, succeed))
		}, 200},
	} {
		test.Run(name, func(test *testing.T) {
			withTestEnv(test, func(env *testEnv) {
				random := rand.New(rand.NewPCG(13, 14))
				counts, alarmed := env.runCanary(testCase.version(random), 600)
				test.Logf("%d of %d items exceed, %d failed", counts.Exceedances, counts.Items, counts.Failures)
				if !alarmed || counts.Items > testCase.maxItems {
					test.Errorf("alarm %v after %d items, want one within %d", alarmed, counts.Items, testCase.maxItems)
				}
			})
		})
	}
}

// Guards against false alarms for a healthy version with a slow route.
func TestHealthyVersionRaisesNoAlarm(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		random := rand.New(rand.NewPCG(15, 16))
		counts, alarmed := env.runCanary(byPrefix("/once/", randomLatency(random, 6, succeed), randomLatency(random, 1, succeed)), 1500)
		if alarmed || counts.Items < 700 || float64(counts.Exceedances) > score.Alpha*float64(counts.Items) {
			test.Errorf("alarm %v, %d of %d items exceed", alarmed, counts.Exceedances, counts.Items)
		}
	})
}

// scoreResponse scores an exchange with a target, without sending a request.
func scoreResponse(proxy *Proxy, route, name string, reply *response, ended outcome, elapsed time.Duration) {
	view := proxy.view.Load()
	for _, candidates := range [][]candidate{view.candidates[0], view.canaries[0].candidates} {
		for index := range candidates {
			if selected := &candidates[index]; selected.target.backend.Name == name {
				request := newPlainRequest(proxy)
				request.route.Name = route
				request.context, request.service, request.deadline = context.Background(), "plain", time.Now().Add(time.Second)
				selected.countSent()
				proxy.scoreExchange(request, selected, reply, ended, time.Now().Add(-elapsed))
			}
		}
	}
}

// Guards against items from refusals, unsent requests and responses of cold backends, which say
// nothing about a version, and against a reference that includes crashed backends.
func TestExcludedExchanges(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxy := newProxies([]string{"p1"}, []string{"e1"})[0]
		backends := twoVersions(2, 2)
		backends[3].WarmAtMs = time.Now().Add(time.Hour).UnixMilli()
		applyVersions(proxy, backends, rolloutInPhase(message.RolloutActive, 0.5))
		good := &response{head: &http.Response{StatusCode: http.StatusOK}}
		for range 40 {
			scoreResponse(proxy, "picked", "a0", good, answered, 50*time.Millisecond)
		}
		scoreResponse(proxy, "picked", "b0", good, refused, time.Millisecond)
		scoreResponse(proxy, "picked", "b0", nil, unsent, time.Millisecond)
		scoreResponse(proxy, "picked", "b1", good, answered, 700*time.Millisecond)
		if counts := proxy.RolloutCounts()[0]; counts.Items != 0 || counts.Failures != 0 {
			test.Errorf("%+v", counts)
		}
		proxy.targets["a1"].recordFailure(time.Now(), true)
		for range 200 {
			scoreResponse(proxy, "picked", "a1", nil, lost, 50*time.Millisecond)
		}
		scoreResponse(proxy, "picked", "b0", nil, lost, 50*time.Millisecond)
		if counts := proxy.RolloutCounts()[0]; counts.Items != 1 || counts.Failures != 0 || counts.Exceedances != 1 ||
			counts.Requests != 4 || counts.FormerRequests != 240 || counts.FormerItems != 240 || counts.FormerFailures != 0 {
			test.Errorf("with a crashed backend: %+v", counts)
		}
	})
}

// Guards against a slow route that hides a slowdown of a fast one.
func TestRoutesAreScoredSeparately(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxy := newProxies([]string{"p1"}, []string{"e1"})[0]
		applyVersions(proxy, twoVersions(2, 2), rolloutInPhase(message.RolloutActive, 0.5))
		good := &response{head: &http.Response{StatusCode: http.StatusOK}}
		for range 100 {
			scoreResponse(proxy, "quick", "a0", good, answered, 5*time.Millisecond)
			scoreResponse(proxy, "slow", "a0", good, answered, 500*time.Millisecond)
		}
		scoreResponse(proxy, "quick", "b0", good, answered, 100*time.Millisecond)
		scoreResponse(proxy, "slow", "b0", good, answered, 100*time.Millisecond)
		if counts := proxy.RolloutCounts()[0]; counts.Items != 2 || counts.Exceedances != 1 {
			test.Errorf("%+v", counts)
		}
	})
}

// Guards against allocations on the request path: choosing by version, counting and scoring.
func TestScoringDoesNotAllocate(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxy := newProxies([]string{"p1"}, []string{"e1"})[0]
		applyVersions(proxy, twoVersions(2, 2), rolloutInPhase(message.RolloutActive, 0.5))
		request, view := newPlainRequest(proxy), proxy.view.Load()
		request.context, request.service, request.deadline = context.Background(), "plain", time.Now().Add(time.Second)
		good := &response{head: &http.Response{StatusCode: http.StatusOK}}
		serve := func() {
			request.version = versionAssignment{}
			selected, _ := proxy.chooseVersion(request, view, 0)
			selected.countSent()
			proxy.scoreExchange(request, selected, good, answered, time.Now().Add(-time.Millisecond))
			selected.target.endRequest()
		}
		for range 2 * score.ReferenceSize {
			serve()
		}
		if allocated := testing.AllocsPerRun(1000, serve); allocated != 0 {
			test.Errorf("%v allocations per request", allocated)
		}
	})
}

// Measures the cost per request of choosing by version, counting and scoring.
func BenchmarkScoring(bench *testing.B) {
	for name, rollouts := range map[string][]message.Rollout{"without": nil, "active": rolloutInPhase(message.RolloutActive, 0.5)} {
		bench.Run(name, func(bench *testing.B) {
			proxy := newProxies([]string{"p1"}, []string{"e1"})[0]
			applyVersions(proxy, twoVersions(8, 8), rollouts)
			request, view := newPlainRequest(proxy), proxy.view.Load()
			request.context, request.service, request.deadline = context.Background(), "plain", time.Now().Add(time.Hour)
			good := &response{head: &http.Response{StatusCode: http.StatusOK}}
			bench.ReportAllocs()
			for bench.Loop() {
				request.version = versionAssignment{}
				selected, _ := proxy.chooseVersion(request, view, 0)
				selected.countSent()
				proxy.scoreExchange(request, selected, good, answered, time.Now())
				selected.target.endRequest()
			}
		})
	}
}
