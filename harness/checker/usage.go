package checker

import (
	"encoding/json"
	"fmt"
	"math"
	"sort"

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

// usageReported compares what the platform was told with the tasks that the
// backends saw: in all, by period for every tenant, quiet ones too, and for
// every task within ten seconds of it.
func (evidence *Evidence) usageReported() (bad []string, detail string) {
	if evidence.Reports == nil {
		return nil, "no platform"
	}
	response, periods, last, late := map[string]int{}, map[string]map[uint64]bool{}, uint64(0), int64(0)
	reported := map[string][][2]int64{}
	for id, bodies := range evidence.Reports {
		report := usageReport{}
		if err := json.Unmarshal([]byte(bodies[0]), &report); err != nil {
			bad = append(bad, fmt.Sprintf("%s: %v", id, err))
			continue
		}
		response[report.Tenant] += report.Tasks
		if periods[report.Tenant] == nil {
			periods[report.Tenant] = map[uint64]bool{}
		}
		periods[report.Tenant][report.Period] = true
		last = max(last, report.Period)
		late = max(late, evidence.ReportAt[id]-report.ToMs)
		if lag := evidence.ReportAt[id] - report.FromMs; report.Tasks > 0 && lag > usageLateMs && !evidence.Jumps {
			bad = append(bad, fmt.Sprintf("%s came %d ms after its period began", id, lag))
		}
		reported[report.Tenant] = append(reported[report.Tenant], [2]int64{evidence.ReportAt[id], int64(report.Tasks)})
	}
	if evidence.Settings != nil {
		for tenant := range evidence.Settings.Tenants {
			if periods[tenant] == nil {
				bad = append(bad, tenant+" has no report at all")
			}
		}
	}
	for tenant, held := range periods {
		for period := uint64(1); period <= last; period++ {
			if !held[period] {
				bad = append(bad, fmt.Sprintf("%s lacks period %d", tenant, period))
			}
		}
	}
	worst, slowest := 0.0, int64(0)
	for tenant, tasks := range evidence.ranTasks() {
		off := math.Abs(float64(response[tenant]-len(tasks))) / float64(len(tasks))
		worst = max(worst, off)
		if off > 0.05 {
			bad = append(bad, fmt.Sprintf("%s told %d, seen %d", tenant, response[tenant], len(tasks)))
		}
		lag := reportLag(tasks, reported[tenant])
		slowest = max(slowest, lag)
		if lag > usageLateMs {
			bad = append(bad, fmt.Sprintf("%s's tasks were told up to %d ms late", tenant, lag))
		}
	}
	return bad, fmt.Sprintf("%d reports, worst %.1f%% off, latest %d ms after its period, slowest %d ms after the task", len(evidence.Reports), worst*100, late, slowest)
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
		sort.Slice(times, func(left, right int) bool { return times[left] < times[right] })
	}
	return tasks
}

// reportLag is the longest time from a task to the report by which as many
// tasks were told; what the allowed twentieth may lack is left out.
func reportLag(tasks []int64, reports [][2]int64) int64 {
	sort.Slice(reports, func(left, right int) bool { return reports[left][0] < reports[right][0] })
	longest, response, next := int64(0), 0, 0
	for index, at := range tasks {
		for next < len(reports) && float64(response) < float64(index+1)*0.95 {
			response += int(reports[next][1])
			next++
		}
		if float64(response) >= float64(index+1)*0.95 && next > 0 {
			longest = max(longest, reports[next-1][0]-at)
		}
	}
	return longest
}

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
