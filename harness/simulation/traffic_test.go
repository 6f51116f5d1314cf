package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"orchidjunction/harness/standin"
)

// loadPlan returns a mix of payments, pages and a few large pages.
func (world *World) loadPlan(perSecond int, seconds float64) standin.LoadPlan {
	plan := standin.LoadPlan{
		PerSecond: perSecond, Seconds: seconds, Tries: 4, Seed: world.Seed,
		Callers: []standin.Caller{{Tenant: "alder", Key: "key-of-alder", Weight: 2}, {Tenant: "birch", Key: "key-of-birch", Weight: 1}},
		Calls: []standin.Call{
			{Weight: 40, Method: "POST", Path: "/meters/credits", Class: "money", Money: true, Body: 50, LimitMs: 2000},
			{Weight: 55, Class: "pages", Method: "GET", Path: "/meters/pages/7?bytes=500", LimitMs: 2000},
			{Weight: 5, Class: "pages", Method: "GET", Path: "/meters/pages/9?bytes=1500000", LimitMs: 2000},
		},
	}
	for _, daemon := range world.Daemons {
		if daemon.Kind == "dir" {
			plan.Directories = append(plan.Directories, daemon.PublicAddress)
		}
	}
	return plan
}

// Backends lose answers, send garbage, fail and leave during load.
func TestFaultyBackends(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		zones := []string{"e1", "w1", "s1"}
		for index := range 6 {
			world.AddBackend("meters", zones[index%3], standin.BackendConfig{WorkMs: 5, Room: 16, GentleRate: 10})
		}
		world.startSystem(test, 5)
		generator, client := world.NewLoadGenerator(world.loadPlan(40, 20))
		random := rand.New(rand.NewPCG(seed, 31))
		done := atomic.Bool{}
		world.goroutines.Start(func() {
			for !done.Load() {
				kinds := standin.FaultModes
				world.Backends[random.IntN(6)].Backend.Misbehave(kinds[random.IntN(len(kinds))], 1+random.IntN(3))
				world.goroutines.Sleep(time.Duration(50+random.IntN(300)) * time.Millisecond)
			}
		})
		world.goroutines.Start(func() {
			world.goroutines.Sleep(8 * time.Second)
			world.Backends[1].Backend.Leave()
		})
		report := generator.Run(world.goroutines.Sleep)
		done.Store(true)
		client.CloseIdleConnections()
		world.judge(nil, report)
		if report.Served < report.Asked*8/10 {
			world.reportViolation("only %d of %d requests served: %v", report.Served, report.Asked, report.Statuses)
		}
		test.Logf(
			"%d requests, %d served, %d with unknown outcome, statuses %v",
			report.Asked,
			report.Served,
			report.Unknown,
			report.Statuses,
		)
		world.reportFailures(test)
	})
}

// A backend's address is reused by another service while connections to it are pooled.
func TestReusedAddress(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		for range 3 {
			world.AddBackend("meters", "e1", standin.BackendConfig{WorkMs: 5, Room: 16})
		}
		world.startSystem(test, 5)
		generator, client := world.NewLoadGenerator(world.loadPlan(60, 10))
		old := world.Backends[0].Backend
		world.goroutines.Start(func() {
			world.Sleep(3 * time.Second)
			world.StopBackend(world.Backends[0])
			other, _ := standin.NewBackend(standin.BackendConfig{Service: "gifts", Instance: "stranger", Incarnation: "2", WorkMs: 5})
			world.ServeBackend(world.Backends[0], other)
		})
		report := generator.Run(world.goroutines.Sleep)
		client.CloseIdleConnections()
		reused := world.Backends[0].Backend.Seen()
		if len(reused.Arrivals) != 0 {
			world.reportViolation("%d requests reached another service's backend", len(reused.Arrivals))
		}
		world.judge(nil, report)
		if len(old.Seen().Arrivals) == 0 || report.Served < report.Asked*9/10 {
			world.reportViolation(
				"%d requests reached the old backend, %d of %d served",
				len(old.Seen().Arrivals),
				report.Served,
				report.Asked,
			)
		}
		world.reportFailures(test)
	})
}

// Refused requests reach no backend.
func TestRefusedRequestsReachNoBackend(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.AddBackend("meters", "e1", standin.BackendConfig{WorkMs: 5, Room: 16})
		world.AddBackend("meters", "s1", standin.BackendConfig{WorkMs: 5, Room: 16})
		world.startSystem(test, 5)
		_, client := world.NewLoadGenerator(world.loadPlan(1, 1))
		proxyIn := func(zone string) string {
			for _, daemon := range world.Daemons {
				if daemon.Kind == "proxy" && daemon.Zone == zone {
					return daemon.PublicAddress
				}
			}
			return ""
		}
		for _, invalid := range []struct{ method, zone, path, key, header, value, body, want string }{
			{"GET", "w1", "/meters/pages/1", "", "", "", "", "401 unknown_key"},
			{"GET", "w1", "/meters/pages/1", "key-of-nobody", "", "", "", "401 unknown_key"},
			{"GET", "w1", "/meters/pages/1", "key-of-alder", "Oj-Tenant", "birch", "", "403 wrong_tenant"},
			{"GET", "s1", "/meters/pages/1", "key-of-birch", "", "", "", "403 forbidden_region"},
			{"GET", "w1", "/meters/nothing", "key-of-alder", "", "", "", "404 unknown_route"},
			{"GET", "w1", "/nobody/pages/1", "key-of-alder", "", "", "", "404 unknown_route"},
			{"POST", "w1", "/meters/pages/1", "key-of-alder", "", "", "", "405 wrong_method"},
			{"POST", "w1", "/meters/credits", "key-of-alder", "", "", "x", "400 money_key_required"},
			{"POST", "w1", "/meters/credits", "key-of-alder", "Idempotency-Key", strings.Repeat("k", 201), "x", "400 money_key_required"},
			{"POST", "w1", "/meters/credits", "key-of-alder", "Idempotency-Key", "k", strings.Repeat("x", 70_000), "413 too_large"},
			{"GET", "w1", "/meters/pages/1", "key-of-alder", "Oj-Limit-Ms", "soon", "", "400 bad_request"},
		} {
			status, code := world.send(
				client,
				invalid.method,
				"http://"+proxyIn(invalid.zone)+invalid.path,
				invalid.key,
				invalid.header,
				invalid.value,
				invalid.body,
			)
			if got := fmt.Sprintf("%d %s", status, code); got != invalid.want {
				world.reportViolation(
					"%s %s with %s %.20s: %s, want %s",
					invalid.method,
					invalid.path,
					invalid.key,
					invalid.value,
					got,
					invalid.want,
				)
			}
		}
		for _, backend := range world.backendRecords() {
			if len(backend.Arrivals) > 0 {
				world.reportViolation("a refused request reached %s", backend.Instance)
			}
		}
		for range 20 {
			world.Sleep(100 * time.Millisecond)
			if status, _ := world.send(
				client,
				"GET",
				"http://"+proxyIn("w1")+"/meters/pages/1",
				"key-of-birch",
				"",
				"",
				"",
			); status != 200 {
				world.reportViolation("a valid call got %d", status)
			}
		}
		if otherRegion := world.backendRecords()[1]; len(otherRegion.Arrivals) > 0 {
			world.reportViolation("a forbidden region's backend got %d requests", len(otherRegion.Arrivals))
		}
		client.CloseIdleConnections()
		world.reportFailures(test)
	})
}
