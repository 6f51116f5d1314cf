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

// Quick knows the tasks that were just refused, so that a caller's own quick
// retry is counted among the resends.
type Quick struct {
	mutex sync.Mutex
	seen  map[uint64]time.Time
	swept time.Time
}

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

// Failed notes a task that reached a backend and ended without a receipt; one
// that was turned away before is no retry when it comes again.
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

// Again is whether the same task just failed here.
func (quick *Quick) Again(mark uint64) bool {
	quick.mutex.Lock()
	defer quick.mutex.Unlock()
	at, found := quick.seen[mark]
	return found && time.Since(at) < quickSpan
}
