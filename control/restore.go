package control

import (
	"time"

	"orchidjunction/wire"

	"k8s.io/klog/v2"
)

// restore makes a blank disk a voter again: by founding, when every core is new,
// or by fencing so many others that no quorum the lost disk helped to make is missed.
func (core *Core) restore() {
	core.threads.Rest(core.random.span(core.place.Beat, 2*core.place.Beat))
	view := core.members()
	told := askPeers(core, view, func(peer Peer) (*wire.RestoreTold, error) {
		return wire.Ask[wire.Restore, wire.RestoreTold](core.line, peer.Address, "restore", core.roundLimit(), &wire.Restore{Core: view.ID, Members: view.Mark})
	}, func(answer *wire.RestoreTold) bool { return answer.Founded }, never)
	untouched := len(told) == len(view.Peers) && !core.place.enlists()
	for _, answer := range told {
		core.sawRound(answer.Promised.Round)
		core.learnMembers(answer.Members)
		if answer.Promised.Round > 0 || answer.Marks != (wire.Marks{}) {
			untouched = false
		}
	}
	if untouched && core.place.Found {
		if mishap := core.voter.Found(wire.Ballot{}, [wire.Registers]wire.Accepted{}, nil); mishap == nil {
			klog.Infof("core %d: founded", view.ID)
			core.beginClaims(view.ID)
			core.begin()
		}
		return
	}
	if !core.mayRestore(view, told) {
		core.counts.Add("restores_short", 1)
		return
	}
	ballot, revoked := core.nextBallot(view)
	promises := core.promisesOf(askPeers(core, view, func(peer Peer) (*wire.PromiseTold, error) {
		return wire.Ask[wire.Promise, wire.PromiseTold](core.line, peer.Address, "promise", core.roundLimit(), &wire.Promise{Ballot: ballot, Members: view.accepted()})
	}, granted, never))
	if !view.fencesWithout(view.ID, agreed(promises, granted)) {
		core.counts.Add("restores_short", 1)
		return
	}
	accepted, from := takenOver(view, promises)
	texts, mishap := core.gatherTexts(view.address(from[wire.SettingsRegister]), accepted[wire.SettingsRegister].Value, nil)
	if mishap != nil {
		core.counts.Add("restores_short", 1)
		return
	}
	if mishap := core.voter.Found(ballot, accepted, texts); mishap != nil {
		return
	}
	core.counts.Add("restores", 1)
	klog.Infof("core %d: restored from %d cores under %s", view.ID, len(promises), ballot)
	promises[view.ID] = &wire.PromiseTold{Granted: true, Promised: ballot, Accepted: core.voter.State().Accepted}
	if core.chart.move(Revoking) {
		core.found(view, ballot, &Revocation{Method: BallotFence, Ballot: ballot, Revoked: revoked, Promises: promises, Complete: true})
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
	core.threads.Start(func() {
		for core.threads.Rest(repairPace) && core.markClaimsWhole(id) != nil {
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
	mishap := core.claims.put(&keepWait{message: &wire.Keep{}, members: view.accepted(), wholeAs: view.ID})
	if mishap != nil {
		core.counts.Add("claims_not_begun", 1)
	}
	return mishap
}

// mayRestore is whether enough other replicas answered a blank voter that it may fence
// them, by the membership that it asked them under.
func (core *Core) mayRestore(view *View, told map[int]*wire.RestoreTold) bool {
	founded := func(answer *wire.RestoreTold) bool { return answer.Founded }
	return core.members().same(view) && view.mayLead(view.ID) && view.fencesWithout(view.ID, agreed(told, founded))
}

func (core *Core) begin() {
	core.mutex.Lock()
	core.heard = time.Now()
	core.patience = core.firstPatience()
	core.mutex.Unlock()
	core.chart.move(Following)
}

func (core *Core) onRestore(message *wire.Restore) (*wire.RestoreTold, error) {
	state := core.voter.State()
	return &wire.RestoreTold{Voter: state.Founded, Founded: state.Founded, Promised: state.Promised, Marks: state.Marks(), Members: core.newerMembers(message.Members)}, nil
}
