package control

import (
	"math/rand/v2"
	"sync"
	"time"
)

// seedMix makes the two halves of a generator's seed differ.
const seedMix = 0x9e3779b97f4a7c15

// randomSource generates random durations from a seed, so that a run is reproducible. It is safe
// for concurrent use.
type randomSource struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{random: rand.New(rand.NewPCG(seed, seed^seedMix))}
}

// between returns a random duration from low to below high, or low if high is not greater.
func (source *randomSource) between(low, high time.Duration) time.Duration {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	if high <= low {
		return low
	}
	return low + time.Duration(source.random.Int64N(int64(high-low)))
}
