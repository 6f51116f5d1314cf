package control

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/concurrent"
	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// sendHeartbeats sends the leader's heartbeats, and ends a leadership that has reached no
// quorum for two suspicion time-outs.
func (core *Core) sendHeartbeats() {
	leadership, err := core.currentLeadership()
	if err != nil || leadership.heartbeat() {
		return
	}
	leadership.mutex.Lock()
	silence := time.Since(leadership.lastQuorumAt)
	leadership.mutex.Unlock()
	if silence > 2*core.config.SuspicionTimeout {
		core.counters.Add("leaderships_lost_reach", 1)
		core.endLeadership(leadership)
	}
}

// heartbeat sends one heartbeat to every voter and learner and reports whether a quorum
// accepted it.
func (leadership *Leadership) heartbeat() bool {
	core, begin := leadership.core, time.Now()
	view := core.membership()
	number, request := leadership.nextHeartbeat(view)
	peers := append(slices.Clone(view.Peers), leadership.waitingLearners(view)...)
	responses, _ := concurrent.Gather(core.goroutines, len(peers), func(index int) (*message.HeartbeatResponse, error) {
		return leadership.sendHeartbeatTo(peers[index], request)
	}, func(responses map[int]*message.HeartbeatResponse, _ map[int]error) bool {
		return view.IsQuorumWithSelf(acceptedHeartbeat(peers, responses))
	})
	for _, response := range responses {
		if leadership.term.Less(response.Promised) {
			core.observeTermNumber(response.Promised.Number)
			core.endLeadership(leadership)
			return false
		}
	}
	if !view.IsQuorumWithSelf(acceptedHeartbeat(peers, responses)) || core.replica.State().Promised != leadership.term {
		return false
	}
	leadership.recordHeartbeatQuorum(number, begin)
	return true
}

// recordHeartbeatQuorum records that a quorum accepted a heartbeat that was sent at begin.
func (leadership *Leadership) recordHeartbeatQuorum(number uint64, begin time.Time) {
	leadership.mutex.Lock()
	if leadership.lastQuorumAt.Before(begin) {
		leadership.lastQuorumAt = begin
	}
	leadership.heartbeatsConfirmed = max(leadership.heartbeatsConfirmed, number)
	leadership.mutex.Unlock()
	leadership.heartbeatDone.Notify()
}

// acceptedHeartbeat returns which voters accepted a heartbeat, from responses keyed by index
// into peers.
func acceptedHeartbeat(peers []message.Peer, responses map[int]*message.HeartbeatResponse) func(id int) bool {
	accepted := map[int]bool{}
	for index, response := range responses {
		if response.Accepted && response.Voter {
			accepted[peers[index].ID] = true
		}
	}
	return func(id int) bool { return accepted[id] }
}

// nextHeartbeat returns the next heartbeat and its number.
func (leadership *Leadership) nextHeartbeat(view *consensus.View) (uint64, *message.HeartbeatRequest) {
	table := leadership.core.Table().Version
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.heartbeatsSent++
	request := &message.HeartbeatRequest{
		Term:      leadership.term,
		Leader:    view.Leader(leadership.term),
		Lameduck:  leadership.lameduck,
		Successor: leadership.successor,
		Table:     table,
	}
	for register, value := range leadership.values {
		request.Committed[register] = message.Version{Term: leadership.term, Serial: value.Serial}
	}
	return leadership.heartbeatsSent, request
}

// sendHeartbeatTo sends a heartbeat to one core, records the response and starts to send the
// values that the core lacks.
func (leadership *Leadership) sendHeartbeatTo(peer message.Peer, request *message.HeartbeatRequest) (*message.HeartbeatResponse, error) {
	core, begin := leadership.core, time.Now()
	response, err := rpc.Call(core.client, peer.Address, message.MethodHeartbeat, core.callTimeout(), core.withArrivalTime(peer, request))
	if err != nil {
		return nil, err
	}
	if peer.ID > 0 {
		core.observePeerClock(peer, response, time.Since(begin))
	}
	leadership.replacements.observeResponse(peer, response)
	leadership.mutex.Lock()
	if peer.ID > 0 {
		leadership.responses[peer.ID] = response
	}
	leadership.mutex.Unlock()
	if response.Accepted && response.Voter && !response.RefusesWrites &&
		leadership.startSending(peer, response.Versions, request.Committed) {
		core.goroutines.Start(func() {
			defer leadership.endSending(peer)
			leadership.sendMissingValues(peer, response.Versions, request.Committed)
		})
	}
	return response, nil
}

func (leadership *Leadership) sendMissingValues(peer message.Peer, held, committed message.Versions) {
	core := leadership.core
	values, chunks := leadership.snapshot()
	for register := range committed {
		if !held[register].Less(committed[register]) {
			continue
		}
		core.counters.Add("copies_mended", 1)
		request := &message.AcceptRequest{Term: leadership.term, Register: message.Register(register), Value: values[register]}
		response, err := core.sendAcceptTo(peer, request, chunks, core.callTimeout()+transferTime(request.Value.Size()))
		if err != nil || !response.Accepted { // its next heartbeat response shows the missing value again
			core.counters.Add("copies_not_mended", 1)
		}
	}
}

// startSending reports whether a core lacks values and none are being sent to it, and marks it
// as being sent values. Heartbeats continue meanwhile, since a large value may take longer
// than their time-out.
func (leadership *Leadership) startSending(peer message.Peer, held, committed message.Versions) bool {
	lacks := false
	for register := range committed {
		lacks = lacks || held[register].Less(committed[register])
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	if !lacks || leadership.sendingTo[peer.Address] {
		return false
	}
	leadership.sendingTo[peer.Address] = true
	return true
}

func (leadership *Leadership) endSending(peer message.Peer) {
	leadership.mutex.Lock()
	delete(leadership.sendingTo, peer.Address)
	leadership.mutex.Unlock()
}

// onHeartbeat follows a leader whose term is not older than the one promised here.
func (core *Core) onHeartbeat(request *message.HeartbeatRequest) (*message.HeartbeatResponse, error) {
	state := core.replica.State()
	core.observeTermNumber(request.Term.Number)
	if request.Term.Less(state.Promised) {
		return &message.HeartbeatResponse{Voter: state.Initialized, Promised: state.Promised, Versions: state.Versions()}, nil
	}
	core.mutex.Lock()
	isNewLeader := core.election.follow(request)
	core.election.timeout = core.nextElectionTimeout()
	core.tables.announced = request.Table
	core.mutex.Unlock()
	if request.NowMs > 0 {
		core.observeLeaderClock(request.NowMs)
	}
	if isNewLeader {
		klog.Infof("core %d: follower of core %d in term %s", core.membership().ID, request.Leader.Core, request.Term)
		core.updates.Notify()
	}
	for register, version := range request.Committed {
		if accepted := state.Accepted[register]; accepted.Version() == version {
			core.commit(message.Register(register), accepted, state.Chunks)
		}
	}
	response := &message.HeartbeatResponse{
		Accepted:      true,
		Voter:         state.Initialized,
		RefusesWrites: !core.diskWritable(),
		Promised:      state.Promised,
		Versions:      state.Versions(),
		Reachable:     core.reachableCores(),
	}
	response.AnchorMs, response.NowMs = core.clockTimes()
	return response, nil
}
