package control

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"orchidjunction/message"
	"orchidjunction/rpc"
	"slices"
	"sync"
	"time"
)

const (
	windowInterval      = 250 * time.Millisecond
	windowTTL           = 30 * time.Second
	maxSealedWindows    = 10
	windowSilence       = 2 * time.Second
	takeoverDelay       = 1500 * time.Millisecond
	reportRetryInterval = time.Second
)

// Metering is how requests are counted by windows of true time, window k from
// k times Window after the start of 1970, and to whom the counts are reported. A
// window is sealed Settle after its end, or up to Latest after it while a daemon
// that counted is silent.
// A Report must end well before Quiet is over.
type Metering struct {
	Window        time.Duration
	SettleAfter   time.Duration
	SettleLatest  time.Duration
	TakeoverQuiet time.Duration
	Report        func(WindowReport) ReportResult
}

// WindowReport is one sealed window as its holder reports it; the fence rises
// with each leadership.
type WindowReport struct {
	Window  int64
	Tenants map[string]uint64
	Holder  string
	Fence   uint64
}

// ReportResult is what became of a report.
type ReportResult int

const (
	ReportRetry ReportResult = iota
	ReportAccepted
	ReportFenced
)

// sealedWindow is a window's counts, which never change again.
type sealedWindow struct {
	Window   int64
	Tenants  map[string]uint64
	Reported bool
}

// windowState is the content of the reports register where windows are metered:
// the next window to seal, and the last ones sealed.
type windowState struct {
	Next   int64
	Sealed []sealedWindow
}

func decodeWindowState(value message.Value) (*windowState, error) {
	book := &windowState{}
	if len(value.Body) > 0 {
		if err := rpc.Unmarshal(value.Body, book); err != nil {
			return nil, rpc.AsError(err)
		}
	}
	return book, nil
}

// WindowMeter gathers what daemons counted; of one process only the highest counts.
type WindowMeter struct {
	mutex         sync.Mutex
	counts        map[int64]map[string]map[string]uint64
	reportedUntil map[string]int64
	ended         map[string]bool
	reported      map[int64]bool
	fencedTerm    message.Term
	startedAt     time.Time
	reportingTerm message.Term
	lastReportAt  time.Time
	incarnations  map[string]string
	process       uint64
}

func newWindowMeter() *WindowMeter {
	return &WindowMeter{counts: map[int64]map[string]map[string]uint64{}, reportedUntil: map[string]int64{}, ended: map[string]bool{}, reported: map[int64]bool{}, startedAt: time.Now(), incarnations: map[string]string{}, process: rand.Uint64() | 1}
}

func (meter *WindowMeter) add(session *message.Session) {
	incarnation := session.Member.Incarnation
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	if session.BaseProcess == 0 || session.BaseProcess == meter.process {
		meter.reportedUntil[incarnation] = max(meter.reportedUntil[incarnation], session.NowMs)
	}
	meter.ended[incarnation] = meter.ended[incarnation] || session.Ended
	if former := meter.incarnations[session.Member.Name]; former != "" && former != incarnation {
		meter.ended[former] = true
	}
	meter.incarnations[session.Member.Name] = incarnation
	for _, count := range session.Windows {
		processes := meter.counts[count.Window]
		if processes == nil {
			processes = map[string]map[string]uint64{}
			meter.counts[count.Window] = processes
		}
		tenants := processes[incarnation]
		if tenants == nil {
			tenants = map[string]uint64{}
			processes[incarnation] = tenants
		}
		for tenant, requests := range count.Tenants {
			tenants[tenant] = max(tenants[tenant], requests)
		}
	}
}

// countsOf is all that a session's process was told to have counted; whole is whether
// that is all it counted, which changes upon another core's process can't say.
func (meter *WindowMeter) countsOf(session *message.Session) ([]message.WindowCount, bool) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	if session.BaseProcess != 0 && session.BaseProcess != meter.process {
		return nil, false
	}
	all := []message.WindowCount{}
	for window, processes := range meter.counts {
		if tenants := processes[session.Member.Incarnation]; len(tenants) > 0 {
			all = append(all, message.WindowCount{Window: window, Tenants: maps.Clone(tenants)})
		}
	}
	slices.SortFunc(all, func(left, right message.WindowCount) int { return cmp.Compare(left.Window, right.Window) })
	return all, true
}

// oldestWindow is the first window that anything was counted in, at most the one given.
func (meter *WindowMeter) oldestWindow(window int64) int64 {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	for counted := range meter.counts {
		window = min(window, counted)
	}
	return window
}

// sum is a window's requests by tenant; tenants without any are left out.
func (meter *WindowMeter) sum(window int64) map[string]uint64 {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	all := map[string]uint64{}
	for _, tenants := range meter.counts[window] {
		for tenant, requests := range tenants {
			if requests > 0 {
				all[tenant] += requests
			}
		}
	}
	return all
}

// awaitsProcess is whether a process that counted in a window, or in the one before,
// goes on and has not said by its own clock what it counted until the end.
func (meter *WindowMeter) awaitsProcess(window, end int64) bool {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	for _, counted := range []int64{window - 1, window} {
		for incarnation := range meter.counts[counted] {
			if !meter.ended[incarnation] && meter.reportedUntil[incarnation] < end {
				return true
			}
		}
	}
	return false
}

// allReported is whether every proxy that stands said what it counted until the end, to
// this core: a new leader knows nothing of those that have not spoken to it yet.
func (meter *WindowMeter) allReported(table *message.Table, end int64) bool {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	for index := range table.Members {
		member := &table.Members[index]
		if member.Kind == "proxy" && !member.Leaving && meter.reportedUntil[meter.incarnations[member.Name]] < end {
			return false
		}
	}
	return true
}

// forget drops what is older than a window, and who fell silent before it.
func (meter *WindowMeter) forget(before, span int64) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	maps.DeleteFunc(meter.counts, func(window int64, _ map[string]map[string]uint64) bool { return window < before })
	maps.DeleteFunc(meter.reportedUntil, func(_ string, at int64) bool { return at/span < before })
	maps.DeleteFunc(meter.ended, func(incarnation string, _ bool) bool { return meter.reportedUntil[incarnation] == 0 })
	maps.DeleteFunc(meter.reported, func(window int64, _ bool) bool { return window < before })
}

func (meter *WindowMeter) isReported(window int64) bool {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	return meter.reported[window]
}

// windowDuty is the leader's book, nil where there is none to work on.
func (core *Core) windowDuty() (*Leadership, *windowState) {
	leadership, err := core.currentLeadership()
	if err != nil || leadership.check() != nil {
		return nil, nil
	}
	core.windows.mutex.Lock()
	fenced := core.windows.fencedTerm == leadership.term
	core.windows.mutex.Unlock()
	if fenced || leadership.value(message.RoutingRegister).Serial == 0 {
		return nil, nil
	}
	book, err := decodeWindowState(leadership.value(message.ReportsRegister))
	if err != nil {
		core.counters.Add("meter_book_unreadable", 1)
		return nil, nil
	}
	return leadership, book
}

// mayReport is whether this core may report: what it reported under a former leadership,
// or might have before it started, is long past, so that holders never alternate
// within that time.
func (core *Core) mayReport(leadership *Leadership) bool {
	span := core.config.Metering.TakeoverQuiet
	if time.Since(leadership.since) >= span {
		return true
	}
	core.windows.mutex.Lock()
	defer core.windows.mutex.Unlock()
	former := core.windows.reportingTerm != leadership.term && time.Since(core.windows.lastReportAt) < span
	return time.Since(core.windows.startedAt) >= span && !former
}

// firstWindow is the one that duty begins with: the present one or, under a
// routing that a former leadership took, the one before.
func (leadership *Leadership) firstWindow(present int64) int64 {
	if leadership.rewritten[message.RoutingRegister] > 0 {
		return present - 1
	}
	return present
}

// sealWindows is the leader's duty: counts of an ended window go to a majority
// of disks before anybody hears of them.
func (core *Core) sealWindows() {
	now, span := core.Now(), core.config.Metering.Window.Milliseconds()
	core.windows.forget((now-2*windowTTL.Milliseconds())/span, span)
	leadership, book := core.windowDuty()
	if book == nil || book.Next > 0 && !core.mayReport(leadership) {
		return
	}
	next := book.Next
	if next == 0 {
		next = core.windows.oldestWindow(leadership.firstWindow(now / span))
	}
	next = max(next, (now-windowTTL.Milliseconds())/span)
	sealed := []sealedWindow{}
	for book.Next > 0 && core.windowSettled(leadership, next, now) {
		sealed = append(sealed, sealedWindow{Window: next, Tenants: core.windows.sum(next)})
		next++
	}
	if len(sealed) == 0 && book.Next > 0 {
		return
	}
	_, err := leadership.write(message.ReportsRegister, func(current message.Value) (*message.Value, message.Chunks, error) {
		held, err := decodeWindowState(current)
		if err != nil || held.Next != book.Next {
			return nil, nil, err
		}
		held.Next, held.Sealed = next, append(held.Sealed, sealed...)
		held.Sealed = held.Sealed[max(len(held.Sealed)-maxSealedWindows, 0):]
		for index := range held.Sealed {
			held.Sealed[index].Reported = held.Sealed[index].Reported || core.windows.isReported(held.Sealed[index].Window)
		}
		body, err := rpc.Marshal(held)
		if err != nil {
			return nil, nil, rpc.AsError(err)
		}
		return &message.Value{Serial: current.Serial + 1, Body: body}, nil, nil
	}, func() {})
	if err != nil {
		core.counters.Add("windows_not_sealed", 1)
		return
	}
	core.counters.Add("windows_sealed", uint64(len(sealed)))
}

// windowSettled is whether a window's counts are in: it ended a while ago, and who
// counted has spoken since or had the time to, also to a new leader.
func (core *Core) windowSettled(leadership *Leadership, window, now int64) bool {
	duty := core.config.Metering
	end := (window + 1) * duty.Window.Milliseconds()
	ended := time.Duration(now-end) * time.Millisecond
	if ended < duty.SettleAfter {
		return false
	}
	if !core.windows.awaitsProcess(window, end) && core.windows.allReported(core.Table(), end) {
		return true
	}
	return ended >= max(duty.SettleLatest, duty.SettleAfter+windowSilence) && time.Since(leadership.since) >= takeoverDelay
}

// reportWindows is the leader's duty to report what is sealed, oldest first, each
// only after a beat that a majority took since: another core may hold the duty.
func (core *Core) reportWindows() {
	leadership, book := core.windowDuty()
	if book == nil || !core.mayReport(leadership) {
		return
	}
	oldest := (core.Now() - windowTTL.Milliseconds()) / core.config.Metering.Window.Milliseconds()
	for _, sealed := range book.Sealed {
		if sealed.Reported || sealed.Window < oldest || core.windows.isReported(sealed.Window) {
			continue
		}
		if leadership.confirm(core.callTimeout()) != nil {
			return
		}
		result := core.config.Metering.Report(WindowReport{Window: sealed.Window, Tenants: maps.Clone(sealed.Tenants), Holder: core.config.Name, Fence: fencingToken(leadership.term)})
		core.windows.mutex.Lock()
		core.windows.reportingTerm, core.windows.lastReportAt = leadership.term, time.Now()
		core.windows.mutex.Unlock()
		switch result {
		case ReportAccepted:
			core.windows.mutex.Lock()
			core.windows.reported[sealed.Window] = true
			core.windows.mutex.Unlock()
			core.counters.Add("windows_reported", 1)
		case ReportFenced:
			core.windows.mutex.Lock()
			core.windows.fencedTerm = leadership.term
			core.windows.mutex.Unlock()
			core.counters.Add("windows_fenced", 1)
			return
		default:
			core.counters.Add("windows_put_off", 1)
			core.goroutines.Sleep(reportRetryInterval)
			return
		}
	}
}

// fencingToken is a number that rises with each leadership and that no two share.
func fencingToken(term message.Term) uint64 {
	return term.Number*(message.MaxPeerID+1) + uint64(term.Core)
}
