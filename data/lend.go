package data

import (
	"orchidjunction/rpc"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const overloadedSpan = time.Second

// Lend limits what a proxy carries for the other partner: a rate, a number in
// flight, and nothing while the classes of its owner are above their floors or were
// refused.
type Lend struct {
	owner *Proxy
	rate  *rate.Limiter
	most  int

	mutex    sync.Mutex
	inFlight int
}

// NewLend returns the limit for requests that other proxies in this process carry
// on the owner's behalf: perSecond requests a second, most at once.
func NewLend(owner *Proxy, perSecond float64, most int) *Lend {
	return &Lend{owner: owner, rate: rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond/4), 1)), most: most}
}

// Take admits one request of the other partner; the error is wire.Busy. Each
// admitted request must be given back by Give.
func (lend *Lend) Take() error {
	lend.mutex.Lock()
	defer lend.mutex.Unlock()
	if lend.owner.admission.Overloaded() || lend.inFlight >= lend.most || !lend.rate.Allow() {
		lend.owner.counters.Add("lending_refused", 1)
		return &rpc.Error{Code: rpc.Overloaded, Message: "the lender needs its room", RetryAfterMs: comeBack, Outcome: rpc.NotRun}
	}
	lend.inFlight++
	lend.owner.counters.Add("lent", 1)
	return nil
}

// Give ends a request that Take admitted.
func (lend *Lend) Give() {
	lend.mutex.Lock()
	lend.inFlight--
	lend.mutex.Unlock()
}

// Borrow makes this proxy a guest on another partner's machine, bound by the limit.
func (proxy *Proxy) Borrow(lend *Lend) { proxy.lend = lend }
