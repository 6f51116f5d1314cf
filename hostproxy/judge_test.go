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

// someTime answers after a random time, a multiple of the usual one.
func someTime(random *rand.Rand, factor float64, does handler) handler {
	return func(exchange *exchange) bool {
		took := 30 * factor * math.Exp(0.6*random.NormFloat64())
		return delayed(time.Duration(took*float64(time.Millisecond)), does)(exchange)
	}
}

// mixed does one thing to a part of the requests and another one to the others.
func mixed(random *rand.Rand, part float64, first, other handler) handler {
	return func(exchange *exchange) bool {
		if random.Float64() < part {
			return first(exchange)
		}
		return other(exchange)
	}
}

// onRoute does one thing to the requests of a prefix and another one to the others.
func onRoute(prefix string, first, other handler) handler {
	return func(exchange *exchange) bool {
		if strings.Contains(exchange.requestLine, prefix) {
			return first(exchange)
		}
		return other(exchange)
	}
}

// trial plays requests of two routes while half of them go to a version that answers as told,
// and returns the counts at the first alarm, or at the end.
func (env *testEnv) trial(version handler, requests int) (message.RolloutCounts, bool) {
	random := rand.New(rand.NewPCG(11, 12))
	for number := range 4 {
		env.addVersion(fmt.Sprint("a", number), "v1", 8).
			handleByDefault(onRoute("/once/", someTime(random, 6, succeed), someTime(random, 1, succeed)))
	}
	ask := func() { env.get([]string{"/once/a", "/again/a", "/again/b"}[random.IntN(3)]) }
	for range 100 {
		ask()
	}
	for number := range 4 {
		env.addVersion(fmt.Sprint("b", number), "v2", 8).handleByDefault(version)
	}
	env.roll(order(message.RolloutActive, 0.5))
	made, err := martingale.NewTest(martingale.DefaultOptions())
	if err != nil {
		env.test.Fatal(err)
	}
	counts := message.RolloutCounts{}
	for range requests {
		ask()
		counts = env.proxy.RolloutCounts()[0]
		if made.Alarm(counts.Items, counts.Exceedances) {
			return counts, true
		}
	}
	return counts, false
}

// Guards against a bad version whose requests do not tell it from a healthy one.
func TestBadVersionsRaiseTheAlarm(test *testing.T) {
	for name, one := range map[string]struct {
		version func(random *rand.Rand) handler
		most    uint64 // items until the alarm
	}{
		"errors": {func(random *rand.Rand) handler {
			return mixed(random, 0.5, respondStatus("500 Own"), onRoute("/once/", someTime(random, 6, succeed), someTime(random, 1, succeed)))
		}, 60},
		"lost": {func(random *rand.Rand) handler {
			return mixed(random, 0.5, closeAfterReading, onRoute("/once/", someTime(random, 6, succeed), someTime(random, 1, succeed)))
		}, 60},
		"slow": {func(random *rand.Rand) handler {
			return onRoute("/once/", someTime(random, 48, succeed), someTime(random, 8, succeed))
		}, 40},
		"later": {func(random *rand.Rand) handler {
			requests := 0
			return func(exchange *exchange) bool {
				if requests++; requests < 60 {
					return onRoute("/once/", someTime(random, 6, succeed), someTime(random, 1, succeed))(exchange)
				}
				return onRoute("/once/", someTime(random, 48, succeed), someTime(random, 8, succeed))(exchange)
			}
		}, 200},
		"one route": {func(random *rand.Rand) handler {
			return onRoute("/once/", respondStatus("500 Own"), someTime(random, 1, succeed))
		}, 200},
	} {
		test.Run(name, func(test *testing.T) {
			withTestEnv(test, func(env *testEnv) {
				random := rand.New(rand.NewPCG(13, 14))
				counts, alarmed := env.trial(one.version(random), 600)
				test.Logf("%d of %d items exceed, %d failed", counts.Exceedances, counts.Items, counts.Failures)
				if !alarmed || counts.Items > one.most {
					test.Errorf("alarm %v after %d items, at most %d wanted", alarmed, counts.Items, one.most)
				}
			})
		})
	}
}

// Guards against a healthy version that is blamed: for the slowness of a route, or for errors
// that the old version has as well.
func TestHealthyVersionRaisesNoAlarm(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		random := rand.New(rand.NewPCG(15, 16))
		counts, alarmed := env.trial(onRoute("/once/", someTime(random, 6, succeed), someTime(random, 1, succeed)), 1500)
		if alarmed || counts.Items < 700 || float64(counts.Exceedances) > score.Alpha*float64(counts.Items) {
			test.Errorf("alarm %v, %d of %d items exceed", alarmed, counts.Exceedances, counts.Items)
		}
	})
}

// judged lets a proxy that only chooses judge an exchange of a target.
func judged(proxy *Proxy, route, name string, answer *response, ended outcome, took time.Duration) {
	view := proxy.view.Load()
	for _, candidates := range [][]candidate{view.candidates[0], view.canaries[0].candidates} {
		for index := range candidates {
			if held := &candidates[index]; held.target.backend.Name == name {
				request := newRequest(proxy)
				request.route.Name = route
				request.context, request.service, request.deadline = context.Background(), "plain", time.Now().Add(time.Second)
				held.countSent()
				proxy.scoreExchange(request, held, answer, ended, time.Now().Add(-took))
			}
		}
	}
}

// Guards against items of what says nothing of a version: refusals, what never arrived, and
// responses of cold backends; and against a reference of backends that crash.
func TestWhatIsNoItem(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxy := many([]string{"p1"}, []string{"e1"})[0]
		backends := twoVersions(2, 2)
		backends[3].WarmAtMs = time.Now().Add(time.Hour).UnixMilli()
		applyVersions(proxy, backends, order(message.RolloutActive, 0.5))
		good := &response{head: &http.Response{StatusCode: http.StatusOK}}
		for range 40 {
			judged(proxy, "picked", "a0", good, answered, 50*time.Millisecond)
		}
		judged(proxy, "picked", "b0", good, refused, time.Millisecond)
		judged(proxy, "picked", "b0", nil, unsent, time.Millisecond)
		judged(proxy, "picked", "b1", good, answered, 700*time.Millisecond)
		if counts := proxy.RolloutCounts()[0]; counts.Items != 0 || counts.Failures != 0 {
			test.Errorf("%+v", counts)
		}
		proxy.targets["a1"].recordFailure(time.Now(), true)
		for range 200 {
			judged(proxy, "picked", "a1", nil, lost, 50*time.Millisecond)
		}
		judged(proxy, "picked", "b0", nil, lost, 50*time.Millisecond)
		if counts := proxy.RolloutCounts()[0]; counts.Items != 1 || counts.Failures != 0 || counts.Exceedances != 1 ||
			counts.Requests != 4 || counts.FormerRequests != 240 || counts.FormerItems != 240 || counts.FormerFailures != 0 {
			test.Errorf("beside a crashed backend: %+v", counts)
		}
	})
}

// Guards against a fault of a quick route that hides behind a slow one.
func TestRoutesAreJudgedApart(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxy := many([]string{"p1"}, []string{"e1"})[0]
		applyVersions(proxy, twoVersions(2, 2), order(message.RolloutActive, 0.5))
		good := &response{head: &http.Response{StatusCode: http.StatusOK}}
		for range 100 {
			judged(proxy, "quick", "a0", good, answered, 5*time.Millisecond)
			judged(proxy, "slow", "a0", good, answered, 500*time.Millisecond)
		}
		judged(proxy, "quick", "b0", good, answered, 100*time.Millisecond)
		judged(proxy, "slow", "b0", good, answered, 100*time.Millisecond)
		if counts := proxy.RolloutCounts()[0]; counts.Items != 2 || counts.Exceedances != 1 {
			test.Errorf("%+v", counts)
		}
	})
}

// Guards against garbage on the request path: choosing by version, counting and judging.
func TestJudgingAllocatesNothing(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxy := many([]string{"p1"}, []string{"e1"})[0]
		applyVersions(proxy, twoVersions(2, 2), order(message.RolloutActive, 0.5))
		request, view := newRequest(proxy), proxy.view.Load()
		request.context, request.service, request.deadline = context.Background(), "plain", time.Now().Add(time.Second)
		good := &response{head: &http.Response{StatusCode: http.StatusOK}}
		serve := func() {
			request.version = versionAssignment{}
			held, _ := proxy.chooseVersion(request, view, 0)
			held.countSent()
			proxy.scoreExchange(request, held, good, answered, time.Now().Add(-time.Millisecond))
			held.target.endRequest()
		}
		for range 2 * score.ReferenceSize {
			serve()
		}
		if allocated := testing.AllocsPerRun(1000, serve); allocated != 0 {
			test.Errorf("%v allocations a request", allocated)
		}
	})
}

// Measures what choosing by version, counting and judging cost a request.
func BenchmarkJudging(bench *testing.B) {
	for name, orders := range map[string][]message.Rollout{"without": nil, "active": order(message.RolloutActive, 0.5)} {
		bench.Run(name, func(bench *testing.B) {
			proxy := many([]string{"p1"}, []string{"e1"})[0]
			applyVersions(proxy, twoVersions(8, 8), orders)
			request, view := newRequest(proxy), proxy.view.Load()
			request.context, request.service, request.deadline = context.Background(), "plain", time.Now().Add(time.Hour)
			good := &response{head: &http.Response{StatusCode: http.StatusOK}}
			bench.ReportAllocs()
			for bench.Loop() {
				request.version = versionAssignment{}
				held, _ := proxy.chooseVersion(request, view, 0)
				held.countSent()
				proxy.scoreExchange(request, held, good, answered, time.Now())
				held.target.endRequest()
			}
		})
	}
}
