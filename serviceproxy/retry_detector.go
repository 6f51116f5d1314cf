package serviceproxy

import (
	"hash/fnv"
	"sync"
	"time"
)

const (
	retryWindow     = time.Second
	maxFingerprints = 100_000
)

// retryDetector detects retries by callers: requests that repeat one that failed here within the
// last second count against the retry budget.
type retryDetector struct {
	mutex    sync.Mutex
	failedAt map[uint64]time.Time
	prunedAt time.Time
}

func newRetryDetector() *retryDetector { return &retryDetector{failedAt: map[uint64]time.Time{}} }

// fingerprintOf identifies a request by its caller and content.
func fingerprintOf(tenant, key, method, url string, body []byte) uint64 {
	hash := fnv.New64a()
	for _, part := range []string{tenant, key, method, url} {
		hash.Write([]byte(part + "\x00"))
	}
	hash.Write(body)
	return hash.Sum64()
}

// recordFailure records the fingerprint of a request that reached a backend and got no response.
// Repeating a request that was refused before it reached a backend is no retry.
func (retries *retryDetector) recordFailure(fingerprint uint64) {
	retries.mutex.Lock()
	defer retries.mutex.Unlock()
	now := time.Now()
	if now.Sub(retries.prunedAt) > retryWindow || len(retries.failedAt) > maxFingerprints {
		for old, at := range retries.failedAt {
			if now.Sub(at) > retryWindow {
				delete(retries.failedAt, old)
			}
		}
		retries.prunedAt = now
	}
	if len(retries.failedAt) < maxFingerprints {
		retries.failedAt[fingerprint] = now
	}
}

// isRetry reports whether a request with this fingerprint failed within the last
// second.
func (retries *retryDetector) isRetry(fingerprint uint64) bool {
	retries.mutex.Lock()
	defer retries.mutex.Unlock()
	at, found := retries.failedAt[fingerprint]
	return found && time.Since(at) < retryWindow
}
