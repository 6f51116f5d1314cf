package hostproxy

import (
	"sync/atomic"
	"testing"
	"time"
)

// goneLimit is how long after its client has left a request may still be known to a backend.
const goneLimit = 500 * time.Millisecond

// inTurn does one thing for the first request, whichever backend gets it, and another for
// those that follow.
func inTurn(once, then act) act {
	var count atomic.Int64
	return func(exchange *exchange) bool {
		if count.Add(1) == 1 {
			return once(exchange)
		}
		return then(exchange)
	}
}

// A client leaves in each state that its request may be in. Within goneLimit no backend
// works on it, the proxy holds nothing for it, and no backend gets it later.
func TestClientGoesInEveryState(test *testing.T) {
	body := string(letters(0, 900<<10))
	for _, state := range []struct {
		name    string
		path    string
		method  string
		body    string
		leaves  time.Duration // after the request was sent
		prepare func(world *world)
		arrived int // requests that a backend has read by then
		idle    int // connections that a whole answer left for the next request
	}{
		{"waiting for capacity", "/again/a", "GET", "", 50 * time.Millisecond, func(world *world) { world.fill(3, 5*time.Second) }, 3, 0},
		{"connecting", "/again/a", "GET", "", 50 * time.Millisecond, func(world *world) {
			world.doors.silence(world.add("b1").address, true)
		}, 0, 0},
		{"sending", "/once/a", "POST", body, 50 * time.Millisecond, func(world *world) {
			world.add("b1").greet(func(*pipe) { world.goroutines.Sleep(10 * time.Second) })
		}, 0, 0},
		{"at work", "/again/a", "GET", "", 50 * time.Millisecond, func(world *world) { world.add("b1").ever(silent) }, 1, 0},
		{"at work, not to be repeated", "/once/a", "GET", "", 50 * time.Millisecond, func(world *world) { world.add("b1").ever(silent) }, 1, 0},
		{"streaming", "/load/a", "GET", "", 50 * time.Millisecond, func(world *world) {
			world.add("b1").then(func(exchange *exchange) bool {
				large(4*maxBufferedBodyBytes, 2*maxBufferedBodyBytes, false)(exchange)
				return silent(exchange)
			})
		}, 1, 0},
		{"retrying", "/again/a", "GET", "", 300 * time.Millisecond, func(world *world) {
			shared := inTurn(after(100*time.Millisecond, shed), silent)
			world.add("b1").ever(shared)
			world.add("b2").ever(shared)
		}, 2, 1},
		{"between two tries", "/again/a", "GET", "", 60 * time.Millisecond, func(world *world) {
			shared := inTurn(after(100*time.Millisecond, shed), silent)
			world.add("b1").ever(shared)
			world.add("b2").ever(shared)
		}, 1, 0},
	} {
		test.Run(state.name, func(test *testing.T) {
			inWorld(test, func(world *world) {
				state.prepare(world)
				client := world.client()
				client.send(raw(state.method, state.path, "id", "", state.body))
				world.goroutines.Sleep(state.leaves)
				if count := len(world.arrivals()); count != state.arrived {
					test.Fatalf("%d arrivals before the client leaves, want %d", count, state.arrived)
				}
				before := world.proxy.InFlight()
				client.pipe.Close()
				world.goroutines.Sleep(goneLimit)
				if now := world.proxy.InFlight(); now != before-1 {
					test.Errorf("%d requests under way, %d before", now, before)
				}
				open, running := 0, 0
				for name := range world.backends {
					openHere, runningHere := world.held(name)
					open, running = open+openHere, running+runningHere
				}
				if running != before-1 || open != state.idle+before-1 {
					test.Errorf("%d running, %d connections open, %d other requests", running, open, before-1)
				}
				world.goroutines.Sleep(10 * time.Second)
				if count := len(world.arrivals()); count != state.arrived {
					test.Errorf("%d arrivals in the end, %d when the client left", count, state.arrived)
				}
			})
		})
	}
}

// A proxy that has no configuration yet denies nothing: it refuses with 503 and a time to
// come back, whatever the path and the key.
func TestNoConfigurationDeniesNothing(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1")
		world.proxy.view.Store(nil)
		for _, request := range []string{
			raw("GET", "/again/a", "one", "", ""),
			raw("GET", "/nowhere/a", "two", "", ""),
			raw("POST", "/once/a", "three", "Authorization: Key unknown\r\n", "body"),
		} {
			client := world.client()
			reply := client.ask("GET", request)
			if reply.status != 503 || reply.header.Get("Retry-After") == "" {
				test.Errorf("%d, come back in %q", reply.status, reply.header.Get("Retry-After"))
			}
			client.pipe.Close()
		}
		if count := len(world.arrivals()); count != 0 {
			test.Errorf("%d arrivals", count)
		}
	})
}
