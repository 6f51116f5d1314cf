package hostproxy

import (
	"testing"
	"time"
)

// withdrawals are the ways in which a backend stops being a candidate.
var withdrawals = map[string]func(world *world, name string){
	"leaves": func(world *world, name string) {
		for index := range world.table.Backends {
			if backend := &world.table.Backends[index]; backend.Name == name {
				backend.Leaving = true
			}
		}
	},
	"is unlisted": func(world *world, name string) {
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

// begin asks in the background; what it returns waits for the reply.
func (world *world) begin(path string) (wait func() (reply, string)) {
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

// A request that had chosen its backend before the list showed that it leaves, and whose dial
// came through after that, was sent there all the same (DRAIN, issue 33).
func TestWithdrawnWhileDialling(test *testing.T) {
	for name, withdraw := range withdrawals {
		test.Run(name, func(test *testing.T) {
			inWorld(test, func(world *world) {
				world.add("b1")
				world.addAt("b2", "plain", "w1", 8)
				world.doors.silence("b1:80", true)
				wait := world.begin("/once/a")
				world.goroutines.Sleep(100 * time.Millisecond)
				world.lay(func() { withdraw(world, "b1") })
				world.doors.unsilence("b1:80")
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

// A dial to a backend that leaves held its request until the dial's own time was over, and
// counted as the backend's failure.
func TestWithdrawalEndsDial(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1")
		world.addAt("b2", "plain", "w1", 8)
		world.doors.silence("b1:80", true)
		wait := world.begin("/once/a")
		world.goroutines.Sleep(100 * time.Millisecond)
		held := world.proxy.targets["b1"]
		world.lay(func() { withdrawals["leaves"](world, "b1") })
		reply, id := wait()
		world.good(reply, id)
		if reply.took > 110*time.Millisecond {
			test.Errorf("took %s", reply.took)
		}
		if open, running := world.held("b1"); open != 0 || running != 0 {
			test.Errorf("%d connections and %d requests are left there", open, running)
		}
		if held.failures != 0 || world.counters.Get("connections_failed") != 0 {
			test.Error("counted as the backend's failure")
		}
	})
}

// A retry whose backend is withdrawn before it was sent goes to the next one with the budget
// and the attempt that it has: the service's budget holds one retry here, the route three
// attempts, and the third backend answers in the third.
func TestWithdrawnRetryKeepsItsBudget(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").then(resetAfterReading)
		world.addAt("b2", "plain", "e2", 8)
		world.addAt("b3", "plain", "w1", 8)
		world.doors.silence("b2:80", true)
		world.proxy.budgets["plain"].tokens = 1
		wait := world.begin("/again/a")
		world.goroutines.Sleep(100 * time.Millisecond)
		world.lay(func() { withdrawals["leaves"](world, "b2") })
		world.doors.unsilence("b2:80")
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
				test.Errorf("%d requests are left at %s", running, name)
			}
		}
	})
}

// A backend that is offered again gets requests again, also those that were taken back.
func TestOfferedAgain(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1")
		world.addAt("b2", "plain", "w1", 8)
		world.doors.silence("b1:80", true)
		wait := world.begin("/once/a")
		world.goroutines.Sleep(100 * time.Millisecond)
		world.lay(func() { world.table.Backends[0].Leaving = true })
		world.lay(func() { world.table.Backends[0].Leaving = false })
		world.doors.unsilence("b1:80")
		reply, id := wait()
		world.good(reply, id)
		before := len(world.backends["b1"].seen())
		reply, id = world.get("/once/b")
		world.good(reply, id)
		if len(world.backends["b1"].seen()) != before+1 {
			test.Error("no request at the backend that is offered again")
		}
		if sent := world.counters.Get("attempts_sent_withdrawn"); sent != 0 {
			test.Errorf("%d attempts counted as sent to a withdrawn backend", sent)
		}
	})
}
