package martingale

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"
)

var (
	runs  = flag.Int("runs", 300, "healthy roll-outs to simulate")
	items = flag.Int("items", 4000, "items of each")
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

// Guards against another form of the bounds than the one that follows from the inequality.
func TestBoundsByHand(test *testing.T) {
	equidistant := newTest(test, func(options *Options) { options.Equidistant = true })
	if start := equidistant.late.start; start != 2337 { // ceil(780 log(20))
		test.Errorf("late bound from %v", start)
	}
	for items, want := range map[uint64]float64{
		2:    2.303, // the first line: 0.8138 * (2/1.527 + 1.527)
		2337: 78.68, // the last line at its own point: sqrt(2337/2 * log(200))
	} {
		if got := equidistant.Threshold(items); math.Abs(got-want) > 0.01 {
			test.Errorf("after %d: %v, want %v", items, got, want)
		}
	}
	points := timePoints(&equidistant.options, equidistant.late.start)
	for index, point := range points[1:] {
		tau := math.Sqrt(point * points[index])
		if left, right := equidistant.lines[index].at(tau), equidistant.lines[index+1].at(tau); math.Abs(left-right) > 1e-9 {
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

// Guards against an alarm that comes without items, or not at all.
func TestAlarmOfCounts(test *testing.T) {
	for _, equidistant := range []bool{false, true} {
		made := newTest(test, func(options *Options) { options.Equidistant = equidistant })
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
				test.Errorf("%+v, equidistant %v: %v, threshold %v", one, equidistant, got, made.Threshold(one.items))
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

// alarmAt returns after how many items, of those that next gives, a test alarms; 0 if never.
func alarmAt(made *Test, most int, next func() bool) int {
	exceedances := uint64(0)
	for count := 1; count <= most; count++ {
		if next() {
			exceedances++
		}
		if made.Alarm(uint64(count), exceedances) {
			return count
		}
	}
	return 0
}

// Guards against a bound that gives healthy versions alarms more often than delta.
func TestFalseAlarms(test *testing.T) {
	for _, delta := range []float64{0.1, 0.01} {
		for _, equidistant := range []bool{false, true} {
			made := newTest(test, func(options *Options) { options.Delta, options.Equidistant = delta, equidistant })
			alarms := 0
			for seed := range *runs {
				random := rand.New(rand.NewPCG(uint64(seed), 1))
				if alarmAt(made, *items, func() bool { return random.Float64() < made.options.Alpha }) > 0 {
					alarms++
				}
			}
			test.Logf("independent, delta %v, equidistant %v: %d alarms in %d runs of %d", delta, equidistant, alarms, *runs, *items)
			if float64(alarms) > delta*float64(*runs) {
				test.Errorf("more than delta")
			}
		}
	}
}
