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
	// windowSilence is for how long at least a silent process is waited for.
	silentProcessTimeout = 2 * time.Second
	// takeoverDelay is how long processes have to tell a new leader what they counted.
	takeoverDelay       = 1500 * time.Millisecond
	reportRetryInterval = time.Second
)

// Metering is how requests are counted by windows of true time, window k from k times
// Window after the Unix epoch, and to whom the counts are reported. A window is sealed
// SettleAfter after its end, or up to SettleLatest after it while a daemon that counted
// is silent. A Report must end well before TakeoverQuiet is over.
type Metering struct {
	Window        time.Duration
	SettleAfter   time.Duration
	SettleLatest  time.Duration
	TakeoverQuiet time.Duration
	Report        func(WindowReport) ReportResult
}

// WindowReport is one sealed window as its holder reports it. Fence is a fencing token:
// it rises with each leadership.
type WindowReport struct {
	Window  int64
	Tenants map[string]uint64
	Holder  string
	Fence   uint64
}

// ReportResult is what became of a report.
type ReportResult int

// The results: to be sent again, accepted, or refused because a newer leadership reports.
const (
	ReportRetry ReportResult = iota
	ReportAccepted
	ReportFenced
)

// reporting is when and under which term this process reported windows. It is safe for
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

// record notes a report of a term.
func (reporting *reportingState) record(term message.Term, result ReportResult) {
	reporting.mutex.Lock()
	defer reporting.mutex.Unlock()
	reporting.term, reporting.lastReportAt = term, time.Now()
	if result == ReportFenced {
		reporting.fencedTerm = term
	}
}

// isQuiet reports whether what this process reported under a former term, or another
// process of this core might have, is longer ago than a time.
func (reporting *reportingState) isQuiet(term message.Term, quiet time.Duration) bool {
	reporting.mutex.Lock()
	defer reporting.mutex.Unlock()
	isRecent := reporting.term != term && time.Since(reporting.lastReportAt) < quiet
	return time.Since(reporting.startedAt) >= quiet && !isRecent
}

// onWindowCounts takes what a process reports between two heartbeats. A core that does not
// lead keeps it on its disk for the next leader, which asks for it.
func (core *Core) onWindowCounts(request *message.WindowCountsRequest) (*message.WindowCountsResponse, error) {
	core.windows.AddBetween(request)
	core.rolloutReports.add(request.Incarnation, request.NowMs, 0, request.RolloutCounts)
	if _, err := core.currentLeadership(); err != nil {
		if err := core.usageCopies.journal(); err != nil {
			return nil, err
		}
	}
	return &message.WindowCountsResponse{Process: core.windows.Process()}, nil
}

// windowState returns this core's leadership and the state of its reports register, nil
// if there is none to work on.
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

// mayReport reports whether a former holder's reports are long past, so that holders
// never alternate within that time.
func (core *Core) mayReport(leadership *Leadership) bool {
	quiet := core.config.Metering.TakeoverQuiet
	return time.Since(leadership.startedAt) >= quiet || core.reporting.isQuiet(leadership.term, quiet)
}

// firstWindow returns the window that counting begins with: the present one or, under a
// routing that a former leadership wrote, the one before.
func (leadership *Leadership) firstWindow(present int64) int64 {
	if leadership.inherited[message.RoutingRegister] > 0 {
		return present - 1
	}
	return present
}

// sealWindows is the leader's task to have a quorum accept the counts of ended windows
// before anybody hears of them.
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

// writeWindows writes sealed windows, unless the state is not at the window from any more.
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

// windowSettled reports whether a window's counts are in: it ended a while ago, and who
// counted has reported since or had the time to, also to a new leader.
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

// reportWindows is the leader's task to report what is sealed, the oldest first, each
// only after a heartbeat that a quorum accepted since: another core may have taken its place.
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

// reportWindow reports one window and returns whether the next one may follow.
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

// fencingToken returns a number that rises with each leadership and that no two share.
func fencingToken(term message.Term) uint64 {
	return term.Number*(message.MaxPeerID+1) + uint64(term.Core)
}
