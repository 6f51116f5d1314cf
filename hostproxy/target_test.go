package hostproxy

import (
	"errors"
	"io"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/message"
)

func testBackend() message.Backend {
	return message.Backend{Name: "b1", Service: "plain", Address: "b1:80", Zone: "e1", Capacity: 4}
}

// An unreachable backend is ejected, for longer each time, and recovers after a dial.
func TestDeadBackendIsEjectedAndRecovers(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		env.addBackendAt("b2", "plain", "w1", 8)
		env.network.listen("b1:80", nil)
		for range 20 {
			reply, id := env.get("/once/a")
			env.expectSuccess(reply, id)
		}
		if dials := env.network.dialCount("b1:80"); dials != 1 {
			test.Errorf("%d dials for 20 requests", dials)
		}
		env.goroutines.Sleep(20 * time.Second)
		if dials := env.network.dialCount("b1:80"); dials < 4 || dials > 10 {
			test.Errorf("%d dials in 20 s", dials)
		}
		for range 5 {
			reply, id := env.get("/once/a")
			env.expectSuccess(reply, id)
		}
		if count := len(env.backends["b1"].requests()); count != 0 {
			test.Errorf("%d requests at the unreachable backend", count)
		}
		env.network.listen("b1:80", env.backends["b1"].accept)
		env.goroutines.Sleep(maxEjection + 2*maintenanceInterval)
		for range 5 {
			reply, id := env.get("/once/a")
			env.expectSuccess(reply, id)
		}
		if count := len(env.backends["b1"].requests()); count != 5 {
			test.Errorf("%d requests after its recovery", count)
		}
		if env.counters.Get("backends_revived") != 1 {
			test.Errorf("backends_revived is %d", env.counters.Get("backends_revived"))
		}
	})
}

// The only backend of a service is used even while ejected.
func TestOnlyBackendIsUsedWhileEjected(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleNext(resetAfterReading, resetAfterReading)
		env.get("/once/a")
		env.get("/once/b")
		if _, _, ejected := env.proxy.targets["b1"].evaluate(time.Now(), 10, 0); !ejected {
			test.Error("not ejected")
		}
		reply, id := env.get("/once/c")
		env.expectSuccess(reply, id)
		if _, _, ejected := env.proxy.targets["b1"].evaluate(time.Now(), 10, 0); ejected {
			test.Error("still ejected after a successful response")
		}
	})
}

// Ejection times double up to maxEjection, with one probe at a time.
func TestEjection(test *testing.T) {
	target, now := newTarget(testBackend()), time.Now()
	isEjected := func() bool { _, _, ejected := target.evaluate(now, 10, 0); return ejected }
	target.recordFailure(now, false)
	if isEjected() {
		test.Error("ejected after one failure")
	}
	target.recordFailure(now, false)
	if !isEjected() || target.ejectedUntil != now.Add(minEjection) {
		test.Errorf("ejected until %s", target.ejectedUntil)
	}
	if target.startProbe(now) {
		test.Error("probed immediately")
	}
	for _, duration := range []time.Duration{2 * minEjection, 4 * minEjection, maxEjection, maxEjection} {
		now = target.ejectedUntil
		if !target.startProbe(now) || target.startProbe(now) {
			test.Error("not exactly one probe")
		}
		if target.endProbe(now, false); target.ejectedUntil != now.Add(duration) {
			test.Errorf("ejected for %s", target.ejectedUntil.Sub(now))
		}
	}
	target.startProbe(target.ejectedUntil)
	if target.endProbe(now, true); isEjected() || target.failures != 0 {
		test.Error("ejected after a successful probe")
	}
	if target.startProbe(now) {
		test.Error("probed although not ejected")
	}
	if target.recordFailure(now, true); !isEjected() {
		test.Error("not ejected immediately after a failed dial")
	}
	if target.recordFailure(now, true); target.ejectedUntil != now.Add(2*minEjection) {
		test.Errorf("ejected for %s after two failures", target.ejectedUntil.Sub(now))
	}
	if target.recordResponse(time.Millisecond, 1, true); isEjected() {
		test.Error("ejected after a response")
	}
}

// Connections are limited, and a retired target gets none.
func TestConnectionReservation(test *testing.T) {
	target := newTarget(testBackend())
	for index := range 5 {
		if target.reserveConnection(3) != (index < 3) {
			test.Errorf("connection %d", index)
		}
	}
	if target.unreserveConnection(); !target.reserveConnection(3) {
		test.Error("a released reservation is not available")
	}
	near, far := newPipePair("b1")
	target.releaseConnection(newConnection(near))
	target.retire()
	if target.openConnections != 2 || target.reserveConnection(3) {
		test.Errorf("%d open", target.openConnections)
	}
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		test.Errorf("idle connection of a retired target: %v", err)
	}
	near, _ = newPipePair("b1")
	if target.releaseConnection(newConnection(near)); target.openConnections != 1 || len(target.idle) != 0 {
		test.Errorf("%d open, %d idle", target.openConnections, len(target.idle))
	}
}

// The connection limit applies to all requests together. A request without a connection waits or
// goes to another backend.
func TestConnectionLimit(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.update(func() { env.state.Config.Services[0].MaxConnections = 5 })
		env.addBackendAt("b1", "plain", "e1", 50).handleByDefault(delayed(100*time.Millisecond, succeed))
		limit := 0
		for range 12 {
			client := env.client()
			defer client.conn.Close()
			client.send(rawRequest("GET", "/once/a", env.newID(), "", ""))
			synctest.Wait()
			open, _ := env.targetLoad("b1")
			limit = max(limit, open)
		}
		env.goroutines.Sleep(time.Second)
		if limit != 4 || env.backends["b1"].connections() != 4 {
			test.Errorf("%d open, %d opened", limit, env.backends["b1"].connections())
		}
		if capped := env.counters.Get("connections_capped"); capped > 100 {
			test.Errorf("connections_capped is %d", capped)
		}
	})
}

// Load reported by a backend is added to this proxy's own requests, and decays.
func TestLoadReports(test *testing.T) {
	target, now := newTarget(testBackend()), time.Now()
	target.startRequest()
	for _, malformed := range []string{"", "1", "1,2", "a,b,c", "-1,9,4", "9,-1,4", "1,2,3,4", "1e3,0,4"} {
		if target.observeLoad(malformed, now); target.load(now) != 1 {
			test.Errorf("load %[2]v after the report %[1]q", malformed, target.load(now))
		}
	}
	target.observeLoad(" 7 , 2 , 4 ", now)
	if load := target.load(now); math.Abs(load-9) > 0.01 {
		test.Errorf("load %v", load)
	}
	if _, full, _ := target.evaluate(now, 10, 0); full {
		test.Error("full with 9 for 4 slots")
	}
	target.observeLoad("12,0,4", now)
	if _, full, _ := target.evaluate(now, 10, 0); !full {
		test.Error("not full with 12 for 4 slots")
	}
	if later := target.load(now.Add(10 * time.Second)); later < 1 || later > 6 {
		test.Errorf("load %v after 10 s", later)
	}
	if target.observeLoad("0,0,4", now); target.load(now) < 1 {
		test.Errorf("load %v, less than this proxy's requests", target.load(now))
	}
}

// Load, distance, slowness and failures increase a target's cost.
func TestCost(test *testing.T) {
	now := time.Now()
	cost := func(change func(*target)) float64 {
		target := newTarget(testBackend())
		change(target)
		cost, _, _ := target.evaluate(now, 100, 0)
		return cost
	}
	baseline := cost(func(*target) {})
	previous := baseline
	for running := 1; running < 12; running++ {
		next := cost(func(target *target) { target.running = running })
		if next <= previous {
			test.Errorf("cost %[2]v with %[1]d running, %[3]v with one less", running, next, previous)
		}
		previous = next
	}
	for name, change := range map[string]func(*target){
		"slow":    func(target *target) { target.recordResponse(time.Second, 100, true) },
		"failing": func(target *target) { target.recordResponse(time.Millisecond, 100, false) },
		"far":     func(target *target) { target.recordDial(30 * time.Millisecond) },
		"broken":  func(target *target) { target.recordFailure(now, false) },
	} {
		if got := cost(change); got <= baseline {
			test.Errorf("cost if %s: %v, otherwise %v", name, got, baseline)
		}
	}
	if got := cost(func(target *target) { target.recordResponse(time.Millisecond, 100, true) }); got >= baseline {
		test.Errorf("cost if fast: %v, otherwise %v", got, baseline)
	}
}
