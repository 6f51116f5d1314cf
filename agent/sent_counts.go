package agent

import (
	"maps"

	"orchidjunction/message"
)

// sentCounts are the counts that one core's process has acknowledged. That process is sent only
// the counts that have changed since; another process is sent all of them.
type sentCounts struct {
	core    string
	process uint64
	sent    map[int64]map[string]uint64 // acknowledged counts by window and tenant
}

// unsent returns the counts to send to a core and the process whose acknowledged counts they
// build on, 0 if they are complete.
func (counts *sentCounts) unsent(core string, windows []message.WindowCount) ([]message.WindowCount, uint64) {
	if counts.sent == nil || counts.core != core {
		*counts = sentCounts{core: core, sent: map[int64]map[string]uint64{}}
	}
	unsent, isCurrent := []message.WindowCount{}, map[int64]bool{}
	for _, window := range windows {
		isCurrent[window.Window] = true
		if changed := counts.changed(window); len(changed) > 0 {
			unsent = append(unsent, message.WindowCount{Window: window.Window, Tenants: changed})
		}
	}
	for window := range counts.sent {
		if !isCurrent[window] {
			delete(counts.sent, window)
		}
	}
	return unsent, counts.process
}

// changed returns the counts of a window that differ from those acknowledged.
func (counts *sentCounts) changed(window message.WindowCount) map[string]uint64 {
	changed := map[string]uint64{}
	for tenant, count := range window.Tenants {
		if counts.sent[window.Window][tenant] != count {
			changed[tenant] = count
		}
	}
	return changed
}

// acknowledge records counts accepted by a process. If the core's process has restarted,
// everything has to be sent again.
func (counts *sentCounts) acknowledge(sent []message.WindowCount, process uint64) {
	if counts.process != 0 && counts.process != process {
		*counts = sentCounts{}
		return
	}
	counts.process = process
	for _, window := range sent {
		if counts.sent[window.Window] == nil {
			counts.sent[window.Window] = map[string]uint64{}
		}
		maps.Copy(counts.sent[window.Window], window.Tenants)
	}
}
