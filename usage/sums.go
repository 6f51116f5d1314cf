// Package usage counts the requests that are billed, in two ways: Sums are running
// counts by tenant that are reported for periods of a leader's own clock, and Windows
// are counts by windows of true time. What is reported is first sealed in the reports
// register, so that it never changes.
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
	// Period is how long a reported period lasts.
	Period = 4 * time.Second

	// silentProcess is how long a process tells nothing until it no longer counts as seen.
	silentProcess = time.Minute
	// processTTL is how long the counts of a process that is not seen are remembered.
	processTTL = time.Hour
	// maxPeriod is the longest time between two wall clock readings that is believed.
	maxPeriod = 10 * time.Minute
)

// Report is what the platform bills; once sealed it never changes.
type Report struct {
	ID     string `json:"id"`
	Tenant string `json:"tenant"`
	Period uint64 `json:"period"`
	FromMs int64  `json:"from_ms"`
	ToMs   int64  `json:"to_ms"`
	Tasks  uint64 `json:"tasks"`
}

// State is the content of the reports register: the last period that ended, the requests
// since by tenant (Open), and the reports to be delivered. AgeMs is the state's own age,
// which no wall clock moves.
type State struct {
	Period   uint64
	ToMs     int64
	AgeMs    int64
	Reported map[string]ReportedCounts `msgpack:"Marks"`
	Open     map[string]uint64
	Pending  []Report
}

// ReportedCounts is how much of a process's running counts a State holds, and at which
// age of the state the process was seen last.
type ReportedCounts struct {
	Counts map[string]uint64
	SeenMs int64
}

// DecodeState decodes a value of the reports register. The value of serial 0 is an empty
// state.
func DecodeState(value message.Value) (*State, error) { return decode[State](value) }

// decode decodes a value of the reports register, whichever of the two states it holds.
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

// Sums gathers the running counts of processes. It is safe for concurrent use.
type Sums struct {
	mutex     sync.Mutex
	startedAt time.Time
	counts    map[string]map[string]uint64 // by process, then by tenant
	toldAt    map[string]time.Time
	delivered map[string]bool

	term          message.Term // of the leadership that sealed last here
	sealedAt      time.Time
	periodEndedAt time.Time
}

// NewSums returns Sums without counts.
func NewSums() *Sums {
	return &Sums{
		startedAt: time.Now(),
		counts:    map[string]map[string]uint64{},
		toldAt:    map[string]time.Time{},
		delivered: map[string]bool{},
	}
}

// Add takes the counts by tenant that a process has reported; they never fall.
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
	sums.toldAt[process] = time.Now()
	for tenant, count := range counts {
		known[tenant] = max(known[tenant], count)
	}
}

// HasNew reports whether processes reported counts that a state does not hold yet.
func (sums *Sums) HasNew(state *State) bool {
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

// PeriodOver reports whether the period has ended, by the monotonic clock. The first one
// of a leadership ends at once, since nobody knows how long it has gone on.
func (sums *Sums) PeriodOver(term message.Term) bool {
	sums.mutex.Lock()
	defer sums.mutex.Unlock()
	return sums.term != term || time.Since(sums.periodEndedAt) >= Period
}

// SinceSealed returns how long before now the leadership of a term sealed last, in
// milliseconds, 0 if it has not.
func (sums *Sums) SinceSealed(term message.Term, now time.Time) int64 {
	sums.mutex.Lock()
	defer sums.mutex.Unlock()
	if sums.term != term {
		return 0
	}
	return now.Sub(sums.sealedAt).Milliseconds()
}

// Sealed notes that the leadership of a term sealed the counts.
func (sums *Sums) Sealed(term message.Term, now time.Time, periodEnded bool) {
	sums.mutex.Lock()
	defer sums.mutex.Unlock()
	sums.term, sums.sealedAt = term, now
	if periodEnded {
		sums.periodEndedAt = now
	}
}

// Deliver notes that a report was delivered.
func (sums *Sums) Deliver(id string) {
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

// Sealing is how the next state is made: who is billed, the wall clock in milliseconds
// since the Unix epoch, how many milliseconds ago the state was sealed last, and whether
// the period ends.
type Sealing struct {
	Partner    string
	Tenants    []string
	WallMs     int64
	SinceMs    int64
	EndsPeriod bool
}

// Next returns the state with what processes reported since. It forgets processes that were
// not seen for long, by the state's own age.
func (sums *Sums) Next(former *State, sealing Sealing) *State {
	sums.mutex.Lock()
	defer sums.mutex.Unlock()
	next := &State{
		Period:   former.Period,
		ToMs:     former.ToMs,
		AgeMs:    former.AgeMs + sealing.SinceMs,
		Reported: sums.remembered(former, former.AgeMs+sealing.SinceMs),
		Open:     map[string]uint64{},
		Pending:  former.Pending,
	}
	maps.Copy(next.Open, former.Open)
	for process, counts := range sums.counts {
		sums.addProcess(next, former, process, counts)
	}
	if sealing.EndsPeriod {
		next.endPeriod(sealing, sums.delivered)
	}
	return next
}

// remembered returns the processes of a state that are not forgotten at an age.
func (sums *Sums) remembered(former *State, ageMs int64) map[string]ReportedCounts {
	kept := map[string]ReportedCounts{}
	for process, reported := range former.Reported {
		if ageMs-reported.SeenMs < processTTL.Milliseconds() || time.Since(sums.startedAt) < silentProcess {
			kept[process] = reported
		}
	}
	return kept
}

// addProcess adds what a process counted beyond the former state.
func (sums *Sums) addProcess(next, former *State, process string, counts map[string]uint64) {
	before, isKnown := former.Reported[process]
	reported := ReportedCounts{Counts: map[string]uint64{}, SeenMs: next.AgeMs}
	for tenant, count := range counts {
		if count > before.Counts[tenant] {
			next.Open[tenant] += count - before.Counts[tenant]
		}
		reported.Counts[tenant] = max(count, before.Counts[tenant])
	}
	if isKnown && time.Since(sums.toldAt[process]) > silentProcess {
		reported.SeenMs = before.SeenMs
	}
	if next.AgeMs-reported.SeenMs >= processTTL.Milliseconds() {
		delete(sums.counts, process)
		delete(sums.toldAt, process)
		delete(next.Reported, process)
		return
	}
	next.Reported[process] = reported
}

// endPeriod makes the open counts a report for every tenant, and drops the reports that
// were delivered.
func (state *State) endPeriod(sealing Sealing, delivered map[string]bool) {
	from := state.ToMs
	state.Period++
	state.ToMs = sealing.WallMs
	if from > sealing.WallMs || sealing.WallMs-from > maxPeriod.Milliseconds() {
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
