package rollout

import (
	"math"

	"orchidjunction/message"
	"orchidjunction/rollout/martingale"
)

// Verdict judges a new version by the counts since its rollout began. Alarm is evaluated
// repeatedly as the counts grow, and must bound false alarms over the whole rollout.
type Verdict interface {
	Alarm(total message.RolloutCounts) bool
}

// FailureThreshold raises an alarm when the new version fails clearly more often than the old
// one in the same period.
type FailureThreshold struct{}

const (
	// toleratedFailures is the number of failures that are not evidence yet, and
	// toleratedFailureRate the failure rate that any version may have.
	toleratedFailures    = 4
	toleratedFailureRate = 0.005
	// failureFactor is how much more often a good version may fail, since single failing
	// backends are not spread evenly. failureDeviations is the number of standard
	// deviations on top, over all evaluations.
	failureFactor     = 1.5
	failureDeviations = 4
)

// Alarm implements Verdict.
func (FailureThreshold) Alarm(total message.RolloutCounts) bool {
	if total.Failures <= toleratedFailures {
		return false
	}
	formerRate := 0.0
	if total.FormerItems > 0 {
		formerRate = float64(total.FormerFailures) / float64(total.FormerItems)
	}
	expected := failureFactor * max(formerRate, toleratedFailureRate) * float64(total.Items)
	return float64(total.Failures) > expected+toleratedFailures+failureDeviations*math.Sqrt(expected)
}

// ExceedanceTest raises an alarm by the sequential test of how often the new version's
// responses exceed the reference that proxies build from responses of the old one.
type ExceedanceTest struct{ Test *martingale.Test }

// Alarm implements Verdict.
func (verdict ExceedanceTest) Alarm(total message.RolloutCounts) bool {
	return verdict.Test.Alarm(total.Items, total.Exceedances)
}

// DefaultVerdict combines FailureThreshold and the default ExceedanceTest.
func DefaultVerdict() Verdict {
	test, err := martingale.NewTest(martingale.DefaultOptions())
	if err != nil {
		panic(err) // the default options are constants; tests check that they are valid
	}
	return AnyOf{FailureThreshold{}, ExceedanceTest{Test: test}}
}

// AnyOf raises an alarm when any of its verdicts does.
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
