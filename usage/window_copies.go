package usage

import (
	"cmp"
	"slices"

	"orchidjunction/message"
)

// ChangedSince returns the counts that were set after a number of changes, by process, and
// how many changes there were so far. Since 0 it returns all counts.
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
			process := byIncarnation[incarnation]
			if process == nil {
				process = &message.ProcessCounts{
					Name:        windows.names[incarnation],
					Incarnation: incarnation,
					Ended:       windows.hasEnded(incarnation),
				}
				byIncarnation[incarnation] = process
			}
			process.Windows = append(process.Windows, message.WindowCount{Window: window, Tenants: tenants})
		}
	}
	for _, process := range byIncarnation {
		sortByWindow(process.Windows)
		counts = append(counts, *process)
	}
	slices.SortFunc(counts, func(left, right message.ProcessCounts) int { return cmp.Compare(left.Incarnation, right.Incarnation) })
	return counts, windows.changes
}

// AddCopies takes counts that another core, or the disk, knew. They tell nothing of until
// when a process has reported.
func (windows *Windows) AddCopies(copies []message.ProcessCounts) {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	for _, process := range copies {
		windows.ended[process.Incarnation] = windows.ended[process.Incarnation] || process.Ended
		if process.Name != "" {
			windows.names[process.Incarnation] = process.Name
		}
		for _, count := range process.Windows {
			windows.addCount(process.Incarnation, count)
		}
	}
}

// hasEnded reports whether a process said that it ends, or another one of its daemon holds
// the session.
func (windows *Windows) hasEnded(incarnation string) bool {
	current := windows.incarnations[windows.names[incarnation]]
	return windows.ended[incarnation] || current != "" && current != incarnation
}

// countedProcesses returns the processes that counted in a window that is not forgotten.
func (windows *Windows) countedProcesses() map[string]bool {
	counted := map[string]bool{}
	for _, byProcess := range windows.counts {
		for incarnation := range byProcess {
			counted[incarnation] = true
		}
	}
	return counted
}

// changedSince returns the requests of the tenants whose count was set after a change.
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
