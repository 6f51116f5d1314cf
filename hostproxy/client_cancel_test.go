package hostproxy

import (
	"sync/atomic"
	"testing"
	"time"
)

// cancelTimeout is how soon after its client has disconnected a request must have ended.
const cancelTimeout = 500 * time.Millisecond

// firstThen handles the first request, at any backend that uses it, differently from later ones.
func firstThen(first, others act) act {
	var count atomic.Int64
	return func(exchange *exchange) bool {
		if count.Add(1) == 1 {
			return first(exchange)
		}
		return others(exchange)
	}
}

// A client disconnects in each state of its request. Within cancelTimeout no backend executes
// it, the proxy holds nothing for it, and no backend gets it later.
func TestClientCancelsInEveryState(test *testing.T) {
	body := string(letters(0, 900<<10))
	for _, testCase := range []struct {
		name            string
		path            string
		method          string
		body            string
		cancelAfter     time.Duration // after the request was sent
		prepare         func(world *world)
		arrivals        int // requests at backends by then
		idleConnections int // connections that a complete response made reusable
	}{
		{"waiting for capacity", "/again/a", "GET", "", 50 * time.Millisecond, func(world *world) { world.fillBackend(3, 5*time.Second) }, 3, 0},
		{"connecting", "/again/a", "GET", "", 50 * time.Millisecond, func(world *world) {
			world.doors.setUnresponsive(world.add("b1").address, true)
		}, 0, 0},
		{"sending", "/once/a", "POST", body, 50 * time.Millisecond, func(world *world) {
			world.add("b1").greet(func(*pipe) { world.goroutines.Sleep(10 * time.Second) })
		}, 0, 0},
		{"executing", "/again/a", "GET", "", 50 * time.Millisecond, func(world *world) { world.add("b1").ever(silent) }, 1, 0},
		{"executing, non-idempotent", "/once/a", "GET", "", 50 * time.Millisecond, func(world *world) { world.add("b1").ever(silent) }, 1, 0},
		{"streaming", "/load/a", "GET", "", 50 * time.Millisecond, func(world *world) {
			world.add("b1").then(func(exchange *exchange) bool {
				large(4*maxBufferedBodyBytes, 2*maxBufferedBodyBytes, false)(exchange)
				return silent(exchange)
			})
		}, 1, 0},
		{"retrying", "/again/a", "GET", "", 300 * time.Millisecond, func(world *world) {
			shedOnce := firstThen(after(100*time.Millisecond, shed), silent)
			world.add("b1").ever(shedOnce)
			world.add("b2").ever(shedOnce)
		}, 2, 1},
		{"between two attempts", "/again/a", "GET", "", 60 * time.Millisecond, func(world *world) {
			shedOnce := firstThen(after(100*time.Millisecond, shed), silent)
			world.add("b1").ever(shedOnce)
			world.add("b2").ever(shedOnce)
		}, 1, 0},
	} {
		test.Run(testCase.name, func(test *testing.T) {
			inWorld(test, func(world *world) {
				testCase.prepare(world)
				client := world.client()
				client.send(raw(testCase.method, testCase.path, "id", "", testCase.body))
				world.goroutines.Sleep(testCase.cancelAfter)
				if count := len(world.arrivals()); count != testCase.arrivals {
					test.Fatalf("%d arrivals before the client disconnects, want %d", count, testCase.arrivals)
				}
				before := world.proxy.InFlight()
				client.pipe.Close()
				world.goroutines.Sleep(cancelTimeout)
				if now := world.proxy.InFlight(); now != before-1 {
					test.Errorf("%d requests in flight, %d before", now, before)
				}
				open, running := 0, 0
				for name := range world.backends {
					openHere, runningHere := world.held(name)
					open, running = open+openHere, running+runningHere
				}
				if running != before-1 || open != testCase.idleConnections+before-1 {
					test.Errorf("%d running, %d connections open, %d other requests", running, open, before-1)
				}
				world.goroutines.Sleep(10 * time.Second)
				if count := len(world.arrivals()); count != testCase.arrivals {
					test.Errorf("%d arrivals in the end, %d when the client disconnected", count, testCase.arrivals)
				}
			})
		})
	}
}

// Without a configuration, a proxy responds 503 with Retry-After whatever the path and key; a
// 401 or 404 would be wrong.
func TestUnconfiguredProxyReturns503(test *testing.T) {
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
				test.Errorf("%d, Retry-After %q", reply.status, reply.header.Get("Retry-After"))
			}
			client.pipe.Close()
		}
		if count := len(world.arrivals()); count != 0 {
			test.Errorf("%d arrivals", count)
		}
	})
}
