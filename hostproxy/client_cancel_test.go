package hostproxy

import (
	"sync/atomic"
	"testing"
	"time"
)

// cancelTimeout is how soon after its client has disconnected a request must have ended.
const cancelTimeout = 500 * time.Millisecond

// firstThen returns a handler, to be shared by backends, that passes the first request to first
// and later ones to others.
func firstThen(first, others handler) handler {
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
		prepare         func(env *testEnv)
		arrivals        int // requests at backends by then
		idleConnections int // connections that a complete response made reusable
	}{
		{"waiting for capacity", "/again/a", "GET", "", 50 * time.Millisecond, func(env *testEnv) { env.fillBackend(3, 5*time.Second) }, 3, 0},
		{"connecting", "/again/a", "GET", "", 50 * time.Millisecond, func(env *testEnv) {
			env.network.setUnresponsive(env.addBackend("b1").address, true)
		}, 0, 0},
		{"sending", "/once/a", "POST", body, 50 * time.Millisecond, func(env *testEnv) {
			env.addBackend("b1").onConnect(func(*pipe) { env.goroutines.Sleep(10 * time.Second) })
		}, 0, 0},
		{"executing", "/again/a", "GET", "", 50 * time.Millisecond, func(env *testEnv) { env.addBackend("b1").handleByDefault(neverRespond) }, 1, 0},
		{"executing, non-repeatable", "/once/a", "GET", "", 50 * time.Millisecond, func(env *testEnv) { env.addBackend("b1").handleByDefault(neverRespond) }, 1, 0},
		{"streaming", "/load/a", "GET", "", 50 * time.Millisecond, func(env *testEnv) {
			env.addBackend("b1").handleNext(func(exchange *exchange) bool {
				respondLarge(4*maxBufferedBodyBytes, 2*maxBufferedBodyBytes, false)(exchange)
				return neverRespond(exchange)
			})
		}, 1, 0},
		{"retrying", "/again/a", "GET", "", 300 * time.Millisecond, func(env *testEnv) {
			shedOnce := firstThen(delayed(100*time.Millisecond, shed), neverRespond)
			env.addBackend("b1").handleByDefault(shedOnce)
			env.addBackend("b2").handleByDefault(shedOnce)
		}, 2, 1},
		{"between two attempts", "/again/a", "GET", "", 60 * time.Millisecond, func(env *testEnv) {
			shedOnce := firstThen(delayed(100*time.Millisecond, shed), neverRespond)
			env.addBackend("b1").handleByDefault(shedOnce)
			env.addBackend("b2").handleByDefault(shedOnce)
		}, 1, 0},
	} {
		test.Run(testCase.name, func(test *testing.T) {
			withTestEnv(test, func(env *testEnv) {
				testCase.prepare(env)
				client := env.client()
				client.send(rawRequest(testCase.method, testCase.path, "id", "", testCase.body))
				env.goroutines.Sleep(testCase.cancelAfter)
				if count := len(env.receivedRequests()); count != testCase.arrivals {
					test.Fatalf("%d arrivals before the client disconnects, want %d", count, testCase.arrivals)
				}
				before := env.proxy.InFlight()
				client.conn.Close()
				env.goroutines.Sleep(cancelTimeout)
				if now := env.proxy.InFlight(); now != before-1 {
					test.Errorf("%d requests in flight, %d before", now, before)
				}
				open, running := 0, 0
				for name := range env.backends {
					openHere, runningHere := env.targetLoad(name)
					open, running = open+openHere, running+runningHere
				}
				if running != before-1 || open != testCase.idleConnections+before-1 {
					test.Errorf("%d running, %d connections open, %d other requests", running, open, before-1)
				}
				env.goroutines.Sleep(10 * time.Second)
				if count := len(env.receivedRequests()); count != testCase.arrivals {
					test.Errorf("%d arrivals in the end, %d when the client disconnected", count, testCase.arrivals)
				}
			})
		})
	}
}

// Without a configuration, a proxy responds 503 with Retry-After whatever the path and key; a
// 401 or 404 would be wrong.
func TestUnconfiguredProxyReturns503(test *testing.T) {
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
				test.Errorf("%d, Retry-After %q", reply.status, reply.header.Get("Retry-After"))
			}
			client.conn.Close()
		}
		if count := len(env.receivedRequests()); count != 0 {
			test.Errorf("%d arrivals", count)
		}
	})
}
