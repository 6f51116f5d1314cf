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

func ownBackend() message.Backend {
	return message.Backend{Name: "b1", Service: "plain", Address: "b1:80", Zone: "e1", Capacity: 4}
}

// A dead backend is left out, for longer each time, and is back after a dial.
func TestDeadBackendIsLeftOutAndComesBack(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		env.addBackendAt("b2", "plain", "w1", 8)
		env.network.serve("b1:80", nil)
		for range 20 {
			reply, id := env.get("/once/a")
			env.expectSuccess(reply, id)
		}
		if dials := env.network.dialled("b1:80"); dials != 1 {
			test.Errorf("%d dials by 20 requests", dials)
		}
		env.goroutines.Sleep(20 * time.Second)
		if dials := env.network.dialled("b1:80"); dials < 4 || dials > 10 {
			test.Errorf("%d dials in 20 s", dials)
		}
		for range 5 {
			reply, id := env.get("/once/a")
			env.expectSuccess(reply, id)
		}
		if count := len(env.backends["b1"].requests()); count != 0 {
			test.Errorf("%d requests at the dead one", count)
		}
		env.network.serve("b1:80", env.backends["b1"].accept)
		env.goroutines.Sleep(maxEjection + 2*maintenanceInterval)
		for range 5 {
			reply, id := env.get("/once/a")
			env.expectSuccess(reply, id)
		}
		if count := len(env.backends["b1"].requests()); count != 5 {
			test.Errorf("%d requests once it was back", count)
		}
		if env.counters.Get("backends_revived") != 1 {
			test.Errorf("revived %d times", env.counters.Get("backends_revived"))
		}
	})
}

// With nothing else to try, one that is left out is tried all the same.
func TestOnlyBackendIsTriedThoughLeftOut(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleNext(resetAfterReading, resetAfterReading)
		env.get("/once/a")
		env.get("/once/b")
		if _, _, ejected := env.proxy.targets["b1"].evaluate(time.Now(), 10, 0); !ejected {
			test.Error("not left out")
		}
		reply, id := env.get("/once/c")
		env.expectSuccess(reply, id)
		if _, _, ejected := env.proxy.targets["b1"].evaluate(time.Now(), 10, 0); ejected {
			test.Error("still left out after a good answer")
		}
	})
}

// Spans of being left out double up to the most, and only one dial goes on.
func TestEjection(test *testing.T) {
	held, now := newTarget(ownBackend()), time.Now()
	out := func() bool { _, _, ejected := held.evaluate(now, 10, 0); return ejected }
	held.recordFailure(now, false)
	if out() {
		test.Error("left out after one failure")
	}
	held.recordFailure(now, false)
	if !out() || held.ejectedUntil != now.Add(minEjection) {
		test.Errorf("left out until %s", held.ejectedUntil)
	}
	if held.startProbe(now) {
		test.Error("dialled at once")
	}
	for _, span := range []time.Duration{2 * minEjection, 4 * minEjection, maxEjection, maxEjection} {
		now = held.ejectedUntil
		if !held.startProbe(now) || held.startProbe(now) {
			test.Error("not just one dial")
		}
		if held.endProbe(now, false); held.ejectedUntil != now.Add(span) {
			test.Errorf("left out for %s", held.ejectedUntil.Sub(now))
		}
	}
	held.startProbe(held.ejectedUntil)
	if held.endProbe(now, true); out() || held.failures != 0 {
		test.Error("left out after a good dial")
	}
	if held.startProbe(now) {
		test.Error("dialled though it is in")
	}
	if held.recordFailure(now, true); !out() {
		test.Error("a dead one is not left out at once")
	}
	if held.recordFailure(now, true); held.ejectedUntil != now.Add(2*minEjection) {
		test.Errorf("left out for %s after two failures", held.ejectedUntil.Sub(now))
	}
	if held.recordResponse(time.Millisecond, 1, true); out() {
		test.Error("left out after an answer")
	}
}

// No more connections than the cap, and none to a target that is gone.
func TestReserve(test *testing.T) {
	held := newTarget(ownBackend())
	for index := range 5 {
		if held.reserveConnection(3) != (index < 3) {
			test.Errorf("connection %d", index)
		}
	}
	if held.unreserveConnection(); !held.reserveConnection(3) {
		test.Error("a freed one is not given again")
	}
	near, far := newPipes("b1")
	held.releaseConnection(newConnection(near))
	held.retire()
	if held.openConnections != 2 || held.reserveConnection(3) {
		test.Errorf("%d open", held.openConnections)
	}
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		test.Errorf("an idle one of a retired target: %v", err)
	}
	near, _ = newPipes("b1")
	if held.releaseConnection(newConnection(near)); held.openConnections != 1 || len(held.idle) != 0 {
		test.Errorf("%d open, %d idle", held.openConnections, len(held.idle))
	}
}

// The cap binds all requests under way together; who has no connection waits or
// goes elsewhere, and is never sent.
func TestConnectionCap(test *testing.T) {
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
			test.Errorf("asked for a connection %d times in vain", capped)
		}
	})
}

// What a backend says of its load counts beside what is known here, and fades.
func TestLoad(test *testing.T) {
	held, now := newTarget(ownBackend()), time.Now()
	held.startRequest()
	for _, bad := range []string{"", "1", "1,2", "a,b,c", "-1,9,4", "9,-1,4", "1,2,3,4", "1e3,0,4"} {
		if held.observeLoad(bad, now); held.load(now) != 1 {
			test.Errorf("%q counts as %v", bad, held.load(now))
		}
	}
	held.observeLoad(" 7 , 2 , 4 ", now)
	if load := held.load(now); math.Abs(load-9) > 0.01 {
		test.Errorf("load %v", load)
	}
	if _, full, _ := held.evaluate(now, 10, 0); full {
		test.Error("full with 9 for 4 slots")
	}
	held.observeLoad("12,0,4", now)
	if _, full, _ := held.evaluate(now, 10, 0); !full {
		test.Error("not full with 12 for 4 slots")
	}
	if later := held.load(now.Add(10 * time.Second)); later < 1 || later > 6 {
		test.Errorf("load %v long after", later)
	}
	if held.observeLoad("0,0,4", now); held.load(now) < 1 {
		test.Errorf("load %v below what runs", held.load(now))
	}
}

// Waiting, distance, slowness and failures all cost.
func TestWeigh(test *testing.T) {
	now := time.Now()
	cost := func(change func(*target)) float64 {
		held := newTarget(ownBackend())
		change(held)
		cost, _, _ := held.evaluate(now, 100, 0)
		return cost
	}
	plain := cost(func(*target) {})
	busier := plain
	for running := 1; running < 12; running++ {
		next := cost(func(held *target) { held.running = running })
		if next <= busier {
			test.Errorf("%d running cost %v, one less %v", running, next, busier)
		}
		busier = next
	}
	for name, change := range map[string]func(*target){
		"slow":    func(held *target) { held.recordResponse(time.Second, 100, true) },
		"failing": func(held *target) { held.recordResponse(time.Millisecond, 100, false) },
		"far":     func(held *target) { held.recordDial(30 * time.Millisecond) },
		"broken":  func(held *target) { held.recordFailure(now, false) },
	} {
		if got := cost(change); got <= plain {
			test.Errorf("%s costs %v, plain %v", name, got, plain)
		}
	}
	if got := cost(func(held *target) { held.recordResponse(time.Millisecond, 100, true) }); got >= plain {
		test.Errorf("fast costs %v, plain %v", got, plain)
	}
}
