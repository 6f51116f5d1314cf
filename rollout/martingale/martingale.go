// Package martingale is a sequential test of whether the items of a version under test
// exceed a quantile of the reference more often than those of a healthy version.
//
// Each item is one bit: whether its distance to the reference is above the (1 - alpha)
// quantile q of the reference's own distances. Of i items, S_i are exceedances, and
// M_i = S_i - alpha*i is a centred martingale, or falls on average, while the version is
// healthy. The test alarms when M_i is above a bound that holds for all i at once, so that
// it may be asked after each item, or after some of them: a healthy version is given an
// alarm with probability delta at most, however long the test goes on.
//
// The test, its names and its bounds are those of "Fatigue Detection via Sequential Testing
// of Biomechanical Data Using Martingale Statistic"; docs/design/rollout.md tells what
// differs. The package has no state beyond the bound: the counts are the caller's.
package martingale

import (
	"fmt"
	"math"
)

// Options are the parameters of a test, by the source's names for them.
type Options struct {
	// Alpha is the level of one item: the probability that a healthy version's exceeds.
	Alpha float64
	// Delta is the error budget of the test: the probability of an alarm for a healthy
	// version, over any number of items.
	Delta float64
	// Pieces is the number p of lines that make up the bound before s_0.
	Pieces int
	// Reference is of how many items of the old version the reference is made. The test does
	// not use it; whoever scores the items does.
	Reference int
	// SourceLines uses the lines of the source: those of Hoeffding's inequality, with the time
	// points t_j at equal distances. They are those of Chernoff's otherwise, at equal ratios,
	// which alarm sooner.
	SourceLines bool
}

// DefaultAlpha is the level of one item unless another is chosen. The source has 0.22. A bad
// version fails a part of its requests, or is several times slower there: far out in the tail.
const DefaultAlpha = 0.1

// DefaultOptions are the source's values but for the level.
func DefaultOptions() Options {
	return Options{Alpha: DefaultAlpha, Delta: 0.1, Pieces: 10, Reference: 200}
}

// check refuses options for which the bounds do not hold.
func (options *Options) check() error {
	switch {
	case !(options.Alpha > 0 && options.Alpha <= 0.5):
		return fmt.Errorf("alpha is %v, not in (0, 0.5]", options.Alpha)
	case !(options.Delta > 0 && options.Delta <= 0.5):
		return fmt.Errorf("delta is %v, not in (0, 0.5]", options.Delta)
	case options.Pieces < 2:
		return fmt.Errorf("%d pieces, fewer than 2", options.Pieces)
	case options.Reference < 1:
		return fmt.Errorf("reference of %d items", options.Reference)
	}
	return nil
}

// Test is the hybrid test: half of delta is spent on the piecewise linear bound, half on the
// late one. It is immutable.
type Test struct {
	options Options
	lines   []line
	late    lateBound
}

// NewTest returns a test with options.
func NewTest(options Options) (*Test, error) {
	if err := options.check(); err != nil {
		return nil, fmt.Errorf("martingale: %w", err)
	}
	late := newLateBound(options.Alpha, options.Delta/2)
	return &Test{
		options: options,
		lines:   newLines(&options, late.start),
		late:    late,
	}, nil
}

// Threshold returns the bound that M_i must not be above after so many items. It is the
// least of all bounds that hold there.
func (test *Test) Threshold(items uint64) float64 {
	time := float64(items)
	threshold := math.Inf(1)
	for _, line := range test.lines {
		threshold = min(threshold, line.at(time))
	}
	if time >= test.late.start {
		threshold = min(threshold, test.late.at(time))
	}
	return threshold
}

// Statistic returns M_i of so many items and exceedances.
func (test *Test) Statistic(items, exceedances uint64) float64 {
	return float64(exceedances) - test.options.Alpha*float64(items)
}

// Alarm is whether M_i of so many items and exceedances is above the bound.
func (test *Test) Alarm(items, exceedances uint64) bool {
	return items > 0 && test.Statistic(items, exceedances) > test.Threshold(items)
}
