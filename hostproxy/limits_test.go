package hostproxy

import (
	"math"
	"strings"
	"testing"
	"time"

	"orchidjunction/routing"
)

// changeLimits applies limits as an operator's change does.
func (env *testEnv) changeLimits(change func(*routing.Limits)) {
	env.update(func() { change(&env.state.Config.Limits) })
}

// requestOfSize returns a request without a body, padded to a number of bytes.
func requestOfSize(id string, size int) string {
	emptySize := len(rawRequest("GET", "/again/a", id, "Long:\r\n", ""))
	return rawRequest("GET", "/again/a", id, "Long:"+strings.Repeat("x", size-emptySize)+"\r\n", "")
}

// Guards against a limit on header bytes that is acknowledged but not applied: larger heads
// reached a backend, and smaller ones were refused by the process's default limit.
func TestHeaderBytesLimit(test *testing.T) {
	for _, testCase := range []struct{ limit, size, status int }{
		{4096, 4096, 200},
		{4096, 4097, 431},
		{4096, 20_000, 431},
		{100 << 10, 70 << 10, 200},
		{4 << 20, 3 << 20, 200},
		{math.MaxInt, 3 << 20, 200},
	} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			open, fresh := env.client(), env.client()
			defer open.conn.Close()
			defer fresh.conn.Close()
			if reply := open.roundTrip("GET", rawRequest("GET", "/again/a", "first", "", "")); reply.status != 200 {
				test.Fatal(reply)
			}
			env.changeLimits(func(limits *routing.Limits) { limits.HeaderBytes = testCase.limit })
			for name, client := range map[string]*client{"open": open, "fresh": fresh} {
				reply := client.roundTrip("GET", requestOfSize(name, testCase.size))
				if reply.status != testCase.status {
					test.Errorf("limit %d, %d bytes, %s: %d %v", testCase.limit, testCase.size, name, reply.status, reply.err)
				}
				if testCase.status == 431 && !strings.Contains(reply.body, `"too_large"`) {
					test.Errorf("no error code too_large: %q", reply.body)
				}
			}
			if count := len(env.receivedRequests()) - 1; (count == 2) != (testCase.status == 200) {
				test.Errorf("limit %d, %d bytes: %d requests at the backend", testCase.limit, testCase.size, count)
			}
		})
	}
}

// Guards against a header timeout that is acknowledged but not applied: the process's
// default of 5 s was in force, both to clients slower than allowed and to slow ones within the limit.
func TestHeaderTimeoutLimit(test *testing.T) {
	for limit, timeout := range map[int]time.Duration{
		1000: time.Second, 9000: 9 * time.Second, math.MaxInt: time.Hour, 0: 5 * time.Second,
	} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			open := env.client()
			defer open.conn.Close()
			if reply := open.roundTrip("GET", rawRequest("GET", "/again/a", "first", "", "")); reply.status != 200 {
				test.Fatal(reply)
			}
			env.changeLimits(func(limits *routing.Limits) { limits.HeaderMs, limits.IdleMs = limit, math.MaxInt })
			for name, dial := range map[string]func() *client{"open": func() *client { return open }, "fresh": env.client} {
				client := dial()
				defer client.conn.Close()
				text := rawRequest("GET", "/again/a", name, "", "")
				client.send(text[:60])
				time.Sleep(timeout - time.Millisecond)
				if reply := client.roundTrip("GET", text[60:]); reply.status != 200 {
					test.Errorf("%d ms, %s, just within the limit: %d %v", limit, name, reply.status, reply.err)
				}
				if limit == math.MaxInt {
					continue
				}
				client.send(text[:60])
				if reply := client.roundTrip("GET", ""); reply.status != 408 || reply.elapsed != timeout {
					test.Errorf("%d ms, %s, incomplete head: %d after %v", limit, name, reply.status, reply.elapsed)
				}
			}
			if count := len(env.receivedRequests()); count != 3 {
				test.Errorf("%d requests at the backend", count)
			}
		})
	}
}

// Guards against an idle timeout that is acknowledged but not applied: the process's default
// of 60 s was in force.
func TestIdleTimeoutLimit(test *testing.T) {
	for limit, timeout := range map[int]time.Duration{
		2000: 2 * time.Second, 90_000: 90 * time.Second, math.MaxInt: time.Hour, 0: time.Minute,
	} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			open := env.client()
			defer open.conn.Close()
			ask := func(client *client, id string) reply {
				return client.roundTrip("GET", rawRequest("GET", "/again/a", id, "", ""))
			}
			if reply := ask(open, "first"); reply.status != 200 {
				test.Fatal(reply)
			}
			env.changeLimits(func(limits *routing.Limits) { limits.IdleMs = limit })
			for _, dial := range []func() *client{func() *client { return open }, env.client} {
				client := dial()
				defer client.conn.Close()
				for try := range 2 {
					if reply := ask(client, env.newID()); reply.status != 200 {
						test.Fatalf("%d ms, try %d: %d %v", limit, try, reply.status, reply.err)
					}
					if try == 0 {
						time.Sleep(timeout - time.Millisecond)
					}
				}
				if limit == math.MaxInt {
					continue
				}
				begin := time.Now()
				if _, err := client.reader.ReadByte(); err == nil || time.Since(begin) != timeout {
					test.Errorf("%d ms: closed after %v", limit, time.Since(begin))
				}
			}
			if count := len(env.receivedRequests()); count != 5 {
				test.Errorf("%d requests at the backend", count)
			}
		})
	}
}

// Guards against changed limits that apply to new connections only, or end requests in flight.
func TestLimitsChangeDuringRequests(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		env.changeLimits(func(limits *routing.Limits) { limits.IdleMs, limits.HeaderMs = 60_000, 8000 })
		idle, slow, long := env.client(), env.client(), env.client()
		for _, client := range []*client{idle, slow, long} {
			defer client.conn.Close()
		}
		if reply := idle.roundTrip("GET", rawRequest("GET", "/again/a", "idle", "", "")); reply.status != 200 {
			test.Fatal(reply)
		}
		text := rawRequest("GET", "/again/a", "slow", "", "")
		slow.send(text[:40])
		body := string(letters(0, 1000))
		post := rawRequest("POST", "/once/a", "long", "Deadline: 60000\r\n", body)
		long.send(post[:len(post)-500])
		time.Sleep(100 * time.Millisecond)
		env.changeLimits(func(limits *routing.Limits) { limits.IdleMs, limits.HeaderMs, limits.BodyBytes = 150, 500, 10 })
		changed := time.Now()
		if _, err := idle.reader.ReadByte(); err == nil || time.Since(changed) != 50*time.Millisecond {
			test.Errorf("idle: closed %v after the change", time.Since(changed))
		}
		if reply := long.roundTrip("POST", post[len(post)-500:]); reply.status != 200 {
			test.Errorf("long: %d %v", reply.status, reply.err)
		}
		time.Sleep(2 * time.Second)
		if reply := slow.roundTrip("GET", text[40:]); reply.status != 200 {
			test.Errorf("slow: %d %v", reply.status, reply.err)
		}
		for _, arrived := range env.receivedRequests() {
			if arrived.requestLine[:4] == "POST" && string(arrived.body) != body {
				test.Errorf("%d bytes of the long body arrived", len(arrived.body))
			}
		}
	})
}
