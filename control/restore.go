package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"time"

	"k8s.io/klog/v2"
)

// restoreReplica makes a blank disk a voter again: by founding, when every core is new,
// or by fencing so many others that no quorum the lost disk helped to make is missed.
func (core *Core) restoreReplica() {
	core.goroutines.Sleep(core.random.between(core.config.HeartbeatInterval, 2*core.config.HeartbeatInterval))
	view := core.membership()
	response := callPeers(core, view, func(peer Peer) (*message.ReplicaStateResponse, error) {
		return rpc.Call[message.ReplicaStateRequest, message.ReplicaStateResponse](core.client, peer.Address, "restore", core.callTimeout(), &message.ReplicaStateRequest{Core: view.ID, Membership: view.Version})
	}, func(answer *message.ReplicaStateResponse) bool { return answer.Initialized }, waitForAll)
	untouched := len(response) == len(view.Peers) && !core.config.discoversPeers()
	for _, answer := range response {
		core.observeTermNumber(answer.Promised.Number)
		core.learnMembership(answer.Membership)
		if answer.Promised.Number > 0 || answer.Versions != (message.Versions{}) {
			untouched = false
		}
	}
	if untouched && core.config.Bootstrap {
		if err := core.replica.Initialize(message.Term{}, [message.Registers]message.AcceptedValue{}, nil); err == nil {
			klog.Infof("core %d: founded", view.ID)
			core.startClaims(view.ID)
			core.startFollowing()
		}
		return
	}
	if !core.mayRestore(view, response) {
		core.counters.Add("restores_short", 1)
		return
	}
	term, revoked := core.nextTerm(view)
	promises := core.grantedPromises(callPeers(core, view, func(peer Peer) (*message.PrepareResponse, error) {
		return rpc.Call[message.PrepareRequest, message.PrepareResponse](core.client, peer.Address, "promise", core.callTimeout(), &message.PrepareRequest{Term: term, Membership: view.accepted()})
	}, granted, waitForAll))
	if !view.fencesWithout(view.ID, agreed(promises, granted)) {
		core.counters.Add("restores_short", 1)
		return
	}
	accepted, from := inheritedValues(view, promises)
	chunks, err := core.gatherChunks(view.address(from[message.SettingsRegister]), accepted[message.SettingsRegister].Value, nil)
	if err != nil {
		core.counters.Add("restores_short", 1)
		return
	}
	if err := core.replica.Initialize(term, accepted, chunks); err != nil {
		return
	}
	core.counters.Add("restores", 1)
	klog.Infof("core %d: restored from %d cores under %s", view.ID, len(promises), term)
	promises[view.ID] = &message.PrepareResponse{Granted: true, Promised: term, Accepted: core.replica.State().Accepted}
	if core.role.transition(Revoking) {
		core.establishLeadership(view, term, &Revocation{Method: TermFence, Term: term, Revoked: revoked, Promises: promises, Complete: true})
		core.role.abandonCandidacy()
	}
}

// startClaims marks the claims of a new voter as whole, since nothing was kept on its
// disk before. While its claims' ring is full or its disk refuses groups that is tried
// again: until the mark lasts, this core counts as one that may have lost claims.
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
	err := core.claims.submit(&pendingWrite{request: &message.RecordClaimsRequest{}, membership: view.accepted(), completeAs: view.ID})
	if err != nil {
		core.counters.Add("claims_not_begun", 1)
	}
	return err
}

// mayRestore is whether enough other replicas answered a blank voter that it may fence
// them, by the membership that it asked them under.
func (core *Core) mayRestore(view *View, response map[int]*message.ReplicaStateResponse) bool {
	founded := func(answer *message.ReplicaStateResponse) bool { return answer.Initialized }
	return core.membership().same(view) && view.mayLead(view.ID) && view.fencesWithout(view.ID, agreed(response, founded))
}

func (core *Core) startFollowing() {
	core.mutex.Lock()
	core.leaderSeenAt = time.Now()
	core.electionTimeout = core.firstElectionTimeout()
	core.mutex.Unlock()
	core.role.transition(Following)
}

func (core *Core) onReplicaState(request *message.ReplicaStateRequest) (*message.ReplicaStateResponse, error) {
	state := core.replica.State()
	return &message.ReplicaStateResponse{Voter: state.Initialized, Initialized: state.Initialized, Promised: state.Promised, Versions: state.Versions(), Membership: core.newerMembership(request.Membership)}, nil
}
