package simulation

import (
	"sync"
	"testing"
	"time"

	"orchidjunction/control"
)

// A leader that lost touch with the others makes no report of usage from that moment
// on: another may hold the duty at once.
func TestLeaderOutOfTouchReportsNoUsage(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, kind := range []string{"cut", "mute", "deaf"} {
			world := NewRegionalWorld(seed, 3)
			newMeters(world)
			mutex, reported := sync.Mutex{}, map[string][]time.Time{}
			world.Metering.Report = func(report control.WindowReport) control.ReportResult {
				mutex.Lock()
				defer mutex.Unlock()
				reported[report.Holder] = append(reported[report.Holder], time.Now())
				return control.ReportRetry
			}
			world.farUp(test, 1)
			for range 5 {
				lost := world.calm(test)
				holder := world.Cores[lost].Host
				world.Until(30*time.Second, func() bool { mutex.Lock(); defer mutex.Unlock(); return len(reported[holder]) > 0 })
				world.Sleep(time.Duration(seed*37%11) * 100 * time.Millisecond)
				world.lose(lost, kind, true)
				since := time.Now()
				world.Sleep(10 * time.Second)
				world.lose(lost, kind, false)
				mutex.Lock()
				if len(reported[holder]) == 0 {
					world.reportViolation("%s: no report at all", kind)
				}
				for _, at := range reported[holder] {
					if at.After(since) {
						world.reportViolation("%s: reported %v after it lost touch", kind, at.Sub(since))
					}
				}
				reported = map[string][]time.Time{}
				mutex.Unlock()
			}
			world.report(test)
			world.CloseRegional()
		}
	})
}
