package hostproxy

import (
	"math/rand/v2"
	"slices"
	"time"
)

// maxConnections bounds the connections to a backend of a service without a limit.
const maxConnections = 64

// What a backend's distance adds to its cost, in milliseconds: a fixed part and a
// part for each kilobyte that a request of the route usually carries, together at
// most a share of the route's target.
const (
	queueDepth      = 2.0
	nearPenalty     = 100.0
	farPenalty      = 300.0
	kilobytePenalty = 10.0
	maxNear         = 0.5
	maxFar          = 0.75
)

// choice is what choosing ended with.
type choice uint8

const (
	chosen choice = iota
	allFull
	noneLeft
	noneAllowed
)

// selection is what choose has seen of the candidates so far.
type selection struct {
	best      *candidate // the cheapest warm candidate with room
	bestCost  float64
	coldest   *candidate // the cheapest cold candidate that this proxy may warm up
	coldCost  float64
	fallback  *candidate // a candidate that is ejected
	full      bool       // whether a warm candidate had no room
	permitted bool       // whether the homes allow any candidate
}

// choose takes a place at the candidate of least cost: its waiting time, distance and
// load on links weighed together. It starts at a random candidate, so that equal
// costs spread. A cold candidate is taken only where no warm one has room.
func (proxy *Proxy) choose(request *request, candidates []candidate, tried []*target) (*candidate, choice) {
	return proxy.chooseFrom(request, candidates, tried, true)
}

// chooseFrom is choose; it takes an ejected candidate only where that is the last resort.
func (proxy *Proxy) chooseFrom(request *request, candidates []candidate, tried []*target, lastResort bool) (*candidate, choice) {
	now := proxy.clock()
	trueNow := proxy.clusterTimeMs()
	mean, kilobytes := request.stats.expect(request.route)
	seen := selection{}
	offset := 0
	if len(candidates) > 0 {
		offset = rand.IntN(len(candidates))
	}
	for step := range candidates {
		candidate := &candidates[(step+offset)%len(candidates)]
		if !request.mayGoTo(candidate.region) {
			continue
		}
		seen.permitted = true
		if slices.Contains(tried, candidate.target) {
			continue
		}
		penalty := distancePenalty(candidate.distance, kilobytes, float64(request.route.TargetMs))
		cost, isFull, ejected := candidate.target.evaluate(now, mean, penalty)
		if candidate.cold(now, trueNow) {
			seen.considerCold(candidate, cost, isFull || ejected)
		} else {
			seen.considerWarm(candidate, cost, isFull, ejected)
		}
	}
	return seen.take(now, lastResort && len(tried) == 0)
}

// mayGoTo is whether the homes of the request's route and tenant allow a region.
func (request *request) mayGoTo(region string) bool {
	if !allowsRegion(request.route.Homes, region) {
		return false
	}
	return request.tenant == nil || allowsRegion(request.tenant.Homes, region)
}

// distancePenalty is what a candidate's distance adds to its cost, in milliseconds.
func distancePenalty(away distance, kilobytes, targetMs float64) float64 {
	switch away {
	case sameRegion:
		return min(nearPenalty+kilobytes*kilobytePenalty, maxNear*targetMs)
	case otherRegion:
		return min(farPenalty+kilobytes*kilobytePenalty, maxFar*targetMs)
	}
	return 0
}

// considerCold weighs a candidate that may bear only its warm-up rate.
func (seen *selection) considerCold(candidate *candidate, cost float64, unavailable bool) {
	if !candidate.owned || unavailable {
		return
	}
	if seen.coldest == nil || cost < seen.coldCost {
		seen.coldest, seen.coldCost = candidate, cost
	}
}

// considerWarm weighs a candidate that may bear its full load.
func (seen *selection) considerWarm(candidate *candidate, cost float64, isFull, ejected bool) {
	switch {
	case ejected:
		seen.fallback = candidate
	case isFull:
		seen.full = true
	case seen.best == nil || cost < seen.bestCost:
		seen.best, seen.bestCost = candidate, cost
	}
}

// take begins a request at the best candidate seen, or tells why there is none. An
// ejected candidate is taken only by a request's first attempt.
func (seen *selection) take(now time.Time, first bool) (*candidate, choice) {
	best := seen.best
	if best == nil && seen.coldest != nil && seen.coldest.target.takeWarmup(now, seen.coldest.warmupRate) {
		best = seen.coldest
	}
	if best == nil && !seen.full && first {
		best = seen.fallback
	}
	switch {
	case best != nil:
		best.target.begin()
		return best, chosen
	case !seen.permitted:
		return nil, noneAllowed
	case seen.full || seen.coldest != nil:
		return nil, allFull
	}
	return nil, noneLeft
}

// cold is whether a backend may bear only its warm-up rate.
func (held *candidate) cold(now time.Time, trueNow int64) bool {
	return held.warmAt > trueNow || held.target.isSuspect(now)
}
