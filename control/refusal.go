package control

import (
	"orchidjunction/message"
	"time"

	"k8s.io/klog/v2"
)

const (
	// repairInterval is how often a disk that refused something is tried again.
	repairInterval = 250 * time.Millisecond
	// stallTimeout is how long a disk may take for a step until those who come are
	// refused instead of waiting for it.
	stallTimeout = 500 * time.Millisecond
)

// diskFailure is a disk's refusal to take writes, under the core's mutex.
type diskFailure struct {
	err   error
	since time.Time
}

// diskFailed notes that the disk refused a step. Until a repair succeeds this core
// does not vote or stand, and a lead it has goes to a core whose disk takes writes.
func (core *Core) diskFailed(err error) {
	core.mutex.Lock()
	first := core.diskFailure.err == nil
	if first {
		core.diskFailure = diskFailure{err: err, since: time.Now()}
	}
	core.mutex.Unlock()
	if !first {
		return
	}
	core.counters.Add("disk_faults", 1)
	klog.Errorf("core %d: does not vote until its disk takes writes again: %v", core.membership().ID, err)
	core.goroutines.Start(core.yieldLeadership)
}

// DiskError is why this core's disk takes nothing now, nil while it does.
func (core *Core) DiskError() error {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.diskFailure.err
}

// CanVote is true while this core votes.
func (core *Core) CanVote() bool {
	return !core.replica.Blank() && core.membership().votes() && core.diskWritable()
}

// diskWritable is whether the disk neither refuses nor stalls.
func (core *Core) diskWritable() bool { return core.DiskError() == nil && !core.replica.Stalled() }

// yieldLeadership hands the lead to a core that votes. Without one it goes on, since
// values may still be accepted by a majority of the others.
func (core *Core) yieldLeadership() {
	leadership, err := core.currentLeadership()
	if err != nil {
		return
	}
	heir, found := leadership.bestSuccessor(nil)
	if !found {
		return
	}
	core.counters.Add("leads_yielded", 1)
	leadership.transferTo(heir, time.Now().Add(2*core.config.SuspicionTimeout))
	core.endLeadership(leadership)
}

// repairDisk is the duty that tries a disk again which refused a step.
func (core *Core) repairDisk() {
	core.repairOwnReplica()
	if core.DiskError() == nil || core.replica.Repair() != nil {
		return
	}
	core.mutex.Lock()
	refusal, committed := core.diskFailure, core.committed[message.RoutingRegister]
	core.diskFailure = diskFailure{}
	core.mutex.Unlock()
	core.counters.Add("disk_repairs", 1)
	klog.Infof("core %d: votes again, its disk refused writes for %v", core.membership().ID, time.Since(refusal.since).Round(time.Millisecond))
	core.wakeElection.Notify()
	if core.config.discoversPeers() {
		core.replica.MarkCommitted(message.RoutingRegister, committed.Version())
	}
}

// repairOwnReplica makes a leader accept itself what a majority of the others accepted while
// its disk took nothing.
func (core *Core) repairOwnReplica() {
	leadership, err := core.currentLeadership()
	if err != nil || !core.diskWritable() {
		return
	}
	chunks := leadership.settings().chunks
	for register, held := range core.replica.State().Versions() {
		value := leadership.value(message.Register(register))
		if held.Less(message.Version{Term: leadership.term, Serial: value.Serial}) {
			response, err := core.replica.Accept(&message.AcceptRequest{Term: leadership.term, Register: message.Register(register), Value: value, Chunks: chunks})
			if err != nil || !response.Accepted { // tried again at the next turn, while this core leads
				core.counters.Add("own_copies_not_mended", 1)
				continue
			}
			core.counters.Add("own_copies_mended", 1)
		}
	}
}
