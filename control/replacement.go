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
	// learnerTimeouts is for how many suspicion time-outs a learner is remembered after
	// it asked.
	learnerTimeouts = 3
	// leaveTTL is how long a voter's announcement that it ends counts.
	leaveTTL = time.Second
)

// learner is a core without a vote that follows the leader.
type learner struct {
	askedAt    time.Time
	answeredAt time.Time
	response   *message.HeartbeatResponse
}

// isReady reports whether the learner answered within a time-out as a replica that holds
// every register, or nearly so.
func (learner *learner) isReady(timeout time.Duration, nearlySynced func(message.Versions) bool) bool {
	response := learner.response
	if response == nil || !response.Accepted || !response.Voter || response.RefusesWrites {
		return false
	}
	return time.Since(learner.answeredAt) <= timeout && nearlySynced(response.Versions)
}

// Replacements is what a leadership knows of the learners that may take a voter's place
// and of the voters that may lose theirs. It is safe for concurrent use.
type Replacements struct {
	mutex      sync.Mutex
	learners   map[string]*learner
	answeredAt map[int]time.Time
	leavingAt  map[int]time.Time
}

func newReplacements() *Replacements {
	return &Replacements{learners: map[string]*learner{}, answeredAt: map[int]time.Time{}, leavingAt: map[int]time.Time{}}
}

// addLearner notes that a learner asked.
func (replacements *Replacements) addLearner(address string) {
	replacements.mutex.Lock()
	defer replacements.mutex.Unlock()
	if replacements.learners[address] == nil {
		replacements.learners[address] = &learner{}
	}
	replacements.learners[address].askedAt = time.Now()
}

// observeResponse notes the response to a heartbeat; a learner has no ID.
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

// resetSilence begins the silence of a new voter now.
func (replacements *Replacements) resetSilence(id int) {
	replacements.mutex.Lock()
	replacements.answeredAt[id] = time.Now()
	replacements.mutex.Unlock()
}

// announceLeaving notes that a voter announced its end.
func (replacements *Replacements) announceLeaving(id int) {
	replacements.mutex.Lock()
	replacements.leavingAt[id] = time.Now()
	replacements.mutex.Unlock()
}

// waitingLearners returns the learners that asked within a time-out and have no voter's
// address, and forgets the others.
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

// readyLearner returns the ready learner of the lowest address.
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

// departingVoter returns a voter whose place may be taken: one that announced its end, or
// the one that was silent longest, and for a time-out at least. The leader never is one.
// Silence counts from since at the earliest.
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

// lastSeen returns when a voter answered last, and since if it did not after that.
func (replacements *Replacements) lastSeen(id int, since time.Time) time.Time {
	if answeredAt := replacements.answeredAt[id]; answeredAt.After(since) {
		return answeredAt
	}
	return since
}

// silence returns how long ago a voter answered, counted from since at the earliest, and
// whether it announced its end.
func (replacements *Replacements) silence(id int, since time.Time) (time.Duration, bool) {
	replacements.mutex.Lock()
	defer replacements.mutex.Unlock()
	return time.Since(replacements.lastSeen(id, since)), replacements.isLeaving(id)
}

// waitingLearners returns the learners that wait for a voter's place.
func (leadership *Leadership) waitingLearners(view *consensus.View) []message.Peer {
	return leadership.replacements.waitingLearners(learnerTimeouts*leadership.core.config.SuspicionTimeout, view)
}

// admit makes an address a learner's. It returns true only if this leadership was
// confirmed after it was asked, under a membership without that address.
func (leadership *Leadership) admit(address string) bool {
	core := leadership.core
	if leadership.confirm(core.callTimeout()) != nil || core.membership().HasAddress(address) {
		return false
	}
	leadership.replacements.addLearner(address)
	return true
}

// changeMembership is the leader's task to finish a step between two memberships, and to
// begin one when a learner can take the place of a voter that is gone or leaves. Nothing
// else removes a voter, so that a minority never shrinks the quorum to itself.
func (core *Core) changeMembership() {
	leadership, err := core.currentLeadership()
	if err != nil || leadership.check() != nil {
		return
	}
	view := core.membership()
	if view.Changing() {
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

// nearlySynced reports whether a replica holds registers of this leadership, so that it
// lacks no more than the last few writes.
func (leadership *Leadership) nearlySynced(versions message.Versions) bool {
	for _, version := range versions {
		if version.Term != leadership.term {
			return false
		}
	}
	return true
}

// replaceVoter gives a voter's place to a learner. No other write is under way meanwhile:
// the learner first gets what it lacks, then both groups accept the step, each by a
// majority, then the following group goes on alone.
func (leadership *Leadership) replaceVoter(leaving message.Peer, address string) {
	core := leadership.core
	if err := leadership.beginReplacement(leaving, address); err != nil {
		core.counters.Add("replacements_failed", 1)
		klog.Infof("core %d: %s does not replace core %d: %v", core.membership().ID, address, leaving.ID, err)
		return
	}
	core.counters.Add("replacements_begun", 1)
	leadership.finishReplacement()
}

// beginReplacement writes the step between the two groups.
func (leadership *Leadership) beginReplacement(leaving message.Peer, address string) error {
	leadership.writeLock.Lock()
	defer leadership.writeLock.Unlock()
	if err := leadership.checkReplacement(leaving, address); err != nil {
		return err
	}
	if err := leadership.catchUp(message.Peer{Address: address}); err != nil {
		return err
	}
	step := leadership.core.membership().WithReplacement(leaving.ID, address)
	leadership.replacements.resetSilence(step.LastID)
	return leadership.writeMembership(step)
}

// checkReplacement refuses a step that was chosen before another one was made, by an
// order or by the leader's own task.
func (leadership *Leadership) checkReplacement(leaving message.Peer, address string) error {
	view := leadership.core.membership()
	if view.Changing() || !consensus.ContainsPeer(view.Voters, leaving.ID) || view.HasAddress(address) {
		return rpc.Errorf(rpc.NotStarted, "membership %d is another one meanwhile", view.Version.Serial)
	}
	return nil
}

// catchUp sends a replica all registers as they are; it fails unless the replica has all.
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
			return rpc.Errorf(rpc.StaleTerm, "%s promised %s", peer.Address, response.Promised)
		}
		return nil
	})
}

// finishReplacement ends a step: all that was decided is at a majority of the following
// voters by then, since every write of this leadership under the step was, and the values
// from before it are written again.
func (leadership *Leadership) finishReplacement() {
	core := leadership.core
	leadership.writeLock.Lock()
	defer leadership.writeLock.Unlock()
	view := core.membership()
	if !view.Changing() || leadership.check() != nil {
		return
	}
	values, chunks := leadership.snapshot()
	if err := core.replicateAll(view, leadership.term, values, message.Versions{}, chunks); err != nil {
		core.counters.Add("replacements_stuck", 1)
		core.endLeadership(leadership)
		return
	}
	if leadership.writeMembership(view.WithoutFormer()) != nil {
		return
	}
	core.counters.Add("replacements", 1)
	after := core.membership()
	klog.Infof("core %d: membership %d committed: voters %v", view.ID, after.Version.Serial, after.Voters)
}

// writeMembership writes a membership, with the write lock held. It counts from now on,
// decided or not; if it isn't decided, this leadership ends with it.
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
