package hostproxy

import (
	"math"
	"strings"
	"testing"
	"time"

	"orchidjunction/routing"
)

// changeLimits applies limits as an operator's change does.
func (world *world) changeLimits(change func(*routing.Limits)) {
	world.lay(func() { change(&world.book.Config.Limits) })
}

// requestOfSize returns a request without a body, padded to a number of bytes.
func requestOfSize(id string, size int) string {
	emptySize := len(raw("GET", "/again/a", id, "Long:\r\n", ""))
	return raw("GET", "/again/a", id, "Long:"+strings.Repeat("x", size-emptySize)+"\r\n", "")
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
		inWorld(test, func(world *world) {
			world.add("b1")
			open, fresh := world.client(), world.client()
			defer open.pipe.Close()
			defer fresh.pipe.Close()
			if reply := open.ask("GET", raw("GET", "/again/a", "first", "", "")); reply.status != 200 {
				test.Fatal(reply)
			}
			world.changeLimits(func(limits *routing.Limits) { limits.HeaderBytes = testCase.limit })
			for name, client := range map[string]*client{"open": open, "fresh": fresh} {
				reply := client.ask("GET", requestOfSize(name, testCase.size))
				if reply.status != testCase.status {
					test.Errorf("limit %d, %d bytes, %s: %d %v", testCase.limit, testCase.size, name, reply.status, reply.broken)
				}
				if testCase.status == 431 && !strings.Contains(reply.body, `"too_large"`) {
					test.Errorf("no error code too_large: %q", reply.body)
				}
			}
			if count := len(world.arrivals()) - 1; (count == 2) != (testCase.status == 200) {
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
		inWorld(test, func(world *world) {
			world.add("b1")
			open := world.client()
			defer open.pipe.Close()
			if reply := open.ask("GET", raw("GET", "/again/a", "first", "", "")); reply.status != 200 {
				test.Fatal(reply)
			}
			world.changeLimits(func(limits *routing.Limits) { limits.HeaderMs, limits.IdleMs = limit, math.MaxInt })
			for name, dial := range map[string]func() *client{"open": func() *client { return open }, "fresh": world.client} {
				client := dial()
				defer client.pipe.Close()
				text := raw("GET", "/again/a", name, "", "")
				client.send(text[:60])
				time.Sleep(timeout - time.Millisecond)
				if reply := client.ask("GET", text[60:]); reply.status != 200 {
					test.Errorf("%d ms, %s, just within the limit: %d %v", limit, name, reply.status, reply.broken)
				}
				if limit == math.MaxInt {
					continue
				}
				client.send(text[:60])
				if reply := client.ask("GET", ""); reply.status != 408 || reply.took != timeout {
					test.Errorf("%d ms, %s, incomplete head: %d after %v", limit, name, reply.status, reply.took)
				}
			}
			if count := len(world.arrivals()); count != 3 {
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
		inWorld(test, func(world *world) {
			world.add("b1")
			open := world.client()
			defer open.pipe.Close()
			ask := func(client *client, id string) reply { return client.ask("GET", raw("GET", "/again/a", id, "", "")) }
			if reply := ask(open, "first"); reply.status != 200 {
				test.Fatal(reply)
			}
			world.changeLimits(func(limits *routing.Limits) { limits.IdleMs = limit })
			for _, dial := range []func() *client{func() *client { return open }, world.client} {
				client := dial()
				defer client.pipe.Close()
				for try := range 2 {
					if reply := ask(client, world.id()); reply.status != 200 {
						test.Fatalf("%d ms, try %d: %d %v", limit, try, reply.status, reply.broken)
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
			if count := len(world.arrivals()); count != 5 {
				test.Errorf("%d requests at the backend", count)
			}
		})
	}
}

// Guards against changed limits that apply to new connections only, or end requests in flight.
func TestLimitsChangeDuringRequests(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1")
		world.changeLimits(func(limits *routing.Limits) { limits.IdleMs, limits.HeaderMs = 60_000, 8000 })
		idle, slow, long := world.client(), world.client(), world.client()
		for _, client := range []*client{idle, slow, long} {
			defer client.pipe.Close()
		}
		if reply := idle.ask("GET", raw("GET", "/again/a", "idle", "", "")); reply.status != 200 {
			test.Fatal(reply)
		}
		text := raw("GET", "/again/a", "slow", "", "")
		slow.send(text[:40])
		body := string(letters(0, 1000))
		post := raw("POST", "/once/a", "long", "Deadline: 60000\r\n", body)
		long.send(post[:len(post)-500])
		time.Sleep(100 * time.Millisecond)
		world.changeLimits(func(limits *routing.Limits) { limits.IdleMs, limits.HeaderMs, limits.BodyBytes = 150, 500, 10 })
		changed := time.Now()
		if _, err := idle.reader.ReadByte(); err == nil || time.Since(changed) != 50*time.Millisecond {
			test.Errorf("idle: closed %v after the change", time.Since(changed))
		}
		if reply := long.ask("POST", post[len(post)-500:]); reply.status != 200 {
			test.Errorf("long: %d %v", reply.status, reply.broken)
		}
		time.Sleep(2 * time.Second)
		if reply := slow.ask("GET", text[40:]); reply.status != 200 {
			test.Errorf("slow: %d %v", reply.status, reply.broken)
		}
		for _, arrived := range world.arrivals() {
			if arrived.line[:4] == "POST" && string(arrived.body) != body {
				test.Errorf("%d bytes of the long body arrived", len(arrived.body))
			}
		}
	})
}
