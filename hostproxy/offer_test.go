package hostproxy

import (
	"testing"
	"time"
)

// withdrawals are the ways in which a backend stops being a candidate.
var withdrawals = map[string]func(env *testEnv, name string){
	"leaves": func(env *testEnv, name string) {
		for index := range env.table.Backends {
			if backend := &env.table.Backends[index]; backend.Name == name {
				backend.Leaving = true
			}
		}
	},
	"is unlisted": func(env *testEnv, name string) {
		kept := env.table.Backends[:0]
		for _, backend := range env.table.Backends {
			if backend.Name != name {
				kept = append(kept, backend)
			}
		}
		env.table.Backends = kept
	},
	"its zone is evacuated": func(env *testEnv, name string) {
		for _, backend := range env.table.Backends {
			if backend.Name == name {
				env.state.Evacuated = []string{backend.Zone}
			}
		}
	},
}

// begin asks in the background; what it returns waits for the reply.
func (env *testEnv) begin(path string) (wait func() (reply, string)) {
	type result struct {
		reply reply
		id    string
	}
	results := make(chan result, 1)
	env.goroutines.Start(func() {
		reply, id := env.get(path)
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
			withTestEnv(test, func(env *testEnv) {
				env.addBackend("b1")
				env.addBackendAt("b2", "plain", "w1", 8)
				env.network.silence("b1:80", true)
				wait := env.begin("/once/a")
				env.goroutines.Sleep(100 * time.Millisecond)
				env.update(func() { withdraw(env, "b1") })
				env.network.unsilence("b1:80")
				reply, id := wait()
				env.expectSuccess(reply, id)
				if reply.elapsed > 110*time.Millisecond {
					test.Errorf("took %s", reply.elapsed)
				}
				if count := len(env.backends["b1"].requests()); count != 0 {
					test.Errorf("%d requests at the withdrawn backend", count)
				}
				if sent := env.counters.Get("attempts_sent_withdrawn"); sent != 0 {
					test.Errorf("%d attempts counted as sent to a withdrawn backend", sent)
				}
			})
		})
	}
}

// A dial to a backend that leaves held its request until the dial's own time was over, and
// counted as the backend's failure.
func TestWithdrawalEndsDial(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		env.addBackendAt("b2", "plain", "w1", 8)
		env.network.silence("b1:80", true)
		wait := env.begin("/once/a")
		env.goroutines.Sleep(100 * time.Millisecond)
		held := env.proxy.targets["b1"]
		env.update(func() { withdrawals["leaves"](env, "b1") })
		reply, id := wait()
		env.expectSuccess(reply, id)
		if reply.elapsed > 110*time.Millisecond {
			test.Errorf("took %s", reply.elapsed)
		}
		if open, running := env.targetLoad("b1"); open != 0 || running != 0 {
			test.Errorf("%d connections and %d requests are left there", open, running)
		}
		if held.failures != 0 || env.counters.Get("connections_failed") != 0 {
			test.Error("counted as the backend's failure")
		}
	})
}

// A retry whose backend is withdrawn before it was sent goes to the next one with the budget
// and the attempt that it has: the service's budget holds one retry here, the route three
// attempts, and the third backend answers in the third.
func TestWithdrawnRetryKeepsItsBudget(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleNext(resetAfterReading)
		env.addBackendAt("b2", "plain", "e2", 8)
		env.addBackendAt("b3", "plain", "w1", 8)
		env.network.silence("b2:80", true)
		env.proxy.budgets["plain"].tokens = 1
		wait := env.begin("/again/a")
		env.goroutines.Sleep(100 * time.Millisecond)
		env.update(func() { withdrawals["leaves"](env, "b2") })
		env.network.unsilence("b2:80")
		reply, id := wait()
		env.expectSuccess(reply, id)
		if count := len(env.backends["b2"].requests()); count != 0 {
			test.Errorf("%d requests at the withdrawn backend", count)
		}
		if count := len(env.backends["b3"].requests()); count != 1 {
			test.Errorf("%d requests at the third backend", count)
		}
		for _, name := range []string{"b1", "b2", "b3"} {
			if _, running := env.targetLoad(name); running != 0 {
				test.Errorf("%d requests are left at %s", running, name)
			}
		}
	})
}

// A backend that is offered again gets requests again, also those that were taken back.
func TestOfferedAgain(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		env.addBackendAt("b2", "plain", "w1", 8)
		env.network.silence("b1:80", true)
		wait := env.begin("/once/a")
		env.goroutines.Sleep(100 * time.Millisecond)
		env.update(func() { env.table.Backends[0].Leaving = true })
		env.update(func() { env.table.Backends[0].Leaving = false })
		env.network.unsilence("b1:80")
		reply, id := wait()
		env.expectSuccess(reply, id)
		before := len(env.backends["b1"].requests())
		reply, id = env.get("/once/b")
		env.expectSuccess(reply, id)
		if len(env.backends["b1"].requests()) != before+1 {
			test.Error("no request at the backend that is offered again")
		}
		if sent := env.counters.Get("attempts_sent_withdrawn"); sent != 0 {
			test.Errorf("%d attempts counted as sent to a withdrawn backend", sent)
		}
	})
}
