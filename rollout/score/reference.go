package score

import (
	"cmp"
	"math"
	"slices"
)

const (
	// resummarizeFraction is the fraction of new observations that makes a summary stale.
	resummarizeFraction = 0.125
	// failureDistance is the distance of a failure, in standard deviations; no time is that far.
	failureDistance = 30
	// minDeviation is the lower bound of the standard deviation of logTime, so that small
	// differences on a route with nearly constant times do not have large scores.
	minDeviation = 0.05
	// minObservations is the number of observations needed to judge a failure.
	minObservations = 4
	// minTimeMs replaces shorter times.
	minTimeMs = 1
)

// logTolerance is the logarithm of the factor by which a response may be slower without penalty.
var logTolerance = math.Log(1.25)

// observation is an item as stored in a reference. logTime is the logarithm of the milliseconds
// that it took, without its wait for other requests.
type observation struct {
	logTime float64
	backend uint32
	failed  bool
	late    bool
}

// newObservation converts an item. At a backend with more requests than it runs concurrently,
// each waits in proportion to the load, which is not the fault of the version.
func newObservation(item *Item, backend uint32) observation {
	took := float64(item.Took.Microseconds()) / 1000 / max(1, item.Load)
	return observation{
		logTime: math.Log(max(minTimeMs, took)),
		backend: backend,
		failed:  item.Failed,
		late:    item.isLate(),
	}
}

// weightedObservation is an observation with its weight in the reference.
type weightedObservation struct {
	observation
	weight   float64
	distance float64
}

// reference is a ring buffer of the newest observations of a route, with their summary.
type reference struct {
	observations []observation
	next         int
	sinceSummary int // number of observations added since the last summary

	mean         float64 // of logTime, without failures
	deviation    float64
	failureShare float64
	lateShare    float64
	quantile     float64 // q
	hasQuantile  bool    // whether there are enough observations for a quantile
}

func (reference *reference) add(observed observation) {
	reference.sinceSummary++
	if len(reference.observations) < ReferenceSize {
		reference.observations = append(reference.observations, observed)
		return
	}
	reference.observations[reference.next] = observed
	reference.next = (reference.next + 1) % ReferenceSize
}

func (reference *reference) isStale() bool {
	return float64(reference.sinceSummary) > resummarizeFraction*float64(len(reference.observations))
}

// summarize computes the mean, the deviation and the quantile. It returns scratch for reuse.
//
// Each backend has the same total weight, whatever its number of observations: requests to the
// old version go to backends known to be fast, while it is not known yet which backends of the
// version under test are fast.
func (reference *reference) summarize(scratch []weightedObservation) []weightedObservation {
	scratch = weigh(scratch, reference.observations)
	reference.sinceSummary = 0
	total, squares := 0.0, 0.0
	for index := range scratch {
		total += scratch[index].weight
		squares += scratch[index].weight * scratch[index].weight
	}
	reference.summarizeShares(scratch, total)
	reference.summarizeTimes(scratch)
	reference.summarizeDistances(scratch, total, total*total/squares)
	return scratch
}

// weigh appends the observations to scratch, each weighted by 1/n for the n of its backend.
func weigh(scratch []weightedObservation, observations []observation) []weightedObservation {
	for _, observed := range observations {
		scratch = append(scratch, weightedObservation{observation: observed})
	}
	slices.SortFunc(scratch, func(left, right weightedObservation) int { return cmp.Compare(left.backend, right.backend) })
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

func (reference *reference) summarizeShares(scratch []weightedObservation, total float64) {
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

func (reference *reference) summarizeTimes(scratch []weightedObservation) {
	total, sum, squares := 0.0, 0.0, 0.0
	for index := range scratch {
		if entry := &scratch[index]; !entry.failed {
			total += entry.weight
			sum += entry.weight * entry.logTime
			squares += entry.weight * entry.logTime * entry.logTime
		}
	}
	reference.mean, reference.deviation = 0, minDeviation
	if total > 0 {
		reference.mean = sum / total
		reference.deviation = max(minDeviation, math.Sqrt(max(0, squares/total-reference.mean*reference.mean)))
	}
}

// summarizeDistances computes q such that the fraction of the reference above it is at most level.
func (reference *reference) summarizeDistances(scratch []weightedObservation, total, size float64) {
	for index := range scratch {
		scratch[index].distance = reference.distance(scratch[index].failed, scratch[index].logTime)
	}
	slices.SortFunc(scratch, func(left, right weightedObservation) int { return cmp.Compare(right.distance, left.distance) })
	allowed := level(size) * total
	reference.hasQuantile = allowed > 0
	above := 0.0
	for index := range scratch {
		above += scratch[index].weight
		reference.quantile = scratch[index].distance
		if above > allowed {
			return
		}
	}
}

// level returns the fraction of a reference of a given size that may lie above q.
//
// A new item has any rank among those of the reference with equal probability, so it lies above
// the k-th largest of n with probability k/(n+1). This holds on average over references, but all
// items judged by one reference share its error. One standard deviation of it is subtracted here;
// the paper subtracts none, and has too many false alarms if one reference is used for long.
func level(size float64) float64 {
	reduced := Alpha - math.Sqrt(Alpha*(1-Alpha)/size)
	return reduced*(1+1/size) - 1/size
}

// distance returns the squared distance from the mean, 0 for values better than the mean.
func (reference *reference) distance(failed bool, logTime float64) float64 {
	if failed {
		deviations := failureDistance * (1 - reference.failureShare)
		return deviations * deviations
	}
	deviations := max(0, (logTime-reference.mean)/reference.deviation)
	return deviations * deviations
}

// exceeds reports whether an item is farther from the mean than q; an equal distance does not
// exceed. Without a quantile, only failures exceed, if the reference has none: after four responses
// without a failure, the probability p*(1-p)^4 of one is below alpha for any failure rate p.
func (reference *reference) exceeds(item *Item) bool {
	if !reference.hasQuantile {
		return item.Failed && reference.failureShare == 0 && len(reference.observations) >= minObservations
	}
	observed := newObservation(item, 0)
	return reference.distance(observed.failed, observed.logTime-logTolerance) > reference.quantile
}

// failed reports whether an item failed, or was late on a route where that is rare.
func (reference *reference) failed(item *Item) bool {
	return item.Failed || item.isLate() && reference.hasQuantile && reference.lateShare < maxLateShare
}
