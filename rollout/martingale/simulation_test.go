package martingale_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"orchidjunction/rollout/martingale"
	"orchidjunction/rollout/score"
)

var (
	runs  = flag.Int("runs", 100, "healthy roll-outs to simulate")
	items = flag.Int("items", 3000, "items of each")
)

// bound is a test of the counts and its options.
type bound struct {
	*martingale.Test
	options martingale.Options
}

// withSource are the source's options and lines.
func withSource(options *martingale.Options) { options.Alpha, options.SourceLines = sourceAlpha, true }

const sourceAlpha = 0.22

func newBound(test *testing.T, change func(*martingale.Options)) bound {
	test.Helper()
	options := martingale.DefaultOptions()
	if change != nil {
		change(&options)
	}
	made, err := martingale.NewTest(options)
	if err != nil {
		test.Fatal(err)
	}
	return bound{Test: made, options: options}
}

// alarmAt returns after how many items, of those that next gives, a test alarms; 0 if never.
func alarmAt(made bound, most int, next bits) int {
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
		for _, alpha := range []float64{score.Alpha, sourceAlpha} {
			for _, source := range []bool{false, true} {
				made := newBound(test, func(options *martingale.Options) {
					options.Delta, options.Alpha, options.SourceLines = delta, alpha, source
				})
				alarms := 0
				for seed := range *runs {
					if alarmAt(made, *items, independent(rand.New(rand.NewPCG(uint64(seed), 1)), alpha)) > 0 {
						alarms++
					}
				}
				test.Logf(
					"independent, delta %v, alpha %v, source's lines %v: %d alarms in %d runs of %d",
					delta,
					alpha,
					source,
					alarms,
					*runs,
					*items,
				)
				if float64(alarms) > delta*float64(*runs) {
					test.Errorf("more than delta")
				}
			}
		}
	}
}

// bits gives whether each next item of a roll-out exceeds.
type bits func() bool

// independent are items that exceed with a probability.
func independent(random *rand.Rand, rate float64) bits {
	return func() bool { return random.Float64() < rate }
}

// retried are items of which a part repeats what the one before came to.
func retried(random *rand.Rand, rate, part float64) bits {
	last := random.Float64() < rate
	return func() bool {
		if random.Float64() >= part {
			last = random.Float64() < rate
		}
		return last
	}
}

// ofTenants are items of tenants that come in bursts; each tenant's exceed at a rate of its own,
// and at rate over all tenants.
func ofTenants(random *rand.Rand, rate float64, burst int) bits {
	rates := []float64{0.02, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.35, 0.4, 0.38}
	const meanOfRates = 0.22
	tenant, left := 0, 0
	return func() bool {
		if left == 0 {
			tenant, left = random.IntN(len(rates)), 1+random.IntN(2*burst-1)
		}
		left--
		return random.Float64() < rates[tenant]*rate/meanOfRates
	}
}

// plainQuantile is the source's q: the (1 - alpha) quantile of one reference that lasts, of which
// a part was taken while backends crashed.
func plainQuantile(random *rand.Rand, alpha float64, size int, tainted float64) bits {
	distances := make([]float64, size)
	for index := range distances {
		distances[index] = heavy(random)
		if random.Float64() < tainted {
			distances[index] = math.Inf(1)
		}
	}
	slices.Sort(distances)
	quantile := distances[int(math.Ceil((1-alpha)*float64(size)))-1]
	return func() bool { return heavy(random) >= quantile }
}

// heavy is a distance, or a time in milliseconds, without a finite variance.
func heavy(random *rand.Rand) float64 { return 20 * math.Pow(1-random.Float64(), -1/1.1) }

// ownLevel is which part of a reference of 200 items the score leaves above q.
const ownLevel = 0.074

// scored are heavy-tailed items that so many proxies judge, each by a reference that lasts, of
// which a part failed while backends crashed.
func scored(random *rand.Rand, proxies int, tainted float64) bits {
	key := score.Key{Service: "s", Route: "r"}
	references := make([]*score.References, proxies)
	for index := range references {
		references[index] = score.NewReferences()
		for range score.ReferenceSize {
			references[index].Add(key, heavyItem(random, tainted), uint32(random.IntN(16)))
		}
	}
	return func() bool { return references[random.IntN(proxies)].Judge(key, heavyItem(random, 0)).Exceeds }
}

func heavyItem(random *rand.Rand, tainted float64) score.Item {
	return score.Item{Failed: random.Float64() < tainted, Took: time.Duration(heavy(random) * float64(time.Millisecond))}
}

// Guards against false alarms where the source's assumptions do not hold: items that depend on
// each other, references that are tainted or few, heavy tails. What the bound does not cover is
// only measured: the source's own quantile, and bursts at the level itself.
func TestFalseAlarmsBeyondTheAssumptions(test *testing.T) {
	const alpha = score.Alpha
	made, source := newBound(test, nil), newBound(test, withSource)
	for _, one := range []struct {
		name     string
		bits     func(random *rand.Rand) bits
		bound    bound
		measured bool
	}{
		{"a tenth repeats the item before", func(random *rand.Rand) bits { return retried(random, alpha, 0.1) }, made, true},
		{"the same at the score's level", func(random *rand.Rand) bits { return retried(random, ownLevel, 0.1) }, made, false},
		{"a quarter repeats the item before", func(random *rand.Rand) bits { return retried(random, alpha, 0.25) }, made, true},
		{"the same at the score's level", func(random *rand.Rand) bits { return retried(random, ownLevel, 0.25) }, made, false},
		{"ten tenants in bursts of 5", func(random *rand.Rand) bits { return ofTenants(random, alpha, 5) }, made, true},
		{"the same at the score's level", func(random *rand.Rand) bits { return ofTenants(random, ownLevel, 5) }, made, false},
		{"ten tenants in bursts of 20", func(random *rand.Rand) bits { return ofTenants(random, alpha, 20) }, made, true},
		{"the same at the score's level", func(random *rand.Rand) bits { return ofTenants(random, ownLevel, 20) }, made, false},
		{"source: a quarter repeats", func(random *rand.Rand) bits { return retried(random, sourceAlpha, 0.25) }, source, true},
		{"source: tenants in bursts of 20", func(random *rand.Rand) bits { return ofTenants(random, sourceAlpha, 20) }, source, true},
		{"source: its quantile, one reference", func(random *rand.Rand) bits { return plainQuantile(random, sourceAlpha, 200, 0) }, source, true},
		{"source: the same, 5% tainted", func(random *rand.Rand) bits { return plainQuantile(random, sourceAlpha, 200, 0.05) }, source, true},
		{"the score, one proxy", func(random *rand.Rand) bits { return scored(random, 1, 0) }, made, false},
		{"the score, 40 proxies", func(random *rand.Rand) bits { return scored(random, 40, 0) }, made, false},
		{"the score, one proxy, 5% tainted", func(random *rand.Rand) bits { return scored(random, 1, 0.05) }, made, false},
		{"one more of a hundred exceeds", func(random *rand.Rand) bits { return independent(random, alpha+0.01) }, made, true},
	} {
		alarms := 0
		for seed := range *runs {
			if alarmAt(one.bound, *items, one.bits(rand.New(rand.NewPCG(uint64(seed), 2)))) > 0 {
				alarms++
			}
		}
		test.Logf("%s: %d alarms in %d runs of %d", one.name, alarms, *runs, *items)
		if !one.measured && float64(alarms) > one.bound.options.Delta*float64(*runs) {
			test.Errorf("%s: more than delta", one.name)
		}
	}
}

// plainThreshold alarms when the rate is above half as much again as alpha, after 30 items.
func plainThreshold(items, exceedances uint64) bool {
	return items >= 30 && float64(exceedances) > 1.5*score.Alpha*float64(items)
}

// firstAlarms returns after how many items alarm is raised in each run, most where it is not.
func firstAlarms(alarm func(items, exceedances uint64) bool, rate float64, runs, most int) []int {
	all := make([]int, runs)
	for run := range all {
		random := rand.New(rand.NewPCG(uint64(run), 4))
		exceedances := uint64(0)
		all[run] = most
		for count := 1; count < most; count++ {
			if random.Float64() < rate {
				exceedances++
			}
			if alarm(uint64(count), exceedances) {
				all[run] = count
				break
			}
		}
	}
	slices.Sort(all)
	return all
}

// Guards against a test that is slow to raise the alarm, beside the source's spacing and a plain
// threshold.
func TestItemsUntilAlarm(test *testing.T) {
	made, source := newBound(test, nil), newBound(test, withSource)
	trials := min(*runs, 2000)
	for _, one := range []struct {
		shift float64
		most  int
	}{{0, 0}, {0.05, 800}, {0.1, 200}, {0.2, 60}, {0.3, 30}, {0.5, 15}, {0.78, 8}} {
		line := fmt.Sprintf("shift %.2f:", one.shift)
		for _, rule := range []struct {
			name  string
			alpha float64
			alarm func(items, exceedances uint64) bool
		}{{"default", score.Alpha, made.Alarm}, {"source", sourceAlpha, source.Alarm}, {"plain threshold", score.Alpha, plainThreshold}} {
			found := firstAlarms(rule.alarm, rule.alpha+one.shift, trials, 10_000)
			alarms, _ := slices.BinarySearch(found, 10_000)
			line += fmt.Sprintf(" %s %d, %d, alarms in %d of %d;", rule.name, found[trials/2], found[trials*9/10], alarms, trials)
			if rule.name == "default" && one.shift > 0 && found[trials/2] > one.most {
				test.Errorf("shift %v: median of %d items, at most %d wanted", one.shift, found[trials/2], one.most)
			}
		}
		test.Log(line)
	}
}
