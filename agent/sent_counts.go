package agent

import (
	"maps"

	"orchidjunction/message"
)

// sentCounts is what the core's process that gets this daemon's sessions has acknowledged of its
// counts. Only what changed since is sent; another process is sent everything.
type sentCounts struct {
	core    string
	process uint64
	sent    map[int64]map[string]uint64 // by window and tenant
}

// unsent returns the counts to be sent to a core, and the process that they add to, 0 if
// they are everything.
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

// changed returns a window's counts that differ from those sent.
func (counts *sentCounts) changed(window message.WindowCount) map[string]uint64 {
	changed := map[string]uint64{}
	for tenant, count := range window.Tenants {
		if counts.sent[window.Window][tenant] != count {
			changed[tenant] = count
		}
	}
	return changed
}

// accepted notes what a process has got. One that began since has nothing of what was
// sent before.
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
