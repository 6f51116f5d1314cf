package control

import (
	"maps"
	"sync"
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
	"orchidjunction/usage"
)

const (
	windowInterval = 250 * time.Millisecond
	// windowTTL is how long after its end a window may still be reported.
	windowTTL = 30 * time.Second
	// silentProcessTimeout is the minimum time to wait for a silent process.
	silentProcessTimeout = 2 * time.Second
	// takeoverDelay is the time that processes have to report their counts to a new leader.
	takeoverDelay       = 1500 * time.Millisecond
	reportRetryInterval = time.Second
)

// Metering configures how requests are counted by windows of true time, and where the counts are
// reported. Window k starts k times Window after the Unix epoch. A window is sealed SettleAfter
// after its end, or up to SettleLatest after it while a daemon that counted is silent. A call of
// Report must end well within TakeoverQuietPeriod, the time before a former holder may report again.
type Metering struct {
	Window              time.Duration
	SettleAfter         time.Duration
	SettleLatest        time.Duration
	TakeoverQuietPeriod time.Duration
	Report              func(WindowReport) ReportResult
}

// WindowReport is the report of one sealed window. Holder is the reporting core, and Fence a
// fencing token that increases with each leadership.
type WindowReport struct {
	Window  int64
	Tenants map[string]uint64
	Holder  string
	Fence   uint64
}

// ReportResult is the outcome of a report.
type ReportResult int

// Outcomes of a report: send it again, accepted, or refused because a newer leadership reports.
const (
	ReportRetry ReportResult = iota
	ReportAccepted
	ReportFenced
)

// reportingState records when and under which term this process reported windows. It is safe for
// concurrent use.
type reportingState struct {
	mutex        sync.Mutex
	startedAt    time.Time
	lastReportAt time.Time
	term         message.Term
	fencedTerm   message.Term
}

// isFenced reports whether the platform refused reports of a term.
func (reporting *reportingState) isFenced(term message.Term) bool {
	reporting.mutex.Lock()
	defer reporting.mutex.Unlock()
	return reporting.fencedTerm == term
}

// record stores the time, term and result of a report.
func (reporting *reportingState) record(term message.Term, result ReportResult) {
	reporting.mutex.Lock()
	defer reporting.mutex.Unlock()
	reporting.term, reporting.lastReportAt = term, time.Now()
	if result == ReportFenced {
		reporting.fencedTerm = term
	}
}

// isQuiet reports whether, for the given time, this process has reported nothing under a former
// term and no former process of this core can have reported.
func (reporting *reportingState) isQuiet(term message.Term, quiet time.Duration) bool {
	reporting.mutex.Lock()
	defer reporting.mutex.Unlock()
	isRecent := reporting.term != term && time.Since(reporting.lastReportAt) < quiet
	return time.Since(reporting.startedAt) >= quiet && !isRecent
}

// onWindowCounts records the counts that a process reports between two heartbeats. A core that
// does not lead writes them to its disk for the next leader to fetch.
func (core *Core) onWindowCounts(request *message.WindowCountsRequest) (*message.WindowCountsResponse, error) {
	core.windows.AddCounts(request)
	core.rolloutReports.add(request.Incarnation, request.NowMs, 0, request.RolloutCounts)
	if _, err := core.currentLeadership(); err != nil {
		if err := core.usageCopies.journal(); err != nil {
			return nil, err
		}
	}
	return &message.WindowCountsResponse{Process: core.windows.Process()}, nil
}

// windowState returns this core's leadership and the decoded reports register, or nil if this
// core does not lead, is fenced, has no routing or cannot decode the register.
func (core *Core) windowState() (*Leadership, *usage.WindowState) {
	leadership, err := core.currentLeadership()
	if err != nil || leadership.check() != nil {
		return nil, nil
	}
	if core.reporting.isFenced(leadership.term) || leadership.value(message.RoutingRegister).Serial == 0 {
		return nil, nil
	}
	state, err := usage.DecodeWindowState(leadership.value(message.ReportsRegister))
	if err != nil {
		core.counters.Add("meter_book_unreadable", 1)
		return nil, nil
	}
	return leadership, state
}

// mayReport reports whether this core has reported nothing under a former term for TakeoverQuietPeriod,
// so that two holders never alternate within that time.
func (core *Core) mayReport(leadership *Leadership) bool {
	quiet := core.config.Metering.TakeoverQuietPeriod
	return time.Since(leadership.startedAt) >= quiet || core.reporting.isQuiet(leadership.term, quiet)
}

// firstWindow returns the window with which counting starts: the present one or, if the routing
// was written by a former leadership, the one before.
func (leadership *Leadership) firstWindow(present int64) int64 {
	if leadership.inherited[message.RoutingRegister] > 0 {
		return present - 1
	}
	return present
}

// sealWindows writes the counts of ended windows to the reports register on the leader, before
// any of them is reported.
func (core *Core) sealWindows() {
	if !core.clockTrusted() {
		return
	}
	now, length := core.Now(), core.config.Metering.Window.Milliseconds()
	core.windows.Forget((now-2*windowTTL.Milliseconds())/length, length)
	leadership, state := core.windowState()
	if state == nil || state.Next > 0 && !core.mayReport(leadership) {
		return
	}
	next := state.Next
	if next == 0 {
		next = core.windows.Oldest(leadership.firstWindow(now / length))
	}
	next = max(next, (now-windowTTL.Milliseconds())/length)
	sealed := []usage.SealedWindow{}
	for state.Next > 0 && core.windowSettled(leadership, next, now) {
		sealed = append(sealed, usage.SealedWindow{Window: next, Tenants: core.windows.Sum(next)})
		next++
	}
	if len(sealed) == 0 && state.Next > 0 {
		return
	}
	if err := core.writeWindows(leadership, state.Next, next, sealed); err != nil {
		core.counters.Add("windows_not_sealed", 1)
		return
	}
	core.counters.Add("windows_sealed", uint64(len(sealed)))
}

// writeWindows writes sealed windows if the register's next window is still expectedNext.
func (core *Core) writeWindows(leadership *Leadership, expectedNext, next int64, sealed []usage.SealedWindow) error {
	_, err := leadership.write(message.ReportsRegister, func(current message.Value) (*proposal, error) {
		state, err := usage.DecodeWindowState(current)
		if err != nil || state.Next != expectedNext {
			return nil, err
		}
		state.Seal(next, sealed, core.windows.IsReported)
		body, err := rpc.Marshal(state)
		if err != nil {
			return nil, err
		}
		return &proposal{value: message.Value{Serial: current.Serial + 1, Body: body}}, nil
	})
	return err
}

// windowSettled reports whether a window's counts are complete: it has ended long enough ago, and
// every process that counted has reported since or had time to, also to a new leader.
func (core *Core) windowSettled(leadership *Leadership, window, now int64) bool {
	config := core.config.Metering
	end := (window + 1) * config.Window.Milliseconds()
	sinceEnd := time.Duration(now-end) * time.Millisecond
	if sinceEnd < config.SettleAfter {
		return false
	}
	isCounted := core.usageCopies.hasFormerCounts(leadership)
	if isCounted && !core.windows.AwaitsProcess(window, end) && core.windows.AllReported(core.Table(), end) {
		return true
	}
	latest := max(config.SettleLatest, config.SettleAfter+silentProcessTimeout)
	return sinceEnd >= latest && time.Since(leadership.startedAt) >= takeoverDelay
}

// reportWindows reports the leader's sealed windows, oldest first. The leadership is confirmed
// before each report, since another core may have become leader.
func (core *Core) reportWindows() {
	leadership, state := core.windowState()
	if state == nil || !core.mayReport(leadership) {
		return
	}
	oldest := (core.Now() - windowTTL.Milliseconds()) / core.config.Metering.Window.Milliseconds()
	for _, sealed := range state.Sealed {
		if sealed.Reported || sealed.Window < oldest || core.windows.IsReported(sealed.Window) {
			continue
		}
		if leadership.confirm(core.callTimeout()) != nil || !core.reportWindow(leadership, sealed) {
			return
		}
	}
}

// reportWindow reports one window and returns whether the next one may be reported.
func (core *Core) reportWindow(leadership *Leadership, sealed usage.SealedWindow) bool {
	result := core.config.Metering.Report(WindowReport{
		Window:  sealed.Window,
		Tenants: maps.Clone(sealed.Tenants),
		Holder:  core.config.Name,
		Fence:   fencingToken(leadership.term),
	})
	core.reporting.record(leadership.term, result)
	switch result {
	case ReportAccepted:
		core.windows.SetReported(sealed.Window)
		core.counters.Add("windows_reported", 1)
		return true
	case ReportFenced:
		core.counters.Add("windows_fenced", 1)
	default:
		core.counters.Add("windows_put_off", 1)
		core.goroutines.Sleep(reportRetryInterval)
	}
	return false
}

// fencingToken returns a number that increases with each leadership and is unique to it.
func fencingToken(term message.Term) uint64 {
	return term.Number*(message.MaxPeerID+1) + uint64(term.Core)
}
