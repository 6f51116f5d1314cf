package hostproxy

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/routing"
)

// newProxies returns proxies that choose backends but never send requests.
func newProxies(names []string, zones []string) []*Proxy {
	proxies := []*Proxy{}
	for index, name := range names {
		proxies = append(
			proxies,
			NewProxy(
				testConfig(name, zones[index]),
				dialUnreachable,
				func() int64 { return time.Now().UnixMilli() },
				concurrent.NewGroup(),
				metrics.NewCounters(),
			),
		)
	}
	return proxies
}

func proxyMembers(names []string, zones []string) []message.Member {
	all := []message.Member{}
	for index, name := range names {
		all = append(all, message.Member{Name: name, Kind: "proxy", Zone: zones[index], Ready: true})
	}
	return all
}

// choosePlain chooses a backend for a request to the plain service.
func (proxy *Proxy) choosePlain(tenant *routing.Tenant, homes []string, tried ...*target) (*candidate, chooseResult) {
	view := proxy.view.Load()
	compiled := &routing.CompiledRoute{Route: &routing.Route{Name: "picked", TargetMs: 800, Homes: homes}}
	return proxy.choose(
		&request{source: &http.Request{}, stats: proxy.stats, route: compiled.Route, tenant: tenant},
		view.candidates[0],
		tried,
	)
}

// maxRequestsPerSecond lets several proxies choose at a high rate, and returns the most requests
// to the cold backend within any second.
func maxRequestsPerSecond(proxies []*Proxy, random *rand.Rand, span time.Duration, apply func()) int {
	sent, most := []time.Time{}, 0
	begin := time.Now()
	for time.Since(begin) < span {
		if random.IntN(600) == 0 {
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			apply()
		}
		time.Sleep(time.Duration(1+random.IntN(8)) * time.Millisecond)
		for _, proxy := range proxies {
			candidate, result := proxy.choosePlain(nil, nil)
			if result != chosen {
				continue
			}
			candidate.target.endRequest()
			sent = append(sent, time.Now())
			within := 0
			for index := len(sent) - 1; index >= 0 && time.Since(sent[index]) <= time.Second; index-- {
				within++
			}
			most = max(most, within)
		}
	}
	return most
}

// In no second does a cold backend get more requests than allowed from all proxies together,
// whether their views agree or differ.
func TestColdBackendIsNotFlooded(test *testing.T) {
	for seed := range uint64(20) {
		for _, differing := range []bool{false, true} {
			synctest.Test(test, func(test *testing.T) {
				random := rand.New(rand.NewPCG(seed, 11))
				names, zones := []string{}, []string{}
				for number := range 2 + random.IntN(6) {
					names, zones = append(names, fmt.Sprint("p", number)), append(zones, []string{"e1", "e2", "w1"}[random.IntN(3)])
				}
				proxies := newProxies(names, zones)
				config := testRoutingConfig()
				config.Services[0].WarmupRate = 1 + 15*random.Float64()
				state := &routing.State{Config: config}
				backend := message.Backend{
					Name:     fmt.Sprint("b", seed),
					Service:  "plain",
					Address:  "b:80",
					Zone:     "e1",
					Capacity: 8,
					WarmAtMs: time.Now().Add(time.Hour).UnixMilli(),
				}
				newMembers, oldMembers := proxyMembers(names, zones), proxyMembers(names[1:], zones[1:])
				apply := func() {
					for index, proxy := range proxies {
						table := &message.Table{Version: leaderVersion, Members: newMembers, Backends: []message.Backend{backend}}
						if differing && index%2 == 1 {
							table.Members = oldMembers
						}
						proxy.Apply(state, table, nil)
					}
				}
				apply()
				maxRate := config.Services[0].WarmupRate*1.5 + 5
				most := maxRequestsPerSecond(proxies, random, 30*time.Second, apply)
				if float64(most) > maxRate {
					test.Errorf("seed %d, differing views %v: %d requests in a second, want at most %.1f", seed, differing, most, maxRate)
				}
				if most < 1 {
					test.Errorf("seed %d: no requests", seed)
				}
			})
		}
	}
}

// A cold backend is used only if no warm one has capacity.
func TestColdBackendIsLastResort(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies := newProxies([]string{"p1"}, []string{"e1"})
		cold := message.Backend{
			Name:     "cold",
			Service:  "plain",
			Zone:     "e1",
			Capacity: 8,
			WarmAtMs: time.Now().Add(3 * time.Second).UnixMilli(),
		}
		warm := message.Backend{Name: "warm", Service: "plain", Zone: "w1", Capacity: 2}
		proxies[0].Apply(
			&routing.State{Config: testRoutingConfig()},
			&message.Table{
				Version:  leaderVersion,
				Members:  proxyMembers([]string{"p1"}, []string{"e1"}),
				Backends: []message.Backend{cold, warm},
			},
			nil,
		)
		proxies[0].targets["cold"].takeWarmupToken(time.Now(), 1)
		time.Sleep(time.Second)
		for range 6 {
			if candidate, result := proxies[0].choosePlain(nil, nil); result != chosen || candidate.target.backend.Name != "warm" {
				test.Fatalf("choice %d before the warm backend is full", result)
			}
		}
		if candidate, result := proxies[0].choosePlain(nil, nil); result != chosen || candidate.target.backend.Name != "cold" {
			test.Errorf("choice %d with a token", result)
		}
		if _, result := proxies[0].choosePlain(nil, nil); result != allFull {
			test.Errorf("choice %d without a token", result)
		}
		time.Sleep(2 * time.Second)
		for range 8 {
			if candidate, result := proxies[0].choosePlain(nil, nil); result != chosen || candidate.target.backend.Name != "cold" {
				test.Errorf("choice %d once warm", result)
			}
		}
	})
}

// A cold backend has one owner: a proxy of its zone if there is one, else of its region, else
// any. Equal views yield the same owner.
func TestWarmupOwner(test *testing.T) {
	regions := map[string]string{"e1": "east", "e2": "east", "w1": "west"}
	all := proxyMembers([]string{"a", "b", "c", "d", "e"}, []string{"e1", "e1", "e2", "w1", "w1"})
	owned := map[string]int{}
	for number := range 200 {
		name := warmupOwner(message.Backend{Name: fmt.Sprint("x", number), Zone: "e1"}, all, regions)
		owned[name]++
		rotated := append(append([]message.Member{}, all[3:]...), all[:3]...)
		if warmupOwner(message.Backend{Name: fmt.Sprint("x", number), Zone: "e1"}, rotated, regions) != name {
			test.Errorf("x%d has two owners", number)
		}
		if name = warmupOwner(message.Backend{Name: fmt.Sprint("x", number), Zone: "e1"}, all[2:], regions); name != "c" {
			test.Errorf("owner of x%d is %s", number, name)
		}
		if name = warmupOwner(message.Backend{Name: fmt.Sprint("x", number), Zone: "e1"}, all[3:], regions); name != "d" && name != "e" {
			test.Errorf("owner of x%d is %s", number, name)
		}
	}
	if len(owned) != 2 || owned["a"] < 50 || owned["b"] < 50 {
		test.Errorf("%v", owned)
	}
	if name := warmupOwner(message.Backend{Name: "x", Zone: "e1"}, nil, regions); name != "" {
		test.Errorf("owner without proxies is %q", name)
	}
}

// Two owners together stay within a cold backend's allowed rate.
func TestWarmupRate(test *testing.T) {
	for _, rate := range []float64{0, 0.1, 1, 9.9, 40} {
		got := ownerWarmupRate(rate, 1.5, 5)
		if got > 0.9*rate || 2*(got+1) > rate*1.5+5 || got < 0 {
			test.Errorf("%v for a rate of %v", got, rate)
		}
	}
	if got := ownerWarmupRate(10, 0, 0); got != 0 {
		test.Errorf("%v with an excess and extra of 0", got)
	}
}
