package serviceproxy

import (
	"sync"
	"time"
)

// retryBudget is a token bucket that limits retries to a fraction of first sends plus this proxy's
// share of a floor for the whole fleet. At most half of the floor is saved up, so that saved and
// new tokens together never exceed the floor in any window.
type retryBudget struct {
	mutex       sync.Mutex
	window      time.Duration
	startedAt   time.Time
	filledAt    time.Time
	tokens      float64
	proxyCounts []proxyCount
	fraction    float64
	floor       float64
}

// proxyCount is a number of proxies that shared the floor, and until when.
type proxyCount struct {
	count int
	until time.Time
}

// newRetryBudget returns a budget that allows no retry until setLimits.
func newRetryBudget() *retryBudget {
	now := time.Now()
	return &retryBudget{window: 10 * time.Second, startedAt: now, filledAt: now, proxyCounts: []proxyCount{{count: 1, until: now}}}
}

// setProxies sets the number of proxies that share the floor.
func (budget *retryBudget) setProxies(count int) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.refill()
	if latest := &budget.proxyCounts[len(budget.proxyCounts)-1]; latest.count != max(count, 1) {
		budget.proxyCounts = append(budget.proxyCounts, proxyCount{count: max(count, 1)})
	}
	budget.proxyCounts[len(budget.proxyCounts)-1].until = time.Now()
}

// setLimits sets the tokens per first send and the floor per window for all proxies together.
func (budget *retryBudget) setLimits(fraction float64, floor int) {
	budget.mutex.Lock()
	budget.refill()
	budget.fraction, budget.floor = fraction, float64(floor)
	budget.mutex.Unlock()
}

// maxProxies returns the most proxies that shared the floor within the last window: those that
// left may have used their share.
func (budget *retryBudget) maxProxies() float64 {
	now := time.Now()
	budget.proxyCounts[len(budget.proxyCounts)-1].until = now
	for len(budget.proxyCounts) > 1 && now.Sub(budget.proxyCounts[0].until) > budget.window {
		budget.proxyCounts = budget.proxyCounts[1:]
	}
	highest := 1
	for _, entry := range budget.proxyCounts {
		highest = max(highest, entry.count)
	}
	return float64(highest)
}

// refill adds the floor's tokens. A proxy gets none in its first window, until the others surely
// share with it.
func (budget *retryBudget) refill() {
	now := time.Now()
	perWindow := budget.floor / 2 / budget.maxProxies()
	if now.Sub(budget.startedAt) > budget.window {
		budget.tokens += perWindow * float64(now.Sub(budget.filledAt)) / float64(budget.window)
	}
	budget.tokens = min(budget.tokens, budget.capacity())
	budget.filledAt = now
}

func (budget *retryBudget) capacity() float64 { return max(budget.floor/2/budget.maxProxies(), 1) }

// recordSend adds the tokens for the first send of a request.
func (budget *retryBudget) recordSend() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.refill()
	budget.tokens = min(budget.tokens+budget.fraction, budget.capacity())
}

// allow reports whether a retry is allowed, and if so takes a token.
func (budget *retryBudget) allow() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.refill()
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
