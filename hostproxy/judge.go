package hostproxy

import (
	"net/http"
	"time"

	"orchidjunction/rollout/score"
	"orchidjunction/routing"
)

// countSent counts a request about to be sent, if a rollout of its service is active.
func (candidate *candidate) countSent() {
	switch {
	case candidate.canary == nil:
	case candidate.underTest:
		candidate.canary.counts.requests.Add(1)
	default:
		candidate.canary.counts.formerRequests.Add(1)
	}
}

// scoreExchange scores an exchange with the version under test, or adds one with another
// version to the reference. A connection that broke before the deadline may count as an
// exceedance, but not as a failure of the version: usually its machine crashed, which few
// requests reveal, and late.
func (proxy *Proxy) scoreExchange(request *request, candidate *candidate, answer *response, ended outcome, startedAt time.Time) {
	now := proxy.clock()
	item, isItem := proxy.exchangeItem(request, candidate, answer, ended, startedAt, now)
	if !isItem {
		return
	}
	key := score.Key{Service: request.service, Route: request.route.Name}
	connectionBroke := ended == lost && now.Before(request.deadline)
	if candidate.underTest {
		judgement := proxy.references.Judge(key, item)
		judgement.Failed = judgement.Failed && !connectionBroke
		candidate.canary.counts.countItem(judgement)
		proxy.countJudgement(judgement)
		return
	}
	if candidate.canary != nil {
		candidate.canary.counts.countFormerItem(proxy.references.Failed(key, item) && !connectionBroke)
	}
	if !candidate.target.isEjected(now) {
		proxy.references.Add(key, item, candidate.target.id)
	}
}

// exchangeItem converts an exchange to an item. Exchanges are excluded if they did not
// run, were ended by the client or its deadline, or began at a cold backend.
func (proxy *Proxy) exchangeItem(
	request *request,
	candidate *candidate,
	answer *response,
	ended outcome,
	startedAt, now time.Time,
) (score.Item, bool) {
	elapsed := now.Sub(startedAt)
	item := score.Item{Target: time.Duration(request.route.TargetMs) * time.Millisecond}
	if ended == unsent || ended == refused || request.context.Err() != nil ||
		candidate.isCold(startedAt, proxy.clusterTimeMs()-elapsed.Milliseconds()) {
		return item, false
	}
	if ended == lost && !now.Before(request.deadline) && elapsed < item.Target {
		return item, false
	}
	item.Failed = ended == lost || answer.head.StatusCode >= http.StatusInternalServerError
	item.Took, item.Load = candidate.target.workAndLoad(elapsed, now)
	return item, true
}

// workAndLoad returns the time of an exchange without the network round trip, and the
// backend's estimated requests per slot.
func (target *target) workAndLoad(elapsed time.Duration, now time.Time) (time.Duration, float64) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return max(0, elapsed-target.roundTrip), target.load(now) / float64(max(target.backend.Capacity, 1))
}

// countItem counts an item of the version under test for the rollout's report.
func (counts *stepCounts) countItem(judgement score.Judgement) {
	counts.items.Add(1)
	if judgement.Exceeds {
		counts.exceedances.Add(1)
	}
	if judgement.Failed {
		counts.failures.Add(1)
	}
}

// countJudgement counts an item of the version under test in this process's metrics.
func (proxy *Proxy) countJudgement(judgement score.Judgement) {
	proxy.counters.Add("rollout_items", 1)
	if judgement.Exceeds {
		proxy.counters.Add("rollout_exceedances", 1)
	}
	if judgement.Failed {
		proxy.counters.Add("rollout_failures", 1)
	}
}

// countFormerItem counts an item of another version.
func (counts *stepCounts) countFormerItem(failed bool) {
	counts.formerItems.Add(1)
	if failed {
		counts.formerFailures.Add(1)
	}
}

// pruneReferences drops the references of removed routes once there are many.
func (proxy *Proxy) pruneReferences(routes []routing.Route) {
	if proxy.references.Len() <= 2*len(routes)+16 {
		return
	}
	names := make(map[string]bool, len(routes))
	for index := range routes {
		names[routes[index].Name] = true
	}
	proxy.references.Retain(func(key score.Key) bool { return names[key.Route] })
}
