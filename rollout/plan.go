package rollout

import "time"

// Bounds limit the exposure to a version that may be bad: it may get Share of all requests to
// its service between order and deadline, and Extra requests on top.
type Bounds struct {
	Share float64
	Extra float64
}

// DefaultBounds are used unless others are configured.
var DefaultBounds = Bounds{Share: 0.1, Extra: 50}

// The steps of a rollout. In waitingStep, the new version gets no requests. In exclusiveStep, the
// old version gets none, even if the new one has no free capacity or failed.
const (
	waitingStep = iota
	canaryStep
	rampingStep
	fullStep
	exclusiveStep
)

// The shares of canary and ramping step are relative to Bounds.Share: together the two steps use
// about a quarter of the bound, which leaves the rest for a version that turns bad under full load.
const (
	canaryShareFactor  = 0.3
	rampingShareFactor = 1.5
	// canaryTimeFraction is the fraction of the time limit before the ramping step, since some
	// versions turn bad only after a while. The rest is for the larger shares, and for the last
	// requests at the old version, which may take as long as their deadline.
	canaryTimeFraction = 0.5
	// rampingTime is the minimum duration of the ramping step.
	rampingTime = 1100 * time.Millisecond
	// reactionTime is how long a version that turns bad keeps its share: until enough responses
	// are counted and reported, and the proxies have received the decision.
	reactionTime = 850 * time.Millisecond
	// fullTime is the minimum duration of the full step, and exclusiveTime that of the exclusive
	// step.
	fullTime      = 800 * time.Millisecond
	exclusiveTime = 400 * time.Millisecond
	// minItems is the number of judged responses that are needed before a larger share. If four
	// in ten responses exceed, the alarm has been raised by then in nine of ten rollouts.
	minItems = 40
	// plannedBoundFraction is the fraction of the bound that may be planned for, and
	// expectedTrafficFraction the fraction of the current traffic expected until the deadline.
	plannedBoundFraction    = 0.95
	expectedTrafficFraction = 0.9
)

// share returns the share of requests that the new version gets in a step.
func (bounds Bounds) share(step int) float64 {
	switch step {
	case canaryStep:
		return canaryShareFactor * bounds.Share
	case rampingStep:
		return min(1, rampingShareFactor*bounds.Share)
	case fullStep, exclusiveStep:
		return 1
	}
	return 0
}

// exposure is the number of requests to the new version so far, and to all versions.
type exposure struct {
	newRequests float64
	allRequests float64
	elapsed     time.Duration
	remaining   time.Duration // until the deadline
}

// allows reports whether a version that turns bad as soon as it gets share stays within the
// bounds.
func (bounds Bounds) allows(exposure exposure, share float64) bool {
	if exposure.elapsed <= 0 {
		return share == 0
	}
	rate := exposure.allRequests / exposure.elapsed.Seconds()
	expected := exposure.allRequests + expectedTrafficFraction*rate*max(0, exposure.remaining.Seconds())
	atRisk := exposure.newRequests + share*rate*reactionTime.Seconds()
	return atRisk <= plannedBoundFraction*bounds.Share*expected+bounds.Extra/2
}
