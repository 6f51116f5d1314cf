package martingale

import (
	"math"
	"testing"
)

func newTest(test *testing.T, change func(*Options)) *Test {
	test.Helper()
	options := DefaultOptions()
	if change != nil {
		change(&options)
	}
	sequential, err := NewTest(options)
	if err != nil {
		test.Fatal(err)
	}
	return sequential
}

// paperOptions sets the options of the paper.
func paperOptions(options *Options) { options.Alpha, options.SourceLines = 0.22, true }

// Compares the paper's bounds with values derived by hand from the inequality.
func TestPaperBoundsMatchHandComputedValues(test *testing.T) {
	sequential := newTest(test, paperOptions)
	if start := sequential.iteratedLog.start; start != 2337 { // ceil(780 log(20))
		test.Errorf("iterated-logarithm bound starts at %v, want 2337", start)
	}
	for items, want := range map[uint64]float64{
		2:    2.303, // first line: 0.8138 * (2/1.527 + 1.527)
		2337: 78.68, // last line at its own time point: sqrt(2337/2 * log(200))
	} {
		if got := sequential.Threshold(items); math.Abs(got-want) > 0.01 {
			test.Errorf("threshold after %d items: %v, want %v", items, got, want)
		}
	}
	points := timePoints(&sequential.options, math.Log(200), sequential.iteratedLog.start)
	for index, point := range points[1:] {
		tau := math.Sqrt(point * points[index])
		if left, right := sequential.lines[index].at(tau), sequential.lines[index+1].at(tau); math.Abs(left-right) > 1e-9 {
			test.Errorf("adjacent lines %d and %d do not cross at %v", index, index+1, tau)
		}
	}
	// Theorem 1 is Theorem 2 rounded up, for alpha = 0.2: 0.7t (loglog 0.2t + log(10/delta)/2).
	for _, time := range []float64{2000, 10_000, 1_000_000} {
		rounded := math.Sqrt(0.7 * time * (math.Log(math.Log(0.2*time)) + math.Log(10/0.1)/2))
		if exact := newIteratedLogBound(0.2, 0.1).at(time); exact > rounded || exact < 0.95*rounded {
			test.Errorf("iterated-logarithm bound at %v: %v, rounded bound of Theorem 1: %v", time, exact, rounded)
		}
	}
}

// Checks that each line equals Chernoff's bound at its own time point: the KL divergence of the
// allowed rate from alpha, times the time, must be log(p/delta).
func TestChernoffLinesEqualBoundAtTimePoints(test *testing.T) {
	sequential := newTest(test, nil)
	alpha, logInverse := sequential.options.Alpha, math.Log(200)
	for index, point := range timePoints(&sequential.options, logInverse, sequential.iteratedLog.start) {
		rate := alpha + sequential.lines[index].at(point)/point
		if rate >= 1 {
			continue // even exceedances alone cannot raise an alarm this early
		}
		divergence := rate*math.Log(rate/alpha) + (1-rate)*math.Log((1-rate)/(1-alpha))
		if math.Abs(point*divergence-logInverse) > 1e-6 {
			test.Errorf("line %d at %v: divergence times time is %v, want %v", index, point, point*divergence, logInverse)
		}
		if hoeffding := hoeffdingLine(point, logInverse).at(point); sequential.lines[index].at(point) > hoeffding {
			test.Errorf("line %d is above Hoeffding's line", index)
		}
	}
}

// Guards against alarms for no items or usual counts, and missing alarms for clearly bad ones.
func TestAlarmByCounts(test *testing.T) {
	for name, change := range map[string]func(*Options){
		"default": func(options *Options) { options.Alpha = 0.22 }, "paper": paperOptions,
	} {
		sequential := newTest(test, change)
		for _, testCase := range []struct {
			items, exceedances uint64
			alarm              bool
		}{
			{0, 0, false},
			{1, 1, false},
			{3, 3, false},
			{20, 20, true},
			{100, 22, false},
			{100, 60, true},
			{10_000, 2200, false},
			{10_000, 2500, true},
			{1_000_000, 230_000, true},
		} {
			if got := sequential.Alarm(testCase.items, testCase.exceedances); got != testCase.alarm {
				test.Errorf("%+v, %s options: alarm %v, threshold %v", testCase, name, got, sequential.Threshold(testCase.items))
			}
		}
	}
}

// Guards against options for which the bounds do not hold.
func TestInvalidOptionsAreRejected(test *testing.T) {
	for name, change := range map[string]func(*Options){
		"alpha 0":      func(options *Options) { options.Alpha = 0 },
		"alpha 0.6":    func(options *Options) { options.Alpha = 0.6 },
		"alpha NaN":    func(options *Options) { options.Alpha = math.NaN() },
		"delta 0":      func(options *Options) { options.Delta = 0 },
		"delta 1":      func(options *Options) { options.Delta = 1 },
		"one piece":    func(options *Options) { options.Pieces = 1 },
		"no reference": func(options *Options) { options.Reference = 0 },
	} {
		options := DefaultOptions()
		change(&options)
		if _, err := NewTest(options); err == nil {
			test.Errorf("%s: options accepted", name)
		}
	}
	small := newTest(test, func(options *Options) { options.Alpha = 0.01 })
	if threshold := small.Threshold(10_000_000); math.IsNaN(threshold) || threshold <= 0 {
		test.Errorf("threshold for a small alpha: %v", threshold)
	}
}
