package concurrent

import (
	"sync"
	"time"
)

// Condition is a condition variable that counts notifications, so that none is lost between Count
// and Wait. It is safe for concurrent use.
type Condition struct {
	mutex sync.Mutex
	cond  *sync.Cond
	count uint64
}

// NewCondition returns a Condition with count zero.
func NewCondition() *Condition {
	condition := &Condition{}
	condition.cond = sync.NewCond(&condition.mutex)
	return condition
}

// Notify increments the count and wakes all waiters.
func (condition *Condition) Notify() {
	condition.mutex.Lock()
	condition.count++
	condition.cond.Broadcast()
	condition.mutex.Unlock()
}

// Count returns the number of notifications so far.
func (condition *Condition) Count() uint64 {
	condition.mutex.Lock()
	defer condition.mutex.Unlock()
	return condition.count
}

// Wait blocks until the count exceeds seen and returns true, or returns false once the timeout
// has passed. It does not block if the timeout is zero or negative.
func (condition *Condition) Wait(seen uint64, timeout time.Duration) bool {
	if timeout <= 0 {
		return condition.Count() > seen
	}
	deadline := time.Now().Add(timeout)
	timer := time.AfterFunc(timeout, condition.broadcast)
	defer timer.Stop()
	condition.mutex.Lock()
	defer condition.mutex.Unlock()
	for condition.count <= seen {
		if !time.Now().Before(deadline) {
			return false
		}
		condition.cond.Wait()
	}
	return true
}

func (condition *Condition) broadcast() {
	condition.mutex.Lock()
	condition.cond.Broadcast()
	condition.mutex.Unlock()
}
