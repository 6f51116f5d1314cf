// Package usage counts billable requests in two ways: Sums are cumulative counts by tenant,
// reported for periods measured by the leader's clock; Windows are counts by windows of
// true time. Reports are first sealed in the reports register and never change afterwards.
package usage

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	// Period is the length of a reporting period.
	Period = 4 * time.Second

	// silenceTimeout is the time without a report after which a process is no longer seen.
	silenceTimeout = time.Minute
	// processTTL is how long the counts of a process that is no longer seen are kept.
	processTTL = time.Hour
	// maxPeriodLength is the longest period by the wall clock that is accepted; a longer one
	// is reported with a length of Period.
	maxPeriodLength = 10 * time.Minute
)

// Report is a billing record for the platform; once sealed it never changes.
type Report struct {
	ID     string `json:"id"`
	Tenant string `json:"tenant"`
	Period uint64 `json:"period"`
	FromMs int64  `json:"from_ms"`
	ToMs   int64  `json:"to_ms"`
	Tasks  uint64 `json:"tasks"`
}

// State is the content of the reports register: the last period that ended, the requests
// since then by tenant (Open), and the reports still to be delivered. AgeMs is the age of
// the state, independent of the wall clock.
type State struct {
	Period   uint64
	ToMs     int64
	AgeMs    int64
	Reported map[string]ReportedCounts `msgpack:"Marks"`
	Open     map[string]uint64
	Pending  []Report
}

// ReportedCounts are the cumulative counts of a process that a State includes, and the age
// of the state at which the process was last seen.
type ReportedCounts struct {
	Counts map[string]uint64
	SeenMs int64
}

// DecodeState decodes a value of the reports register; an empty value is an empty state.
func DecodeState(value message.Value) (*State, error) { return decode[State](value) }

// decode decodes a value of the reports register as a State or a WindowState.
func decode[Content any](value message.Value) (*Content, error) {
	content := new(Content)
	if len(value.Body) == 0 {
		return content, nil
	}
	if err := rpc.Unmarshal(value.Body, content); err != nil {
		return nil, err
	}
	return content, nil
}

// Sums collects the cumulative counts of processes. It is safe for concurrent use.
type Sums struct {
	mutex        sync.Mutex
	startedAt    time.Time
	counts       map[string]map[string]uint64 // by process, then by tenant
	lastReportAt map[string]time.Time
	delivered    map[string]bool

	term          message.Term // of the leadership that last sealed here
	sealedAt      time.Time
	periodEndedAt time.Time
}

// NewSums returns empty Sums.
func NewSums() *Sums {
	return &Sums{
		startedAt:    time.Now(),
		counts:       map[string]map[string]uint64{},
		lastReportAt: map[string]time.Time{},
		delivered:    map[string]bool{},
	}
}

// Add records the cumulative counts by tenant of a process; lower counts are ignored.
func (sums *Sums) Add(process string, counts map[string]uint64) {
	if len(counts) == 0 {
		return
	}
	sums.mutex.Lock()
	defer sums.mutex.Unlock()
	known := sums.counts[process]
	if known == nil {
		known = map[string]uint64{}
		sums.counts[process] = known
	}
	sums.lastReportAt[process] = time.Now()
	for tenant, count := range counts {
		known[tenant] = max(known[tenant], count)
	}
}

// HasUnsealedCounts reports whether processes have reported counts that the state does not include.
func (sums *Sums) HasUnsealedCounts(state *State) bool {
	sums.mutex.Lock()
	defer sums.mutex.Unlock()
	for process, counts := range sums.counts {
		for tenant, count := range counts {
			if count > state.Reported[process].Counts[tenant] {
				return true
			}
		}
	}
	return false
}

// PeriodOver reports whether the period has ended by the monotonic clock. A leadership's
// first period ends immediately, since it is unknown when it began.
func (sums *Sums) PeriodOver(term message.Term) bool {
	sums.mutex.Lock()
	defer sums.mutex.Unlock()
	return sums.term != term || time.Since(sums.periodEndedAt) >= Period
}

// SinceSealed returns the milliseconds since the leadership of a term last sealed, 0 if it
// has not.
func (sums *Sums) SinceSealed(term message.Term, now time.Time) int64 {
	sums.mutex.Lock()
	defer sums.mutex.Unlock()
	if sums.term != term {
		return 0
	}
	return now.Sub(sums.sealedAt).Milliseconds()
}

// RecordSeal records that the leadership of a term sealed the counts.
func (sums *Sums) RecordSeal(term message.Term, now time.Time, periodEnded bool) {
	sums.mutex.Lock()
	defer sums.mutex.Unlock()
	sums.term, sums.sealedAt = term, now
	if periodEnded {
		sums.periodEndedAt = now
	}
}

// MarkDelivered marks a report as delivered.
func (sums *Sums) MarkDelivered(id string) {
	sums.mutex.Lock()
	sums.delivered[id] = true
	sums.mutex.Unlock()
}

// IsDelivered reports whether a report was delivered.
func (sums *Sums) IsDelivered(id string) bool {
	sums.mutex.Lock()
	defer sums.mutex.Unlock()
	return sums.delivered[id]
}

// SealInput holds the inputs for the next state: who is billed, the wall clock in milliseconds
// since the Unix epoch, the milliseconds since the last seal, and whether the period ends.
type SealInput struct {
	Partner    string
	Tenants    []string
	WallMs     int64
	SinceMs    int64
	EndsPeriod bool
}

// Next returns the previous state with the counts reported since. It drops processes that
// were not seen for processTTL by the age of the state.
func (sums *Sums) Next(previous *State, sealing SealInput) *State {
	sums.mutex.Lock()
	defer sums.mutex.Unlock()
	next := &State{
		Period:   previous.Period,
		ToMs:     previous.ToMs,
		AgeMs:    previous.AgeMs + sealing.SinceMs,
		Reported: sums.retainedProcesses(previous, previous.AgeMs+sealing.SinceMs),
		Open:     map[string]uint64{},
		Pending:  previous.Pending,
	}
	maps.Copy(next.Open, previous.Open)
	for process, counts := range sums.counts {
		sums.addProcess(next, previous, process, counts)
	}
	if sealing.EndsPeriod {
		next.endPeriod(sealing, sums.delivered)
	}
	return next
}

// retainedProcesses returns the processes that have not expired at an age of the state. None
// expires within silenceTimeout of the creation of sums.
func (sums *Sums) retainedProcesses(previous *State, ageMs int64) map[string]ReportedCounts {
	kept := map[string]ReportedCounts{}
	for process, reported := range previous.Reported {
		if ageMs-reported.SeenMs < processTTL.Milliseconds() || time.Since(sums.startedAt) < silenceTimeout {
			kept[process] = reported
		}
	}
	return kept
}

// addProcess adds what a process has counted beyond the previous state.
func (sums *Sums) addProcess(next, previous *State, process string, counts map[string]uint64) {
	earlier, isKnown := previous.Reported[process]
	reported := ReportedCounts{Counts: map[string]uint64{}, SeenMs: next.AgeMs}
	for tenant, count := range counts {
		if count > earlier.Counts[tenant] {
			next.Open[tenant] += count - earlier.Counts[tenant]
		}
		reported.Counts[tenant] = max(count, earlier.Counts[tenant])
	}
	if isKnown && time.Since(sums.lastReportAt[process]) > silenceTimeout {
		reported.SeenMs = earlier.SeenMs
	}
	if next.AgeMs-reported.SeenMs >= processTTL.Milliseconds() {
		delete(sums.counts, process)
		delete(sums.lastReportAt, process)
		delete(next.Reported, process)
		return
	}
	next.Reported[process] = reported
}

// endPeriod turns the open counts into one report per tenant and drops delivered reports.
func (state *State) endPeriod(sealing SealInput, delivered map[string]bool) {
	from := state.ToMs
	state.Period++
	state.ToMs = sealing.WallMs
	if from > sealing.WallMs || sealing.WallMs-from > maxPeriodLength.Milliseconds() {
		from = sealing.WallMs - Period.Milliseconds()
	}
	pending := []Report{}
	for _, report := range state.Pending {
		if !delivered[report.ID] {
			pending = append(pending, report)
		}
		delete(delivered, report.ID)
	}
	for _, tenant := range sealing.Tenants {
		state.Open[tenant] += 0
	}
	for _, tenant := range slices.Sorted(maps.Keys(state.Open)) {
		pending = append(pending, Report{
			ID:     fmt.Sprintf("%s-%s-%d", sealing.Partner, tenant, state.Period),
			Tenant: tenant,
			Period: state.Period,
			FromMs: from,
			ToMs:   state.ToMs,
			Tasks:  state.Open[tenant],
		})
	}
	state.Pending, state.Open = pending, map[string]uint64{}
}
