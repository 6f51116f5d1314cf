package usage

import (
	"cmp"
	"slices"

	"orchidjunction/message"
)

// ChangedSince returns the counts by process that were set after the given change, and the
// number of the newest change. ChangedSince(0) returns all counts.
func (windows *Windows) ChangedSince(change uint64) (counts []message.ProcessCounts, changes uint64) {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	byIncarnation := map[string]*message.ProcessCounts{}
	for window, byProcess := range windows.counts {
		for incarnation, byTenant := range byProcess {
			tenants := changedSince(byTenant, change)
			if len(tenants) == 0 {
				continue
			}
			counted := byIncarnation[incarnation]
			if counted == nil {
				counted = &message.ProcessCounts{
					Name:        windows.nameByIncarnation[incarnation],
					Incarnation: incarnation,
					Ended:       windows.hasEnded(incarnation),
				}
				byIncarnation[incarnation] = counted
			}
			counted.Windows = append(counted.Windows, message.WindowCount{Window: window, Tenants: tenants})
		}
	}
	for _, counted := range byIncarnation {
		sortByWindow(counted.Windows)
		counts = append(counts, *counted)
	}
	slices.SortFunc(counts, func(left, right message.ProcessCounts) int { return cmp.Compare(left.Incarnation, right.Incarnation) })
	return counts, windows.changes
}

// MergeCounts merges counts from another core or from the disk. They do not advance the time
// up to which a process has reported.
func (windows *Windows) MergeCounts(counts []message.ProcessCounts) {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	for _, process := range counts {
		windows.endedProcesses[process.Incarnation] = windows.endedProcesses[process.Incarnation] || process.Ended
		if process.Name != "" {
			windows.nameByIncarnation[process.Incarnation] = process.Name
		}
		for _, count := range process.Windows {
			windows.addCount(process.Incarnation, count)
		}
	}
}

// hasEnded reports whether a process has announced its end, or another process of its
// daemon now holds the session.
func (windows *Windows) hasEnded(incarnation string) bool {
	current := windows.incarnationByName[windows.nameByIncarnation[incarnation]]
	return windows.endedProcesses[incarnation] || current != "" && current != incarnation
}

func (windows *Windows) countedProcesses() map[string]bool {
	counted := map[string]bool{}
	for _, byProcess := range windows.counts {
		for incarnation := range byProcess {
			counted[incarnation] = true
		}
	}
	return counted
}

// changedSince returns the requests of tenants whose count was set after a change.
func changedSince(byTenant map[string]windowCount, change uint64) map[string]uint64 {
	tenants := map[string]uint64{}
	for tenant, count := range byTenant {
		if count.change > change {
			tenants[tenant] = count.requests
		}
	}
	return tenants
}

func sortByWindow(counts []message.WindowCount) {
	slices.SortFunc(counts, func(left, right message.WindowCount) int { return cmp.Compare(left.Window, right.Window) })
}
