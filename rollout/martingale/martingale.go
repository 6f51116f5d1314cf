// Package martingale implements a sequential test of whether the items of a version under
// test exceed a quantile of the reference more often than those of a healthy version.
//
// Each item is one bit: whether its distance to the reference is above the (1 - alpha)
// quantile q of the reference's own distances. S_i counts the exceedances among i items;
// M_i = S_i - alpha*i is a supermartingale while the version is healthy. The test raises an
// alarm when M_i is above a bound that holds for all i simultaneously, so it may be evaluated
// after any number of items: the probability of an alarm for a healthy version is at most
// delta, however long the test runs.
//
// The test, its notation and its bounds follow the paper "Fatigue Detection via Sequential
// Testing of Biomechanical Data Using Martingale Statistic"; docs/design/rollout.md lists the
// differences. The package keeps no counts; the caller passes them in.
package martingale

import (
	"fmt"
	"math"
)

// Options are the parameters of a test, named as in the paper.
type Options struct {
	// Alpha is the level of one item: the probability that an item of a healthy version exceeds.
	Alpha float64
	// Delta is the error budget of the test: the maximum probability of an alarm for a
	// healthy version, over any number of items.
	Delta float64
	// Pieces is the number p of lines of which the bound before s_0 consists.
	Pieces int
	// Reference is the number of items of the old version in the reference. Only the scoring
	// of items depends on it, not the test.
	Reference int
	// SourceLines selects the paper's lines: from Hoeffding's inequality, with equidistant time
	// points t_j. The default is lines from Chernoff's bound, with time points in geometric
	// progression, which raise alarms sooner.
	SourceLines bool
}

// DefaultAlpha is the default level of one item. It is below the paper's 0.22 because a bad
// version fails some of its requests or is several times slower there: far out in the tail.
const DefaultAlpha = 0.1

// DefaultOptions returns the paper's values, except for the level and the lines.
func DefaultOptions() Options {
	return Options{Alpha: DefaultAlpha, Delta: 0.1, Pieces: 10, Reference: 200}
}

// validate returns an error if the bounds do not hold for the options.
func (options *Options) validate() error {
	switch {
	case !(options.Alpha > 0 && options.Alpha <= 0.5):
		return fmt.Errorf("alpha %v is not in (0, 0.5]", options.Alpha)
	case !(options.Delta > 0 && options.Delta <= 0.5):
		return fmt.Errorf("delta %v is not in (0, 0.5]", options.Delta)
	case options.Pieces < 2:
		return fmt.Errorf("%d pieces; at least 2 are needed", options.Pieces)
	case options.Reference < 1:
		return fmt.Errorf("reference size %d is below 1", options.Reference)
	}
	return nil
}

// Test is the paper's hybrid test: half of delta is spent on the piecewise linear bound, half
// on the iterated-logarithm bound. It is immutable.
type Test struct {
	options     Options
	lines       []line
	iteratedLog iteratedLogBound
}

// NewTest returns a test, or an error if the options are invalid.
func NewTest(options Options) (*Test, error) {
	if err := options.validate(); err != nil {
		return nil, fmt.Errorf("martingale: %w", err)
	}
	iteratedLog := newIteratedLogBound(options.Alpha, options.Delta/2)
	return &Test{
		options:     options,
		lines:       newLines(&options, iteratedLog.start),
		iteratedLog: iteratedLog,
	}, nil
}

// Threshold returns the highest M_i after i items that raises no alarm: the minimum of all
// bounds that hold at i.
func (test *Test) Threshold(items uint64) float64 {
	time := float64(items)
	threshold := math.Inf(1)
	for _, line := range test.lines {
		threshold = min(threshold, line.at(time))
	}
	if time >= test.iteratedLog.start {
		threshold = min(threshold, test.iteratedLog.at(time))
	}
	return threshold
}

// Statistic returns M_i.
func (test *Test) Statistic(items, exceedances uint64) float64 {
	return float64(exceedances) - test.options.Alpha*float64(items)
}

// Alarm reports whether M_i is above the bound.
func (test *Test) Alarm(items, exceedances uint64) bool {
	return items > 0 && test.Statistic(items, exceedances) > test.Threshold(items)
}
