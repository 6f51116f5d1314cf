package control

import (
	"sync"
	"time"

	"orchidjunction/message"
	"orchidjunction/rollout"
)

// rolloutReportTTL is how long the counts of a process that no longer reports are kept.
const rolloutReportTTL = 5 * time.Minute

// maxRelayDelay is the maximum time by which a report relayed by another core may arrive after a
// newer one. A report that arrives even later with an earlier time comes from a process whose
// clock was set back.
const maxRelayDelay = 2 * time.Second

// rolloutReports holds the newest report on rollouts from each proxy process. Its zero value is
// empty. It is safe for concurrent use.
type rolloutReports struct {
	mutex     sync.Mutex
	processes map[string]rolloutReport // by incarnation
}

// rolloutReport is the newest report of a process, with its time by the process's clock and by
// this core's.
type rolloutReport struct {
	sentMs     int64
	receivedAt time.Time
	counts     []message.RolloutCounts
}

// add records the counts of a process so far, unless a newer report is known.
func (reports *rolloutReports) add(incarnation string, sentMs int64, age time.Duration, counts []message.RolloutCounts) {
	reports.mutex.Lock()
	defer reports.mutex.Unlock()
	receivedAt := time.Now().Add(-age)
	former, found := reports.processes[incarnation]
	if found && former.sentMs > sentMs && receivedAt.Sub(former.receivedAt) <= maxRelayDelay {
		return
	}
	if reports.processes == nil {
		reports.processes = map[string]rolloutReport{}
	}
	reports.processes[incarnation] = rolloutReport{sentMs: sentMs, receivedAt: receivedAt, counts: counts}
	for process, report := range reports.processes {
		if time.Since(report.receivedAt) > rolloutReportTTL {
			delete(reports.processes, process)
		}
	}
}

// countsOf returns the counts of each process for a rollout, in the order of Rollout.Counts.
func (reports *rolloutReports) countsOf(id uint64) []rollout.ProcessCounts {
	reports.mutex.Lock()
	defer reports.mutex.Unlock()
	counts := []rollout.ProcessCounts{}
	for incarnation, report := range reports.processes {
		for _, count := range report.counts {
			if count.ID == id {
				counts = append(counts, rollout.ProcessCounts{Incarnation: incarnation, Counts: count})
			}
		}
	}
	return rollout.SortCounts(counts)
}

// age returns the age of a process's newest report.
func (reports *rolloutReports) age(incarnation string) time.Duration {
	reports.mutex.Lock()
	defer reports.mutex.Unlock()
	report, found := reports.processes[incarnation]
	if !found {
		return rolloutReportTTL
	}
	return time.Since(report.receivedAt)
}
