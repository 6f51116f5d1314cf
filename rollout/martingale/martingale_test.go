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
	made, err := NewTest(options)
	if err != nil {
		test.Fatal(err)
	}
	return made
}

// source are the source's options.
func source(options *Options) { options.Alpha, options.SourceLines = 0.22, true }

// Guards against another form of the source's bounds than the one that follows from the
// inequality.
func TestSourceBoundsByHand(test *testing.T) {
	made := newTest(test, source)
	if start := made.late.start; start != 2337 { // ceil(780 log(20))
		test.Errorf("late bound from %v", start)
	}
	for items, want := range map[uint64]float64{
		2:    2.303, // the first line: 0.8138 * (2/1.527 + 1.527)
		2337: 78.68, // the last line at its own point: sqrt(2337/2 * log(200))
	} {
		if got := made.Threshold(items); math.Abs(got-want) > 0.01 {
			test.Errorf("after %d: %v, want %v", items, got, want)
		}
	}
	points := timePoints(&made.options, math.Log(200), made.late.start)
	for index, point := range points[1:] {
		tau := math.Sqrt(point * points[index])
		if left, right := made.lines[index].at(tau), made.lines[index+1].at(tau); math.Abs(left-right) > 1e-9 {
			test.Errorf("lines %d and %d do not cross at %v", index, index+1, tau)
		}
	}
	// Theorem 1 rounds Theorem 2 up for an alpha of 0.2: 0.7t (loglog 0.2t + log(10/delta)/2).
	for _, time := range []float64{2000, 10_000, 1_000_000} {
		rounded := math.Sqrt(0.7 * time * (math.Log(math.Log(0.2*time)) + math.Log(10/0.1)/2))
		if exact := newLateBound(0.2, 0.1).at(time); exact > rounded || exact < 0.95*rounded {
			test.Errorf("late bound at %v is %v, by Theorem 1 %v", time, exact, rounded)
		}
	}
}

// Guards against lines that are not Chernoff's bound at their own time: there, the divergence of
// the rate that they allow from alpha, times the time, is log(p/delta).
func TestChernoffLines(test *testing.T) {
	made := newTest(test, nil)
	alpha, budget := made.options.Alpha, math.Log(200)
	for index, point := range timePoints(&made.options, budget, made.late.start) {
		rate := alpha + made.lines[index].at(point)/point
		if rate >= 1 {
			continue // no number of exceedances is unlikely enough so early
		}
		divergence := rate*math.Log(rate/alpha) + (1-rate)*math.Log((1-rate)/(1-alpha))
		if math.Abs(point*divergence-budget) > 1e-6 {
			test.Errorf("line %d at %v: %v, want %v", index, point, point*divergence, budget)
		}
		if hoeffding := hoeffdingLine(point, budget).at(point); made.lines[index].at(point) > hoeffding {
			test.Errorf("line %d is above Hoeffding's", index)
		}
	}
}

// Guards against an alarm that comes without items, or not at all.
func TestAlarmOfCounts(test *testing.T) {
	for name, change := range map[string]func(*Options){
		"default": func(options *Options) { options.Alpha = 0.22 }, "source": source,
	} {
		made := newTest(test, change)
		for _, one := range []struct {
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
			if got := made.Alarm(one.items, one.exceedances); got != one.alarm {
				test.Errorf("%+v, %s: %v, threshold %v", one, name, got, made.Threshold(one.items))
			}
		}
	}
}

// Guards against options that make the bounds meaningless.
func TestOptionsAreChecked(test *testing.T) {
	for name, change := range map[string]func(*Options){
		"alpha 0":    func(options *Options) { options.Alpha = 0 },
		"alpha 0.6":  func(options *Options) { options.Alpha = 0.6 },
		"alpha NaN":  func(options *Options) { options.Alpha = math.NaN() },
		"delta 0":    func(options *Options) { options.Delta = 0 },
		"delta 1":    func(options *Options) { options.Delta = 1 },
		"one piece":  func(options *Options) { options.Pieces = 1 },
		"no history": func(options *Options) { options.Reference = 0 },
	} {
		options := DefaultOptions()
		change(&options)
		if _, err := NewTest(options); err == nil {
			test.Errorf("%s is taken", name)
		}
	}
	small := newTest(test, func(options *Options) { options.Alpha = 0.01 })
	if late := small.Threshold(10_000_000); math.IsNaN(late) || late <= 0 {
		test.Errorf("late bound of a small alpha: %v", late)
	}
}
