package rollout

import "time"

// Bounds are what a version that may be bad must keep to: the share of all requests to its
// service that it may get between its order and its term, and a number of requests beyond.
type Bounds struct {
	Share float64
	Extra float64
}

// DefaultBounds are used where no others are given.
var DefaultBounds = Bounds{Share: 0.1, Extra: 50}

// The steps of a roll-out. Before the first one, the new version gets nothing. In the last
// one, the former version gets nothing, also where the new one has no room or failed.
const (
	waitingStep = iota
	canaryStep
	rampingStep
	fullStep
	exclusiveStep
)

// The shares of the steps are by the bound, so that the smaller steps use up about a quarter
// of it and the rest is left for a version that turns bad under its full load.
const (
	canaryOfBound  = 0.3
	rampingOfBound = 1.5
	// canaryUntil is the part of the time until the term in which a version stays at its
	// first share: some turn bad only after a while. The rest is for the larger shares, and
	// for the last requests at the former version, which may take as long as their deadline.
	canaryUntil = 0.5
	// rampingTime is how long a version stays at its second share.
	rampingTime = 1100 * time.Millisecond
	// reactionTime is how long a version that turns bad gets its share still: until enough
	// responses are counted and reported, and the proxies have the decision.
	reactionTime = 850 * time.Millisecond
	// fullTime is how long a version gets everything at least before the former one gets
	// nothing, and exclusiveTime how long that lasts before the former one may end.
	fullTime      = 800 * time.Millisecond
	exclusiveTime = 400 * time.Millisecond
	// minItems is how many responses must have been judged before a step to a larger share. A
	// version of which four in ten exceed has raised the alarm by then in nine of ten roll-outs.
	minItems = 40
	// exposureMargin is the part of the bound that is planned with, and laterTraffic the part
	// of the present traffic that is expected until the term.
	exposureMargin = 0.95
	laterTraffic   = 0.9
)

// share returns the share of requests that the new version gets in a step.
func (bounds Bounds) share(step int) float64 {
	switch step {
	case canaryStep:
		return canaryOfBound * bounds.Share
	case rampingStep:
		return min(1, rampingOfBound*bounds.Share)
	case fullStep, exclusiveStep:
		return 1
	}
	return 0
}

// exposure is what the new version of a service got so far, and all versions together.
type exposure struct {
	requests float64
	all      float64
	elapsed  time.Duration
	left     time.Duration // until the term
}

// allows reports whether a version that turns bad as soon as it gets a share stays within
// the bounds.
func (bounds Bounds) allows(exposure exposure, share float64) bool {
	if exposure.elapsed <= 0 {
		return share == 0
	}
	rate := exposure.all / exposure.elapsed.Seconds()
	expected := exposure.all + laterTraffic*rate*max(0, exposure.left.Seconds())
	atRisk := exposure.requests + share*rate*reactionTime.Seconds()
	return atRisk <= exposureMargin*bounds.Share*expected+bounds.Extra/2
}
