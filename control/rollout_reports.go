package control

import (
	"sync"
	"time"

	"orchidjunction/message"
	"orchidjunction/rollout"
)

// reportsTTL is how long the counts of a process are kept that reports no more.
const rolloutReportTTL = 5 * time.Minute

// relayTime is how much later than a newer report an older one may come, by way of another
// core. What comes later still with an earlier time is of a process whose clock was set back.
const maxRelayDelay = 2 * time.Second

// rolloutReports is what processes of proxies reported for roll-outs, the newest report of
// each. Its zero value has none. It is safe for concurrent use.
type rolloutReports struct {
	mutex     sync.Mutex
	processes map[string]rolloutReport // by incarnation
}

// rolloutReport is one process's newest report, by the process's clock and by this core's.
type rolloutReport struct {
	sentMs     int64
	receivedAt time.Time
	counts     []message.RolloutCounts
}

// add takes what a process counted so far, unless a newer report is known.
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

// of returns what each process reported for a roll-out, in the order in which counts are kept.
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
	return rollout.Sorted(counts)
}

// age returns how old the newest report of a process is.
func (reports *rolloutReports) age(incarnation string) time.Duration {
	reports.mutex.Lock()
	defer reports.mutex.Unlock()
	report, found := reports.processes[incarnation]
	if !found {
		return rolloutReportTTL
	}
	return time.Since(report.receivedAt)
}
