package serviceproxy

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// In any ten seconds retries stay within a fifth of the first sends plus the proxy's share of the
// floor, in whatever order they come.
func TestRetryBudgetInEveryWindow(test *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(test, func(test *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			budget := newRetryBudget()
			budget.setProxies(3)
			budget.setLimits(0.2, 60)
			type event struct {
				at    time.Time
				retry bool
			}
			events := []event{}
			interval := time.Millisecond
			granted := 0
			for range 8_000 {
				if random.IntN(200) == 0 {
					interval = time.Duration(100+random.IntN(20_000)) * time.Microsecond
				}
				time.Sleep(interval)
				if random.IntN(2) == 0 {
					budget.recordSend()
					events = append(events, event{time.Now(), false})
				} else if budget.allow() {
					granted++
					events = append(events, event{time.Now(), true})
				}
				firstSends, retries := 0, 0
				for index := len(events) - 1; index >= 0 && time.Since(events[index].at) < 10*time.Second; index-- {
					if events[index].retry {
						retries++
					} else {
						firstSends++
					}
				}
				if len(events)%50 == 0 && float64(retries) > 0.2*float64(firstSends)+20 {
					test.Fatalf("seed %d: %d retries for %d first sends", seed, retries, firstSends)
				}
			}
			if granted < 400 {
				test.Fatalf("seed %d: only %d retries allowed", seed, granted)
			}
		})
	}
}
