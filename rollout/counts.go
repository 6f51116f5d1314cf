package rollout

import (
	"cmp"
	"slices"

	"orchidjunction/message"
)

// compareCounts orders counts by process, then by step.
func compareCounts(left, right ProcessCounts) int {
	return cmp.Or(cmp.Compare(left.Incarnation, right.Incarnation), cmp.Compare(left.Counts.Step, right.Counts.Step))
}

// Sorted sorts counts as a Rollout keeps them.
func Sorted(counts []ProcessCounts) []ProcessCounts {
	slices.SortFunc(counts, compareCounts)
	return counts
}

// merge returns the counts of all processes and steps of a roll-out in order. The counts of a
// process in a step only rise, so that of two reports the higher one holds: one that was
// repeated, or came late, changes nothing, and a process that ended keeps what it had reported.
func merge(stored, reported []ProcessCounts) []ProcessCounts {
	merged := slices.Clone(stored)
	for _, report := range reported {
		index, found := slices.BinarySearchFunc(merged, report, compareCounts)
		if found {
			merged[index].Counts = highest(merged[index].Counts, report.Counts)
		} else {
			merged = slices.Insert(merged, index, report)
		}
	}
	return merged
}

// highest returns the highest of each count, and what is no count from the newer report.
func highest(former, next message.RolloutCounts) message.RolloutCounts {
	next.Requests = max(former.Requests, next.Requests)
	next.Items = max(former.Items, next.Items)
	next.Exceedances = max(former.Exceedances, next.Exceedances)
	next.Failures = max(former.Failures, next.Failures)
	next.FormerRequests = max(former.FormerRequests, next.FormerRequests)
	next.FormerItems = max(former.FormerItems, next.FormerItems)
	next.FormerFailures = max(former.FormerFailures, next.FormerFailures)
	return next
}

// Total returns what all processes counted for the roll-out, by what is stored of them and
// what they reported since. Of requests in flight, each process's newest report counts. The sum
// of a roll-out that ended is stored.
func (rollout *Rollout) Total(reported []ProcessCounts) message.RolloutCounts {
	if rollout.Phase != message.RolloutActive {
		return sum(rollout.Counts)
	}
	return sum(merge(rollout.Counts, reported))
}

// sum returns the counts of all processes and steps together.
func sum(counts []ProcessCounts) message.RolloutCounts {
	total := message.RolloutCounts{}
	for _, process := range counts {
		total.Requests += process.Counts.Requests
		total.Items += process.Counts.Items
		total.Exceedances += process.Counts.Exceedances
		total.Failures += process.Counts.Failures
		total.FormerRequests += process.Counts.FormerRequests
		total.FormerItems += process.Counts.FormerItems
		total.FormerFailures += process.Counts.FormerFailures
	}
	for _, newest := range newestSteps(counts) {
		total.FormerInFlight += newest.FormerInFlight
	}
	return total
}

// newestSteps returns the counts of each process in the newest step that it reported, by
// incarnation.
func newestSteps(counts []ProcessCounts) map[string]message.RolloutCounts {
	newest := make(map[string]message.RolloutCounts, len(counts))
	for _, process := range counts {
		newest[process.Incarnation] = process.Counts
	}
	return newest
}
