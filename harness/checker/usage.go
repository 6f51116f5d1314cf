package checker

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"sort"

	"orchidjunction/config"
	"orchidjunction/harness/standin"
)

type usageReport struct {
	ID     string `json:"id"`
	Tenant string `json:"tenant"`
	Period uint64 `json:"period"`
	FromMs int64  `json:"from_ms"`
	ToMs   int64  `json:"to_ms"`
	Tasks  int    `json:"tasks"`
}

// usageLateMs is how long after a task the reports must hold it.
const usageLateMs = 10_000

// maxUsageError is the share of a tenant's tasks by which its reports may be off.
const maxUsageError = 0.05

// usageReports is what was reported to the platform, put together by tenant.
type usageReports struct {
	tasks   map[string]int
	periods map[string]map[uint64]bool
	counts  map[string][]reportedCount
	last    uint64 // the last period that was reported
	lateMs  int64  // the longest time from a period's end to its report
}

// reportedCount is how many tasks one report named, and when it came.
type reportedCount struct {
	atMs  int64
	tasks int
}

// add takes one report that came at a time.
func (reports *usageReports) add(report *usageReport, atMs int64) {
	tenant := report.Tenant
	reports.tasks[tenant] += report.Tasks
	if reports.periods[tenant] == nil {
		reports.periods[tenant] = map[uint64]bool{}
	}
	reports.periods[tenant][report.Period] = true
	reports.counts[tenant] = append(reports.counts[tenant], reportedCount{atMs: atMs, tasks: report.Tasks})
	reports.last = max(reports.last, report.Period)
	reports.lateMs = max(reports.lateMs, atMs-report.ToMs)
}

// missing names the tenants without any report and the periods without one.
func (reports *usageReports) missing(settings *config.Settings) (bad []string) {
	if settings != nil {
		for tenant := range settings.Tenants {
			if reports.periods[tenant] == nil {
				bad = append(bad, tenant+" has no report at all")
			}
		}
	}
	for tenant, held := range reports.periods {
		for period := uint64(1); period <= reports.last; period++ {
			if !held[period] {
				bad = append(bad, fmt.Sprintf("%s lacks period %d", tenant, period))
			}
		}
	}
	return bad
}

// usageReported compares what was reported to the platform with the tasks that the
// backends saw: in all, by period for every tenant, quiet ones too, and for
// every task within ten seconds of it.
func (evidence *Evidence) usageReported() (bad []string, detail string) {
	if evidence.Reports == nil {
		return nil, "no platform"
	}
	reports, bad := evidence.readUsageReports()
	bad = append(bad, reports.missing(evidence.Settings)...)
	worst, slowest := 0.0, int64(0)
	for tenant, tasks := range evidence.ranTasks() {
		off := math.Abs(float64(reports.tasks[tenant]-len(tasks))) / float64(len(tasks))
		worst = max(worst, off)
		if off > maxUsageError {
			bad = append(bad, fmt.Sprintf("%s reported %d, seen %d", tenant, reports.tasks[tenant], len(tasks)))
		}
		lag := reportLag(tasks, reports.counts[tenant])
		slowest = max(slowest, lag)
		if lag > usageLateMs {
			bad = append(bad, fmt.Sprintf("%s's tasks were reported up to %d ms late", tenant, lag))
		}
	}
	return bad, fmt.Sprintf(
		"%d reports, worst %.1f%% off, latest %d ms after its period, slowest %d ms after the task",
		len(evidence.Reports),
		worst*100,
		reports.lateMs,
		slowest,
	)
}

// readUsageReports puts the reports together, and names those that cannot be read or
// came too long after their period's begin.
func (evidence *Evidence) readUsageReports() (*usageReports, []string) {
	reports := &usageReports{tasks: map[string]int{}, periods: map[string]map[uint64]bool{}, counts: map[string][]reportedCount{}}
	bad := []string{}
	for id, bodies := range evidence.Reports {
		report, atMs := usageReport{}, evidence.ReportAt[id]
		if err := json.Unmarshal([]byte(bodies[0]), &report); err != nil {
			bad = append(bad, fmt.Sprintf("%s: %v", id, err))
			continue
		}
		if lag := atMs - report.FromMs; report.Tasks > 0 && lag > usageLateMs && !evidence.Jumps {
			bad = append(bad, fmt.Sprintf("%s came %d ms after its period began", id, lag))
		}
		reports.add(&report, atMs)
	}
	return reports, bad
}

// ranTasks gives the times at which each tenant's tasks ran first.
func (evidence *Evidence) ranTasks() map[string][]int64 {
	first := map[string]standin.Arrival{}
	evidence.arrivals(func(_ *standin.BackendRecord, arrival *standin.Arrival) {
		if arrival.Tenant == "" {
			return
		}
		if before, found := first[arrival.Task]; !found || arrival.AtMs < before.AtMs {
			first[arrival.Task] = *arrival
		}
	})
	tasks := map[string][]int64{}
	for _, arrival := range first {
		tasks[arrival.Tenant] = append(tasks[arrival.Tenant], arrival.AtMs)
	}
	for _, times := range tasks {
		slices.Sort(times)
	}
	return tasks
}

// reportLag is the longest time from a task to the report by which as many
// tasks were reported; what maxUsageError allows to be missing is left out.
func reportLag(tasks []int64, reports []reportedCount) int64 {
	sort.Slice(reports, func(left, right int) bool { return reports[left].atMs < reports[right].atMs })
	longest, reported, next := int64(0), 0, 0
	for index, at := range tasks {
		wanted := float64(index+1) * (1 - maxUsageError)
		for next < len(reports) && float64(reported) < wanted {
			reported += reports[next].tasks
			next++
		}
		if float64(reported) >= wanted && next > 0 {
			longest = max(longest, reports[next-1].atMs-at)
		}
	}
	return longest
}

// usageSame wants a report that was sent again to say the same.
func (evidence *Evidence) usageSame() (bad []string, detail string) {
	for id, bodies := range evidence.Reports {
		for _, body := range bodies {
			if body != bodies[0] {
				bad = append(bad, id)
			}
		}
	}
	return bad, fmt.Sprintf("%d reports", len(evidence.Reports))
}
