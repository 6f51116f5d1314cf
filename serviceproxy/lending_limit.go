package serviceproxy

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"orchidjunction/rpc"
)

const overloadedTTL = time.Second

// LendingLimit limits what a proxy carries for the other partner: a rate, a number in
// flight, and nothing while the classes of its owner are above their floors or were
// refused.
type LendingLimit struct {
	owner       *Proxy
	rate        *rate.Limiter
	maxInFlight int

	mutex    sync.Mutex
	inFlight int
}

// NewLendingLimit returns the limit for requests that other proxies in this process carry
// on the owner's behalf: perSecond requests a second, most at once.
func NewLendingLimit(owner *Proxy, perSecond float64, maxInFlight int) *LendingLimit {
	return &LendingLimit{owner: owner, rate: rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond/4), 1)), maxInFlight: maxInFlight}
}

// Acquire admits one request of the other partner; the error is rpc.Overloaded. Each
// admitted request must be given back by Give.
func (limit *LendingLimit) Acquire() error {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	if limit.owner.admission.Overloaded() || limit.inFlight >= limit.maxInFlight || !limit.rate.Allow() {
		limit.owner.counters.Add("lending_refused", 1)
		return &rpc.Error{Code: rpc.Overloaded, Message: "the lender needs its room", RetryAfterMs: retryAfterMs, Outcome: rpc.NotRun}
	}
	limit.inFlight++
	limit.owner.counters.Add("lent", 1)
	return nil
}

// Release ends a request that Take admitted.
func (limit *LendingLimit) Release() {
	limit.mutex.Lock()
	limit.inFlight--
	limit.mutex.Unlock()
}

// SetLendingLimit makes this proxy a guest on another partner's machine, bound by the limit.
func (proxy *Proxy) SetLendingLimit(limit *LendingLimit) { proxy.lending = limit }
