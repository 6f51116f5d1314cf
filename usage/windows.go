package usage

import (
	"maps"
	"math/rand/v2"
	"sync"

	"orchidjunction/message"
)

// maxSealedWindows is how many sealed windows the reports register keeps.
const maxSealedWindows = 10

// SealedWindow is a window's requests by tenant, which never change again.
type SealedWindow struct {
	Window   int64
	Tenants  map[string]uint64
	Reported bool
}

// WindowState is the content of the reports register where windows are metered: the next
// window to seal, and the last ones sealed.
type WindowState struct {
	Next   int64
	Sealed []SealedWindow
}

// DecodeWindowState decodes a value of the reports register. The value of serial 0 is an
// empty state.
func DecodeWindowState(value message.Value) (*WindowState, error) { return decode[WindowState](value) }

// Seal adds sealed windows, drops the oldest, and marks those that isReported knows.
func (state *WindowState) Seal(next int64, sealed []SealedWindow, isReported func(window int64) bool) {
	state.Next, state.Sealed = next, append(state.Sealed, sealed...)
	state.Sealed = state.Sealed[max(len(state.Sealed)-maxSealedWindows, 0):]
	for index := range state.Sealed {
		window := &state.Sealed[index]
		window.Reported = window.Reported || isReported(window.Window)
	}
}

// Windows gathers what processes counted in windows of true time, where window k begins
// k times the window's length after the Unix epoch. Of each process the highest count
// holds. It is safe for concurrent use.
type Windows struct {
	process uint64

	mutex         sync.Mutex
	counts        map[int64]map[string]map[string]windowCount // by window, process and tenant
	changes       uint64                                      // of counts, so far
	reportedUntil map[string]int64                            // by process, in its own milliseconds
	ended         map[string]bool                             // processes
	incarnations  map[string]string                           // processes by the daemons' names
	names         map[string]string                           // daemons' names by their processes
	reported      map[int64]bool                              // windows
}

// windowCount is a count, and as which of all changes it was set last.
type windowCount struct{ requests, change uint64 }

// NewWindows returns Windows without counts.
func NewWindows() *Windows {
	return &Windows{
		process:       rand.Uint64() | 1,
		counts:        map[int64]map[string]map[string]windowCount{},
		reportedUntil: map[string]int64{},
		ended:         map[string]bool{},
		incarnations:  map[string]string{},
		names:         map[string]string{},
		reported:      map[int64]bool{},
	}
}

// Process identifies this process towards those that tell it their counts. It is never 0.
func (windows *Windows) Process() uint64 { return windows.process }

// Add takes the counts that a session brings.
func (windows *Windows) Add(session *message.Session) {
	incarnation := session.Member.Incarnation
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	if windows.isComplete(session) {
		windows.reportedUntil[incarnation] = max(windows.reportedUntil[incarnation], session.NowMs)
	}
	windows.ended[incarnation] = windows.ended[incarnation] || session.Ended
	if former := windows.incarnations[session.Member.Name]; former != "" && former != incarnation {
		windows.ended[former] = true
	}
	windows.incarnations[session.Member.Name], windows.names[incarnation] = incarnation, session.Member.Name
	for _, count := range session.Windows {
		windows.addCount(incarnation, count)
	}
}

// AddBetween takes the counts that a process reports between two heartbeats of its session.
func (windows *Windows) AddBetween(request *message.WindowCountsRequest) {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	if windows.isAddedTo(request.BaseProcess) {
		windows.reportedUntil[request.Incarnation] = max(windows.reportedUntil[request.Incarnation], request.NowMs)
	}
	for _, count := range request.Windows {
		windows.addCount(request.Incarnation, count)
	}
}

// isComplete reports whether a session's counts, with those known here, are all that its
// process counted: changes since what was reported to another process are not.
func (windows *Windows) isComplete(session *message.Session) bool {
	return windows.isAddedTo(session.BaseProcess)
}

// isAddedTo reports whether counts that add to what a process of a core knows are complete
// with what is known here.
func (windows *Windows) isAddedTo(process uint64) bool {
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

// CountsOf returns all counts that a session's process reported, by window, and whether that
// is all it counted.
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

// Oldest returns the first window that anything was counted in, at most the one given.
func (windows *Windows) Oldest(atMost int64) int64 {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	for window := range windows.counts {
		atMost = min(atMost, window)
	}
	return atMost
}

// Sum returns a window's requests by tenant, without tenants that have none.
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
// goes on and has not said by its own clock what it counted until the window's end.
func (windows *Windows) AwaitsProcess(window, endMs int64) bool {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	for _, counted := range []int64{window - 1, window} {
		for incarnation := range windows.counts[counted] {
			if !windows.hasEnded(incarnation) && windows.reportedUntil[incarnation] < endMs {
				return true
			}
		}
	}
	return false
}

// AllReported reports whether every proxy of a table that stays said what it counted
// until a window's end: a new leader knows nothing of those that have not reported to it yet.
func (windows *Windows) AllReported(table *message.Table, endMs int64) bool {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	for index := range table.Members {
		member := &table.Members[index]
		incarnation := windows.incarnations[member.Name]
		if member.Kind == message.ProxyKind && !member.Leaving && windows.reportedUntil[incarnation] < endMs {
			return false
		}
	}
	return true
}

// Forget drops windows before one, and processes that reported nothing since it began.
// LengthMs is the length of a window.
func (windows *Windows) Forget(before, lengthMs int64) {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	maps.DeleteFunc(windows.counts, func(window int64, _ map[string]map[string]windowCount) bool { return window < before })
	maps.DeleteFunc(windows.reportedUntil, func(_ string, at int64) bool { return at/lengthMs < before })
	counted := windows.countedProcesses()
	isForgotten := func(incarnation string) bool { return windows.reportedUntil[incarnation] == 0 && !counted[incarnation] }
	maps.DeleteFunc(windows.ended, func(incarnation string, _ bool) bool { return isForgotten(incarnation) })
	maps.DeleteFunc(windows.names, func(incarnation, _ string) bool { return isForgotten(incarnation) })
	maps.DeleteFunc(windows.reported, func(window int64, _ bool) bool { return window < before })
}

// SetReported notes that a window was reported.
func (windows *Windows) SetReported(window int64) {
	windows.mutex.Lock()
	windows.reported[window] = true
	windows.mutex.Unlock()
}

// IsReported reports whether a window was reported by this process.
func (windows *Windows) IsReported(window int64) bool {
	windows.mutex.Lock()
	defer windows.mutex.Unlock()
	return windows.reported[window]
}
