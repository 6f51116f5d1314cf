package rollout

import (
	"math"

	"orchidjunction/message"
	"orchidjunction/rollout/martingale"
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

// ExceedanceTest raises an alarm by the sequential test of how often the new version's
// responses exceed the reference that proxies make of the former one's.
type ExceedanceTest struct{ Test *martingale.Test }

// Alarm implements Verdict.
func (verdict ExceedanceTest) Alarm(total message.RolloutCounts) bool {
	return verdict.Test.Alarm(total.Items, total.Exceedances)
}

// DefaultVerdict returns the test with its default options beside the plain threshold.
func DefaultVerdict() Verdict {
	test, err := martingale.NewTest(martingale.DefaultOptions())
	if err != nil {
		panic(err) // the defaults are constants that the package's tests check
	}
	return AnyOf{FailureThreshold{}, ExceedanceTest{Test: test}}
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
