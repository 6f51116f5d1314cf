package control

import (
	"k8s.io/klog/v2"

	"orchidjunction/consensus"
	"orchidjunction/idempotency"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// restoreReplica makes a blank disk a voter again: by initializing it, if every core is
// new, or by fencing so many others that no quorum is missed which the lost disk was part
// of. The core then goes on to establish a leadership under the term of the fence.
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

// askReplicaStates asks the other voters what they hold, until those that agree are
// enough, and learns the memberships that they know.
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

// allPeersEmpty reports whether all other voters answered, and none holds anything.
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

// initializeReplica begins a new system at this core.
func (core *Core) initializeReplica(view *consensus.View) {
	if core.replica.Initialize(message.Term{}, [message.Registers]message.AcceptedValue{}, nil) != nil {
		return
	}
	klog.Infof("core %d: bootstrapped", view.ID)
	core.startClaims(view.ID)
	core.startFollowing()
}

// largestState returns the size in bytes of the largest state that a voter named.
func largestState(responses map[int]*message.ReplicaStateResponse) int {
	largest := 0
	for _, response := range responses {
		largest = max(largest, response.Bytes)
	}
	return largest
}

// restoreFromPeers fences the other voters by a term and copies what they accepted, of so
// many bytes. It returns the promises, with this core's own, or none if the disk refused the
// copies.
func (core *Core) restoreFromPeers(view *consensus.View, term message.Term, bytes int) (map[int]*message.PrepareResponse, error) {
	request := &message.PrepareRequest{Term: term, Membership: view.Accepted()}
	promises := core.preparePeers(view, request, bytes, waitForAll)
	if !view.FencesWithout(view.ID, consensus.Agreed(promises, consensus.Granted)) {
		return nil, rpc.Errorf(rpc.StaleTerm, "%d cores promised %s", len(promises), term)
	}
	accepted, sources := consensus.InheritedValues(view, promises)
	source := view.AddressOf(sources[message.SettingsRegister])
	chunks, err := core.gatherChunks(source, accepted[message.SettingsRegister].Value, nil)
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

// startClaims marks the claims of a new voter as complete, since nothing was recorded on
// its disk before. While the queue of claims is full or the disk refuses them that is
// tried again: until the mark is durable, this core counts as one that may have lost some.
func (core *Core) startClaims(id int) {
	if core.markClaimsComplete(id) == nil {
		return
	}
	core.goroutines.Start(func() {
		for core.goroutines.Sleep(repairInterval) && core.markClaimsComplete(id) != nil {
		}
	})
}

// markClaimsComplete notes that a voter lacks no claims; one that lost its vote meanwhile
// has nothing to note.
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

// onReplicaState says what this core holds.
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
