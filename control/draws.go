package control

import (
	"math/rand/v2"
	"sync"
	"time"
)

// draws are seeded, so a run can be had again.
type draws struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func newDraws(seed uint64) *draws {
	return &draws{random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

func (draws *draws) span(least, most time.Duration) time.Duration {
	draws.mutex.Lock()
	defer draws.mutex.Unlock()
	if most <= least {
		return least
	}
	return least + time.Duration(draws.random.Int64N(int64(most-least)))
}
