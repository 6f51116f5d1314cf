package control

import (
	"time"

	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	// leaderSearchTimeout bounds how long a leaving voter looks for a leader to inform.
	leaderSearchTimeout = time.Second
	// leaveTimeout bounds how long a leaving voter waits for its successor.
	leaveTimeout = 3 * time.Second
)

// onLeave handles the announcement of a leaving voter of a former release, which gives only
// its ID. Only the ID of a voter in a decided membership certainly belongs to the caller.
func (core *Core) onLeave(request *message.LeaveRequest) (*message.LeaveResponse, error) {
	return core.recordLeave(func(voter message.Peer, isDecided bool) bool { return voter.ID == request.Core && isDecided })
}

func (core *Core) onLeaveVoter(request *message.LeaveVoterRequest) (*message.LeaveResponse, error) {
	return core.recordLeave(func(voter message.Peer, _ bool) bool {
		return voter.ID == request.Core && voter.Address == request.Address
	})
}

// recordLeave records that the calling voter leaves. It need not wait if it has no vote any
// more or no learner can replace it.
func (core *Core) recordLeave(isCaller func(voter message.Peer, isDecided bool) bool) (*message.LeaveResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	view := core.membership()
	hasSuccessor := len(leadership.waitingLearners(view)) > 0 || view.IsJoint()
	for _, voter := range view.All() {
		if hasSuccessor && isCaller(voter, consensus.ContainsPeer(view.Voters, voter.ID)) {
			leadership.replacements.announceLeaving(voter.ID)
			return &message.LeaveResponse{Wait: true}, nil
		}
	}
	return &message.LeaveResponse{Membership: view.Accepted()}, nil
}

// leaveMembership keeps a leaving voter that does not lead voting until a learner, if there is
// one, has replaced it.
func (core *Core) leaveMembership(deadline time.Time) {
	begin := time.Now()
	if limit := begin.Add(leaveTimeout); limit.Before(deadline) {
		deadline = limit
	}
	for time.Now().Before(deadline) && core.membership().IsVoter() && len(core.membership().Peers) > 0 {
		response, err := core.announceLeave()
		if err == nil {
			core.learnMembership(response.Membership)
		}
		isDone := err == nil && !response.Wait
		leaderNotFound := err != nil && time.Since(begin) > leaderSearchTimeout
		if isDone || leaderNotFound || !core.goroutines.Sleep(core.config.HeartbeatInterval/2) {
			return
		}
	}
}

// announceLeave tells the leader that this voter leaves. A leader of a former release gets the
// older request.
func (core *Core) announceLeave() (*message.LeaveResponse, error) {
	core.mutex.Lock()
	leader := core.election.leader
	core.mutex.Unlock()
	if !leader.Known() || leader.Address == core.config.InternalAddress {
		return nil, rpc.Errorf(rpc.NoLeader, "no leader is known")
	}
	id, address := core.membership().ID, core.config.InternalAddress
	request := &message.LeaveVoterRequest{Core: id, Address: address}
	response, err := rpc.Call(core.client, leader.Address, message.MethodLeaveVoter, core.callTimeout(), request)
	if rpc.CodeOf(err) == rpc.UnknownMessage {
		legacyRequest := &message.LeaveRequest{Core: id}
		return rpc.Call(core.client, leader.Address, message.MethodLeave, core.callTimeout(), legacyRequest)
	}
	return response, err
}
