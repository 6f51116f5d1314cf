package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"time"

	"k8s.io/klog/v2"
)

// restore makes a blank disk a voter again: by founding, when every core is new,
// or by fencing so many others that no quorum the lost disk helped to make is missed.
func (core *Core) restore() {
	core.goroutines.Sleep(core.random.span(core.place.Beat, 2*core.place.Beat))
	view := core.members()
	response := askPeers(core, view, func(peer Peer) (*message.ReplicaStateResponse, error) {
		return rpc.Call[message.ReplicaStateRequest, message.ReplicaStateResponse](core.line, peer.Address, "restore", core.roundLimit(), &message.ReplicaStateRequest{Core: view.ID, Membership: view.Mark})
	}, func(answer *message.ReplicaStateResponse) bool { return answer.Initialized }, never)
	untouched := len(response) == len(view.Peers) && !core.place.enlists()
	for _, answer := range response {
		core.sawRound(answer.Promised.Number)
		core.learnMembers(answer.Membership)
		if answer.Promised.Number > 0 || answer.Versions != (message.Versions{}) {
			untouched = false
		}
	}
	if untouched && core.place.Found {
		if err := core.voter.Found(message.Term{}, [message.Registers]message.AcceptedValue{}, nil); err == nil {
			klog.Infof("core %d: founded", view.ID)
			core.beginClaims(view.ID)
			core.begin()
		}
		return
	}
	if !core.mayRestore(view, response) {
		core.counters.Add("restores_short", 1)
		return
	}
	term, revoked := core.nextBallot(view)
	promises := core.promisesOf(askPeers(core, view, func(peer Peer) (*message.PrepareResponse, error) {
		return rpc.Call[message.PrepareRequest, message.PrepareResponse](core.line, peer.Address, "promise", core.roundLimit(), &message.PrepareRequest{Term: term, Membership: view.accepted()})
	}, granted, never))
	if !view.fencesWithout(view.ID, agreed(promises, granted)) {
		core.counters.Add("restores_short", 1)
		return
	}
	accepted, from := takenOver(view, promises)
	texts, err := core.gatherTexts(view.address(from[message.SettingsRegister]), accepted[message.SettingsRegister].Value, nil)
	if err != nil {
		core.counters.Add("restores_short", 1)
		return
	}
	if err := core.voter.Found(term, accepted, texts); err != nil {
		return
	}
	core.counters.Add("restores", 1)
	klog.Infof("core %d: restored from %d cores under %s", view.ID, len(promises), term)
	promises[view.ID] = &message.PrepareResponse{Granted: true, Promised: term, Accepted: core.voter.State().Accepted}
	if core.chart.move(Revoking) {
		core.found(view, term, &Revocation{Method: BallotFence, Ballot: term, Revoked: revoked, Promises: promises, Complete: true})
		core.chart.moveBack()
	}
}

// beginClaims marks the claims of a new voter as whole, since nothing was kept on its
// disk before. While its claims' ring is full or its disk refuses groups that is tried
// again: until the mark lasts, this core counts as one that may have lost claims.
func (core *Core) beginClaims(id int) {
	if core.markClaimsWhole(id) == nil {
		return
	}
	core.goroutines.Start(func() {
		for core.goroutines.Sleep(repairPace) && core.markClaimsWhole(id) != nil {
		}
	})
}

// markClaimsWhole notes that a voter lacks no claims; one that lost its vote meanwhile
// has nothing to note.
func (core *Core) markClaimsWhole(id int) error {
	view := core.members()
	if view.ID != id {
		return nil
	}
	err := core.claims.put(&keepWait{message: &message.RecordClaimsRequest{}, members: view.accepted(), wholeAs: view.ID})
	if err != nil {
		core.counters.Add("claims_not_begun", 1)
	}
	return err
}

// mayRestore is whether enough other replicas answered a blank voter that it may fence
// them, by the membership that it asked them under.
func (core *Core) mayRestore(view *View, response map[int]*message.ReplicaStateResponse) bool {
	founded := func(answer *message.ReplicaStateResponse) bool { return answer.Initialized }
	return core.members().same(view) && view.mayLead(view.ID) && view.fencesWithout(view.ID, agreed(response, founded))
}

func (core *Core) begin() {
	core.mutex.Lock()
	core.heard = time.Now()
	core.patience = core.firstPatience()
	core.mutex.Unlock()
	core.chart.move(Following)
}

func (core *Core) onRestore(request *message.ReplicaStateRequest) (*message.ReplicaStateResponse, error) {
	state := core.voter.State()
	return &message.ReplicaStateResponse{Voter: state.Founded, Initialized: state.Founded, Promised: state.Promised, Versions: state.Marks(), Membership: core.newerMembers(request.Membership)}, nil
}
