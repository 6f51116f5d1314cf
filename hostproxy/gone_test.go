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
func inTurn(once, then handler) handler {
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
		prepare func(env *testEnv)
		arrived int // requests that a backend has read by then
		idle    int // connections that a whole answer left for the next request
	}{
		{"waiting for capacity", "/again/a", "GET", "", 50 * time.Millisecond, func(env *testEnv) { env.fill(3, 5*time.Second) }, 3, 0},
		{"connecting", "/again/a", "GET", "", 50 * time.Millisecond, func(env *testEnv) {
			env.network.silence(env.addBackend("b1").address, true)
		}, 0, 0},
		{"sending", "/once/a", "POST", body, 50 * time.Millisecond, func(env *testEnv) {
			env.addBackend("b1").onConnect(func(*pipe) { env.goroutines.Sleep(10 * time.Second) })
		}, 0, 0},
		{"at work", "/again/a", "GET", "", 50 * time.Millisecond, func(env *testEnv) { env.addBackend("b1").handleByDefault(neverRespond) }, 1, 0},
		{"at work, not to be repeated", "/once/a", "GET", "", 50 * time.Millisecond, func(env *testEnv) { env.addBackend("b1").handleByDefault(neverRespond) }, 1, 0},
		{"streaming", "/load/a", "GET", "", 50 * time.Millisecond, func(env *testEnv) {
			env.addBackend("b1").handleNext(func(exchange *exchange) bool {
				respondLarge(4*maxBufferedBodyBytes, 2*maxBufferedBodyBytes, false)(exchange)
				return neverRespond(exchange)
			})
		}, 1, 0},
		{"retrying", "/again/a", "GET", "", 300 * time.Millisecond, func(env *testEnv) {
			shared := inTurn(delayed(100*time.Millisecond, shed), neverRespond)
			env.addBackend("b1").handleByDefault(shared)
			env.addBackend("b2").handleByDefault(shared)
		}, 2, 1},
		{"between two tries", "/again/a", "GET", "", 60 * time.Millisecond, func(env *testEnv) {
			shared := inTurn(delayed(100*time.Millisecond, shed), neverRespond)
			env.addBackend("b1").handleByDefault(shared)
			env.addBackend("b2").handleByDefault(shared)
		}, 1, 0},
	} {
		test.Run(state.name, func(test *testing.T) {
			withTestEnv(test, func(env *testEnv) {
				state.prepare(env)
				client := env.client()
				client.send(rawRequest(state.method, state.path, "id", "", state.body))
				env.goroutines.Sleep(state.leaves)
				if count := len(env.receivedRequests()); count != state.arrived {
					test.Fatalf("%d arrivals before the client leaves, want %d", count, state.arrived)
				}
				before := env.proxy.InFlight()
				client.conn.Close()
				env.goroutines.Sleep(goneLimit)
				if now := env.proxy.InFlight(); now != before-1 {
					test.Errorf("%d requests under way, %d before", now, before)
				}
				open, running := 0, 0
				for name := range env.backends {
					openHere, runningHere := env.targetLoad(name)
					open, running = open+openHere, running+runningHere
				}
				if running != before-1 || open != state.idle+before-1 {
					test.Errorf("%d running, %d connections open, %d other requests", running, open, before-1)
				}
				env.goroutines.Sleep(10 * time.Second)
				if count := len(env.receivedRequests()); count != state.arrived {
					test.Errorf("%d arrivals in the end, %d when the client left", count, state.arrived)
				}
			})
		})
	}
}

// A proxy that has no configuration yet denies nothing: it refuses with 503 and a time to
// come back, whatever the path and the key.
func TestNoConfigurationDeniesNothing(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		env.proxy.view.Store(nil)
		for _, request := range []string{
			rawRequest("GET", "/again/a", "one", "", ""),
			rawRequest("GET", "/nowhere/a", "two", "", ""),
			rawRequest("POST", "/once/a", "three", "Authorization: Key unknown\r\n", "body"),
		} {
			client := env.client()
			reply := client.roundTrip("GET", request)
			if reply.status != 503 || reply.header.Get("Retry-After") == "" {
				test.Errorf("%d, come back in %q", reply.status, reply.header.Get("Retry-After"))
			}
			client.conn.Close()
		}
		if count := len(env.receivedRequests()); count != 0 {
			test.Errorf("%d arrivals", count)
		}
	})
}
