package martingale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"orchidjunction/rollout/score"
)

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
	tenant, left := 0, 0
	return func() bool {
		if left == 0 {
			tenant, left = random.IntN(len(rates)), 1+random.IntN(2*burst-1)
		}
		left--
		return random.Float64() < rates[tenant]*rate/0.22
	}
}

// plainQuantile is the source's q: the (1 - alpha) quantile of one reference that lasts, of which
// a part was taken while backends crashed.
func plainQuantile(random *rand.Rand, size int, tainted float64) bits {
	distances := make([]float64, size)
	for index := range distances {
		distances[index] = heavy(random)
		if random.Float64() < tainted {
			distances[index] = math.Inf(1)
		}
	}
	slices.Sort(distances)
	quantile := distances[int(math.Ceil((1-score.Alpha)*float64(size)))-1]
	return func() bool { return heavy(random) >= quantile }
}

// heavy is a distance, or a time in milliseconds, without a finite variance.
func heavy(random *rand.Rand) float64 { return 20 * math.Pow(1-random.Float64(), -1/1.1) }

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
	made := newTest(test, nil)
	for _, one := range []struct {
		name     string
		bits     func(random *rand.Rand) bits
		measured bool
	}{
		{"a tenth repeats the item before", func(random *rand.Rand) bits { return retried(random, 0.22, 0.1) }, false},
		{"a quarter repeats the item before", func(random *rand.Rand) bits { return retried(random, 0.22, 0.25) }, false},
		{"ten tenants in bursts of 5", func(random *rand.Rand) bits { return ofTenants(random, 0.22, 5) }, false},
		{"ten tenants in bursts of 20", func(random *rand.Rand) bits { return ofTenants(random, 0.22, 20) }, true},
		{"the same at the score's level", func(random *rand.Rand) bits { return ofTenants(random, 0.187, 20) }, false},
		{"a plain quantile, one reference", func(random *rand.Rand) bits { return plainQuantile(random, 200, 0) }, true},
		{"a plain quantile, one reference, 5% tainted", func(random *rand.Rand) bits { return plainQuantile(random, 200, 0.05) }, true},
		{"the score, one proxy", func(random *rand.Rand) bits { return scored(random, 1, 0) }, false},
		{"the score, 40 proxies", func(random *rand.Rand) bits { return scored(random, 40, 0) }, false},
		{"the score, one proxy, 5% tainted", func(random *rand.Rand) bits { return scored(random, 1, 0.05) }, false},
		{"exceeding at 0.23", func(random *rand.Rand) bits { return independent(random, 0.23) }, true},
	} {
		alarms := 0
		for seed := range *runs {
			if alarmAt(made, *items, one.bits(rand.New(rand.NewPCG(uint64(seed), 2)))) > 0 {
				alarms++
			}
		}
		test.Logf("%s: %d alarms in %d runs of %d", one.name, alarms, *runs, *items)
		if !one.measured && float64(alarms) > made.options.Delta*float64(*runs) {
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
	ratios := newTest(test, nil)
	source := newTest(test, func(options *Options) { options.Equidistant = true })
	trials := min(*runs, 2000)
	for _, one := range []struct {
		shift float64
		most  int
	}{{0, 0}, {0.05, 3000}, {0.1, 700}, {0.2, 150}, {0.3, 60}, {0.5, 20}, {0.78, 8}} {
		line := fmt.Sprintf("shift %.2f:", one.shift)
		for _, rule := range []struct {
			name  string
			alarm func(items, exceedances uint64) bool
		}{{"equal ratios", ratios.Alarm}, {"equidistant", source.Alarm}, {"plain threshold", plainThreshold}} {
			found := firstAlarms(rule.alarm, score.Alpha+one.shift, trials, 10_000)
			line += fmt.Sprintf(" %s %d, %d;", rule.name, found[trials/2], found[trials*9/10])
			if rule.name == "equal ratios" && one.shift > 0 && found[trials/2] > one.most {
				test.Errorf("shift %v: median of %d items, at most %d wanted", one.shift, found[trials/2], one.most)
			}
		}
		test.Log(line)
	}
}
