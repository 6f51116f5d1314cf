package simulation

import (
	"sync"
	"testing"
	"time"

	"orchidjunction/control"
)

// A leader that is cut off from the others reports no usage from that moment on, as another
// may hold the reporting lease at once.
func TestPartitionedLeaderReportsNoUsage(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, kind := range []string{"cut", "mute", "deaf"} {
			world := NewRegionalWorld(seed, 3)
			newUsageCollector(world)
			mutex, reported := sync.Mutex{}, map[string][]time.Time{}
			world.Metering.Report = func(report control.WindowReport) control.ReportResult {
				mutex.Lock()
				defer mutex.Unlock()
				reported[report.Holder] = append(reported[report.Holder], time.Now())
				return control.ReportRetry
			}
			world.startRegional(test, 1)
			for range 5 {
				leader := world.waitStable(test)
				holder := world.Cores[leader].Host
				world.Until(30*time.Second, func() bool { mutex.Lock(); defer mutex.Unlock(); return len(reported[holder]) > 0 })
				world.Sleep(time.Duration(seed*37%11) * 100 * time.Millisecond)
				world.partitionCore(leader, kind, true)
				since := time.Now()
				world.Sleep(10 * time.Second)
				world.partitionCore(leader, kind, false)
				mutex.Lock()
				if len(reported[holder]) == 0 {
					world.reportViolation("%s: the leader made no report before the partition", kind)
				}
				for _, at := range reported[holder] {
					if at.After(since) {
						world.reportViolation("%s: the leader reported %v after the partition", kind, at.Sub(since))
					}
				}
				reported = map[string][]time.Time{}
				mutex.Unlock()
			}
			world.reportFailures(test)
			world.CloseRegional()
		}
	})
}
