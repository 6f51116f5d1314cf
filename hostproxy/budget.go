package hostproxy

import "sync"

// Budget bounds the attempts beyond a request's first one. All proxies share what
// a service allows: each refills by its own requests and saves up no more than its
// part of the extra. A fresh process starts with next to nothing, so that restarts
// add nothing.
type Budget struct {
	mutex  sync.Mutex
	tokens float64
	limit  float64
	ratio  float64

	presumed bool
}

const (
	budgetMargin = 0.75
	budgetStart  = 1
)

// setShare sets the share that is due to one of so many proxies. The share does not grow
// when proxies go: they may be cut off and still serving.
func (budget *Budget) setShare(ratio, extra float64, proxies int) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	most := extra * budgetMargin / float64(max(proxies, 1))
	if budget.limit == 0 {
		budget.limit = most
		budget.tokens = min(budgetStart, most)
	}
	if budget.presumed {
		budget.limit, budget.presumed = most, false
	}
	budget.limit = min(budget.limit, most)
	budget.ratio = ratio * budgetMargin
	budget.tokens = min(budget.tokens, budget.limit)
}

// presumeShare sets the share while no leader has said how many proxies there are: no
// more is saved up than what a fresh process starts with.
func (budget *Budget) presumeShare(ratio, extra float64, proxies int) {
	budget.setShare(ratio, extra, proxies)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.limit, budget.presumed = min(budget.limit, budgetStart), true
	budget.tokens = min(budget.tokens, budget.limit)
}

func (budget *Budget) recordRequest() {
	budget.mutex.Lock()
	budget.tokens = min(budget.limit, budget.tokens+budget.ratio)
	budget.mutex.Unlock()
}

// take is whether one more attempt is allowed now.
func (budget *Budget) take() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
