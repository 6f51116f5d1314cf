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

// maxUsageDelayMs bounds the time from a task to the report that counts it.
const maxUsageDelayMs = 10_000

// maxUsageError is the fraction of a tenant's tasks by which its reports may deviate.
const maxUsageError = 0.05

// usageReports sums up the reports to the platform by tenant.
type usageReports struct {
	tasks           map[string]int
	reportedPeriods map[string]map[uint64]bool
	reportedCounts  map[string][]taskCount
	lastPeriod      uint64 // the last reported period
	longestDelayMs  int64  // the longest time from a period's end to its report
}

// taskCount is the count of tasks in one report, and when it was received.
type taskCount struct {
	atMs  int64
	tasks int
}

// add adds a report that was received at atMs.
func (reports *usageReports) add(report *usageReport, atMs int64) {
	tenant := report.Tenant
	reports.tasks[tenant] += report.Tasks
	if reports.reportedPeriods[tenant] == nil {
		reports.reportedPeriods[tenant] = map[uint64]bool{}
	}
	reports.reportedPeriods[tenant][report.Period] = true
	reports.reportedCounts[tenant] = append(reports.reportedCounts[tenant], taskCount{atMs: atMs, tasks: report.Tasks})
	reports.lastPeriod = max(reports.lastPeriod, report.Period)
	reports.longestDelayMs = max(reports.longestDelayMs, atMs-report.ToMs)
}

// missingReports names the tenants without any report and the periods without one.
func (reports *usageReports) missingReports(settings *config.Settings) (bad []string) {
	if settings != nil {
		for tenant := range settings.Tenants {
			if reports.reportedPeriods[tenant] == nil {
				bad = append(bad, tenant+" has no report")
			}
		}
	}
	for tenant, periods := range reports.reportedPeriods {
		for period := uint64(1); period <= reports.lastPeriod; period++ {
			if !periods[period] {
				bad = append(bad, fmt.Sprintf("%s has no report for period %d", tenant, period))
			}
		}
	}
	return bad
}

// checkUsage compares the reports to the platform with the tasks that the backends saw:
// totals match within maxUsageError, every tenant, also one without tasks, has a report
// for every period, and every task is reported within ten seconds.
func (evidence *Evidence) checkUsage() (bad []string, detail string) {
	if evidence.Reports == nil {
		return nil, "no usage reports collected"
	}
	reports, bad := evidence.readUsageReports()
	bad = append(bad, reports.missingReports(evidence.Settings)...)
	maxDeviation, maxLag := 0.0, int64(0)
	for tenant, tasks := range evidence.firstRunTimes() {
		deviation := math.Abs(float64(reports.tasks[tenant]-len(tasks))) / float64(len(tasks))
		maxDeviation = max(maxDeviation, deviation)
		if deviation > maxUsageError {
			bad = append(bad, fmt.Sprintf("%s: %d tasks reported, %d seen", tenant, reports.tasks[tenant], len(tasks)))
		}
		lag := reportLag(tasks, reports.reportedCounts[tenant])
		maxLag = max(maxLag, lag)
		if lag > maxUsageDelayMs {
			bad = append(bad, fmt.Sprintf("%s: tasks reported up to %d ms after they ran", tenant, lag))
		}
	}
	return bad, fmt.Sprintf(
		"%d reports, at most %.1f%% off, %d ms after the period's end, %d ms after the task",
		len(evidence.Reports),
		maxDeviation*100,
		reports.longestDelayMs,
		maxLag,
	)
}

// readUsageReports sums up the reports, and names those that cannot be decoded or that
// came too long after the start of their period.
func (evidence *Evidence) readUsageReports() (*usageReports, []string) {
	reports := &usageReports{
		tasks:           map[string]int{},
		reportedPeriods: map[string]map[uint64]bool{},
		reportedCounts:  map[string][]taskCount{},
	}
	bad := []string{}
	for id, bodies := range evidence.Reports {
		report, atMs := usageReport{}, evidence.ReportAt[id]
		if err := json.Unmarshal([]byte(bodies[0]), &report); err != nil {
			bad = append(bad, fmt.Sprintf("%s: %v", id, err))
			continue
		}
		if lag := atMs - report.FromMs; report.Tasks > 0 && lag > maxUsageDelayMs && !evidence.ClockSteps {
			bad = append(bad, fmt.Sprintf("%s was received %d ms after its period began", id, lag))
		}
		reports.add(&report, atMs)
	}
	return reports, bad
}

// firstRunTimes returns the sorted times, by tenant, at which tasks first reached a backend.
func (evidence *Evidence) firstRunTimes() map[string][]int64 {
	firstRuns := map[string]standin.Arrival{}
	evidence.eachArrival(func(_ *standin.BackendRecord, arrival *standin.Arrival) {
		if arrival.Tenant == "" {
			return
		}
		if earlier, found := firstRuns[arrival.Task]; !found || arrival.AtMs < earlier.AtMs {
			firstRuns[arrival.Task] = *arrival
		}
	})
	tasks := map[string][]int64{}
	for _, arrival := range firstRuns {
		tasks[arrival.Tenant] = append(tasks[arrival.Tenant], arrival.AtMs)
	}
	for _, times := range tasks {
		slices.Sort(times)
	}
	return tasks
}

// reportLag returns the longest time from a task to the report with which the reported total
// reaches the number of tasks up to that one. A fraction maxUsageError of these may be missing.
func reportLag(tasks []int64, reports []taskCount) int64 {
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

// checkUsageResends checks that a report is resent unchanged.
func (evidence *Evidence) checkUsageResends() (bad []string, detail string) {
	for id, bodies := range evidence.Reports {
		for _, body := range bodies {
			if body != bodies[0] {
				bad = append(bad, id)
			}
		}
	}
	return bad, fmt.Sprintf("%d reports", len(evidence.Reports))
}
