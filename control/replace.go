package control

import (
	"sync"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"

	"k8s.io/klog/v2"
)

const (
	// learnerTimeouts is how many suspicion spans a learner is remembered after it asked.
	learnerTimeouts = 3
	// leaveTTL is how long a voter's word that it ends is good for.
	leaveTTL = time.Second
	// leaveSearchTimeout bounds how long a voter that ends looks for a leader to tell.
	leaveSearchTimeout = time.Second
	// leaveTimeout bounds how long a voter that ends waits for its successor.
	leaveTimeout = 3 * time.Second
)

// learner is a core without a vote that follows the leader.
type learner struct {
	askedAt    time.Time
	answeredAt time.Time
	response   *message.HeartbeatResponse
}

// Replacements is what a leadership knows of those that may take a voter's place and
// of those that may lose theirs.
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

// observeResponse notes a heartbeat's answer; a learner has no ID.
func (replacements *Replacements) observeResponse(peer Peer, response *message.HeartbeatResponse) {
	replacements.mutex.Lock()
	defer replacements.mutex.Unlock()
	if peer.ID > 0 {
		replacements.answeredAt[peer.ID] = time.Now()
		return
	}
	if held := replacements.learners[peer.Address]; held != nil {
		held.answeredAt, held.response = time.Now(), response
	}
}

// startVoter begins the silence of a new voter.
func (replacements *Replacements) startVoter(id int) {
	replacements.mutex.Lock()
	replacements.answeredAt[id] = time.Now()
	replacements.mutex.Unlock()
}

// waitingLearners are the learners that asked lately and stand at no voter's address.
func (replacements *Replacements) waitingLearners(span time.Duration, view *View) []Peer {
	replacements.mutex.Lock()
	defer replacements.mutex.Unlock()
	all := []Peer{}
	for address, held := range replacements.learners {
		if time.Since(held.askedAt) > span || view.has(address) {
			delete(replacements.learners, address)
			continue
		}
		all = append(all, Peer{Address: address})
	}
	return all
}

// readyLearner is a learner that votes as soon as it is counted: it answered lately as a
// replica and holds every register as far as the marks say, or nearly so.
func (replacements *Replacements) readyLearner(span time.Duration, near func(versions message.Versions) bool) (string, bool) {
	replacements.mutex.Lock()
	defer replacements.mutex.Unlock()
	best := ""
	for address, held := range replacements.learners {
		report := held.response
		if report == nil || !report.Accepted || !report.Voter || report.RefusesWrites || time.Since(held.answeredAt) > span || !near(report.Versions) {
			continue
		}
		if best == "" || compareAddresses(address, best) < 0 {
			best = address
		}
	}
	return best, best != ""
}

// announceLeaving notes that a voter announced its end.
func (replacements *Replacements) announceLeaving(id int) {
	replacements.mutex.Lock()
	replacements.leavingAt[id] = time.Now()
	replacements.mutex.Unlock()
}

// departingVoter is the voter whose place is free to take: one that announced its end, or
// the one that was silent longest and for a span at least. The leader itself never is.
func (replacements *Replacements) departingVoter(voters []Peer, own int, since time.Time, span time.Duration) (Peer, bool) {
	replacements.mutex.Lock()
	defer replacements.mutex.Unlock()
	oldest, found := Peer{}, false
	last := time.Now().Add(-span)
	for _, peer := range voters {
		if peer.ID == own {
			continue
		}
		if time.Since(replacements.leavingAt[peer.ID]) < leaveTTL {
			return peer, true
		}
		heard := since
		if answered := replacements.answeredAt[peer.ID]; answered.After(heard) {
			heard = answered
		}
		if heard.Before(last) {
			oldest, found, last = peer, true, heard
		}
	}
	return oldest, found
}

// admit makes an address one of the learners; true only when this leadership was
// confirmed after it was asked, under a membership without that address.
func (leadership *Leadership) admit(address string) bool {
	core := leadership.core
	if err := leadership.confirm(core.callTimeout()); err != nil || core.membership().has(address) {
		return false
	}
	leadership.replacements.addLearner(address)
	return true
}

// changeMembership is the leader's duty to end a step between two memberships, and to
// begin one when a learner can take the place of a voter that is gone or leaves.
// Nothing else removes a voter, so a minority never shrinks the quorum to itself.
func (core *Core) changeMembership() {
	leadership, err := core.currentLeadership()
	if err != nil || leadership.check() != nil {
		return
	}
	view := core.membership()
	if view.changing() {
		leadership.finishReplacement()
		return
	}
	span := core.config.SuspicionTimeout
	if len(leadership.replacements.waitingLearners(learnerTimeouts*span, view)) == 0 || view.LastID >= message.MaxPeerID {
		return
	}
	leaving, found := leadership.replacements.departingVoter(view.Voters, view.ID, leadership.since, core.config.ReplaceAfter)
	if !found {
		return
	}
	if address, found := leadership.replacements.readyLearner(span, leadership.nearlySynced); found {
		leadership.replaceVoter(leaving, address)
	}
}

// nearlySynced is whether a replica holds registers of this leadership, so that it lacks
// no more than the last few writes.
func (leadership *Leadership) nearlySynced(versions message.Versions) bool {
	for register := range versions {
		if versions[register].Term != leadership.term {
			return false
		}
	}
	return true
}

// replaceVoter gives a voter's place to a learner. No other write is under way meanwhile:
// the learner first gets what it lacks, then both groups take the step, each by a
// majority, then the following group goes on alone.
func (leadership *Leadership) replaceVoter(leaving Peer, address string) {
	core := leadership.core
	leadership.writeLock.Lock()
	err := leadership.checkReplacement(leaving, address)
	if err == nil {
		err = leadership.catchUp(Peer{Address: address})
	}
	if err == nil {
		step := core.membership().withReplacement(leaving.ID, address)
		leadership.replacements.startVoter(step.LastID)
		err = leadership.writeMembership(step)
	}
	leadership.writeLock.Unlock()
	if err != nil {
		core.counters.Add("replacements_failed", 1)
		klog.Infof("core %d: %s does not take core %d's place: %v", core.membership().ID, address, leaving.ID, err)
		return
	}
	core.counters.Add("replacements_begun", 1)
	leadership.finishReplacement()
}

// checkReplacement refuses a step that was chosen before another one, by an order or by the
// leader's duty.
func (leadership *Leadership) checkReplacement(leaving Peer, address string) error {
	view := leadership.core.membership()
	if view.changing() || !contains(view.Voters, leaving.ID) || view.has(address) {
		return rpc.Errorf(rpc.NotStarted, "membership %d is another one meanwhile", view.Version.Serial)
	}
	return nil
}

// catchUp brings a replica all registers as they are; it fails unless that has all.
func (leadership *Leadership) catchUp(peer Peer) error {
	leadership.mutex.Lock()
	values, chunks := leadership.values, leadership.content.chunks
	leadership.mutex.Unlock()
	core := leadership.core
	_, failed := concurrent.Gather(core.goroutines, len(values), func(register int) (bool, error) {
		request := &message.AcceptRequest{Term: leadership.term, Register: message.Register(register), Value: values[register]}
		response, err := core.offerTo(peer, request, chunks, core.callTimeout())
		if err == nil && !response.Accepted {
			err = rpc.Errorf(rpc.StaleTerm, "%s promised %s", peer.Address, response.Promised)
		}
		return err == nil, err
	}, func(_ map[int]bool, failed map[int]error) bool { return len(failed) > 0 })
	for _, err := range failed {
		return rpc.AsError(err)
	}
	return nil
}

// finishReplacement ends a step: all that was decided is at a majority of the following
// voters by now, since every write of this leadership under the step was.
func (leadership *Leadership) finishReplacement() {
	core := leadership.core
	leadership.writeLock.Lock()
	defer leadership.writeLock.Unlock()
	view := core.membership()
	if !view.changing() || leadership.check() != nil {
		return
	}
	if err := leadership.rewriteRegisters(view); err != nil {
		core.counters.Add("replacements_stuck", 1)
		core.endLeadership(leadership)
		return
	}
	if leadership.writeMembership(view.withoutFormer()) != nil {
		return
	}
	core.counters.Add("replacements", 1)
	klog.Infof("core %d: membership %d settled: voters %v", view.ID, core.membership().Version.Serial, core.membership().Voters)
}

// rewriteRegisters has a quorum of the step hold every register.
func (leadership *Leadership) rewriteRegisters(view *View) error {
	leadership.mutex.Lock()
	values, chunks := leadership.values, leadership.content.chunks
	leadership.mutex.Unlock()
	_, failed := concurrent.Gather(leadership.core.goroutines, len(values), func(register int) (bool, error) {
		request := &message.AcceptRequest{Term: leadership.term, Register: message.Register(register), Value: values[register]}
		if err := leadership.core.replicate(view, request, chunks); err != nil {
			return false, err
		}
		return true, nil
	}, func(_ map[int]bool, failed map[int]error) bool { return len(failed) > 0 })
	for _, err := range failed {
		return rpc.AsError(err)
	}
	return nil
}

// writeMembership writes a membership, within the turn of the writes. It counts from
// now on, decided or not; where it isn't decided, this leadership ends with it.
func (leadership *Leadership) writeMembership(next *Membership) error {
	if err := leadership.check(); err != nil {
		return err
	}
	core := leadership.core
	view, err := core.adoptNextMembership(next, leadership.term)
	if err != nil {
		core.endLeadership(leadership)
		return err
	}
	accepted := view.accepted()
	request := &message.AcceptRequest{Term: leadership.term, Register: message.MembersRegister, Value: accepted.Value}
	if err := core.replicate(view, request, nil); err != nil {
		core.counters.Add("write_unknown", 1)
		core.endLeadership(leadership)
		return err
	}
	leadership.mutex.Lock()
	leadership.values[message.MembersRegister] = accepted.Value
	leadership.mutex.Unlock()
	return nil
}

// adoptNextMembership makes a membership, about to be written under a ballot, the one that this
// core counts by; it fails where a newer one is known.
func (core *Core) adoptNextMembership(next *Membership, term message.Term) (*View, error) {
	next.Version.Term = term
	core.learnMembership(next.accepted())
	view := core.membership()
	if view.Version != next.Version {
		return nil, rpc.Errorf(rpc.StaleTerm, "a newer membership %v is known", view.Version)
	}
	return view, nil
}

// onLeave takes a voter's word that it ends. It need not wait where no learner is
// there to take its place, nor once it has no place left.
func (core *Core) onLeave(request *message.LeaveRequest) (*message.LeaveResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	view := core.membership()
	learners := leadership.replacements.waitingLearners(learnerTimeouts*core.config.SuspicionTimeout, view)
	place := contains(view.Voters, request.Core) || contains(view.Next, request.Core)
	if !place || len(learners) == 0 && !view.changing() {
		return &message.LeaveResponse{Membership: view.accepted()}, nil
	}
	leadership.replacements.announceLeaving(request.Core)
	return &message.LeaveResponse{Wait: true}, nil
}

// leaveMembership is the end of a voter that does not lead: it keeps voting until a learner,
// where there is one, has taken its place.
func (core *Core) leaveMembership(until time.Time) {
	begin := time.Now()
	if limit := begin.Add(leaveTimeout); limit.Before(until) {
		until = limit
	}
	for time.Now().Before(until) && core.membership().votes() && len(core.membership().Peers) > 0 {
		response, err := core.announceLeave()
		if err == nil {
			core.learnMembership(response.Membership)
		}
		if err == nil && !response.Wait || err != nil && time.Since(begin) > leaveSearchTimeout {
			return
		}
		if !core.goroutines.Sleep(core.config.HeartbeatInterval / 2) {
			return
		}
	}
}

// announceLeave tells the leader that this voter ends.
func (core *Core) announceLeave() (*message.LeaveResponse, error) {
	core.mutex.Lock()
	leader := core.leader
	core.mutex.Unlock()
	if !leader.Known() || leader.Address == core.config.InternalAddress {
		return nil, rpc.Errorf(rpc.NoLeader, "nobody leads")
	}
	return rpc.Call[message.LeaveRequest, message.LeaveResponse](core.client, leader.Address, "leave", core.callTimeout(), &message.LeaveRequest{Core: core.membership().ID})
}
