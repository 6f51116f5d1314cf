package sim

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
	return losses.world.Until(limit, func() bool { return losses.take(machines) })
}

func (losses *Losses) take(machines []*Core) bool {
	losses.mutex.Lock()
	defer losses.mutex.Unlock()
	lost := 0
	for _, until := range losses.until {
		if time.Now().Before(until) {
			lost++
		}
	}
	for _, machine := range machines {
		if time.Now().Before(losses.until[machine]) {
			return false
		}
	}
	whole := len(machines) == len(losses.world.machines())
	if whole && lost > 0 || !whole && lost+len(machines) > losses.most {
		return false
	}
	for _, machine := range machines {
		losses.until[machine] = time.Now().Add(lostForNow)
	}
	return true
}

// Give ends losses: the machines, or those that took their places, started just now.
func (losses *Losses) Give(machines []*Core) {
	losses.mutex.Lock()
	defer losses.mutex.Unlock()
	for _, machine := range machines {
		losses.until[machine] = time.Now().Add(losses.span)
	}
}
