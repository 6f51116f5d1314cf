package control

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// removalRetryMs is the interval, in milliseconds, after which a client retries a removal.
const removalRetryMs = 500

// onRemoveVoter replaces a voter by a learner immediately. A leader that is to be removed
// hands over the leadership, and the request goes to the next leader. A repeated request finds
// the core removed and is acknowledged.
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
		return nil, rpc.Errorf(rpc.NotFound, "core %d was never a voter; the highest ID is %d", request.Core, view.LastID)
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
	klog.Infof("core %d: an operator removes core %d", view.ID, request.Core)
	leadership.replaceVoter(view.Voters[position], learner)
	return leadership.removalResponse(request.Core)
}

// decidedMembership completes a replacement in progress and returns the membership that this
// leadership decided.
func (leadership *Leadership) decidedMembership() (*consensus.View, error) {
	core := leadership.core
	if core.membership().IsJoint() {
		leadership.finishReplacement()
	}
	if err := leadership.check(); err != nil {
		return nil, err
	}
	view := core.membership()
	decided := message.Version{Term: leadership.term, Serial: leadership.value(message.MembersRegister).Serial}
	if view.IsJoint() || view.Version != decided {
		return nil, &rpc.Error{Code: rpc.NotStarted, Message: "another replacement is in progress", RetryAfterMs: removalRetryMs}
	}
	return view, nil
}

// replacementFor returns the address of a learner that can replace a voter now.
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
			Message:      "the leader was just elected and may not know the learners yet",
			RetryAfterMs: removalRetryMs,
		}
	}
	return "", rpc.Errorf(
		rpc.NoLearner,
		"no learner is synchronized, so core %d stays a voter; start a new core and retry",
		leaving,
	)
}

// removalResponse acknowledges a removal that was decided. A removal that was written but not
// decided may still take effect.
func (leadership *Leadership) removalResponse(id int) (*message.RemoveVoterResponse, error) {
	view, err := leadership.decidedMembership()
	if err != nil {
		return nil, &rpc.Error{
			Code:         rpc.OutcomeUnknown,
			Message:      "the removal may still take effect: " + err.Error(),
			RetryAfterMs: removalRetryMs,
		}
	}
	if consensus.ContainsPeer(view.Voters, id) {
		return nil, &rpc.Error{Code: rpc.NotStarted, Message: "the learner did not replace the voter", RetryAfterMs: removalRetryMs}
	}
	return &message.RemoveVoterResponse{Version: view.Version.Serial}, nil
}

// transferForRemoval makes another voter the leader. This core votes and follows until the
// request reaches the new leader.
func (leadership *Leadership) transferForRemoval() error {
	core := leadership.core
	leadership.transferToAny(time.Now().Add(core.config.writeTimeout()))
	core.endLeadership(leadership)
	return rpc.Errorf(rpc.NotLeader, "the leader is to be removed and has stepped down")
}
