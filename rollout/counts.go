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

// SortCounts sorts counts in place in the order of Rollout.Counts.
func SortCounts(counts []ProcessCounts) []ProcessCounts {
	slices.SortFunc(counts, compareCounts)
	return counts
}

// mergeCounts returns the sorted counts of all processes and steps of a rollout. The counts of a
// process in a step only increase, so the maximum of two reports is valid: repeated or delayed
// reports change nothing, and the counts of ended processes are kept.
func mergeCounts(stored, reported []ProcessCounts) []ProcessCounts {
	merged := slices.Clone(stored)
	for _, report := range reported {
		index, found := slices.BinarySearchFunc(merged, report, compareCounts)
		if found {
			merged[index].Counts = maxCounts(merged[index].Counts, report.Counts)
		} else {
			merged = slices.Insert(merged, index, report)
		}
	}
	return merged
}

// maxCounts returns the maximum of each counter; all other fields are from next.
func maxCounts(previous, next message.RolloutCounts) message.RolloutCounts {
	next.Requests = max(previous.Requests, next.Requests)
	next.Items = max(previous.Items, next.Items)
	next.Exceedances = max(previous.Exceedances, next.Exceedances)
	next.Failures = max(previous.Failures, next.Failures)
	next.FormerRequests = max(previous.FormerRequests, next.FormerRequests)
	next.FormerItems = max(previous.FormerItems, next.FormerItems)
	next.FormerFailures = max(previous.FormerFailures, next.FormerFailures)
	return next
}

// Total returns the sum over all processes of the stored and the reported counts. For requests
// in flight, only the newest step of each process is summed. For a rollout that has ended, Total
// returns the stored sum.
func (rollout *Rollout) Total(reported []ProcessCounts) message.RolloutCounts {
	if rollout.Phase != message.RolloutActive {
		return sumCounts(rollout.Counts)
	}
	return sumCounts(mergeCounts(rollout.Counts, reported))
}

func sumCounts(counts []ProcessCounts) message.RolloutCounts {
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
	for _, newest := range newestStepCounts(counts) {
		total.FormerInFlight += newest.FormerInFlight
	}
	return total
}

// newestStepCounts returns the counts of each process's newest reported step, by incarnation. The
// argument must be sorted.
func newestStepCounts(counts []ProcessCounts) map[string]message.RolloutCounts {
	newest := make(map[string]message.RolloutCounts, len(counts))
	for _, process := range counts {
		newest[process.Incarnation] = process.Counts
	}
	return newest
}
