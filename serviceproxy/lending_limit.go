package serviceproxy

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"orchidjunction/rpc"
)

const overloadedTTL = time.Second

// LendingLimit limits the requests served for the other partner: by rate, by number in flight, and
// to none while the owner is overloaded (see Admission.Overloaded).
type LendingLimit struct {
	owner       *Proxy
	rate        *rate.Limiter
	maxInFlight int

	mutex    sync.Mutex
	inFlight int
}

// NewLendingLimit returns the limit for guest proxies in the owner's process: perSecond requests
// per second, maxInFlight at once.
func NewLendingLimit(owner *Proxy, perSecond float64, maxInFlight int) *LendingLimit {
	return &LendingLimit{owner: owner, rate: rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond/4), 1)), maxInFlight: maxInFlight}
}

// Acquire admits one request of the other partner. The error is rpc.Overloaded. Each admitted
// request must end with Release.
func (limit *LendingLimit) Acquire() error {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	if limit.owner.admission.Overloaded() || limit.inFlight >= limit.maxInFlight || !limit.rate.Allow() {
		limit.owner.counters.Add("lending_refused", 1)
		return &rpc.Error{
			Code:         rpc.Overloaded,
			Message:      "the lending proxy has no spare capacity",
			RetryAfterMs: retryAfterMs,
			Outcome:      rpc.NotRun,
		}
	}
	limit.inFlight++
	limit.owner.counters.Add("lent", 1)
	return nil
}

// Release ends a request that Acquire admitted.
func (limit *LendingLimit) Release() {
	limit.mutex.Lock()
	limit.inFlight--
	limit.mutex.Unlock()
}

// SetLendingLimit makes this proxy a guest on the other partner's machine, subject to the limit.
func (proxy *Proxy) SetLendingLimit(limit *LendingLimit) { proxy.lending = limit }
