package usage

import (
	"maps"
	"math/rand/v2"
	"sync"

	"orchidjunction/message"
)

// maxSealedWindows is the number of sealed windows that the reports register keeps.
const maxSealedWindows = 10

// SealedWindow is the final count of a window's requests by tenant.
type SealedWindow struct {
	Window   int64
	Tenants  map[string]uint64
	Reported bool
}

// WindowState is the content of the reports register if usage is metered by windows: the
// next window to seal, and the last ones sealed.
type WindowState struct {
	Next   int64
	Sealed []SealedWindow
}

// DecodeWindowState decodes a value of the reports register; an empty value is an empty
// state.
func DecodeWindowState(value message.Value) (*WindowState, error) { return decode[WindowState](value) }

// Seal adds sealed windows, drops the oldest beyond maxSealedWindows, and marks those that
// were reported.
func (state *WindowState) Seal(next int64, sealed []SealedWindow, isReported func(window int64) bool) {
	state.Next, state.Sealed = next, append(state.Sealed, sealed...)
	state.Sealed = state.Sealed[max(len(state.Sealed)-maxSealedWindows, 0):]
	for index := range state.Sealed {
		window := &state.Sealed[index]
		window.Reported = window.Reported || isReported(window.Window)
	}
}

// Windows collects the counts of processes by windows of true time; window k begins k times
// the window's length after the Unix epoch. Counts are cumulative: the highest of a process
// is used. It is safe for concurrent use.
type Windows struct {
	process uint64

	mutex             sync.Mutex
	counts            map[int64]map[string]map[string]windowCount // by window, process and tenant
	changes           uint64                                      // of counts so far
	reportedUntil     map[string]int64                            // by process, in milliseconds of its clock
	endedProcesses    map[string]bool                             // by process
	incarnationByName map[string]string                           // current process by daemon name
	nameByIncarnation map[string]string                           // daemon name by process
	reportedWindows   map[int64]bool                              // by window
}

// windowCount is a count and the number of the change that set it.
type windowCount struct{ requests, change uint64 }

// NewWindows returns empty Windows.
func NewWindows() *Windows {
	return &Windows{
		process:           rand.Uint64() | 1,
		counts:            map[int64]map[string]map[string]windowCount{},
		reportedUntil:     map[string]int64{},
		endedProcesses:    map[string]bool{},
		incarnationByName: map[string]string{},
		nameByIncarnation: map[string]string{},
		reportedWindows:   map[int64]bool{},
	}
}

// Process returns the random ID of this process, to which others report their counts. It is
// never 0.
func (windows *Windows) Process() uint64 { return windows.process }

// Add records the counts of a session.
func (windows *Windows) Add(session *message.Session) {
	incarnation := session.Member.Incarnation
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	if windows.isComplete(session) {
		windows.reportedUntil[incarnation] = max(windows.reportedUntil[incarnation], session.NowMs)
	}
	windows.endedProcesses[incarnation] = windows.endedProcesses[incarnation] || session.Ended
	if replaced := windows.incarnationByName[session.Member.Name]; replaced != "" && replaced != incarnation {
		windows.endedProcesses[replaced] = true
	}
	windows.incarnationByName[session.Member.Name], windows.nameByIncarnation[incarnation] = incarnation, session.Member.Name
	for _, count := range session.Windows {
		windows.addCount(incarnation, count)
	}
}

// AddCounts records the counts that a process reports between two heartbeats of its
// session.
func (windows *Windows) AddCounts(request *message.WindowCountsRequest) {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	if windows.hasBase(request.BaseProcess) {
		windows.reportedUntil[request.Incarnation] = max(windows.reportedUntil[request.Incarnation], request.NowMs)
	}
	for _, count := range request.Windows {
		windows.addCount(request.Incarnation, count)
	}
}

// isComplete reports whether a session's counts and those known here are all that its
// process counted. They are not if the session has only changes since a report to another process.
func (windows *Windows) isComplete(session *message.Session) bool {
	return windows.hasBase(session.BaseProcess)
}

// hasBase reports whether the counts known here include those on which a report builds: the
// counts reported earlier to the given process, or none if it is 0.
func (windows *Windows) hasBase(process uint64) bool {
	return process == 0 || process == windows.process
}

func (windows *Windows) addCount(incarnation string, count message.WindowCount) {
	byProcess := windows.counts[count.Window]
	if byProcess == nil {
		byProcess = map[string]map[string]windowCount{}
		windows.counts[count.Window] = byProcess
	}
	byTenant := byProcess[incarnation]
	if byTenant == nil {
		byTenant = map[string]windowCount{}
		byProcess[incarnation] = byTenant
	}
	for tenant, requests := range count.Tenants {
		if requests > byTenant[tenant].requests {
			windows.changes++
			byTenant[tenant] = windowCount{requests: requests, change: windows.changes}
		}
	}
}

// CountsOf returns all counts of a session's process by window, or false if some are not
// known here.
func (windows *Windows) CountsOf(session *message.Session) ([]message.WindowCount, bool) {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	if !windows.isComplete(session) {
		return nil, false
	}
	counts := []message.WindowCount{}
	for window, byProcess := range windows.counts {
		if byTenant := byProcess[session.Member.Incarnation]; len(byTenant) > 0 {
			counts = append(counts, message.WindowCount{Window: window, Tenants: changedSince(byTenant, 0)})
		}
	}
	sortByWindow(counts)
	return counts, true
}

// Oldest returns the oldest window with counts, or atMost if there is none before it.
func (windows *Windows) Oldest(atMost int64) int64 {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	for window := range windows.counts {
		atMost = min(atMost, window)
	}
	return atMost
}

// Sum returns a window's requests by tenant, omitting tenants without requests.
func (windows *Windows) Sum(window int64) map[string]uint64 {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	sum := map[string]uint64{}
	for _, byTenant := range windows.counts[window] {
		for tenant, count := range byTenant {
			sum[tenant] += count.requests
		}
	}
	return sum
}

// AwaitsProcess reports whether a process that counted in a window, or in the one before,
// has not ended and has not yet reported, by its own clock, up to the window's end.
func (windows *Windows) AwaitsProcess(window, endMs int64) bool {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	for _, candidate := range []int64{window - 1, window} {
		for incarnation := range windows.counts[candidate] {
			if !windows.hasEnded(incarnation) && windows.reportedUntil[incarnation] < endMs {
				return true
			}
		}
	}
	return false
}

// AllReported reports whether every proxy of a table that is not leaving has reported up to
// a window's end: a new leader knows no counts of proxies that have not reported to it.
func (windows *Windows) AllReported(table *message.Table, endMs int64) bool {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	for index := range table.Members {
		member := &table.Members[index]
		incarnation := windows.incarnationByName[member.Name]
		if member.Kind == message.ProxyKind && !member.Leaving && windows.reportedUntil[incarnation] < endMs {
			return false
		}
	}
	return true
}

// Forget drops windows before the given one, and processes that have not reported since it
// began. lengthMs is the length of a window.
func (windows *Windows) Forget(before, lengthMs int64) {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	maps.DeleteFunc(windows.counts, func(window int64, _ map[string]map[string]windowCount) bool { return window < before })
	maps.DeleteFunc(windows.reportedUntil, func(_ string, at int64) bool { return at/lengthMs < before })
	remaining := windows.countedProcesses()
	isForgotten := func(incarnation string) bool {
		return windows.reportedUntil[incarnation] == 0 && !remaining[incarnation]
	}
	maps.DeleteFunc(windows.endedProcesses, func(incarnation string, _ bool) bool { return isForgotten(incarnation) })
	maps.DeleteFunc(windows.nameByIncarnation, func(incarnation, _ string) bool { return isForgotten(incarnation) })
	maps.DeleteFunc(windows.reportedWindows, func(window int64, _ bool) bool { return window < before })
}

// SetReported marks a window as reported.
func (windows *Windows) SetReported(window int64) {
	windows.mutex.Lock()
	windows.reportedWindows[window] = true
	windows.mutex.Unlock()
}

// IsReported reports whether a window was reported by this process.
func (windows *Windows) IsReported(window int64) bool {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	return windows.reportedWindows[window]
}
