package control

import (
	"orchidjunction/message"
	"time"

	"k8s.io/klog/v2"
)

const (
	// repairPace is how often a disk that refused something is tried again.
	repairPace = 250 * time.Millisecond
	// stallLimit is how long a disk may take for a step until those who come are
	// refused instead of waiting for it.
	stallLimit = 500 * time.Millisecond
)

// diskRefusal is a disk's refusal to take writes, under the core's mutex.
type diskRefusal struct {
	fault error
	since time.Time
}

// diskFault notes that the disk refused a step. Until a repair succeeds this core
// does not vote or stand, and a lead it has goes to a core whose disk takes writes.
func (core *Core) diskFault(err error) {
	core.mutex.Lock()
	first := core.refused.fault == nil
	if first {
		core.refused = diskRefusal{fault: err, since: time.Now()}
	}
	core.mutex.Unlock()
	if !first {
		return
	}
	core.counters.Add("disk_faults", 1)
	klog.Errorf("core %d: does not vote until its disk takes writes again: %v", core.members().ID, err)
	core.goroutines.Start(core.yieldLead)
}

// DiskFault is why this core's disk takes nothing now, nil while it does.
func (core *Core) DiskFault() error {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.refused.fault
}

// Sound is true while this core votes.
func (core *Core) Sound() bool {
	return !core.voter.Blank() && core.members().votes() && core.takesWrites()
}

// takesWrites is whether the disk neither refuses nor stalls.
func (core *Core) takesWrites() bool { return core.DiskFault() == nil && !core.voter.Stalled() }

// yieldLead hands the lead to a core that votes. Without one it goes on, since
// values may still be accepted by a majority of the others.
func (core *Core) yieldLead() {
	leadership, err := core.leading()
	if err != nil {
		return
	}
	heir, found := leadership.heir(nil)
	if !found {
		return
	}
	core.counters.Add("leads_yielded", 1)
	leadership.handOver(heir, time.Now().Add(2*core.place.Suspect))
	core.revoke(leadership)
}

// repairDisk is the duty that tries a disk again which refused a step.
func (core *Core) repairDisk() {
	core.mendOwn()
	if core.DiskFault() == nil || core.voter.Repair() != nil {
		return
	}
	core.mutex.Lock()
	refusal, committed := core.refused, core.committed[message.RoutingRegister]
	core.refused = diskRefusal{}
	core.mutex.Unlock()
	core.counters.Add("disk_repairs", 1)
	klog.Infof("core %d: votes again, its disk refused writes for %v", core.members().ID, time.Since(refusal.since).Round(time.Millisecond))
	core.prompt.Notify()
	if core.place.enlists() {
		core.voter.Committed(message.RoutingRegister, committed.Version())
	}
}

// mendOwn makes a leader accept itself what a majority of the others accepted while
// its disk took nothing.
func (core *Core) mendOwn() {
	leadership, err := core.leading()
	if err != nil || !core.takesWrites() {
		return
	}
	texts := leadership.settings().texts
	for register, held := range core.voter.State().Marks() {
		value := leadership.value(message.Register(register))
		if held.Less(message.Version{Term: leadership.ballot, Serial: value.Serial}) {
			response, err := core.voter.Accept(&message.AcceptRequest{Term: leadership.ballot, Register: message.Register(register), Value: value, Chunks: texts})
			if err != nil || !response.Accepted { // tried again at the next turn, while this core leads
				core.counters.Add("own_copies_not_mended", 1)
				continue
			}
			core.counters.Add("own_copies_mended", 1)
		}
	}
}
