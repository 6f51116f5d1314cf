package hostproxy

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/message"
	"orchidjunction/routing"
)

// budgetEvent is a request or a retry of any proxy.
type budgetEvent struct {
	at      time.Time
	isRetry bool
}

// exceedsBudget returns the retries in the last 10 s, how many were allowed, and whether these
// were exceeded.
func exceedsBudget(events []budgetEvent, ratio, extra float64) (int, float64, bool) {
	requests, retries := 0, 0
	for index := len(events) - 1; index >= 0 && time.Since(events[index].at) < 10*time.Second; index-- {
		if events[index].isRetry {
			retries++
		} else {
			requests++
		}
	}
	allowed := ratio*float64(requests) + extra
	return retries, allowed, float64(retries) > allowed
}

// In any 10 s the retries of all proxies together stay within the ratio plus the extra, also while
// proxies restart, join and leave, and learn late how many there are.
func TestTotalBudgetOfAllProxies(test *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(test, func(test *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			ratio, extra := 0.2, 62.0
			count := 1 + random.IntN(20)
			maxProxies := count
			newBudget := func() *retryBudget {
				budget := &retryBudget{}
				budget.setShare(ratio, extra, maxProxies)
				return budget
			}
			budgets := []*retryBudget{}
			for range count {
				budgets = append(budgets, newBudget())
			}
			events, granted, lastRestart := []budgetEvent{}, 0, time.Now()
			attemptsPerStep := []int{0, 1, 3}
			interval, requestOdds := time.Millisecond, 2
			for step := range 12_000 {
				if random.IntN(300) == 0 {
					interval, requestOdds = time.Duration(100+random.IntN(15_000))*time.Microsecond, 1+random.IntN(6)
				}
				time.Sleep(interval)
				switch change := random.IntN(400); {
				case change == 0 && len(budgets) < 24:
					count++
					maxProxies = max(maxProxies, count)
					budgets = append(budgets, newBudget())
				case change == 1 && len(budgets) > 1:
					count--
					budgets = budgets[1:]
				case change == 2 && time.Since(lastRestart) > 800*time.Millisecond:
					lastRestart = time.Now()
					budgets[random.IntN(len(budgets))] = newBudget()
				}
				budget := budgets[random.IntN(len(budgets))]
				if random.IntN(20) == 0 {
					budget.setShare(ratio, extra, maxProxies)
				}
				if random.IntN(requestOdds) == 0 {
					budget.recordRequest()
					events = append(events, budgetEvent{time.Now(), false})
				}
				for range attemptsPerStep[step/1500%len(attemptsPerStep)] {
					if budget.take() {
						granted++
						events = append(events, budgetEvent{time.Now(), true})
					}
				}
				if step%40 == 0 {
					if retries, allowed, found := exceedsBudget(events, ratio, extra); found {
						test.Fatalf("seed %d: %d retries in 10 s, %.1f allowed", seed, retries, allowed)
					}
				}
			}
			if granted < 300 {
				test.Errorf("seed %d: only %d retries granted, want at least 300", seed, granted)
			}
		})
	}
}

// More proxies immediately lower the token limit of each; fewer proxies do not raise it.
func TestBudgetShare(test *testing.T) {
	budget := &retryBudget{}
	budget.setShare(0.2, 60, 1)
	if !budget.take() || budget.take() {
		test.Error("a new budget does not have exactly one token")
	}
	for range 10_000 {
		budget.recordRequest()
	}
	if budget.tokens != 45 {
		test.Errorf("%v tokens, want 45", budget.tokens)
	}
	for _, step := range []struct {
		proxies int
		limit   float64
	}{{1, 45}, {9, 5}, {3, 5}} {
		if budget.setShare(0.2, 60, step.proxies); budget.tokens != step.limit || budget.limit != step.limit {
			test.Errorf("%d proxies: %v tokens, limit %v", step.proxies, budget.tokens, budget.limit)
		}
	}
	budget.setShare(0, 0, 1)
	if budget.recordRequest(); budget.take() {
		test.Error("retry granted with a ratio and an extra of 0")
	}
}

// Until a leader has told the number of proxies, a proxy accumulates no more tokens than a new
// process starts with; then its usual share.
func TestBudgetBeforeFirstLeader(test *testing.T) {
	budget := &retryBudget{}
	for range 3 {
		budget.setProvisionalShare(0.2, 60, 1)
		for range 100 {
			budget.recordRequest()
		}
		if budget.tokens != initialBudget {
			test.Errorf("%v tokens before the first leader, want initialBudget", budget.tokens)
		}
	}
	for _, step := range []struct {
		proxies int
		limit   float64
	}{{5, 9}, {9, 5}, {3, 5}} {
		budget.setShare(0.2, 60, step.proxies)
		for range 100 {
			budget.recordRequest()
		}
		if budget.tokens != step.limit {
			test.Errorf("%d proxies: %v tokens", step.proxies, budget.tokens)
		}
	}
}

// The version of the proxy's table tells whether there has been a leader.
func TestBudgetShareFromTable(test *testing.T) {
	proxy := newProxies([]string{"p1"}, []string{"e1"})[0]
	proxy.config.RetryRatio, proxy.config.RetryExtra = 0.2, 60
	for _, round := range []uint64{0, 1} {
		proxy.Apply(
			&routing.State{Config: testRoutingConfig()},
			&message.Table{
				Version: message.TableVersion{Term: message.Term{Number: round}, Number: 1},
				Members: proxyMembers([]string{"p1"}, []string{"e1"}),
			},
			nil,
		)
		budget := proxy.budgets["plain"]
		for range 1000 {
			budget.recordRequest()
		}
		if want := map[uint64]float64{0: initialBudget, 1: 45}[round]; budget.tokens != want {
			test.Errorf("term %d: %v tokens, want %v", round, budget.tokens, want)
		}
	}
}
