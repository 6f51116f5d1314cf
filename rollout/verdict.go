package rollout

import (
	"math"

	"orchidjunction/message"
)

// Verdict judges a version by what was counted since its roll-out began. Alarm is asked again
// and again as the counts grow, and must bound false alarms over the whole roll-out.
type Verdict interface {
	Alarm(total message.RolloutCounts) bool
}

// FailureThreshold raises an alarm when the new version fails clearly more often than the
// former one at the same time.
type FailureThreshold struct{}

const (
	// leastFailures is how many failures say nothing yet, and leastFailureRate the rate that
	// any version is granted.
	leastFailures    = 4
	leastFailureRate = 0.005
	// failureFactor is how much more often a good version may fail, since single backends
	// that fail are not spread evenly; deviations is how many standard deviations beyond
	// that are granted, over all looks together.
	failureFactor = 1.5
	deviations    = 4
)

// Alarm implements Verdict.
func (FailureThreshold) Alarm(total message.RolloutCounts) bool {
	if total.Failures <= leastFailures {
		return false
	}
	formerRate := 0.0
	if total.FormerItems > 0 {
		formerRate = float64(total.FormerFailures) / float64(total.FormerItems)
	}
	expected := failureFactor * max(formerRate, leastFailureRate) * float64(total.Items)
	return float64(total.Failures) > expected+leastFailures+deviations*math.Sqrt(expected)
}

// AnyOf raises an alarm when one of several verdicts does.
type AnyOf []Verdict

// Alarm implements Verdict.
func (verdicts AnyOf) Alarm(total message.RolloutCounts) bool {
	for _, verdict := range verdicts {
		if verdict.Alarm(total) {
			return true
		}
	}
	return false
}
