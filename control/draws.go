package control

import (
	"math/rand/v2"
	"sync"
	"time"
)

// randomSource are seeded, so a run can be had again.
type randomSource struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

func (source *randomSource) between(least, most time.Duration) time.Duration {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	if most <= least {
		return least
	}
	return least + time.Duration(source.random.Int64N(int64(most-least)))
}
