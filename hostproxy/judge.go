package hostproxy

import (
	"net/http"
	"time"

	"orchidjunction/rollout/score"
	"orchidjunction/routing"
)

// countSent counts a request that is about to be sent, if a roll-out of its service is active.
func (held *candidate) countSent() {
	switch {
	case held.canary == nil:
	case held.underTest:
		held.canary.counts.requests.Add(1)
	default:
		held.canary.counts.formerRequests.Add(1)
	}
}

// judge takes what an exchange came to as an item: to be judged where it is of a version
// under test, else for the reference. A connection that broke before the deadline exceeds, but
// is no failure of the version: mostly its machine crashed, which few requests tell late.
func (proxy *Proxy) judge(request *request, held *candidate, answer *response, ended outcome, begun time.Time) {
	now := proxy.clock()
	item, isItem := proxy.itemOf(request, held, answer, ended, begun, now)
	if !isItem {
		return
	}
	key := score.Key{Service: request.service, Route: request.route.Name}
	isBroken := ended == lost && now.Before(request.deadline)
	if held.underTest {
		judgement := proxy.references.Judge(key, item)
		judgement.Failed = judgement.Failed && !isBroken
		held.canary.counts.countItem(judgement)
		proxy.countJudgement(judgement)
		return
	}
	if held.canary != nil {
		held.canary.counts.countFormer(proxy.references.Failed(key, item) && !isBroken)
	}
	if !held.target.isEjected(now) {
		proxy.references.Add(key, item, held.target.number)
	}
}

// itemOf makes an item of an exchange. What did not run is none, nor what the client or its
// deadline ended, nor what began at a cold backend.
func (proxy *Proxy) itemOf(request *request, held *candidate, answer *response, ended outcome, begun, now time.Time) (score.Item, bool) {
	took := now.Sub(begun)
	item := score.Item{Target: time.Duration(request.route.TargetMs) * time.Millisecond}
	if ended == unsent || ended == refused || request.context.Err() != nil || held.cold(begun, proxy.clusterTimeMs()-took.Milliseconds()) {
		return item, false
	}
	if ended == lost && !now.Before(request.deadline) && took < item.Target {
		return item, false
	}
	item.Failed = ended == lost || answer.head.StatusCode >= http.StatusInternalServerError
	item.Took, item.Load = held.target.workOf(took, now)
	return item, true
}

// workOf returns how long the backend itself had an exchange, and how many requests it is
// thought to have for each that it runs at once.
func (target *target) workOf(took time.Duration, now time.Time) (time.Duration, float64) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return max(0, took-target.roundTrip), target.load(now) / float64(max(target.backend.Capacity, 1))
}

// countItem counts an item of the version under test.
func (counts *stepCounts) countItem(judgement score.Judgement) {
	counts.items.Add(1)
	if judgement.Exceeds {
		counts.exceedances.Add(1)
	}
	if judgement.Failed {
		counts.failures.Add(1)
	}
}

// countJudgement counts an item of a version under test in this process's metrics.
func (proxy *Proxy) countJudgement(judgement score.Judgement) {
	proxy.counters.Add("rollout_items", 1)
	if judgement.Exceeds {
		proxy.counters.Add("rollout_exceedances", 1)
	}
	if judgement.Failed {
		proxy.counters.Add("rollout_failures", 1)
	}
}

// countFormer counts an item of another version.
func (counts *stepCounts) countFormer(failed bool) {
	counts.formerItems.Add(1)
	if failed {
		counts.formerFailures.Add(1)
	}
}

// forgetReferences forgets those of routes that are not in force, once they are many.
func (proxy *Proxy) forgetReferences(routes []routing.Route) {
	if proxy.references.Len() <= 2*len(routes)+16 {
		return
	}
	names := make(map[string]bool, len(routes))
	for index := range routes {
		names[routes[index].Name] = true
	}
	proxy.references.Keep(func(key score.Key) bool { return names[key.Route] })
}
