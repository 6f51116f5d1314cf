package hostproxy

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/message"
	"orchidjunction/routing"
)

// spending is what several proxies did of late, for the sum over any window.
type spending struct {
	at    time.Time
	again bool
}

// over is whether attempts past the first passed what is allowed in the last window.
func over(events []spending, ratio, extra float64) (int, float64, bool) {
	requests, again := 0, 0
	for index := len(events) - 1; index >= 0 && time.Since(events[index].at) < 10*time.Second; index-- {
		if events[index].again {
			again++
		} else {
			requests++
		}
	}
	allowed := ratio*float64(requests) + extra
	return again, allowed, float64(again) > allowed
}

// In any ten seconds the attempts past the first of all proxies stay within the
// ratio and the extra, also while proxies restart, come and go, and hear of it late.
func TestBudgetOfAllProxies(test *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(test, func(test *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			ratio, extra := 0.2, 62.0
			count := 1 + random.IntN(20)
			limit := count
			fresh := func() *retryBudget { budget := &retryBudget{}; budget.setShare(ratio, extra, limit); return budget }
			budgets := []*retryBudget{}
			for range count {
				budgets = append(budgets, fresh())
			}
			events, granted, restarted := []spending{}, 0, time.Now()
			takes := []int{0, 1, 3}
			pace, wish := time.Millisecond, 2
			for step := range 12_000 {
				if random.IntN(300) == 0 {
					pace, wish = time.Duration(100+random.IntN(15_000))*time.Microsecond, 1+random.IntN(6)
				}
				time.Sleep(pace)
				switch change := random.IntN(400); {
				case change == 0 && len(budgets) < 24:
					count++
					limit = max(limit, count)
					budgets = append(budgets, fresh())
				case change == 1 && len(budgets) > 1:
					count--
					budgets = budgets[1:]
				case change == 2 && time.Since(restarted) > 800*time.Millisecond:
					restarted = time.Now()
					budgets[random.IntN(len(budgets))] = fresh()
				}
				budget := budgets[random.IntN(len(budgets))]
				if random.IntN(20) == 0 {
					budget.setShare(ratio, extra, limit)
				}
				if random.IntN(wish) == 0 {
					budget.recordRequest()
					events = append(events, spending{time.Now(), false})
				}
				for range takes[step/1500%len(takes)] {
					if budget.take() {
						granted++
						events = append(events, spending{time.Now(), true})
					}
				}
				if step%40 == 0 {
					if again, allowed, found := over(events, ratio, extra); found {
						test.Fatalf("seed %d: %d attempts past the first, %.1f allowed", seed, again, allowed)
					}
				}
			}
			if granted < 300 {
				test.Errorf("seed %d: only %d granted", seed, granted)
			}
		})
	}
}

// More proxies lower what one may save up at once; fewer do not raise it.
func TestBudgetShare(test *testing.T) {
	budget := &retryBudget{}
	budget.setShare(0.2, 60, 1)
	if !budget.take() || budget.take() {
		test.Error("a fresh budget has not just one attempt")
	}
	for range 10_000 {
		budget.recordRequest()
	}
	if budget.tokens != 45 {
		test.Errorf("%v saved up", budget.tokens)
	}
	for _, step := range []struct {
		proxies int
		most    float64
	}{{1, 45}, {9, 5}, {3, 5}} {
		if budget.setShare(0.2, 60, step.proxies); budget.tokens != step.most || budget.limit != step.most {
			test.Errorf("%d proxies: %v of %v", step.proxies, budget.tokens, budget.limit)
		}
	}
	budget.setShare(0, 0, 1)
	if budget.recordRequest(); budget.take() {
		test.Error("granted where nothing is allowed")
	}
}

// Before a leader says how many proxies there are, none saves up more than what a
// fresh process starts with; after that, its part as always.
func TestBudgetBeforeALeader(test *testing.T) {
	budget := &retryBudget{}
	for range 3 {
		budget.setProvisionalShare(0.2, 60, 1)
		for range 100 {
			budget.recordRequest()
		}
		if budget.tokens != initialBudget {
			test.Errorf("%v saved up before a leader", budget.tokens)
		}
	}
	for _, step := range []struct {
		proxies int
		most    float64
	}{{5, 9}, {9, 5}, {3, 5}} {
		budget.setShare(0.2, 60, step.proxies)
		for range 100 {
			budget.recordRequest()
		}
		if budget.tokens != step.most {
			test.Errorf("%d proxies: %v saved up", step.proxies, budget.tokens)
		}
	}
}

// Which of the two a proxy goes by is told by its table.
func TestBudgetFollowsTheTable(test *testing.T) {
	proxy := newProxies([]string{"p1"}, []string{"e1"})[0]
	proxy.config.RetryRatio, proxy.config.RetryExtra = 0.2, 60
	for _, round := range []uint64{0, 1} {
		proxy.Apply(
			&routing.State{Config: ownConfig()},
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
			test.Errorf("round %d: %v saved up, want %v", round, budget.tokens, want)
		}
	}
}
