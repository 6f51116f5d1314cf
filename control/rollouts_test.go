package control

import (
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/message"
	"orchidjunction/rollout"
)

// Guards against counts that are lost or counted twice: a late report does not replace a newer
// one, and the counts of a process that no longer reports are kept.
func TestNewestRolloutReportIsKept(test *testing.T) {
	reports := &rolloutReports{}
	countItems := func(items uint64) []message.RolloutCounts {
		return []message.RolloutCounts{{ID: 1, Step: 1, Items: items}}
	}
	reports.add("b", 1000, 0, countItems(5))
	reports.add("a", 1000, 0, countItems(7))
	reports.add("a", 1500, 0, countItems(9))
	reports.add("a", 1200, 0, countItems(8))
	reports.add("c", 1000, 0, []message.RolloutCounts{{ID: 2, Items: 100}})
	active := &rollout.Rollout{ID: 1, Phase: message.RolloutActive}
	if total := active.Total(reports.countsOf(1)); total.Items != 14 {
		test.Errorf("%d items, want 14", total.Items)
	}
	if reports.age("a") > time.Minute || reports.age("nobody") < time.Minute {
		test.Errorf("report ages %v and %v, want below and above 1 min", reports.age("a"), reports.age("nobody"))
	}
}

// Guards against ignoring a proxy that started with a clock ahead of time: its reports after the
// correction were taken for older ones, so its counts were missing and it blocked rollouts as
// silent.
func TestReportsAfterClockCorrectionCount(test *testing.T) {
	synctest.Test(test, func(*testing.T) {
		reports := &rolloutReports{}
		reports.add("a", 60_000, 0, nil)
		const interval, reportCount = 500 * time.Millisecond, 6
		for report := range reportCount {
			time.Sleep(interval) // virtual time
			sentMs := 30_000 + int64(report)*interval.Milliseconds()
			reports.add("a", sentMs, 0, []message.RolloutCounts{{ID: 1, Step: 1, Items: uint64(report)}})
		}
		active := &rollout.Rollout{ID: 1, Phase: message.RolloutActive}
		if total := active.Total(reports.countsOf(1)); total.Items != reportCount-1 || reports.age("a") != 0 {
			test.Errorf("%d items, report age %v, want %d items and age 0", total.Items, reports.age("a"), reportCount-1)
		}
	})
}

// The list for proxies changes with the platform's list and with the rollouts. Otherwise it is
// the same slice, by which unchanged tables are detected.
func TestListedBackendsFollowTheRollouts(test *testing.T) {
	backends := []message.Backend{
		{Name: "a", Service: "desk", Revision: "v1"},
		{Name: "b", Service: "desk", Revision: "v1"},
		{Name: "c", Service: "desk", Revision: "v2"},
	}
	before := &rollout.State{}
	after, err := before.Order(&message.RolloutOrder{Service: "desk", Target: "v2", TermMs: 1000}, 1)
	if err != nil {
		test.Fatal(err)
	}
	cache := &listedBackendsCache{}
	first := cache.get(backends, 1, before)
	if again := cache.get(backends, 1, before); len(first) != 2 || &again[0] != &first[0] {
		test.Errorf("listed %+v, then %+v; want the same slice of 2", first, again)
	}
	if listed := cache.get(backends, 2, after); len(listed) != 3 {
		test.Errorf("listed %+v after the order, want all 3", listed)
	}
}
