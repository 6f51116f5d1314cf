package hostproxy

import "sync"

// Budget bounds the attempts beyond a request's first one. All proxies share what
// a service allows: each refills by its own requests and saves up no more than its
// part of the extra. A fresh process starts with next to nothing, so that restarts
// add nothing.
type Budget struct {
	mutex  sync.Mutex
	tokens float64
	most   float64
	ratio  float64

	presumed bool
}

const (
	budgetUse   = 0.75
	budgetStart = 1
)

// share lays down what is allowed with so many proxies; fewer give no more until
// the count is believed again by a new process.
func (budget *Budget) share(ratio, extra float64, proxies int) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	most := extra * budgetUse / float64(max(proxies, 1))
	if budget.most == 0 {
		budget.most = most
		budget.tokens = min(budgetStart, most)
	}
	if budget.presumed {
		budget.most, budget.presumed = most, false
	}
	budget.most = min(budget.most, most)
	budget.ratio = ratio * budgetUse
	budget.tokens = min(budget.tokens, budget.most)
}

// presume is share while no leader said how many proxies there are: no more is
// saved up than what a fresh process starts with.
func (budget *Budget) presume(ratio, extra float64, proxies int) {
	budget.share(ratio, extra, proxies)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.most, budget.presumed = min(budget.most, budgetStart), true
	budget.tokens = min(budget.tokens, budget.most)
}

func (budget *Budget) request() {
	budget.mutex.Lock()
	budget.tokens = min(budget.most, budget.tokens+budget.ratio)
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
