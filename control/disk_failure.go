package control

import (
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/message"
)

// repairInterval is how often a disk that refused a write is retried.
const repairInterval = 250 * time.Millisecond

// diskFailure records that the disk refuses writes. The core's mutex guards it. The zero value
// means that the disk accepts writes.
type diskFailure struct {
	err   error
	since time.Time
}

// diskFailed records that the disk refused a write. Until a repair succeeds this core neither
// votes nor runs for leader, and a leader hands over to a core whose disk accepts writes.
func (core *Core) diskFailed(err error) {
	core.mutex.Lock()
	isFirst := core.diskFailure.err == nil
	if isFirst {
		core.diskFailure = diskFailure{err: err, since: time.Now()}
	}
	core.mutex.Unlock()
	if !isFirst {
		return
	}
	core.counters.Add("disk_faults", 1)
	klog.Errorf("core %d: does not vote until its disk accepts writes again: %v", core.membership().ID, err)
	core.goroutines.Start(core.yieldLeadership)
}

// DiskError returns why this core's disk refuses writes, nil while it accepts them.
func (core *Core) DiskError() error {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.diskFailure.err
}

// CanVote reports whether this core is a voter whose disk accepts writes.
func (core *Core) CanVote() bool {
	return !core.replica.Blank() && core.membership().IsVoter() && core.diskWritable()
}

// diskWritable reports whether the disk neither refuses writes nor stalls.
func (core *Core) diskWritable() bool { return core.DiskError() == nil && !core.replica.Stalled() }

// yieldLeadership hands the leadership over to another voter. If there is no successor this
// core goes on leading, since a majority of the others may still accept values.
func (core *Core) yieldLeadership() {
	leadership, err := core.currentLeadership()
	if err != nil {
		return
	}
	successor, found := leadership.bestSuccessor(nil)
	if !found {
		return
	}
	core.counters.Add("leads_yielded", 1)
	leadership.transferTo(successor, time.Now().Add(2*core.config.SuspicionTimeout))
	core.endLeadership(leadership)
}

// repairDisk retries a disk that refused a write.
func (core *Core) repairDisk() {
	core.repairOwnReplica()
	if core.DiskError() == nil || core.replica.Repair() != nil {
		return
	}
	core.mutex.Lock()
	failure, committed := core.diskFailure, core.committed
	core.diskFailure = diskFailure{}
	core.mutex.Unlock()
	core.counters.Add("disk_repairs", 1)
	klog.Infof(
		"core %d: votes again after its disk refused writes for %v",
		core.membership().ID,
		time.Since(failure.since).Round(time.Millisecond),
	)
	core.wakeElection.Notify()
	if core.config.discoversPeers() {
		for _, register := range commitMarkedRegisters {
			core.replica.MarkCommitted(register, committed[register].Version())
		}
	}
}

// repairOwnReplica makes a leader's own replica accept the values that a majority of the
// others accepted while its disk refused writes.
func (core *Core) repairOwnReplica() {
	leadership, err := core.currentLeadership()
	if err != nil || !core.diskWritable() {
		return
	}
	values, chunks := leadership.snapshot()
	for register, held := range core.replica.State().Versions() {
		value := values[register]
		if !held.Less(message.Version{Term: leadership.term, Serial: value.Serial}) {
			continue
		}
		request := &message.AcceptRequest{Term: leadership.term, Register: message.Register(register), Value: value, Chunks: chunks}
		response, err := core.replica.Accept(request)
		if err != nil || !response.Accepted { // retried by the next repairDisk, if this core still leads
			core.counters.Add("own_copies_not_mended", 1)
			continue
		}
		core.counters.Add("own_copies_mended", 1)
	}
}
