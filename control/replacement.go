package control

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	// learnerTimeouts is the number of suspicion time-outs for which a learner is remembered
	// after its last request to join.
	learnerTimeouts = 3
	// leaveTTL is how long a voter's announcement that it leaves is valid.
	leaveTTL = time.Second
)

// learner is a core without a vote that follows the leader.
type learner struct {
	askedAt    time.Time
	answeredAt time.Time
	response   *message.HeartbeatResponse
}

// isReady reports whether the learner answered within a time-out as a replica whose registers
// are up to date or nearly so.
func (learner *learner) isReady(timeout time.Duration, nearlySynced func(message.Versions) bool) bool {
	response := learner.response
	if response == nil || !response.Accepted || !response.Voter || response.RefusesWrites {
		return false
	}
	return time.Since(learner.answeredAt) <= timeout && nearlySynced(response.Versions)
}

// Replacements tracks the learners that may replace a voter and the voters that may be
// replaced, under one leadership. It is safe for concurrent use.
type Replacements struct {
	mutex      sync.Mutex
	learners   map[string]*learner
	answeredAt map[int]time.Time
	leavingAt  map[int]time.Time
}

func newReplacements() *Replacements {
	return &Replacements{learners: map[string]*learner{}, answeredAt: map[int]time.Time{}, leavingAt: map[int]time.Time{}}
}

func (replacements *Replacements) addLearner(address string) {
	replacements.mutex.Lock()
	defer replacements.mutex.Unlock()
	if replacements.learners[address] == nil {
		replacements.learners[address] = &learner{}
	}
	replacements.learners[address].askedAt = time.Now()
}

// observeResponse records the response to a heartbeat. A learner has no ID.
func (replacements *Replacements) observeResponse(peer message.Peer, response *message.HeartbeatResponse) {
	replacements.mutex.Lock()
	defer replacements.mutex.Unlock()
	if peer.ID > 0 {
		replacements.answeredAt[peer.ID] = time.Now()
		return
	}
	if known := replacements.learners[peer.Address]; known != nil {
		known.answeredAt, known.response = time.Now(), response
	}
}

// resetSilence counts a new voter's silence from now on.
func (replacements *Replacements) resetSilence(id int) {
	replacements.mutex.Lock()
	replacements.answeredAt[id] = time.Now()
	replacements.mutex.Unlock()
}

func (replacements *Replacements) announceLeaving(id int) {
	replacements.mutex.Lock()
	replacements.leavingAt[id] = time.Now()
	replacements.mutex.Unlock()
}

// waitingLearners returns the learners that asked to join within a time-out and are not
// voters, and forgets the others.
func (replacements *Replacements) waitingLearners(timeout time.Duration, view *consensus.View) []message.Peer {
	replacements.mutex.Lock()
	defer replacements.mutex.Unlock()
	waiting := []message.Peer{}
	for address, known := range replacements.learners {
		if time.Since(known.askedAt) > timeout || view.HasAddress(address) {
			delete(replacements.learners, address)
			continue
		}
		waiting = append(waiting, message.Peer{Address: address})
	}
	return waiting
}

// readyLearner returns the ready learner with the lowest address.
func (replacements *Replacements) readyLearner(timeout time.Duration, nearlySynced func(message.Versions) bool) (string, bool) {
	replacements.mutex.Lock()
	defer replacements.mutex.Unlock()
	best := ""
	for address, known := range replacements.learners {
		if known.isReady(timeout, nearlySynced) && (best == "" || consensus.CompareAddresses(address, best) < 0) {
			best = address
		}
	}
	return best, best != ""
}

// departingVoter returns a voter that may be replaced, never the leader: one that announced
// that it leaves, or the one silent longest, for at least a time-out. Silence is counted from
// since at the earliest.
func (replacements *Replacements) departingVoter(
	voters []message.Peer,
	leader int,
	since time.Time,
	timeout time.Duration,
) (message.Peer, bool) {
	replacements.mutex.Lock()
	defer replacements.mutex.Unlock()
	departing, found := message.Peer{}, false
	earliest := time.Now().Add(-timeout)
	for _, peer := range voters {
		if peer.ID == leader {
			continue
		}
		if replacements.isLeaving(peer.ID) {
			return peer, true
		}
		if seenAt := replacements.lastSeen(peer.ID, since); seenAt.Before(earliest) {
			departing, found, earliest = peer, true, seenAt
		}
	}
	return departing, found
}

func (replacements *Replacements) isLeaving(id int) bool {
	return time.Since(replacements.leavingAt[id]) < leaveTTL
}

// lastSeen returns when a voter last answered, or since if that is later.
func (replacements *Replacements) lastSeen(id int, since time.Time) time.Time {
	if answeredAt := replacements.answeredAt[id]; answeredAt.After(since) {
		return answeredAt
	}
	return since
}

// silence returns the time since a voter last answered, counted from since at the earliest,
// and whether it announced that it leaves.
func (replacements *Replacements) silence(id int, since time.Time) (time.Duration, bool) {
	replacements.mutex.Lock()
	defer replacements.mutex.Unlock()
	return time.Since(replacements.lastSeen(id, since)), replacements.isLeaving(id)
}

func (leadership *Leadership) waitingLearners(view *consensus.View) []message.Peer {
	return leadership.replacements.waitingLearners(learnerTimeouts*leadership.core.config.SuspicionTimeout, view)
}

// admit registers an address as a learner. It returns true only if the leadership was
// confirmed after the request, and the membership does not contain the address.
func (leadership *Leadership) admit(address string) bool {
	core := leadership.core
	if leadership.confirm(core.callTimeout()) != nil || core.membership().HasAddress(address) {
		return false
	}
	leadership.replacements.addLearner(address)
	return true
}

// changeMembership completes a replacement in progress, and begins one when a learner can
// replace a voter that is gone or leaves. A voter is removed only by such a replacement, so
// that a minority never shrinks the quorum to itself.
func (core *Core) changeMembership() {
	leadership, err := core.currentLeadership()
	if err != nil || leadership.check() != nil {
		return
	}
	view := core.membership()
	if view.IsJoint() {
		leadership.finishReplacement()
		return
	}
	if len(leadership.waitingLearners(view)) == 0 || view.LastID >= message.MaxPeerID {
		return
	}
	departing, found := leadership.replacements.departingVoter(view.Voters, view.ID, leadership.startedAt, core.config.ReplaceAfter)
	if !found {
		return
	}
	if address, found := leadership.replacements.readyLearner(core.config.SuspicionTimeout, leadership.nearlySynced); found {
		leadership.replaceVoter(departing, address)
	}
}

// nearlySynced reports whether all registers of a replica were written under this leadership,
// so that it lacks at most the last few writes.
func (leadership *Leadership) nearlySynced(versions message.Versions) bool {
	for _, version := range versions {
		if version.Term != leadership.term {
			return false
		}
	}
	return true
}

// replaceVoter replaces a voter by a learner. The learner first gets the values that it lacks,
// then a majority of both the former and the next group accepts the joint membership, and then
// the next group goes on alone.
func (leadership *Leadership) replaceVoter(leaving message.Peer, address string) {
	core := leadership.core
	if err := leadership.beginReplacement(leaving, address); err != nil {
		core.counters.Add("replacements_failed", 1)
		klog.Infof("core %d: %s could not replace core %d: %v", core.membership().ID, address, leaving.ID, err)
		return
	}
	core.counters.Add("replacements_begun", 1)
	leadership.finishReplacement()
}

// beginReplacement sends the learner the current values and writes the joint membership. No
// other write can come between the two.
func (leadership *Leadership) beginReplacement(leaving message.Peer, address string) error {
	leadership.writeLock.Lock()
	defer leadership.writeLock.Unlock()
	if err := leadership.checkReplacement(leaving, address); err != nil {
		return err
	}
	if err := leadership.catchUp(message.Peer{Address: address}); err != nil {
		return err
	}
	joint := leadership.core.membership().WithReplacement(leaving.ID, address)
	leadership.replacements.resetSilence(joint.LastID)
	return leadership.writeMembership(joint)
}

// checkReplacement rejects a replacement that was chosen before another one took place,
// through an operator or the periodic task.
func (leadership *Leadership) checkReplacement(leaving message.Peer, address string) error {
	view := leadership.core.membership()
	if view.IsJoint() || !consensus.ContainsPeer(view.Voters, leaving.ID) || view.HasAddress(address) {
		return rpc.Errorf(rpc.NotStarted, "the membership has changed to version %d", view.Version.Serial)
	}
	return nil
}

// catchUp sends a replica the current values of all registers. It fails unless the replica
// accepts them all.
func (leadership *Leadership) catchUp(peer message.Peer) error {
	core := leadership.core
	values, chunks := leadership.snapshot()
	return core.forAllRegisters(func(register message.Register) error {
		request := &message.AcceptRequest{Term: leadership.term, Register: register, Value: values[register]}
		response, err := core.sendAcceptTo(peer, request, chunks, core.callTimeout()+transferTime(request.Value.Size()))
		if err != nil {
			return err
		}
		if !response.Accepted {
			return rpc.Errorf(rpc.StaleTerm, "%s has promised term %s", peer.Address, response.Promised)
		}
		return nil
	})
}

// finishReplacement ends the joint membership once all decided values are at a majority of the
// next group: writes since the joint membership are, and older values are written again here.
func (leadership *Leadership) finishReplacement() {
	core := leadership.core
	leadership.writeLock.Lock()
	defer leadership.writeLock.Unlock()
	view := core.membership()
	if !view.IsJoint() || leadership.check() != nil {
		return
	}
	values, chunks := leadership.snapshot()
	if err := core.replicateAll(view, leadership.term, values, message.Versions{}, chunks); err != nil {
		core.counters.Add("replacements_stuck", 1)
		core.endLeadership(leadership)
		return
	}
	if leadership.writeMembership(view.AfterJoint()) != nil {
		return
	}
	core.counters.Add("replacements", 1)
	after := core.membership()
	klog.Infof("core %d: membership %d committed: voters %v", view.ID, after.Version.Serial, after.Voters)
}

// writeMembership writes a membership. The caller holds the write lock. The membership is used
// from now on, decided or not; if it is not decided, this leadership ends.
func (leadership *Leadership) writeMembership(next *consensus.Membership) error {
	if err := leadership.check(); err != nil {
		return err
	}
	core := leadership.core
	view, err := core.members.Adopt(next, leadership.term)
	if err != nil {
		core.endLeadership(leadership)
		return err
	}
	value := view.Accepted().Value
	request := &message.AcceptRequest{Term: leadership.term, Register: message.MembersRegister, Value: value}
	if err := core.replicate(view, request, nil); err != nil {
		core.counters.Add("write_unknown", 1)
		core.endLeadership(leadership)
		return err
	}
	leadership.mutex.Lock()
	leadership.values[message.MembersRegister] = value
	leadership.mutex.Unlock()
	return nil
}
