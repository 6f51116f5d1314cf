package hostproxy

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	maxConnections  = 64
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

// choose takes a place at the target that costs least: own waiting, distance and
// what it does to links weighed together. A cold one is taken only where no warm
// one has room.
func (proxy *Proxy) choose(request *request, candidates []candidate, tried []*target) (*candidate, choice) {
	now := proxy.clock()
	trueNow := proxy.now()
	mean, kilobytes := request.stats.expect(request.route)
	var best *candidate
	bestCost, full := 0.0, false
	var fallback, coldest *candidate
	coldCost := 0.0
	offset, permitted := 0, false
	if len(candidates) > 0 {
		offset = rand.IntN(len(candidates))
	}
	for step := range candidates {
		candidate := &candidates[(step+offset)%len(candidates)]
		if !allowsRegion(request.route.Homes, candidate.region) || request.tenant != nil && !allowsRegion(request.tenant.Homes, candidate.region) {
			continue
		}
		permitted = true
		if slices.Contains(tried, candidate.target) {
			continue
		}
		far := 0.0
		switch candidate.distance {
		case sameRegion:
			far = min(nearPenalty+kilobytes*kilobytePenalty, maxNear*float64(request.route.TargetMs))
		case otherRegion:
			far = min(farPenalty+kilobytes*kilobytePenalty, maxFar*float64(request.route.TargetMs))
		}
		cost, isFull, ejected := candidate.target.evaluate(now, mean, far)
		if candidate.cold(now, trueNow) {
			if !candidate.owned || isFull || ejected {
				continue
			}
			if coldest == nil || cost < coldCost {
				coldest, coldCost = candidate, cost
			}
			continue
		}
		if ejected {
			fallback = candidate
			continue
		}
		if isFull {
			full = true
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	if best == nil && coldest != nil && coldest.target.takeWarmup(now, coldest.warmupRate) {
		best = coldest
	}
	if best == nil && !full && fallback != nil && len(tried) == 0 {
		best = fallback
	}
	switch {
	case best != nil:
		best.target.begin()
		return best, chosen
	case !permitted:
		return nil, noneAllowed
	case full || coldest != nil:
		return nil, allFull
	}
	return nil, noneLeft
}

// cold is whether a backend may bear only its warm-up rate.
func (held *candidate) cold(now time.Time, trueNow int64) bool {
	return held.warmAt > trueNow || held.target.isSuspect(now)
}
