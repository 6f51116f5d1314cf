package score

import (
	"cmp"
	"math"
	"slices"
)

const (
	// staleShare is which part of a reference is new before it is summarized again.
	staleShare = 0.125
	// failureDistance is the distance of a failure, in standard deviations of the time: no
	// time is that far.
	failureDistance = 30
	// minDeviation bounds the standard deviation of the logarithm of the time from below, so
	// that a route of nearly constant time does not make any difference a large one.
	minDeviation = 0.05
	// leastObservations is how many observations a failure can be judged by.
	leastObservations = 4
	// minTook, in milliseconds, stands for shorter times.
	minTook = 1
)

// tolerance is the logarithm of how many times longer a response may take without a blame.
var tolerance = math.Log(1.25)

// observation is an item as a reference keeps it: work is the logarithm of the milliseconds
// that it took, without its wait for others.
type observation struct {
	work    float64
	backend uint32
	failed  bool
	late    bool
}

// observe makes an observation of an item. At a backend that has more requests than it runs
// at once, each waits in proportion: that is due to the load and not to the version.
func observe(item *Item, backend uint32) observation {
	took := float64(item.Took.Microseconds()) / 1000 / max(1, item.Load)
	return observation{
		work:    math.Log(max(minTook, took)),
		backend: backend,
		failed:  item.Failed,
		late:    item.isLate(),
	}
}

// weighted is an observation with its weight in the reference.
type weighted struct {
	observation
	weight   float64
	distance float64
}

// reference is the newest observations of a route, a ring, and their summary.
type reference struct {
	observations []observation
	next         int
	fresh        int // observations since the summary was made

	mean         float64 // of the work of those that did not fail
	deviation    float64
	failureShare float64
	lateShare    float64
	quantile     float64 // q
	complete     bool    // whether there are enough observations for a quantile
}

func (reference *reference) add(observed observation) {
	reference.fresh++
	if len(reference.observations) < ReferenceSize {
		reference.observations = append(reference.observations, observed)
		return
	}
	reference.observations[reference.next] = observed
	reference.next = (reference.next + 1) % ReferenceSize
}

func (reference *reference) isStale() bool {
	return float64(reference.fresh) > staleShare*float64(len(reference.observations))
}

// summarize computes the mean, the deviation and the quantile, in scratch space that it
// returns.
//
// Each backend has the same weight, however many of the observations are its own: requests go
// to the backends of the old version that are known to be fast, while nobody knows yet which
// are among those of the version under test.
func (reference *reference) summarize(scratch []weighted) []weighted {
	scratch = weigh(scratch, reference.observations)
	reference.fresh = 0
	total, squares := 0.0, 0.0
	for index := range scratch {
		total += scratch[index].weight
		squares += scratch[index].weight * scratch[index].weight
	}
	reference.summarizeShares(scratch, total)
	reference.summarizeWork(scratch)
	reference.summarizeDistances(scratch, total, total*total/squares)
	return scratch
}

// weigh appends the observations to scratch, each with the inverse of how many its backend has.
func weigh(scratch []weighted, observations []observation) []weighted {
	for _, observed := range observations {
		scratch = append(scratch, weighted{observation: observed})
	}
	slices.SortFunc(scratch, func(left, right weighted) int { return cmp.Compare(left.backend, right.backend) })
	for begin := 0; begin < len(scratch); {
		end := begin
		for end < len(scratch) && scratch[end].backend == scratch[begin].backend {
			end++
		}
		for index := begin; index < end; index++ {
			scratch[index].weight = 1 / float64(end-begin)
		}
		begin = end
	}
	return scratch
}

func (reference *reference) summarizeShares(scratch []weighted, total float64) {
	failed, late := 0.0, 0.0
	for index := range scratch {
		if scratch[index].failed {
			failed += scratch[index].weight
		}
		if scratch[index].late {
			late += scratch[index].weight
		}
	}
	reference.failureShare, reference.lateShare = failed/total, late/total
}

func (reference *reference) summarizeWork(scratch []weighted) {
	total, sum, squares := 0.0, 0.0, 0.0
	for index := range scratch {
		if one := &scratch[index]; !one.failed {
			total += one.weight
			sum += one.weight * one.work
			squares += one.weight * one.work * one.work
		}
	}
	reference.mean, reference.deviation = 0, minDeviation
	if total > 0 {
		reference.mean = sum / total
		reference.deviation = max(minDeviation, math.Sqrt(max(0, squares/total-reference.mean*reference.mean)))
	}
}

// summarizeDistances finds q: the part of the reference above it is what level allows.
func (reference *reference) summarizeDistances(scratch []weighted, total, size float64) {
	for index := range scratch {
		scratch[index].distance = reference.distance(scratch[index].failed, scratch[index].work)
	}
	slices.SortFunc(scratch, func(left, right weighted) int { return cmp.Compare(right.distance, left.distance) })
	allowed := level(size) * total
	reference.complete = allowed > 0
	above := 0.0
	for index := range scratch {
		above += scratch[index].weight
		reference.quantile = scratch[index].distance
		if above > allowed {
			return
		}
	}
}

// level is the part of a reference of so many observations that may lie above q.
//
// A new item is as likely at any place among those of the reference, so that it lies above the
// k-th largest of n with probability k/(n+1). That holds on average over references. All items
// that are judged by one reference share its error, of which one standard deviation is granted
// here; the source grants none, and its alarms for healthy versions are too many if a single
// reference lasts.
func level(size float64) float64 {
	granted := Alpha - math.Sqrt(Alpha*(1-Alpha)/size)
	return granted*(1+1/size) - 1/size
}

// distance is the squared distance to the mean, in the direction of worse.
func (reference *reference) distance(failed bool, work float64) float64 {
	if failed {
		away := failureDistance * (1 - reference.failureShare)
		return away * away
	}
	away := max(0, (work-reference.mean)/reference.deviation)
	return away * away
}

// exceeds is whether an item is farther from the mean than q. Ties are not. While there are
// too few observations only failures exceed, where none was seen before: after four responses
// that did not fail, the probability p*(1-p)^4 of that is below alpha for any p.
func (reference *reference) exceeds(item *Item) bool {
	if !reference.complete {
		return item.Failed && reference.failureShare == 0 && len(reference.observations) >= leastObservations
	}
	observed := observe(item, 0)
	return reference.distance(observed.failed, observed.work-tolerance) > reference.quantile
}

// failed is whether an item failed, or took far too long where others do not.
func (reference *reference) failed(item *Item) bool {
	return item.Failed || item.isLate() && reference.complete && reference.lateShare < maxLateShare
}
