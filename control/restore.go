package control

import (
	"k8s.io/klog/v2"

	"orchidjunction/consensus"
	"orchidjunction/idempotency"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// restoreReplica makes a blank disk a voter again. It initializes the disk if every core is
// new. Otherwise it fences enough others to meet every quorum that the lost disk was part of,
// and establishes a leadership under the term of the fence.
func (core *Core) restoreReplica() {
	interval := core.config.HeartbeatInterval
	core.goroutines.Sleep(core.random.between(interval, 2*interval))
	view := core.membership()
	responses := core.askReplicaStates(view, consensus.Initialized, waitForAll)
	for _, response := range responses {
		core.observeTermNumber(response.Promised.Number)
	}
	if core.config.Bootstrap && !core.config.discoversPeers() && allPeersEmpty(view, responses) {
		core.initializeReplica(view)
		return
	}
	if !core.members.MayRestore(view, responses) {
		core.counters.Add("restores_short", 1)
		return
	}
	term, former := core.nextTerm(view)
	promises, err := core.restoreFromPeers(view, term, largestState(responses))
	if err != nil {
		core.counters.Add("restores_short", 1)
		return
	}
	if promises == nil || !core.role.transition(Revoking) {
		return
	}
	core.establishLeadership(view, term, fenceRevocation(term, former, promises))
	core.role.abandonCandidacy()
}

// askReplicaStates asks the other voters for their state until enough agree, and learns the
// memberships that they return.
func (core *Core) askReplicaStates(
	view *consensus.View,
	agrees func(*message.ReplicaStateResponse) bool,
	enough func(has func(id int) bool) bool,
) map[int]*message.ReplicaStateResponse {
	request := &message.ReplicaStateRequest{Core: view.ID, Membership: view.Version}
	responses := callPeers(core, view, func(peer message.Peer) (*message.ReplicaStateResponse, error) {
		return rpc.Call(core.client, peer.Address, message.MethodReplicaState, core.callTimeout(), request)
	}, agrees, enough)
	for _, response := range responses {
		core.learnMembership(response.Membership)
	}
	return responses
}

// allPeersEmpty reports whether all other voters answered and none has promised or accepted
// anything.
func allPeersEmpty(view *consensus.View, responses map[int]*message.ReplicaStateResponse) bool {
	if len(responses) != len(view.Peers) {
		return false
	}
	for _, response := range responses {
		if response.Promised.Number > 0 || response.Versions != (message.Versions{}) {
			return false
		}
	}
	return true
}

// initializeReplica initializes this core's disk as a replica of a new system.
func (core *Core) initializeReplica(view *consensus.View) {
	if core.replica.Initialize(message.Term{}, [message.Registers]message.AcceptedValue{}, nil) != nil {
		return
	}
	klog.Infof("core %d: bootstrapped a new system", view.ID)
	core.startClaims(view.ID)
	core.startFollowing()
}

// largestState returns the size in bytes of the largest state that a voter reported.
func largestState(responses map[int]*message.ReplicaStateResponse) int {
	largest := 0
	for _, response := range responses {
		largest = max(largest, response.Bytes)
	}
	return largest
}

// restoreFromPeers fences the other voters under a term and copies their accepted values, of
// about the given number of bytes. It returns the promises, this core's included, or nil if
// the disk refused the copies.
func (core *Core) restoreFromPeers(view *consensus.View, term message.Term, bytes int) (map[int]*message.PrepareResponse, error) {
	request := &message.PrepareRequest{Term: term, Membership: view.Accepted()}
	promises := core.preparePeers(view, request, bytes, waitForAll)
	if !view.FencesLostVoter(view.ID, consensus.Agreed(promises, consensus.Granted)) {
		return nil, rpc.Errorf(rpc.StaleTerm, "only %d cores promised term %s", len(promises), term)
	}
	accepted, sources := consensus.InheritedValues(view, promises)
	source := view.AddressOf(sources[message.SettingsRegister])
	chunks, err := core.collectChunks(source, accepted[message.SettingsRegister].Value, nil)
	if err != nil {
		return nil, err
	}
	if core.replica.Initialize(term, accepted, chunks) != nil {
		return nil, nil
	}
	core.counters.Add("restores", 1)
	klog.Infof("core %d: restored from %d cores in term %s", view.ID, len(promises), term)
	promises[view.ID] = &message.PrepareResponse{Granted: true, Promised: term, Accepted: core.replica.State().Accepted}
	return promises, nil
}

// startClaims marks the claims of a new voter as complete, since nothing was recorded on its
// disk before. It retries while the claim queue is full or the disk refuses the mark: until
// that is durable, this core counts as one that may have lost claims.
func (core *Core) startClaims(id int) {
	if core.markClaimsComplete(id) == nil {
		return
	}
	core.goroutines.Start(func() {
		for core.goroutines.Sleep(repairInterval) && core.markClaimsComplete(id) != nil {
		}
	})
}

// markClaimsComplete records that a voter lacks no claims. It does nothing if this core no
// longer votes under that ID.
func (core *Core) markClaimsComplete(id int) error {
	view := core.membership()
	if view.ID != id {
		return nil
	}
	err := core.claims.Submit(&idempotency.Write{Request: &message.RecordClaimsRequest{}, Membership: view.Accepted(), CompleteAs: view.ID})
	if err != nil {
		core.counters.Add("claims_not_begun", 1)
	}
	return err
}

// onReplicaState returns what this core has promised and accepted, and its membership if newer
// than the caller's.
func (core *Core) onReplicaState(request *message.ReplicaStateRequest) (*message.ReplicaStateResponse, error) {
	state := core.replica.State()
	return &message.ReplicaStateResponse{
		Voter:       state.Initialized,
		Initialized: state.Initialized,
		Promised:    state.Promised,
		Versions:    state.Versions(),
		Membership:  core.members.NewerThan(request.Membership),
		Bytes:       state.Size(),
	}, nil
}
