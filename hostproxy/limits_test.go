package hostproxy

import (
	"math"
	"strings"
	"testing"
	"time"

	"orchidjunction/routing"
)

// limit puts limits in force as an operator's change does.
func (world *world) limit(change func(*routing.Limits)) {
	world.lay(func() { change(&world.book.Config.Limits) })
}

// headOf is a request whose head has so many bytes.
func headOf(id string, size int) string {
	empty := len(raw("GET", "/again/a", id, "Long:\r\n", ""))
	return raw("GET", "/again/a", id, "Long:"+strings.Repeat("x", size-empty)+"\r\n", "")
}

// max_header_bytes was acknowledged and had no effect: heads over it reached a backend, and
// heads below it were refused by the process's own bound.
func TestHeaderBytesOfTheRoutingAct(test *testing.T) {
	for _, one := range []struct{ limit, size, status int }{
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
			world.limit(func(limits *routing.Limits) { limits.HeaderBytes = one.limit })
			for name, client := range map[string]*client{"open": open, "fresh": fresh} {
				reply := client.ask("GET", headOf(name, one.size))
				if reply.status != one.status {
					test.Errorf("limit %d, %d bytes, %s: %d %v", one.limit, one.size, name, reply.status, reply.broken)
				}
				if one.status == 431 && !strings.Contains(reply.body, `"too_large"`) {
					test.Errorf("untyped: %q", reply.body)
				}
			}
			if count := len(world.arrivals()) - 1; (count == 2) != (one.status == 200) {
				test.Errorf("limit %d, %d bytes: %d at the backend", one.limit, one.size, count)
			}
		})
	}
}

// header_timeout_ms was acknowledged and had no effect: the process's own five seconds held,
// for clients that are slower than allowed and for slow ones that are not.
func TestHeaderTimeoutOfTheRoutingActs(test *testing.T) {
	for limit, after := range map[int]time.Duration{
		1000: time.Second, 9000: 9 * time.Second, math.MaxInt: time.Hour, 0: 5 * time.Second,
	} {
		inWorld(test, func(world *world) {
			world.add("b1")
			open := world.client()
			defer open.pipe.Close()
			if reply := open.ask("GET", raw("GET", "/again/a", "first", "", "")); reply.status != 200 {
				test.Fatal(reply)
			}
			world.limit(func(limits *routing.Limits) { limits.HeaderMs, limits.IdleMs = limit, math.MaxInt })
			for name, dial := range map[string]func() *client{"open": func() *client { return open }, "fresh": world.client} {
				client := dial()
				defer client.pipe.Close()
				text := raw("GET", "/again/a", name, "", "")
				client.send(text[:60])
				time.Sleep(after - time.Millisecond)
				if reply := client.ask("GET", text[60:]); reply.status != 200 {
					test.Errorf("%d ms, %s, just in time: %d %v", limit, name, reply.status, reply.broken)
				}
				if limit == math.MaxInt {
					continue
				}
				client.send(text[:60])
				if reply := client.ask("GET", ""); reply.status != 408 || reply.took != after {
					test.Errorf("%d ms, %s, never ended: %d after %v", limit, name, reply.status, reply.took)
				}
			}
			if count := len(world.arrivals()); count != 3 {
				test.Errorf("%d at the backend", count)
			}
		})
	}
}

