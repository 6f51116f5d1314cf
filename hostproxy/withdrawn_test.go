package hostproxy

import (
	"testing"
	"time"
)

// withdrawals are the ways a backend stops being a candidate.
var withdrawals = map[string]func(world *world, name string){
	"leaves": func(world *world, name string) {
		for index := range world.table.Backends {
			if backend := &world.table.Backends[index]; backend.Name == name {
				backend.Leaving = true
			}
		}
	},
	"is removed": func(world *world, name string) {
		kept := world.table.Backends[:0]
		for _, backend := range world.table.Backends {
			if backend.Name != name {
				kept = append(kept, backend)
			}
		}
		world.table.Backends = kept
	},
	"its zone is evacuated": func(world *world, name string) {
		for _, backend := range world.table.Backends {
			if backend.Name == name {
				world.book.Evacuated = []string{backend.Zone}
			}
		}
	},
}

// startGet sends a GET in the background; wait returns the reply and the request's ID.
func (world *world) startGet(path string) (wait func() (reply, string)) {
	type result struct {
		reply reply
		id    string
	}
	results := make(chan result, 1)
	world.goroutines.Start(func() {
		reply, id := world.get(path)
		results <- result{reply, id}
	})
	return func() (reply, string) {
		result := <-results
		return result.reply, result.id
	}
}

// Guards against a request sent to a backend that was withdrawn while its connection was being
// dialled (DRAIN, issue 33).
func TestWithdrawnWhileDialling(test *testing.T) {
	for name, withdraw := range withdrawals {
		test.Run(name, func(test *testing.T) {
			inWorld(test, func(world *world) {
				world.add("b1")
				world.addAt("b2", "plain", "w1", 8)
				world.doors.setUnresponsive("b1:80", true)
				wait := world.startGet("/once/a")
				world.goroutines.Sleep(100 * time.Millisecond)
				world.lay(func() { withdraw(world, "b1") })
				world.doors.resume("b1:80")
				reply, id := wait()
				world.good(reply, id)
				if reply.took > 110*time.Millisecond {
					test.Errorf("took %s", reply.took)
				}
				if count := len(world.backends["b1"].seen()); count != 0 {
					test.Errorf("%d requests at the withdrawn backend", count)
				}
				if sent := world.counters.Get("attempts_sent_withdrawn"); sent != 0 {
					test.Errorf("%d attempts counted as sent to a withdrawn backend", sent)
				}
			})
		})
	}
}

// Guards against a dial to a withdrawn backend that delays its request until the dial timeout,
// and counts as a failure of the backend.
func TestWithdrawalEndsDial(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1")
		world.addAt("b2", "plain", "w1", 8)
		world.doors.setUnresponsive("b1:80", true)
		wait := world.startGet("/once/a")
		world.goroutines.Sleep(100 * time.Millisecond)
		target := world.proxy.targets["b1"]
		world.lay(func() { withdrawals["leaves"](world, "b1") })
		reply, id := wait()
		world.good(reply, id)
		if reply.took > 110*time.Millisecond {
			test.Errorf("took %s", reply.took)
		}
		if open, running := world.held("b1"); open != 0 || running != 0 {
			test.Errorf("%d connections and %d requests remain there", open, running)
		}
		if target.failures != 0 || world.counters.Get("connections_failed") != 0 {
			test.Error("counted as the backend's failure")
		}
	})
}

// A retry whose backend is withdrawn before it was sent goes to the next backend without using
// more of the budget or another attempt. Here the service's budget allows one retry, the route
// three attempts, and the third backend responds to the third.
func TestWithdrawnRetryKeepsItsBudget(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").then(resetAfterReading)
		world.addAt("b2", "plain", "e2", 8)
		world.addAt("b3", "plain", "w1", 8)
		world.doors.setUnresponsive("b2:80", true)
		world.proxy.budgets["plain"].tokens = 1
		wait := world.startGet("/again/a")
		world.goroutines.Sleep(100 * time.Millisecond)
		world.lay(func() { withdrawals["leaves"](world, "b2") })
		world.doors.resume("b2:80")
		reply, id := wait()
		world.good(reply, id)
		if count := len(world.backends["b2"].seen()); count != 0 {
			test.Errorf("%d requests at the withdrawn backend", count)
		}
		if count := len(world.backends["b3"].seen()); count != 1 {
			test.Errorf("%d requests at the third backend", count)
		}
		for _, name := range []string{"b1", "b2", "b3"} {
			if _, running := world.held(name); running != 0 {
				test.Errorf("%d requests remain at %s", running, name)
			}
		}
	})
}

// A backend that becomes a candidate again gets requests, including those taken back from it.
func TestWithdrawalUndone(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1")
		world.addAt("b2", "plain", "w1", 8)
		world.doors.setUnresponsive("b1:80", true)
		wait := world.startGet("/once/a")
		world.goroutines.Sleep(100 * time.Millisecond)
		world.lay(func() { world.table.Backends[0].Leaving = true })
		world.lay(func() { world.table.Backends[0].Leaving = false })
		world.doors.resume("b1:80")
		reply, id := wait()
		world.good(reply, id)
		before := len(world.backends["b1"].seen())
		reply, id = world.get("/once/b")
		world.good(reply, id)
		if len(world.backends["b1"].seen()) != before+1 {
			test.Error("no request at the backend that is a candidate again")
		}
		if sent := world.counters.Get("attempts_sent_withdrawn"); sent != 0 {
			test.Errorf("%d attempts counted as sent to a withdrawn backend", sent)
		}
	})
}
