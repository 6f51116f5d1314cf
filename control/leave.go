package control

import (
	"time"

	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	// leaderSearchTimeout bounds how long a voter that ends looks for a leader to tell.
	leaderSearchTimeout = time.Second
	// leaveTimeout bounds how long a voter that ends waits for its successor.
	leaveTimeout = 3 * time.Second
)

// onLeave takes the announcement of a voter of a former release, which names its ID alone.
// Only the ID of a decided voter is certainly its own.
func (core *Core) onLeave(request *message.LeaveRequest) (*message.LeaveResponse, error) {
	return core.registerLeave(func(voter message.Peer, isDecided bool) bool { return voter.ID == request.Core && isDecided })
}

// onLeaveVoter takes a voter's announcement that it ends.
func (core *Core) onLeaveVoter(request *message.LeaveVoterRequest) (*message.LeaveResponse, error) {
	return core.registerLeave(func(voter message.Peer, _ bool) bool {
		return voter.ID == request.Core && voter.Address == request.Address
	})
}

// registerLeave notes that the voter which a caller names ends. The voter need not wait if no
// learner is there to take its place, nor if it has none.
func (core *Core) registerLeave(isCaller func(voter message.Peer, isDecided bool) bool) (*message.LeaveResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	view := core.membership()
	hasSuccessor := len(leadership.waitingLearners(view)) > 0 || view.Changing()
	for _, voter := range view.All() {
		if hasSuccessor && isCaller(voter, consensus.ContainsPeer(view.Voters, voter.ID)) {
			leadership.replacements.announceLeaving(voter.ID)
			return &message.LeaveResponse{Wait: true}, nil
		}
	}
	return &message.LeaveResponse{Membership: view.Accepted()}, nil
}

// leaveMembership is the end of a voter that does not lead: it keeps voting until a
// learner, if there is one, has taken its place.
func (core *Core) leaveMembership(deadline time.Time) {
	begin := time.Now()
	if limit := begin.Add(leaveTimeout); limit.Before(deadline) {
		deadline = limit
	}
	for time.Now().Before(deadline) && core.membership().Votes() && len(core.membership().Peers) > 0 {
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

// announceLeave tells the leader that this voter ends.
func (core *Core) announceLeave() (*message.LeaveResponse, error) {
	core.mutex.Lock()
	leader := core.election.leader
	core.mutex.Unlock()
	if !leader.Known() || leader.Address == core.config.InternalAddress {
		return nil, rpc.Errorf(rpc.NoLeader, "nobody leads")
	}
	id, address := core.membership().ID, core.config.InternalAddress
	request := &message.LeaveVoterRequest{Core: id, Address: address}
	response, err := rpc.Call(core.client, leader.Address, message.MethodLeaveVoter, core.callTimeout(), request)
	if rpc.CodeOf(err) == rpc.UnknownMessage {
		former := &message.LeaveRequest{Core: id}
		return rpc.Call(core.client, leader.Address, message.MethodLeave, core.callTimeout(), former)
	}
	return response, err
}
