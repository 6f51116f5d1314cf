package simulation

import (
	"sync"
	"time"
)

// LossBudget limits how many core machines are lost at a time to what a deployment
// tolerates. A machine is lost while it is down, frozen or cut off, and for recoverySpan
// after that.
type LossBudget struct {
	world        *World
	maxLost      int
	recoverySpan time.Duration

	mutex     sync.Mutex
	lostUntil map[*Core]time.Time
	// waitingForAll counts the callers that wait to lose all machines at once.
	waitingForAll int
}

// openEndedLoss is the duration of a loss until it is released.
const openEndedLoss = 1000 * time.Hour

// NewLossBudget allows a minority of the cores to be lost at a time.
func (world *World) NewLossBudget(span time.Duration) *LossBudget {
	return &LossBudget{world: world, maxLost: (len(world.machines()) - 1) / 2, recoverySpan: span, lostUntil: map[*Core]time.Time{}}
}

// Acquire waits up to timeout until the budget allows the machines to be lost, marks them as
// lost and reports whether it did. Losing all machines at once requires that none is lost.
func (budget *LossBudget) Acquire(machines []*Core, timeout time.Duration) bool {
	if len(machines) == len(budget.world.machines()) {
		budget.addWaiting(1)
		defer budget.addWaiting(-1)
		return budget.world.Until(timeout, func() bool { return budget.tryAcquireAll(machines) })
	}
	return len(machines) <= budget.maxLost && budget.world.Until(timeout, func() bool { return budget.tryAcquire(machines) })
}

func (budget *LossBudget) addWaiting(delta int) {
	budget.mutex.Lock()
	budget.waitingForAll += delta
	budget.mutex.Unlock()
}

func (budget *LossBudget) tryAcquireAll(machines []*Core) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.lostCount() > 0 {
		return false
	}
	budget.markLost(machines)
	return true
}

func (budget *LossBudget) tryAcquire(machines []*Core) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.waitingForAll > 0 || budget.lostCount()+len(machines) > budget.maxLost {
		return false
	}
	for _, machine := range machines {
		if time.Now().Before(budget.lostUntil[machine]) {
			return false
		}
	}
	budget.markLost(machines)
	return true
}

// lostCount requires that the caller holds the mutex.
func (budget *LossBudget) lostCount() int {
	count := 0
	for _, end := range budget.lostUntil {
		if time.Now().Before(end) {
			count++
		}
	}
	return count
}

func (budget *LossBudget) markLost(machines []*Core) {
	for _, machine := range machines {
		budget.lostUntil[machine] = time.Now().Add(openEndedLoss)
	}
}

// Release ends the loss of machines once they, or their replacements, have been started.
func (budget *LossBudget) Release(machines []*Core) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	for _, machine := range machines {
		budget.lostUntil[machine] = time.Now().Add(budget.recoverySpan)
	}
}
