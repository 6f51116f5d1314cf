package rpc

import (
	"net/http"
	"time"

	"orchidjunction/concurrent"
)

// callLimit bounds the calls of a method that are answered at the same time, until their
// responses are written. Each holds its response in memory, which for a first table is large
// and for hundreds of daemons at once more than a core has. It is safe for concurrent use.
type callLimit struct {
	lock         *concurrent.Lock // guards free
	slotReleased *concurrent.Condition
	freeSlots    int
}

// limitWait bounds one wait for a slot, after which the caller is looked after again.
const slotWaitTimeout = 100 * time.Millisecond

func newCallLimit(maxConcurrent int) *callLimit {
	return &callLimit{lock: concurrent.NewLock(), slotReleased: concurrent.NewCondition(), freeSlots: maxConcurrent}
}

// enter waits for a slot; false if the caller has left.
func (limit *callLimit) acquire(request *http.Request) bool {
	for {
		seen := limit.slotReleased.Count()
		if limit.tryAcquire() {
			return true
		}
		if request.Context().Err() != nil {
			return false
		}
		limit.slotReleased.Wait(seen, slotWaitTimeout)
	}
}

func (limit *callLimit) tryAcquire() bool {
	limit.lock.Lock()
	defer limit.lock.Unlock()
	if limit.freeSlots == 0 {
		return false
	}
	limit.freeSlots--
	return true
}

func (limit *callLimit) release() {
	limit.lock.Lock()
	limit.freeSlots++
	limit.lock.Unlock()
	limit.slotReleased.Notify()
}

// LimitCalls bounds the calls of a method that are answered at the same time. It must not be
// called once the server serves.
func LimitCalls[Request, Response any](server *Server, method Method[Request, Response], maxConcurrent int) {
	server.limits[method.path()] = newCallLimit(maxConcurrent)
}
