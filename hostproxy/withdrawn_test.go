package hostproxy

import (
	"testing"
	"time"
)

// withdrawals are the ways a backend stops being a candidate.
var withdrawals = map[string]func(env *testEnv, name string){
	"leaves": func(env *testEnv, name string) {
		for index := range env.table.Backends {
			if backend := &env.table.Backends[index]; backend.Name == name {
				backend.Leaving = true
			}
		}
	},
	"is removed": func(env *testEnv, name string) {
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

// startGet sends a GET in the background; wait returns the reply and the request's ID.
func (env *testEnv) startGet(path string) (wait func() (reply, string)) {
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

// Guards against a request sent to a backend that was withdrawn while its connection was being
// dialled (DRAIN, issue 33).
func TestWithdrawnWhileDialling(test *testing.T) {
	for name, withdraw := range withdrawals {
		test.Run(name, func(test *testing.T) {
			withTestEnv(test, func(env *testEnv) {
				env.addBackend("b1")
				env.addBackendAt("b2", "plain", "w1", 8)
				env.network.setUnresponsive("b1:80", true)
				wait := env.startGet("/once/a")
				env.goroutines.Sleep(100 * time.Millisecond)
				env.update(func() { withdraw(env, "b1") })
				env.network.resume("b1:80")
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

// Guards against a dial to a withdrawn backend that delays its request until the dial timeout,
// and counts as a failure of the backend.
func TestWithdrawalEndsDial(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		env.addBackendAt("b2", "plain", "w1", 8)
		env.network.setUnresponsive("b1:80", true)
		wait := env.startGet("/once/a")
		env.goroutines.Sleep(100 * time.Millisecond)
		target := env.proxy.targets["b1"]
		env.update(func() { withdrawals["leaves"](env, "b1") })
		reply, id := wait()
		env.expectSuccess(reply, id)
		if reply.elapsed > 110*time.Millisecond {
			test.Errorf("took %s", reply.elapsed)
		}
		if open, running := env.targetLoad("b1"); open != 0 || running != 0 {
			test.Errorf("%d connections and %d requests remain there", open, running)
		}
		if target.failures != 0 || env.counters.Get("connections_failed") != 0 {
			test.Error("counted as the backend's failure")
		}
	})
}

// A retry whose backend is withdrawn before it was sent goes to the next backend without using
// more of the budget or another attempt. Here the service's budget allows one retry, the route
// three attempts, and the third backend responds to the third.
func TestWithdrawnRetryKeepsItsBudget(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleNext(resetAfterReading)
		env.addBackendAt("b2", "plain", "e2", 8)
		env.addBackendAt("b3", "plain", "w1", 8)
		env.network.setUnresponsive("b2:80", true)
		env.proxy.budgets["plain"].tokens = 1
		wait := env.startGet("/again/a")
		env.goroutines.Sleep(100 * time.Millisecond)
		env.update(func() { withdrawals["leaves"](env, "b2") })
		env.network.resume("b2:80")
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
				test.Errorf("%d requests remain at %s", running, name)
			}
		}
	})
}

// A backend that becomes a candidate again gets requests, including those taken back from it.
func TestWithdrawalUndone(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		env.addBackendAt("b2", "plain", "w1", 8)
		env.network.setUnresponsive("b1:80", true)
		wait := env.startGet("/once/a")
		env.goroutines.Sleep(100 * time.Millisecond)
		env.update(func() { env.table.Backends[0].Leaving = true })
		env.update(func() { env.table.Backends[0].Leaving = false })
		env.network.resume("b1:80")
		reply, id := wait()
		env.expectSuccess(reply, id)
		before := len(env.backends["b1"].requests())
		reply, id = env.get("/once/b")
		env.expectSuccess(reply, id)
		if len(env.backends["b1"].requests()) != before+1 {
			test.Error("no request at the backend that is a candidate again")
		}
		if sent := env.counters.Get("attempts_sent_withdrawn"); sent != 0 {
			test.Errorf("%d attempts counted as sent to a withdrawn backend", sent)
		}
	})
}
