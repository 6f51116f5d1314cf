package control

import (
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Retire prepares the planned shutdown of this core, within the timeout. A leader first becomes
// lameduck: the write in progress finishes, new ones are refused with the successor's address,
// and the successor is asked to take over. The core then waits until a learner, if there is one,
// has replaced it as a voter.
func (core *Core) Retire(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	leadership, err := core.currentLeadership()
	if err == nil && core.role.transition(Lameduck) {
		core.counters.Add("lameducks", 1)
		leadership.transferToAny(deadline)
		core.endLeadership(leadership)
	}
	core.role.transition(Retired)
	core.leaveMembership(deadline)
}

// transferToAny hands the leadership over to the best successor, or to the next best if that
// one does not take over.
func (leadership *Leadership) transferToAny(deadline time.Time) {
	tried := map[int]bool{}
	for time.Now().Before(deadline) {
		successor, found := leadership.bestSuccessor(tried)
		if !found {
			return
		}
		tried[successor.ID] = true
		if leadership.transferTo(successor, deadline) {
			return
		}
	}
}

// transferTo announces a successor, waits for the write in progress and asks the successor to
// take over. It returns true once this core has seen a newer leader.
func (leadership *Leadership) transferTo(successor message.Peer, deadline time.Time) bool {
	core := leadership.core
	leadership.mutex.Lock()
	leadership.lameduck = true
	leadership.successor = message.Leader{Core: successor.ID, Address: successor.Address}
	leadership.mutex.Unlock()
	leadership.heartbeat()
	leadership.writeLock.Lock()
	defer leadership.writeLock.Unlock()
	klog.Infof("core %d: lameduck, transfers leadership to core %d", core.membership().ID, successor.ID)
	request := leadership.transferRequest()
	response, err := rpc.Call(core.client, successor.Address, message.MethodTransferLeadership, core.callTimeout(), request)
	if err != nil || !response.Accepted {
		core.counters.Add("handovers_refused", 1)
		return false
	}
	return leadership.awaitSuccessor(deadline)
}

func (leadership *Leadership) transferRequest() *message.TransferLeadershipRequest {
	core := leadership.core
	view := core.membership()
	request := &message.TransferLeadershipRequest{Term: leadership.term, From: view.ID, Versions: core.replica.State().Versions()}
	for _, learner := range leadership.waitingLearners(view) {
		request.Learners = append(request.Learners, learner.Address)
	}
	return request
}

// awaitSuccessor waits until this core has seen a newer leader.
func (leadership *Leadership) awaitSuccessor(deadline time.Time) bool {
	core := leadership.core
	takeoverDeadline := time.Now().Add(2 * core.config.SuspicionTimeout)
	for time.Now().Before(takeoverDeadline) && time.Now().Before(deadline) {
		core.mutex.Lock()
		isReplaced := leadership.term.Less(core.election.leader.Term)
		core.mutex.Unlock()
		if isReplaced {
			core.counters.Add("handovers", 1)
			return true
		}
		if !core.goroutines.Sleep(core.config.HeartbeatInterval / 8) {
			return false
		}
	}
	core.counters.Add("handovers_late", 1)
	return false
}

// bestSuccessor returns the best candidate to take over among the voters not tried yet.
func (leadership *Leadership) bestSuccessor(tried map[int]bool) (message.Peer, bool) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	var best message.Peer
	var bestCandidate consensus.Candidate
	found := false
	view := leadership.core.membership()
	for _, peer := range view.Peers {
		response := leadership.responses[peer.ID]
		if tried[peer.ID] || !view.MayLead(peer.ID) || response == nil || !response.Voter || !response.Accepted || response.RefusesWrites {
			continue
		}
		candidate := consensus.Candidate{ID: peer.ID, Versions: response.Versions, Reachable: response.Reachable}
		if !found || candidate.BetterThan(bestCandidate) {
			best, bestCandidate, found = peer, candidate, true
		}
	}
	return best, found
}
