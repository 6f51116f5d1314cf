package simulation

import (
	"sync"
	"time"
)

// Losses keeps the core machines that are lost at one time within what a deployment
// survives. A machine is lost while it is down, frozen or cut off, and for a span
// after that.
type Losses struct {
	world *World
	most  int
	span  time.Duration

	mutex sync.Mutex
	until map[*Core]time.Time
	// waiting counts those who wait until they may lose all machines.
	waiting int
}

// lostForNow is the end of a loss that goes on.
const lostForNow = 1000 * time.Hour

// Losses allows fewer than half of the cores to be lost.
func (world *World) Losses(span time.Duration) *Losses {
	return &Losses{world: world, most: (len(world.machines()) - 1) / 2, span: span, until: map[*Core]time.Time{}}
}

// Take waits until so many more may be lost, and counts them as lost from then on.
// All at once may only be lost while none is.
func (losses *Losses) Take(machines []*Core, limit time.Duration) bool {
	if len(machines) == len(losses.world.machines()) {
		losses.wait(1)
		defer losses.wait(-1)
		return losses.world.Until(limit, func() bool { return losses.takeAll(machines) })
	}
	return len(machines) <= losses.most && losses.world.Until(limit, func() bool { return losses.take(machines) })
}

func (losses *Losses) wait(change int) {
	losses.mutex.Lock()
	losses.waiting += change
	losses.mutex.Unlock()
}

func (losses *Losses) takeAll(machines []*Core) bool {
	losses.mutex.Lock()
	defer losses.mutex.Unlock()
	if losses.lost() > 0 {
		return false
	}
	losses.lose(machines)
	return true
}

func (losses *Losses) take(machines []*Core) bool {
	losses.mutex.Lock()
	defer losses.mutex.Unlock()
	if losses.waiting > 0 || losses.lost()+len(machines) > losses.most {
		return false
	}
	for _, machine := range machines {
		if time.Now().Before(losses.until[machine]) {
			return false
		}
	}
	losses.lose(machines)
	return true
}

// lost is how many are lost now; the caller holds the mutex.
func (losses *Losses) lost() int {
	count := 0
	for _, until := range losses.until {
		if time.Now().Before(until) {
			count++
		}
	}
	return count
}

func (losses *Losses) lose(machines []*Core) {
	for _, machine := range machines {
		losses.until[machine] = time.Now().Add(lostForNow)
	}
}

// Give ends losses: the machines, or those that took their places, started just now.
func (losses *Losses) Give(machines []*Core) {
	losses.mutex.Lock()
	defer losses.mutex.Unlock()
	for _, machine := range machines {
		losses.until[machine] = time.Now().Add(losses.span)
	}
}
