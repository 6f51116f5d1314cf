package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

// removalRetryMs is when to ask again for a removal, in milliseconds.
const removalRetryMs = 500

// onRemoveVoter gives a voter's place to a learner at once. Where the leader itself is to
// go, it hands the lead over, and the order goes on to the next one. The same order
// again finds the core gone and is acknowledged.
func (core *Core) onRemoveVoter(request *message.RemoveVoterRequest) (*message.RemoveVoterResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	if err := leadership.confirm(core.callTimeout()); err != nil {
		return nil, err
	}
	view, err := leadership.decidedMembership()
	if err != nil {
		return nil, err
	}
	place := slices.IndexFunc(view.Voters, func(peer Peer) bool { return peer.ID == request.Core })
	if request.Core > view.LastID {
		return nil, rpc.Errorf(rpc.NotFound, "no core %d ever voted; the last one is %d", request.Core, view.LastID)
	}
	if place < 0 {
		return &message.RemoveVoterResponse{Version: view.Version.Serial, Duplicate: true}, nil
	}
	address, found := leadership.readyLearner(view)
	if !found && time.Since(leadership.since) < learnerTimeouts*core.config.SuspicionTimeout {
		return nil, &rpc.Error{Code: rpc.NotStarted, Message: "the leader just began and may not know the learners yet", RetryAfterMs: removalRetryMs}
	}
	if !found {
		return nil, rpc.Errorf(rpc.NoLearner, "no learner holds everything yet, so core %d keeps its place; start a new core and ask again", request.Core)
	}
	if request.Core == view.ID {
		return nil, leadership.transferForRemoval()
	}
	klog.Infof("core %d: core %d is removed by order", view.ID, request.Core)
	leadership.replaceVoter(view.Voters[place], address)
	return leadership.removalResponse(request.Core)
}

// decidedMembership is the membership that this leadership had decided, after the step
// under way was ended.
func (leadership *Leadership) decidedMembership() (*View, error) {
	core := leadership.core
	if core.membership().changing() {
		leadership.finishReplacement()
	}
	if err := leadership.check(); err != nil {
		return nil, err
	}
	view := core.membership()
	decided := message.Version{Term: leadership.term, Serial: leadership.value(message.MembersRegister).Serial}
	if view.changing() || view.Version != decided {
		return nil, &rpc.Error{Code: rpc.NotStarted, Message: "another replacement is under way", RetryAfterMs: removalRetryMs}
	}
	return view, nil
}

// readyLearner is a learner that may take a place now.
func (leadership *Leadership) readyLearner(view *View) (string, bool) {
	span := leadership.core.config.SuspicionTimeout
	if len(leadership.replacements.waitingLearners(learnerTimeouts*span, view)) == 0 || view.LastID >= message.MaxPeerID {
		return "", false
	}
	return leadership.replacements.readyLearner(span, leadership.nearlySynced)
}

// removalResponse acknowledges a removal that was decided. One that was written but not
// decided may come about all the same.
func (leadership *Leadership) removalResponse(id int) (*message.RemoveVoterResponse, error) {
	view, err := leadership.decidedMembership()
	if err != nil {
		return nil, &rpc.Error{Code: rpc.OutcomeUnknown, Message: "the removal may come about: " + err.Error(), RetryAfterMs: removalRetryMs}
	}
	if contains(view.Voters, id) {
		return nil, &rpc.Error{Code: rpc.NotStarted, Message: "the learner did not take the place", RetryAfterMs: removalRetryMs}
	}
	return &message.RemoveVoterResponse{Version: view.Version.Serial}, nil
}

// transferForRemoval makes another voter the leader. This core then votes and follows
// until the order reaches the new leader.
func (leadership *Leadership) transferForRemoval() error {
	core, passed := leadership.core, map[int]bool{}
	until := time.Now().Add(core.config.writeTimeout())
	for time.Now().Before(until) {
		heir, found := leadership.bestSuccessor(passed)
		if !found {
			break
		}
		passed[heir.ID] = true
		if leadership.transferTo(heir, until) {
			break
		}
	}
	core.endLeadership(leadership)
	return &rpc.Error{Code: rpc.NotLeader, Message: "the leader is to be removed and stepped down"}
}
