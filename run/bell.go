package run

import (
	"sync"
	"time"
)

// Bell is a condition that counts its notifications, so that none is lost between a
// look at the count and the wait for the next one.
type Bell struct {
	mutex sync.Mutex
	wake  *sync.Cond
	count uint64
}

// NewBell returns a Bell whose count is zero.
func NewBell() *Bell {
	bell := &Bell{}
	bell.wake = sync.NewCond(&bell.mutex)
	return bell
}

// Ring counts one notification and wakes all waiters.
func (bell *Bell) Ring() {
	bell.mutex.Lock()
	bell.count++
	bell.wake.Broadcast()
	bell.mutex.Unlock()
}

// Count returns the number of notifications so far.
func (bell *Bell) Count() uint64 {
	bell.mutex.Lock()
	defer bell.mutex.Unlock()
	return bell.count
}

// Wait blocks until the count exceeds seen and returns true, or returns false once
// the span has passed. A span of zero or less only looks.
func (bell *Bell) Wait(seen uint64, span time.Duration) bool {
	if span <= 0 {
		return bell.Count() > seen
	}
	limit := time.Now().Add(span)
	beat := time.AfterFunc(span, func() {
		bell.mutex.Lock()
		bell.wake.Broadcast()
		bell.mutex.Unlock()
	})
	defer beat.Stop()
	bell.mutex.Lock()
	defer bell.mutex.Unlock()
	for bell.count <= seen {
		if !time.Now().Before(limit) {
			return false
		}
		bell.wake.Wait()
	}
	return true
}
