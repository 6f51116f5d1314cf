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
	// learnerSpan is how many suspicion spans a learner is remembered after it asked.
	learnerSpan = 3
	// leaveSpan is how long a voter's word that it ends is good for.
	leaveSpan = time.Second
	// leaveRetries bounds how long a voter that ends looks for a leader to tell.
	leaveRetries = time.Second
	// leaveLimit bounds how long a voter that ends waits for its successor.
	leaveLimit = 3 * time.Second
)

// learner is a core without a vote that follows the leader.
type learner struct {
	asked    time.Time
	answered time.Time
	report   *message.HeartbeatResponse
}

// Succession is what a leadership knows of those that may take a voter's place and
// of those that may lose theirs.
type Succession struct {
	mutex    sync.Mutex
	learners map[string]*learner
	answered map[int]time.Time
	leaving  map[int]time.Time
}

func newSuccession() *Succession {
	return &Succession{learners: map[string]*learner{}, answered: map[int]time.Time{}, leaving: map[int]time.Time{}}
}

// enlisted notes that a learner asked.
func (succession *Succession) enlisted(address string) {
	succession.mutex.Lock()
	defer succession.mutex.Unlock()
	if succession.learners[address] == nil {
		succession.learners[address] = &learner{}
	}
	succession.learners[address].asked = time.Now()
}

// heard notes a heartbeat's answer; a learner has no ID.
func (succession *Succession) heard(peer Peer, response *message.HeartbeatResponse) {
	succession.mutex.Lock()
	defer succession.mutex.Unlock()
	if peer.ID > 0 {
		succession.answered[peer.ID] = time.Now()
		return
	}
	if held := succession.learners[peer.Address]; held != nil {
		held.answered, held.report = time.Now(), response
	}
}

// joined begins the silence of a new voter.
func (succession *Succession) joined(id int) {
	succession.mutex.Lock()
	succession.answered[id] = time.Now()
	succession.mutex.Unlock()
}

// waiting are the learners that asked lately and stand at no voter's address.
func (succession *Succession) waiting(span time.Duration, view *View) []Peer {
	succession.mutex.Lock()
	defer succession.mutex.Unlock()
	all := []Peer{}
	for address, held := range succession.learners {
		if time.Since(held.asked) > span || view.has(address) {
			delete(succession.learners, address)
			continue
		}
		all = append(all, Peer{Address: address})
	}
	return all
}

// ready is a learner that votes as soon as it is counted: it answered lately as a
// replica and holds every register as far as the marks say, or nearly so.
func (succession *Succession) ready(span time.Duration, near func(versions message.Versions) bool) (string, bool) {
	succession.mutex.Lock()
	defer succession.mutex.Unlock()
	best := ""
	for address, held := range succession.learners {
		report := held.report
		if report == nil || !report.Accepted || !report.Voter || report.RefusesWrites || time.Since(held.answered) > span || !near(report.Versions) {
			continue
		}
		if best == "" || compareAddresses(address, best) < 0 {
			best = address
		}
	}
	return best, best != ""
}

// leaves notes that a voter announced its end.
func (succession *Succession) leaves(id int) {
	succession.mutex.Lock()
	succession.leaving[id] = time.Now()
	succession.mutex.Unlock()
}

// departing is the voter whose place is free to take: one that announced its end, or
// the one that was silent longest and for a span at least. The leader itself never is.
func (succession *Succession) departing(voters []Peer, own int, since time.Time, span time.Duration) (Peer, bool) {
	succession.mutex.Lock()
	defer succession.mutex.Unlock()
	oldest, found := Peer{}, false
	last := time.Now().Add(-span)
	for _, peer := range voters {
		if peer.ID == own {
			continue
		}
		if time.Since(succession.leaving[peer.ID]) < leaveSpan {
			return peer, true
		}
		heard := since
		if answered := succession.answered[peer.ID]; answered.After(heard) {
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
	if err := leadership.confirm(core.roundLimit()); err != nil || core.members().has(address) {
		return false
	}
	leadership.succession.enlisted(address)
	return true
}

// changeMembers is the leader's duty to end a step between two memberships, and to
// begin one when a learner can take the place of a voter that is gone or leaves.
// Nothing else removes a voter, so a minority never shrinks the quorum to itself.
func (core *Core) changeMembers() {
	leadership, err := core.leading()
	if err != nil || leadership.holds() != nil {
		return
	}
	view := core.members()
	if view.changing() {
		leadership.settleMembers()
		return
	}
	span := core.place.Suspect
	if len(leadership.succession.waiting(learnerSpan*span, view)) == 0 || view.LastID >= message.MaxPeerID {
		return
	}
	leaving, found := leadership.succession.departing(view.Voters, view.ID, leadership.since, core.place.ReplaceAfter)
	if !found {
		return
	}
	if address, found := leadership.succession.ready(span, leadership.near); found {
		leadership.replace(leaving, address)
	}
}

// near is whether a replica holds registers of this leadership, so that it lacks
// no more than the last few writes.
func (leadership *Leadership) near(versions message.Versions) bool {
	for register := range versions {
		if versions[register].Term != leadership.ballot {
			return false
		}
	}
	return true
}

// replace gives a voter's place to a learner. No other write is under way meanwhile:
// the learner first gets what it lacks, then both groups take the step, each by a
// majority, then the following group goes on alone.
func (leadership *Leadership) replace(leaving Peer, address string) {
	core := leadership.core
	leadership.writes.Lock()
	err := leadership.mayReplace(leaving, address)
	if err == nil {
		err = leadership.catchUp(Peer{Address: address})
	}
	if err == nil {
		step := core.members().replaced(leaving.ID, address)
		leadership.succession.joined(step.LastID)
		err = leadership.writeMembers(step)
	}
	leadership.writes.Unlock()
	if err != nil {
		core.counters.Add("replacements_failed", 1)
		klog.Infof("core %d: %s does not take core %d's place: %v", core.members().ID, address, leaving.ID, err)
		return
	}
	core.counters.Add("replacements_begun", 1)
	leadership.settleMembers()
}

// mayReplace refuses a step that was chosen before another one, by an order or by the
// leader's duty.
func (leadership *Leadership) mayReplace(leaving Peer, address string) error {
	view := leadership.core.members()
	if view.changing() || !contains(view.Voters, leaving.ID) || view.has(address) {
		return rpc.Errorf(rpc.NotStarted, "membership %d is another one meanwhile", view.Mark.Serial)
	}
	return nil
}

// catchUp brings a replica all registers as they are; it fails unless that has all.
func (leadership *Leadership) catchUp(peer Peer) error {
	leadership.mutex.Lock()
	values, texts := leadership.values, leadership.content.texts
	leadership.mutex.Unlock()
	core := leadership.core
	_, failed := concurrent.Gather(core.goroutines, len(values), func(register int) (bool, error) {
		request := &message.AcceptRequest{Term: leadership.ballot, Register: message.Register(register), Value: values[register]}
		response, err := core.offerTo(peer, request, texts, core.roundLimit())
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

// settleMembers ends a step: all that was decided is at a majority of the following
// voters by now, since every write of this leadership under the step was.
func (leadership *Leadership) settleMembers() {
	core := leadership.core
	leadership.writes.Lock()
	defer leadership.writes.Unlock()
	view := core.members()
	if !view.changing() || leadership.holds() != nil {
		return
	}
	if err := leadership.rewriteAll(view); err != nil {
		core.counters.Add("replacements_stuck", 1)
		core.revoke(leadership)
		return
	}
	if leadership.writeMembers(view.settled()) != nil {
		return
	}
	core.counters.Add("replacements", 1)
	klog.Infof("core %d: membership %d settled: voters %v", view.ID, core.members().Mark.Serial, core.members().Voters)
}

// rewriteAll has a quorum of the step hold every register.
func (leadership *Leadership) rewriteAll(view *View) error {
	leadership.mutex.Lock()
	values, texts := leadership.values, leadership.content.texts
	leadership.mutex.Unlock()
	_, failed := concurrent.Gather(leadership.core.goroutines, len(values), func(register int) (bool, error) {
		request := &message.AcceptRequest{Term: leadership.ballot, Register: message.Register(register), Value: values[register]}
		if err := leadership.core.pushValue(view, request, texts); err != nil {
			return false, err
		}
		return true, nil
	}, func(_ map[int]bool, failed map[int]error) bool { return len(failed) > 0 })
	for _, err := range failed {
		return rpc.AsError(err)
	}
	return nil
}

// writeMembers writes a membership, within the turn of the writes. It counts from
// now on, decided or not; where it isn't decided, this leadership ends with it.
func (leadership *Leadership) writeMembers(next *Membership) error {
	if err := leadership.holds(); err != nil {
		return err
	}
	core := leadership.core
	view, err := core.countBy(next, leadership.ballot)
	if err != nil {
		core.revoke(leadership)
		return err
	}
	accepted := view.accepted()
	request := &message.AcceptRequest{Term: leadership.ballot, Register: message.MembersRegister, Value: accepted.Value}
	if err := core.pushValue(view, request, nil); err != nil {
		core.counters.Add("write_unknown", 1)
		core.revoke(leadership)
		return err
	}
	leadership.mutex.Lock()
	leadership.values[message.MembersRegister] = accepted.Value
	leadership.mutex.Unlock()
	return nil
}

// countBy makes a membership, about to be written under a ballot, the one that this
// core counts by; it fails where a newer one is known.
func (core *Core) countBy(next *Membership, term message.Term) (*View, error) {
	next.Mark.Term = term
	core.learnMembers(next.accepted())
	view := core.members()
	if view.Mark != next.Mark {
		return nil, rpc.Errorf(rpc.StaleTerm, "a newer membership %v is known", view.Mark)
	}
	return view, nil
}

// onLeave takes a voter's word that it ends. It need not wait where no learner is
// there to take its place, nor once it has no place left.
func (core *Core) onLeave(request *message.LeaveRequest) (*message.LeaveResponse, error) {
	leadership, err := core.leading()
	if err != nil {
		return nil, err
	}
	view := core.members()
	learners := leadership.succession.waiting(learnerSpan*core.place.Suspect, view)
	place := contains(view.Voters, request.Core) || contains(view.Next, request.Core)
	if !place || len(learners) == 0 && !view.changing() {
		return &message.LeaveResponse{Membership: view.accepted()}, nil
	}
	leadership.succession.leaves(request.Core)
	return &message.LeaveResponse{Wait: true}, nil
}

// leave is the end of a voter that does not lead: it keeps voting until a learner,
// where there is one, has taken its place.
func (core *Core) leave(until time.Time) {
	begin := time.Now()
	if limit := begin.Add(leaveLimit); limit.Before(until) {
		until = limit
	}
	for time.Now().Before(until) && core.members().votes() && len(core.members().Peers) > 0 {
		response, err := core.announceLeave()
		if err == nil {
			core.learnMembers(response.Membership)
		}
		if err == nil && !response.Wait || err != nil && time.Since(begin) > leaveRetries {
			return
		}
		if !core.goroutines.Sleep(core.place.Beat / 2) {
			return
		}
	}
}

// announceLeave tells the leader that this voter ends.
func (core *Core) announceLeave() (*message.LeaveResponse, error) {
	core.mutex.Lock()
	leader := core.leader
	core.mutex.Unlock()
	if !leader.Known() || leader.Address == core.place.Wire {
		return nil, rpc.Errorf(rpc.NoLeader, "nobody leads")
	}
	return rpc.Call[message.LeaveRequest, message.LeaveResponse](core.line, leader.Address, "leave", core.roundLimit(), &message.LeaveRequest{Core: core.members().ID})
}
