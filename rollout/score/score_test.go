package score

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"orchidjunction/rollout/martingale"
)

// source makes items of a version: the time in milliseconds, and whether it failed.
type source func(random *rand.Rand) (float64, bool)

func lognormal(median, spread float64) source {
	return func(random *rand.Rand) (float64, bool) { return median * math.Exp(spread*random.NormFloat64()), false }
}

// times makes a part of a source's items slower.
func (from source) times(factor, part float64) source {
	return func(random *rand.Rand) (float64, bool) {
		took, failed := from(random)
		if random.Float64() < part {
			took *= factor
		}
		return took, failed
	}
}

// failing makes a part of a source's items fail at once.
func (from source) failing(part float64) source {
	return func(random *rand.Rand) (float64, bool) {
		if took, failed := from(random); random.Float64() >= part {
			return took, failed
		}
		return 2, true
	}
}

func pareto(random *rand.Rand) (float64, bool) {
	return 20 * math.Pow(1-random.Float64(), -1/1.1), false
}

func constant(*rand.Rand) (float64, bool) { return 50, false }

func (from source) item(random *rand.Rand) Item {
	took, failed := from(random)
	return Item{Failed: failed, Took: time.Duration(took * float64(time.Millisecond)), Target: time.Second}
}

var ownKey = Key{Service: "plain", Route: "again"}

// rate returns which part of a version's items exceed, over references of so many items each.
func rate(seed uint64, size int, former, target source) float64 {
	random := rand.New(rand.NewPCG(seed, 3))
	exceeding, all := 0, 0
	for range 200 {
		references := NewReferences()
		for number := range size {
			references.Add(ownKey, former.item(random), uint32(number%7))
		}
		for range 50 {
			if references.Judge(ownKey, target.item(random)).Exceeds {
				exceeding++
			}
			all++
		}
	}
	return float64(exceeding) / float64(all)
}

// Guards against a score by which a healthy version exceeds more often than alpha allows,
// whatever the times are like, and however short the reference is.
func TestHealthyVersionExceedsAtMostAlpha(test *testing.T) {
	usual := lognormal(120, 0.8)
	for name, healthy := range map[string]source{
		"usual": usual, "heavy tail": pareto, "constant": constant, "failing alike": usual.failing(0.02), "failing often": usual.failing(0.5),
		"slow at times": usual.times(20, 0.01), "two speeds": usual.times(3, 0.3),
	} {
		for _, size := range []int{0, 1, 2, 4, 5, 12, 40, 200, 500} {
			if got := rate(1, size, healthy, healthy); got > Alpha {
				test.Errorf("%s: %v with a reference of %d", name, got, size)
			}
		}
	}
	if got := rate(2, 200, usual, usual.times(0.3, 1)); got > 0.05 {
		test.Errorf("a faster version: %v", got)
	}
}

// Guards against a reference by which a healthy version exceeds too often for as long as it
// lasts, when it is a short or an unlucky one.
func TestLastingReferenceSeldomHasMoreThanAlpha(test *testing.T) {
	random := rand.New(rand.NewPCG(9, 3))
	wide := lognormal(120, 4) // beside which the tolerance is nothing
	for _, size := range []int{20, 200} {
		above := 0
		for range 100 {
			references, exceeding := NewReferences(), 0
			for number := range size {
				references.Add(ownKey, wide.item(random), uint32(number))
			}
			for range 2000 {
				if references.Judge(ownKey, wide.item(random)).Exceeds {
					exceeding++
				}
			}
			if float64(exceeding) > Alpha*2000 {
				above++
			}
		}
		if above > 25 {
			test.Errorf("of 100 references of %d items, %d have more", size, above)
		}
	}
}

// itemsUntilAlarm is after how many items the test of the counts alarms, if of any number of
// them the same part exceeds.
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

// Guards against a score that does not tell a bad version from a healthy one.
func TestBadVersionExceeds(test *testing.T) {
	usual := lognormal(120, 0.8)
	for name, one := range map[string]struct {
		bad  source
		size int
		most int // items until the alarm
	}{
		"all slow x8":       {usual.times(8, 1), 200, 6},
		"all slow x3":       {usual.times(3, 1), 200, 25},
		"a half slow x5":    {usual.times(5, 0.5), 200, 84},
		"a third fails":     {usual.failing(0.33), 200, 104},
		"a sixth fails":     {usual.failing(0.17), 200, 150},
		"all fail at first": {usual.failing(1), 4, 5},
		"a half fails soon": {usual.failing(0.5), 12, 35},
	} {
		got := rate(3, one.size, usual, one.bad)
		items := itemsUntilAlarm(test, got)
		test.Logf("%s: %.3f exceed, alarm after %d items", name, got, items)
		if items > one.most {
			test.Errorf("%s: alarm after %d items, at most %d wanted", name, items, one.most)
		}
	}
}

// Guards against a slow route that passes for a slow version, and a fault on one route that is
// hidden by the others.
func TestRoutesHaveReferencesOfTheirOwn(test *testing.T) {
	random := rand.New(rand.NewPCG(4, 3))
	quick, slow := lognormal(20, 0.5), lognormal(600, 0.5)
	references, other := NewReferences(), Key{Service: "plain", Route: "other"}
	for number := range ReferenceSize {
		references.Add(ownKey, quick.item(random), uint32(number%7))
		references.Add(other, slow.item(random), uint32(number%7))
	}
	healthy, faulty := 0, 0
	for range 1000 {
		if references.Judge(other, slow.item(random)).Exceeds {
			healthy++
		}
		if references.Judge(ownKey, quick.times(8, 1).item(random)).Exceeds {
			faulty++
		}
	}
	if healthy > 1000*Alpha || faulty < 900 {
		test.Errorf("%d of the slow route, %d of the faulty one", healthy, faulty)
	}
}

// Guards against a version that is blamed because requests know the fast backends of the old
// one, and not yet its own.
func TestFastBackendsOfTheOldVersionDoNotBlameTheNew(test *testing.T) {
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
			references.Add(ownKey, usual.times(speeds[backend%3], 1).item(random), uint32(backend))
		}
		for range 100 {
			if references.Judge(ownKey, usual.times(speeds[random.IntN(3)], 1).item(random)).Exceeds {
				exceeding++
			}
			all++
		}
	}
	if got := float64(exceeding) / float64(all); got > Alpha {
		test.Errorf("%v", got)
	}
}

// Guards against a version that is blamed for its backends' queues.
func TestQueuesAreNotTheVersionsFault(test *testing.T) {
	random := rand.New(rand.NewPCG(6, 3))
	references, usual := NewReferences(), lognormal(120, 0.5)
	for number := range ReferenceSize {
		references.Add(ownKey, usual.item(random), uint32(number%7))
	}
	exceeding := 0
	for range 1000 {
		item := usual.times(3, 1).item(random)
		item.Load = 3
		if references.Judge(ownKey, item).Exceeds {
			exceeding++
		}
	}
	if exceeding > 1000*Alpha {
		test.Errorf("%d of 1000", exceeding)
	}
}

// Guards against late responses that count as failures where they are usual, and against those
// that do not where they are not.
func TestLateResponsesFail(test *testing.T) {
	random := rand.New(rand.NewPCG(7, 3))
	late := Item{Took: 2100 * time.Millisecond, Target: time.Second}
	for name, one := range map[string]struct {
		former source
		fails  bool
	}{"quick": {lognormal(100, 0.5), true}, "late itself": {lognormal(2500, 0.5), false}} {
		references := NewReferences()
		for number := range ReferenceSize {
			references.Add(ownKey, one.former.item(random), uint32(number%7))
		}
		if references.Judge(ownKey, late).Failed != one.fails || references.Failed(ownKey, late) != one.fails {
			test.Errorf("%s: want %v", name, one.fails)
		}
	}
	if !NewReferences().Failed(ownKey, Item{Failed: true}) || NewReferences().Failed(ownKey, late) {
		test.Error("without a reference")
	}
}

// Guards against a reference that never forgets, or grows with the requests.
func TestReferenceIsTheNewestItems(test *testing.T) {
	random := rand.New(rand.NewPCG(8, 3))
	references, other := NewReferences(), Key{Service: "plain", Route: "other"}
	for _, median := range []float64{10, 1000} {
		for number := range 2 * ReferenceSize {
			references.Add(ownKey, lognormal(median, 0.3).item(random), uint32(number%7))
		}
	}
	item := lognormal(900, 0.01).item(random)
	if references.Judge(ownKey, item).Exceeds {
		test.Error("judged by what is long past")
	}
	item.Took = time.Millisecond
	if allocated := testing.AllocsPerRun(500, func() {
		references.Add(ownKey, item, 3)
		references.Judge(ownKey, item)
	}); allocated != 0 {
		test.Errorf("%v allocations an item", allocated)
	}
	references.Add(other, item, 1)
	references.Keep(func(key Key) bool { return key == other })
	if references.Len() != 1 {
		test.Errorf("%d references", references.Len())
	}
}
