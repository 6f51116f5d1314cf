package serviceproxy

import (
	"sync"
	"time"
)

// retryBudget is a retry budget as a token bucket: retries may be a fraction of first
// sends plus this proxy's share of a floor for the whole fleet. At most half of the
// floor is kept, so that kept and new tokens together never exceed the floor in any
// span.
type retryBudget struct {
	mutex    sync.Mutex
	span     time.Duration
	begun    time.Time
	last     time.Time
	tokens   float64
	shares   []budgetShare
	fraction float64
	floor    float64
}

// budgetShare is among how many proxies the floor was split, and when that was last so.
type budgetShare struct {
	count int
	until time.Time
}

// newRetryBudget returns a budget that allows no retry until setLimits.
func newRetryBudget() *retryBudget {
	now := time.Now()
	return &retryBudget{span: 10 * time.Second, begun: now, last: now, shares: []budgetShare{{count: 1, until: now}}}
}

// setProxies sets the number of proxies that share the floor.
func (budget *retryBudget) setProxies(count int) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.fill()
	if last := &budget.shares[len(budget.shares)-1]; last.count != max(count, 1) {
		budget.shares = append(budget.shares, budgetShare{count: max(count, 1)})
	}
	budget.shares[len(budget.shares)-1].until = time.Now()
}

// setLimits sets the tokens per first send and the floor per span over all proxies.
func (budget *retryBudget) setLimits(fraction float64, floor int) {
	budget.mutex.Lock()
	budget.fill()
	budget.fraction, budget.floor = fraction, float64(floor)
	budget.mutex.Unlock()
}

// among is the largest split of the last span: proxies that left may still
// have used their share.
func (budget *retryBudget) among() float64 {
	now := time.Now()
	budget.shares[len(budget.shares)-1].until = now
	for len(budget.shares) > 1 && now.Sub(budget.shares[0].until) > budget.span {
		budget.shares = budget.shares[1:]
	}
	most := 1
	for _, share := range budget.shares {
		most = max(most, share.count)
	}
	return float64(most)
}

// fill brings the floor's tokens; a proxy that has just started gets none
// until the others surely split with it.
func (budget *retryBudget) fill() {
	now := time.Now()
	half := budget.floor / 2 / budget.among()
	if now.Sub(budget.begun) > budget.span {
		budget.tokens += half * float64(now.Sub(budget.last)) / float64(budget.span)
	}
	budget.tokens = min(budget.tokens, budget.most())
	budget.last = now
}

func (budget *retryBudget) most() float64 { return max(budget.floor/2/budget.among(), 1) }

// recordSend adds the tokens of a request's first send.
func (budget *retryBudget) recordSend() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.fill()
	budget.tokens = min(budget.tokens+budget.fraction, budget.most())
}

// allow reports whether a retry is allowed, and takes its token.
func (budget *retryBudget) allow() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.fill()
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
