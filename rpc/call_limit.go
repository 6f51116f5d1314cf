package rpc

import (
	"net/http"
	"time"

	"orchidjunction/concurrent"
)

// callLimit limits the concurrent calls of a method, until their responses are written. Each call
// holds its response in memory, and initial tables for hundreds of daemons at once would exceed a
// core's memory. It is safe for concurrent use.
type callLimit struct {
	lock         *concurrent.Lock // guards freeSlots
	slotReleased *concurrent.Condition
	freeSlots    int
}

// slotWaitTimeout limits one wait for a slot, after which the call is checked for cancellation.
const slotWaitTimeout = 100 * time.Millisecond

func newCallLimit(maxConcurrent int) *callLimit {
	return &callLimit{lock: concurrent.NewLock(), slotReleased: concurrent.NewCondition(), freeSlots: maxConcurrent}
}

// acquire waits for a slot. It returns false if the call has been cancelled.
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

// LimitCalls limits the concurrent calls of a method. It must be called before the server starts
// serving.
func LimitCalls[Request, Response any](server *Server, method Method[Request, Response], maxConcurrent int) {
	server.limits[method.path()] = newCallLimit(maxConcurrent)
}
