package data

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
	"orchidjunction/wire"
)

const pressedSpan = time.Second

// Lend is the room that a proxy's owner lends to the other partner: up to a
// rate, up to a count at once, and nothing while the owner's own classes are
// above their floors or were refused. Only the owner sets it.
type Lend struct {
	owner *Proxy
	rate  *rate.Limiter
	most  int

	mutex    sync.Mutex
	inFlight int
}

func NewLend(owner *Proxy, perSecond float64, most int) *Lend {
	return &Lend{owner: owner, rate: rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond/4), 1)), most: most}
}

// Take lets one of the other partner's tasks in.
func (lend *Lend) Take() *wire.Mishap {
	lend.mutex.Lock()
	defer lend.mutex.Unlock()
	if lend.owner.room.Pressed() || lend.inFlight >= lend.most || !lend.rate.Allow() {
		lend.owner.counts.Add("lending_refused", 1)
		return &wire.Mishap{Kind: wire.Busy, Cause: "the lender needs its room", Retry: comeBack, Outcome: wire.NotRun}
	}
	lend.inFlight++
	lend.owner.counts.Add("lent", 1)
	return nil
}

func (lend *Lend) Give() {
	lend.mutex.Lock()
	lend.inFlight--
	lend.mutex.Unlock()
}

// Borrow makes this proxy a guest on another partner's machine.
func (proxy *Proxy) Borrow(lend *Lend) { proxy.lend = lend }
