package data

import (
	"hash/fnv"
	"sync"
	"time"
)

const (
	quickSpan  = time.Second
	quickCount = 100_000
)

// Quick detects retries of callers: requests that repeat one which failed here
// within the last second count against the retry budget.
type Quick struct {
	mutex sync.Mutex
	seen  map[uint64]time.Time
	swept time.Time
}

// NewQuick returns a Quick that has seen nothing.
func NewQuick() *Quick { return &Quick{seen: map[uint64]time.Time{}} }

// fingerprint names a task by who asks for what.
func fingerprint(tenant, key, method, url string, body []byte) uint64 {
	sum := fnv.New64a()
	for _, part := range []string{tenant, key, method, url} {
		sum.Write([]byte(part + "\x00"))
	}
	sum.Write(body)
	return sum.Sum64()
}

// Failed records the fingerprint of a request that reached a backend and got no
// response. A request that was refused before is no retry when it comes again.
func (quick *Quick) Failed(mark uint64) {
	quick.mutex.Lock()
	defer quick.mutex.Unlock()
	now := time.Now()
	if now.Sub(quick.swept) > quickSpan || len(quick.seen) > quickCount {
		for old, at := range quick.seen {
			if now.Sub(at) > quickSpan {
				delete(quick.seen, old)
			}
		}
		quick.swept = now
	}
	if len(quick.seen) < quickCount {
		quick.seen[mark] = now
	}
}

// Again reports whether a request with this fingerprint failed within the last
// second.
func (quick *Quick) Again(mark uint64) bool {
	quick.mutex.Lock()
	defer quick.mutex.Unlock()
	at, found := quick.seen[mark]
	return found && time.Since(at) < quickSpan
}
