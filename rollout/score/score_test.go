package score

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"orchidjunction/rollout/martingale"
)

// itemSource draws an item of a version: its time in milliseconds, and whether it failed.
type itemSource func(random *rand.Rand) (float64, bool)

func lognormal(median, spread float64) itemSource {
	return func(random *rand.Rand) (float64, bool) { return median * math.Exp(spread*random.NormFloat64()), false }
}

// times multiplies the times of a fraction of the items by factor.
func (from itemSource) times(factor, fraction float64) itemSource {
	return func(random *rand.Rand) (float64, bool) {
		took, failed := from(random)
		if random.Float64() < fraction {
			took *= factor
		}
		return took, failed
	}
}

// failing makes a fraction of the items fail after 2 ms.
func (from itemSource) failing(fraction float64) itemSource {
	return func(random *rand.Rand) (float64, bool) {
		if took, failed := from(random); random.Float64() >= fraction {
			return took, failed
		}
		return 2, true
	}
}

func pareto(random *rand.Rand) (float64, bool) {
	return 20 * math.Pow(1-random.Float64(), -1/1.1), false
}

func constant(*rand.Rand) (float64, bool) { return 50, false }

func (from itemSource) item(random *rand.Rand) Item {
	took, failed := from(random)
	return Item{Failed: failed, Took: time.Duration(took * float64(time.Millisecond)), Target: time.Second}
}

var routeKey = Key{Service: "plain", Route: "again"}

// exceedanceRate returns the fraction of the target's items that exceed, over 200 references of size items.
func exceedanceRate(seed uint64, size int, old, target itemSource) float64 {
	random := rand.New(rand.NewPCG(seed, 3))
	exceeding, all := 0, 0
	for range 200 {
		references := NewReferences()
		for number := range size {
			references.Add(routeKey, old.item(random), uint32(number%7))
		}
		for range 50 {
			if references.Judge(routeKey, target.item(random)).Exceeds {
				exceeding++
			}
			all++
		}
	}
	return float64(exceeding) / float64(all)
}

// Guards against healthy versions that exceed more often than alpha, for any distribution of the
// times and any size of the reference.
func TestHealthyVersionExceedsAtMostAlpha(test *testing.T) {
	usual := lognormal(120, 0.8)
	for name, healthy := range map[string]itemSource{
		"usual": usual, "heavy tail": pareto, "constant": constant, "failing alike": usual.failing(0.02), "failing often": usual.failing(0.5),
		"slow at times": usual.times(20, 0.01), "two speeds": usual.times(3, 0.3),
	} {
		for _, size := range []int{0, 1, 2, 4, 5, 12, 40, 200, 500} {
			if got := exceedanceRate(1, size, healthy, healthy); got > Alpha {
				test.Errorf("%s: exceedance rate %v with a reference of %d items", name, got, size)
			}
		}
	}
	if got := exceedanceRate(2, 200, usual, usual.times(0.3, 1)); got > 0.05 {
		test.Errorf("a faster version: exceedance rate %v", got)
	}
}

// Guards against healthy versions that exceed too often for as long as a reference is used, if the
// reference is small or unrepresentative.
func TestFixedReferenceRarelyExceedsAlpha(test *testing.T) {
	random := rand.New(rand.NewPCG(9, 3))
	wide := lognormal(120, 4) // so wide that logTolerance has no effect
	for _, size := range []int{20, 200} {
		above := 0
		for range 100 {
			references, exceeding := NewReferences(), 0
			for number := range size {
				references.Add(routeKey, wide.item(random), uint32(number))
			}
			for range 2000 {
				if references.Judge(routeKey, wide.item(random)).Exceeds {
					exceeding++
				}
			}
			if float64(exceeding) > Alpha*2000 {
				above++
			}
		}
		if above > 25 {
			test.Errorf("references of %d items: %d of 100 have an exceedance rate above alpha", size, above)
		}
	}
}

// itemsUntilAlarm returns the number of items until the sequential test raises an alarm, if
// exactly the fraction rate of them exceeds.
func itemsUntilAlarm(test *testing.T, rate float64) int {
	test.Helper()
	made, err := martingale.NewTest(martingale.DefaultOptions())
	if err != nil {
		test.Fatal(err)
	}
	for items := 1; items < 100_000; items++ {
		if (rate-Alpha)*float64(items) > made.Threshold(uint64(items)) {
			return items
		}
	}
	return math.MaxInt
}

// Guards against a score that detects bad versions too late or not at all.
func TestBadVersionRaisesAlarm(test *testing.T) {
	usual := lognormal(120, 0.8)
	for name, testCase := range map[string]struct {
		bad      itemSource
		size     int
		maxItems int // until the alarm
	}{
		"all slow x8":       {usual.times(8, 1), 200, 6},
		"all slow x3":       {usual.times(3, 1), 200, 25},
		"a half slow x5":    {usual.times(5, 0.5), 200, 84},
		"a third fails":     {usual.failing(0.33), 200, 104},
		"a sixth fails":     {usual.failing(0.17), 200, 150},
		"all fail at first": {usual.failing(1), 4, 5},
		"a half fails soon": {usual.failing(0.5), 12, 35},
	} {
		got := exceedanceRate(3, testCase.size, usual, testCase.bad)
		items := itemsUntilAlarm(test, got)
		test.Logf("%s: %.3f exceed, alarm after %d items", name, got, items)
		if items > testCase.maxItems {
			test.Errorf("%s: alarm after %d items, want at most %d", name, items, testCase.maxItems)
		}
	}
}

// Guards against a slow route that is mistaken for a slow version, and a fault on one route that
// is hidden by the others.
func TestRoutesHaveSeparateReferences(test *testing.T) {
	random := rand.New(rand.NewPCG(4, 3))
	quick, slow := lognormal(20, 0.5), lognormal(600, 0.5)
	references, other := NewReferences(), Key{Service: "plain", Route: "other"}
	for number := range ReferenceSize {
		references.Add(routeKey, quick.item(random), uint32(number%7))
		references.Add(other, slow.item(random), uint32(number%7))
	}
	healthy, faulty := 0, 0
	for range 1000 {
		if references.Judge(other, slow.item(random)).Exceeds {
			healthy++
		}
		if references.Judge(routeKey, quick.times(8, 1).item(random)).Exceeds {
			faulty++
		}
	}
	if healthy > 1000*Alpha || faulty < 900 {
		test.Errorf("of 1000 items each, %d of the slow route exceed, and %d of the faulty one", healthy, faulty)
	}
}

// Guards against false alarms because requests already prefer the fast backends of the old
// version, but not yet those of the new one.
func TestPreferredFastBackendsCauseNoExceedances(test *testing.T) {
	random := rand.New(rand.NewPCG(5, 3))
	speeds := []float64{0.7, 0.7, 1.6}
	usual := lognormal(120, 0.6)
	exceeding, all := 0, 0
	for range 100 {
		references := NewReferences()
		for range ReferenceSize {
			backend := random.IntN(12)
			if speeds[backend%3] > 1 && random.IntN(10) > 0 {
				backend++
			}
			references.Add(routeKey, usual.times(speeds[backend%3], 1).item(random), uint32(backend))
		}
		for range 100 {
			if references.Judge(routeKey, usual.times(speeds[random.IntN(3)], 1).item(random)).Exceeds {
				exceeding++
			}
			all++
		}
	}
	if got := float64(exceeding) / float64(all); got > Alpha {
		test.Errorf("exceedance rate %v", got)
	}
}

// Guards against false alarms because of queues at the backends.
func TestQueuesCauseNoExceedances(test *testing.T) {
	random := rand.New(rand.NewPCG(6, 3))
	references, usual := NewReferences(), lognormal(120, 0.5)
	for number := range ReferenceSize {
		references.Add(routeKey, usual.item(random), uint32(number%7))
	}
	exceeding := 0
	for range 1000 {
		item := usual.times(3, 1).item(random)
		item.Load = 3
		if references.Judge(routeKey, item).Exceeds {
			exceeding++
		}
	}
	if exceeding > 1000*Alpha {
		test.Errorf("%d of 1000 items exceed", exceeding)
	}
}

// Late responses must count as failures, except on routes where they are common.
func TestLateResponsesFail(test *testing.T) {
	random := rand.New(rand.NewPCG(7, 3))
	late := Item{Took: 2100 * time.Millisecond, Target: time.Second}
	for name, testCase := range map[string]struct {
		old   itemSource
		fails bool
	}{"quick": {lognormal(100, 0.5), true}, "late as well": {lognormal(2500, 0.5), false}} {
		references := NewReferences()
		for number := range ReferenceSize {
			references.Add(routeKey, testCase.old.item(random), uint32(number%7))
		}
		if references.Judge(routeKey, late).Failed != testCase.fails || references.Failed(routeKey, late) != testCase.fails {
			test.Errorf("%s: want late response to count as failed: %v", name, testCase.fails)
		}
	}
	if !NewReferences().Failed(routeKey, Item{Failed: true}) || NewReferences().Failed(routeKey, late) {
		test.Error("without a reference, only failures may count as failed")
	}
}

// Guards against a reference that keeps old items, or grows with the number of requests.
func TestReferenceHoldsNewestItems(test *testing.T) {
	random := rand.New(rand.NewPCG(8, 3))
	references, other := NewReferences(), Key{Service: "plain", Route: "other"}
	for _, median := range []float64{10, 1000} {
		for number := range 2 * ReferenceSize {
			references.Add(routeKey, lognormal(median, 0.3).item(random), uint32(number%7))
		}
	}
	item := lognormal(900, 0.01).item(random)
	if references.Judge(routeKey, item).Exceeds {
		test.Error("item judged by outdated observations")
	}
	item.Took = time.Millisecond
	if allocated := testing.AllocsPerRun(500, func() {
		references.Add(routeKey, item, 3)
		references.Judge(routeKey, item)
	}); allocated != 0 {
		test.Errorf("%v allocations per item", allocated)
	}
	references.Add(other, item, 1)
	references.Retain(func(key Key) bool { return key == other })
	if references.Len() != 1 {
		test.Errorf("%d references, want 1", references.Len())
	}
}
