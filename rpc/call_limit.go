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
	slots *concurrent.Lock // guards free
	freed *concurrent.Condition
	free  int
}

// limitWait bounds one wait for a slot, after which the caller is looked after again.
const limitWait = 100 * time.Millisecond

func newCallLimit(most int) *callLimit {
	return &callLimit{slots: concurrent.NewLock(), freed: concurrent.NewCondition(), free: most}
}

// enter waits for a slot; false if the caller has left.
func (limit *callLimit) enter(request *http.Request) bool {
	for {
		seen := limit.freed.Count()
		if limit.take() {
			return true
		}
		if request.Context().Err() != nil {
			return false
		}
		limit.freed.Wait(seen, limitWait)
	}
}

func (limit *callLimit) take() bool {
	limit.slots.Lock()
	defer limit.slots.Unlock()
	if limit.free == 0 {
		return false
	}
	limit.free--
	return true
}

func (limit *callLimit) leave() {
	limit.slots.Lock()
	limit.free++
	limit.slots.Unlock()
	limit.freed.Notify()
}

// LimitCalls bounds the calls of a method that are answered at the same time. It must not be
// called once the server serves.
func LimitCalls[Request, Response any](server *Server, method Method[Request, Response], most int) {
	server.limits[method.path()] = newCallLimit(most)
}
