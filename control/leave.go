package control

import (
	"time"

	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	// leaveSearchTimeout bounds how long a voter that ends looks for a leader to tell.
	leaveSearchTimeout = time.Second
	// leaveTimeout bounds how long a voter that ends waits for its successor.
	leaveTimeout = 3 * time.Second
)

// onLeave takes a voter's announcement that it ends. The voter need not wait if no
// learner is there to take its place, nor once it has no place.
func (core *Core) onLeave(request *message.LeaveRequest) (*message.LeaveResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	view := core.membership()
	hasSuccessor := len(leadership.waitingLearners(view)) > 0 || view.Changing()
	isVoter := consensus.ContainsPeer(view.Voters, request.Core) || consensus.ContainsPeer(view.Next, request.Core)
	if !isVoter || !hasSuccessor {
		return &message.LeaveResponse{Membership: view.Accepted()}, nil
	}
	leadership.replacements.announceLeaving(request.Core)
	return &message.LeaveResponse{Wait: true}, nil
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
		isHopeless := err != nil && time.Since(begin) > leaveSearchTimeout
		if isDone || isHopeless || !core.goroutines.Sleep(core.config.HeartbeatInterval/2) {
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
	request := &message.LeaveRequest{Core: core.membership().ID}
	return rpc.Call(core.client, leader.Address, message.MethodLeave, core.callTimeout(), request)
}
