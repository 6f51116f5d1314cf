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

// many are proxies that only choose; no request of theirs is sent.
func many(names []string, zones []string) []*Proxy {
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

func members(names []string, zones []string) []message.Member {
	all := []message.Member{}
	for index, name := range names {
		all = append(all, message.Member{Name: name, Kind: "proxy", Zone: zones[index], Ready: true})
	}
	return all
}

// pick lets a proxy choose for a request of a route of the plain service.
func (proxy *Proxy) pick(tenant *routing.Tenant, homes []string, tried ...*target) (*candidate, chooseResult) {
	view := proxy.view.Load()
	compiled := &routing.CompiledRoute{Route: &routing.Route{Name: "picked", TargetMs: 800, Homes: homes}}
	return proxy.choose(
		&request{source: &http.Request{}, stats: proxy.stats, route: compiled.Route, tenant: tenant},
		view.candidates[0],
		tried,
	)
}

// warmTotal presses several proxies for a cold backend and gives the most that it
// was sent within one second.
func warmTotal(proxies []*Proxy, random *rand.Rand, span time.Duration, lay func()) int {
	sent, limit := []time.Time{}, 0
	begin := time.Now()
	for time.Since(begin) < span {
		if random.IntN(600) == 0 {
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			lay()
		}
		time.Sleep(time.Duration(1+random.IntN(8)) * time.Millisecond)
		for _, proxy := range proxies {
			candidate, how := proxy.pick(nil, nil)
			if how != chosen {
				continue
			}
			candidate.target.endRequest()
			sent = append(sent, time.Now())
			within := 0
			for index := len(sent) - 1; index >= 0 && time.Since(sent[index]) <= time.Second; index-- {
				within++
			}
			limit = max(limit, within)
		}
	}
	return limit
}

// In no second does a cold backend get more than it bears from all proxies together,
// where their views agree and where two views differ.
func TestColdBackendIsNotFlooded(test *testing.T) {
	for seed := range uint64(20) {
		for _, differing := range []bool{false, true} {
			synctest.Test(test, func(test *testing.T) {
				random := rand.New(rand.NewPCG(seed, 11))
				names, zones := []string{}, []string{}
				for number := range 2 + random.IntN(6) {
					names, zones = append(names, fmt.Sprint("p", number)), append(zones, []string{"e1", "e2", "w1"}[random.IntN(3)])
				}
				proxies := many(names, zones)
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
				news, olds := members(names, zones), members(names[1:], zones[1:])
				lay := func() {
					for index, proxy := range proxies {
						table := &message.Table{Version: leaderVersion, Members: news, Backends: []message.Backend{backend}}
						if differing && index%2 == 1 {
							table.Members = olds
						}
						proxy.Apply(state, table, nil)
					}
				}
				lay()
				bears := config.Services[0].WarmupRate*1.5 + 5
				limit := warmTotal(proxies, random, 30*time.Second, lay)
				if float64(limit) > bears {
					test.Errorf("seed %d, differing %v: %d in a second, it bears %.1f", seed, differing, limit, bears)
				}
				if limit < 1 {
					test.Errorf("seed %d: never used", seed)
				}
			})
		}
	}
}

// A cold backend is used only where no warm one has room.
func TestColdIsTheLastResort(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		proxies := many([]string{"p1"}, []string{"e1"})
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
				Members:  members([]string{"p1"}, []string{"e1"}),
				Backends: []message.Backend{cold, warm},
			},
			nil,
		)
		proxies[0].targets["cold"].takeWarmupToken(time.Now(), 1)
		time.Sleep(time.Second)
		for range 6 {
			if candidate, how := proxies[0].pick(nil, nil); how != chosen || candidate.target.backend.Name != "warm" {
				test.Fatalf("choice %d before the warm one is full", how)
			}
		}
		if candidate, how := proxies[0].pick(nil, nil); how != chosen || candidate.target.backend.Name != "cold" {
			test.Errorf("choice %d with a token", how)
		}
		if _, how := proxies[0].pick(nil, nil); how != allFull {
			test.Errorf("choice %d with the token gone", how)
		}
		time.Sleep(2 * time.Second)
		for range 8 {
			if candidate, how := proxies[0].pick(nil, nil); how != chosen || candidate.target.backend.Name != "cold" {
				test.Errorf("choice %d once warm", how)
			}
		}
	})
}

// One proxy owns a cold backend: one of its zone where there is one, else of its
// region, else any; all views that agree name the same.
func TestOwner(test *testing.T) {
	regions := map[string]string{"e1": "east", "e2": "east", "w1": "west"}
	all := members([]string{"a", "b", "c", "d", "e"}, []string{"e1", "e1", "e2", "w1", "w1"})
	owned := map[string]int{}
	for number := range 200 {
		name := warmupOwner(message.Backend{Name: fmt.Sprint("x", number), Zone: "e1"}, all, regions)
		owned[name]++
		turned := append(append([]message.Member{}, all[3:]...), all[:3]...)
		if warmupOwner(message.Backend{Name: fmt.Sprint("x", number), Zone: "e1"}, turned, regions) != name {
			test.Errorf("x%d has two owners", number)
		}
		if name = warmupOwner(message.Backend{Name: fmt.Sprint("x", number), Zone: "e1"}, all[2:], regions); name != "c" {
			test.Errorf("x%d is owned by %s", number, name)
		}
		if name = warmupOwner(message.Backend{Name: fmt.Sprint("x", number), Zone: "e1"}, all[3:], regions); name != "d" && name != "e" {
			test.Errorf("x%d is owned by %s", number, name)
		}
	}
	if len(owned) != 2 || owned["a"] < 50 || owned["b"] < 50 {
		test.Errorf("%v", owned)
	}
	if name := warmupOwner(message.Backend{Name: "x", Zone: "e1"}, nil, regions); name != "" {
		test.Errorf("nobody is %q", name)
	}
}

// Two owners together stay below what a cold backend bears.
func TestWarmupRate(test *testing.T) {
	for _, rate := range []float64{0, 0.1, 1, 9.9, 40} {
		got := ownerWarmupRate(rate, 1.5, 5)
		if got > 0.9*rate || 2*(got+1) > rate*1.5+5 || got < 0 {
			test.Errorf("%v of %v", got, rate)
		}
	}
	if got := ownerWarmupRate(10, 0, 0); got != 0 {
		test.Errorf("%v where nothing is borne", got)
	}
}
