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
	owner *Proxy
	rate  *rate.Limiter
	most  int

	mutex    sync.Mutex
	inFlight int
}

// NewLendingLimit returns the limit for requests that other proxies in this process carry
// on the owner's behalf: perSecond requests a second, most at once.
func NewLendingLimit(owner *Proxy, perSecond float64, most int) *LendingLimit {
	return &LendingLimit{owner: owner, rate: rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond/4), 1)), most: most}
}

// Acquire admits one request of the other partner; the error is rpc.Overloaded. Each
// admitted request must be given back by Give.
func (lend *LendingLimit) Acquire() error {
	lend.mutex.Lock()
	defer lend.mutex.Unlock()
	if lend.owner.admission.Overloaded() || lend.inFlight >= lend.most || !lend.rate.Allow() {
		lend.owner.counters.Add("lending_refused", 1)
		return &rpc.Error{Code: rpc.Overloaded, Message: "the lender needs its room", RetryAfterMs: retryAfterMs, Outcome: rpc.NotRun}
	}
	lend.inFlight++
	lend.owner.counters.Add("lent", 1)
	return nil
}

// Release ends a request that Take admitted.
func (lend *LendingLimit) Release() {
	lend.mutex.Lock()
	lend.inFlight--
	lend.mutex.Unlock()
}

// SetLendingLimit makes this proxy a guest on another partner's machine, bound by the limit.
func (proxy *Proxy) SetLendingLimit(lend *LendingLimit) { proxy.lending = lend }
