package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

// removalRetry is when to ask again for a removal, in milliseconds.
const removalRetry = 500

// onRemoval gives a voter's place to a learner at once. Where the leader itself is to
// go, it hands the lead over, and the order goes on to the next one. The same order
// again finds the core gone and is acknowledged.
func (core *Core) onRemoval(request *message.RemoveVoterRequest) (*message.RemoveVoterResponse, error) {
	leadership, err := core.leading()
	if err != nil {
		return nil, err
	}
	if err := leadership.confirm(core.roundLimit()); err != nil {
		return nil, err
	}
	view, err := leadership.settledView()
	if err != nil {
		return nil, err
	}
	place := slices.IndexFunc(view.Voters, func(peer Peer) bool { return peer.ID == request.Core })
	if request.Core > view.LastID {
		return nil, rpc.Errorf(rpc.NotFound, "no core %d ever voted; the last one is %d", request.Core, view.LastID)
	}
	if place < 0 {
		return &message.RemoveVoterResponse{Version: view.Mark.Serial, Duplicate: true}, nil
	}
	address, found := leadership.readyLearner(view)
	if !found && time.Since(leadership.since) < learnerSpan*core.place.Suspect {
		return nil, &rpc.Error{Code: rpc.NotStarted, Message: "the leader just began and may not know the learners yet", RetryAfterMs: removalRetry}
	}
	if !found {
		return nil, rpc.Errorf(rpc.NoLearner, "no learner holds everything yet, so core %d keeps its place; start a new core and ask again", request.Core)
	}
	if request.Core == view.ID {
		return nil, leadership.handOverForRemoval()
	}
	klog.Infof("core %d: core %d is removed by order", view.ID, request.Core)
	leadership.replace(view.Voters[place], address)
	return leadership.removed(request.Core)
}

// settledView is the membership that this leadership had decided, after the step
// under way was ended.
func (leadership *Leadership) settledView() (*View, error) {
	core := leadership.core
	if core.members().changing() {
		leadership.settleMembers()
	}
	if err := leadership.holds(); err != nil {
		return nil, err
	}
	view := core.members()
	decided := message.Version{Term: leadership.ballot, Serial: leadership.value(message.MembersRegister).Serial}
	if view.changing() || view.Mark != decided {
		return nil, &rpc.Error{Code: rpc.NotStarted, Message: "another replacement is under way", RetryAfterMs: removalRetry}
	}
	return view, nil
}

// readyLearner is a learner that may take a place now.
func (leadership *Leadership) readyLearner(view *View) (string, bool) {
	span := leadership.core.place.Suspect
	if len(leadership.succession.waiting(learnerSpan*span, view)) == 0 || view.LastID >= message.MaxPeerID {
		return "", false
	}
	return leadership.succession.ready(span, leadership.near)
}

// removed acknowledges a removal that was decided. One that was written but not
// decided may come about all the same.
func (leadership *Leadership) removed(id int) (*message.RemoveVoterResponse, error) {
	view, err := leadership.settledView()
	if err != nil {
		return nil, &rpc.Error{Code: rpc.OutcomeUnknown, Message: "the removal may come about: " + err.Error(), RetryAfterMs: removalRetry}
	}
	if contains(view.Voters, id) {
		return nil, &rpc.Error{Code: rpc.NotStarted, Message: "the learner did not take the place", RetryAfterMs: removalRetry}
	}
	return &message.RemoveVoterResponse{Version: view.Mark.Serial}, nil
}

// handOverForRemoval makes another voter the leader. This core then votes and follows
// until the order reaches the new leader.
func (leadership *Leadership) handOverForRemoval() error {
	core, passed := leadership.core, map[int]bool{}
	until := time.Now().Add(core.place.writeLimit())
	for time.Now().Before(until) {
		heir, found := leadership.heir(passed)
		if !found {
			break
		}
		passed[heir.ID] = true
		if leadership.handOver(heir, until) {
			break
		}
	}
	core.revoke(leadership)
	return &rpc.Error{Code: rpc.NotLeader, Message: "the leader is to be removed and stepped down"}
}
