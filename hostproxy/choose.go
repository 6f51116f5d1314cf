package hostproxy

import (
	"math/rand/v2"
	"slices"
	"time"
)

// defaultMaxConnections limits the connections to a backend of a service without a limit.
const defaultMaxConnections = 64

// maxQueuePerSlot limits a backend's queue, in requests per slot. The other constants make
// up the cost of distance: a fixed penalty plus one for each kilobyte of the route's mean
// response, together at most a share of the route's target time.
const (
	maxQueuePerSlot      = 2.0
	sameRegionPenaltyMs  = 100.0
	otherRegionPenaltyMs = 300.0
	kilobytePenaltyMs    = 10.0
	maxSameRegionShare   = 0.5
	maxOtherRegionShare  = 0.75
)

// chooseResult is the result of choosing a backend.
type chooseResult uint8

const (
	chosen chooseResult = iota
	allFull
	noneAvailable
	noneInHomeRegions
)

// selection tracks the candidates that choose has considered.
type selection struct {
	best         *candidate // the cheapest warm candidate with capacity
	bestCost     float64
	bestCold     *candidate // the cheapest cold candidate whose warm-up this proxy owns
	bestColdCost float64
	ejected      *candidate // an ejected candidate, as a last resort
	anyFull      bool       // whether a warm candidate was at capacity
	anyPermitted bool       // whether the home regions allow any candidate
}

// choose starts a request at the candidate of least cost, which combines expected
// service time, load, failures and distance. It starts at a random candidate, so that
// equal costs spread. A cold candidate is used only if no warm one has capacity.
func (proxy *Proxy) choose(request *request, candidates []candidate, tried []*target) (*candidate, chooseResult) {
	return proxy.chooseFrom(request, candidates, tried, true)
}

// chooseFrom is choose, but uses an ejected candidate only if lastResort is set.
func (proxy *Proxy) chooseFrom(request *request, candidates []candidate, tried []*target, lastResort bool) (*candidate, chooseResult) {
	now := proxy.clock()
	nowMs := proxy.clusterTimeMs()
	mean, kilobytes := request.stats.expected(request.route)
	selection := selection{}
	offset := 0
	if len(candidates) > 0 {
		offset = rand.IntN(len(candidates))
	}
	for index := range candidates {
		candidate := &candidates[(index+offset)%len(candidates)]
		if !request.mayUseRegion(candidate.region) {
			continue
		}
		selection.anyPermitted = true
		if slices.Contains(tried, candidate.target) {
			continue
		}
		penalty := distancePenalty(candidate.distance, kilobytes, float64(request.route.TargetMs))
		cost, isFull, ejected := candidate.target.evaluate(now, mean, penalty)
		if candidate.isCold(now, nowMs) {
			selection.considerCold(candidate, cost, isFull || ejected)
		} else {
			selection.considerWarm(candidate, cost, isFull, ejected)
		}
	}
	return selection.pick(now, lastResort && len(tried) == 0)
}

// mayUseRegion reports whether the home regions of the request's route and tenant allow a region.
func (request *request) mayUseRegion(region string) bool {
	if !allowsRegion(request.route.Homes, region) {
		return false
	}
	return request.tenant == nil || allowsRegion(request.tenant.Homes, region)
}

// distancePenalty returns the cost of a candidate's distance in milliseconds.
func distancePenalty(away distance, kilobytes, targetMs float64) float64 {
	switch away {
	case sameRegion:
		return min(sameRegionPenaltyMs+kilobytes*kilobytePenaltyMs, maxSameRegionShare*targetMs)
	case otherRegion:
		return min(otherRegionPenaltyMs+kilobytes*kilobytePenaltyMs, maxOtherRegionShare*targetMs)
	}
	return 0
}

// considerCold considers a candidate that is limited to its warm-up rate.
func (selection *selection) considerCold(candidate *candidate, cost float64, unavailable bool) {
	if !candidate.ownsWarmup || unavailable {
		return
	}
	if selection.bestCold == nil || cost < selection.bestColdCost {
		selection.bestCold, selection.bestColdCost = candidate, cost
	}
}

// considerWarm considers a candidate that may take full load.
func (selection *selection) considerWarm(candidate *candidate, cost float64, isFull, ejected bool) {
	switch {
	case ejected:
		selection.ejected = candidate
	case isFull:
		selection.anyFull = true
	case selection.best == nil || cost < selection.bestCost:
		selection.best, selection.bestCost = candidate, cost
	}
}

// pick starts a request at the best candidate, or returns why there is none. allowEjected
// is set only for a request's first attempt.
func (selection *selection) pick(now time.Time, allowEjected bool) (*candidate, chooseResult) {
	best := selection.best
	if best == nil && selection.bestCold != nil && selection.bestCold.target.takeWarmupToken(now, selection.bestCold.warmupRate) {
		best = selection.bestCold
	}
	if best == nil && !selection.anyFull && allowEjected {
		best = selection.ejected
	}
	switch {
	case best != nil:
		best.target.startRequest()
		return best, chosen
	case !selection.anyPermitted:
		return nil, noneInHomeRegions
	case selection.anyFull || selection.bestCold != nil:
		return nil, allFull
	}
	return nil, noneAvailable
}

// isCold reports whether a backend is limited to its warm-up rate.
func (candidate *candidate) isCold(now time.Time, nowMs int64) bool {
	return candidate.warmAtMs > nowMs || candidate.target.isSuspect(now)
}
