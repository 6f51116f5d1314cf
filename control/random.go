package control

import (
	"math/rand/v2"
	"sync"
	"time"
)

// seedMix makes the two halves of a generator's seed differ.
const seedMix = 0x9e3779b97f4a7c15

// randomSource draws random durations by a seed, so that a run can be repeated. It is
// safe for concurrent use.
type randomSource struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{random: rand.New(rand.NewPCG(seed, seed^seedMix))}
}

// between returns a duration of at least low and below high, or low if high is not above.
func (source *randomSource) between(low, high time.Duration) time.Duration {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	if high <= low {
		return low
	}
	return low + time.Duration(source.random.Int64N(int64(high-low)))
}
