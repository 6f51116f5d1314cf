package control

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// removalRetryMs is when to ask again for a removal, in milliseconds.
const removalRetryMs = 500

// onRemoveVoter gives a voter's place to a learner at once. If the leader itself is to
// go, it hands over the lead, and the order goes to the next leader. The same order again
// finds the core gone and is acknowledged.
func (core *Core) onRemoveVoter(request *message.RemoveVoterRequest) (*message.RemoveVoterResponse, error) {
	leadership, err := core.confirmedLeadership()
	if err != nil {
		return nil, err
	}
	view, err := leadership.decidedMembership()
	if err != nil {
		return nil, err
	}
	if request.Core > view.LastID {
		return nil, rpc.Errorf(rpc.NotFound, "no core %d ever voted; the last one is %d", request.Core, view.LastID)
	}
	position := slices.IndexFunc(view.Voters, func(peer message.Peer) bool { return peer.ID == request.Core })
	if position < 0 {
		return &message.RemoveVoterResponse{Version: view.Version.Serial, Duplicate: true}, nil
	}
	learner, err := leadership.replacementFor(request.Core, view)
	if err != nil {
		return nil, err
	}
	if request.Core == view.ID {
		return nil, leadership.transferForRemoval()
	}
	klog.Infof("core %d: core %d is removed by an operator", view.ID, request.Core)
	leadership.replaceVoter(view.Voters[position], learner)
	return leadership.removalResponse(request.Core)
}

// decidedMembership returns the membership that this leadership had decided, after it has
// finished the replacement under way.
func (leadership *Leadership) decidedMembership() (*consensus.View, error) {
	core := leadership.core
	if core.membership().Changing() {
		leadership.finishReplacement()
	}
	if err := leadership.check(); err != nil {
		return nil, err
	}
	view := core.membership()
	decided := message.Version{Term: leadership.term, Serial: leadership.value(message.MembersRegister).Serial}
	if view.Changing() || view.Version != decided {
		return nil, &rpc.Error{Code: rpc.NotStarted, Message: "another replacement is under way", RetryAfterMs: removalRetryMs}
	}
	return view, nil
}

// replacementFor returns the address of a learner that may take a voter's place now.
func (leadership *Leadership) replacementFor(leaving int, view *consensus.View) (string, error) {
	core := leadership.core
	if len(leadership.waitingLearners(view)) > 0 && view.LastID < message.MaxPeerID {
		learner, found := leadership.replacements.readyLearner(core.config.SuspicionTimeout, leadership.nearlySynced)
		if found {
			return learner, nil
		}
	}
	if time.Since(leadership.startedAt) < learnerTimeouts*core.config.SuspicionTimeout {
		return "", &rpc.Error{
			Code:         rpc.NotStarted,
			Message:      "the leader just began and may not know the learners yet",
			RetryAfterMs: removalRetryMs,
		}
	}
	return "", rpc.Errorf(
		rpc.NoLearner,
		"no learner holds everything yet, so core %d keeps its place; start a new core and ask again",
		leaving,
	)
}

// removalResponse acknowledges a removal that was decided. One that was written but not
// decided may come about all the same.
func (leadership *Leadership) removalResponse(id int) (*message.RemoveVoterResponse, error) {
	view, err := leadership.decidedMembership()
	if err != nil {
		return nil, &rpc.Error{
			Code:         rpc.OutcomeUnknown,
			Message:      "the removal may come about: " + err.Error(),
			RetryAfterMs: removalRetryMs,
		}
	}
	if consensus.ContainsPeer(view.Voters, id) {
		return nil, &rpc.Error{Code: rpc.NotStarted, Message: "the learner did not take the place", RetryAfterMs: removalRetryMs}
	}
	return &message.RemoveVoterResponse{Version: view.Version.Serial}, nil
}

// transferForRemoval makes another voter the leader. This core then votes and follows
// until the order reaches the new leader.
func (leadership *Leadership) transferForRemoval() error {
	core := leadership.core
	leadership.transferToAny(time.Now().Add(core.config.writeTimeout()))
	core.endLeadership(leadership)
	return rpc.Errorf(rpc.NotLeader, "the leader is to be removed and stepped down")
}
