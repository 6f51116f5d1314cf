package hostproxy

import "sync"

// retryBudget is a token bucket that limits retries. All proxies share a service's
// allowance: each request adds tokens, up to this proxy's share of the extra retries.
// A new process starts with at most one token, so that restarts add no retries.
type retryBudget struct {
	mutex  sync.Mutex
	tokens float64
	limit  float64
	ratio  float64

	provisional bool
}

const (
	budgetMargin  = 0.75
	initialBudget = 1
)

// setShare sets the share of one proxy among the given number. The share does not grow
// when proxies disappear: they may be partitioned and still serving.
func (budget *retryBudget) setShare(ratio, extra float64, proxies int) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	limit := extra * budgetMargin / float64(max(proxies, 1))
	if budget.limit == 0 {
		budget.limit = limit
		budget.tokens = min(initialBudget, limit)
	}
	if budget.provisional {
		budget.limit, budget.provisional = limit, false
	}
	budget.limit = min(budget.limit, limit)
	budget.ratio = ratio * budgetMargin
	budget.tokens = min(budget.tokens, budget.limit)
}

// setProvisionalShare sets the share while the number of proxies is not known from a
// leader: the limit is then at most initialBudget.
func (budget *retryBudget) setProvisionalShare(ratio, extra float64, proxies int) {
	budget.setShare(ratio, extra, proxies)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.limit, budget.provisional = min(budget.limit, initialBudget), true
	budget.tokens = min(budget.tokens, budget.limit)
}

func (budget *retryBudget) recordRequest() {
	budget.mutex.Lock()
	budget.tokens = min(budget.limit, budget.tokens+budget.ratio)
	budget.mutex.Unlock()
}

// take consumes a token and reports whether a retry is allowed.
func (budget *retryBudget) take() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
