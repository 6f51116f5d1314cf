package control

import (
	"time"

	"k8s.io/klog/v2"
	"orchidjunction/wire"
)

// restore makes a blank disk a voter again: by founding, when every core is new,
// or by fencing so many others that no majority the lost disk helped to make is missed.
func (core *Core) restore() {
	core.threads.Rest(core.random.span(core.place.Beat, 2*core.place.Beat))
	told := askPeers(core, func(peer Peer) (*wire.RestoreTold, error) {
		return wire.Ask[wire.Restore, wire.RestoreTold](core.line, peer.Address, "restore", core.roundLimit(), &wire.Restore{Core: core.roster().ID})
	}, func(*wire.RestoreTold) bool { return false }, len(core.roster().Peers))
	voters, untouched := 0, len(told) == len(core.roster().Peers) && !core.place.enlists()
	for _, answer := range told {
		core.sawRound(answer.Promised.Round)
		if answer.Founded {
			voters++
		}
		if answer.Promised.Round > 0 || answer.Marks != (wire.Marks{}) {
			untouched = false
		}
	}
	if untouched && core.place.Found {
		if mishap := core.voter.Found(wire.Ballot{}, [wire.Registers]wire.Accepted{}, nil); mishap == nil {
			klog.Infof("core %d: founded", core.roster().ID)
			core.claims.put(&keepWait{message: &wire.Keep{}, whole: true})
			core.begin()
		}
		return
	}
	if voters < core.roster().restorers() {
		core.counts.Add("restores_short", 1)
		return
	}
	ballot, revoked := core.nextBallot()
	promises := askPeers(core, func(peer Peer) (*wire.PromiseTold, error) {
		return wire.Ask[wire.Promise, wire.PromiseTold](core.line, peer.Address, "promise", core.roundLimit(), &wire.Promise{Ballot: ballot})
	}, func(*wire.PromiseTold) bool { return false }, len(core.roster().Peers))
	granted := map[int]*wire.PromiseTold{}
	accepted, from := [wire.Registers]wire.Accepted{}, 0
	for id, promise := range promises {
		core.sawRound(promise.Promised.Round)
		if !promise.Granted {
			continue
		}
		granted[id] = promise
		for register := range promise.Accepted {
			if accepted[register].Mark().Less(promise.Accepted[register].Mark()) {
				accepted[register] = promise.Accepted[register]
				if wire.Register(register) == wire.SettingsRegister {
					from = id
				}
			}
		}
	}
	if len(granted) < core.roster().restorers() {
		core.counts.Add("restores_short", 1)
		return
	}
	texts, mishap := core.gatherTexts(core.roster().address(from), accepted[wire.SettingsRegister].Value, nil)
	if mishap != nil {
		core.counts.Add("restores_short", 1)
		return
	}
	if mishap := core.voter.Found(ballot, accepted, texts); mishap != nil {
		return
	}
	core.counts.Add("restores", 1)
	klog.Infof("core %d: restored from %d cores under %s", core.roster().ID, len(granted), ballot)
	granted[core.roster().ID] = &wire.PromiseTold{Granted: true, Promised: ballot, Accepted: core.voter.State().Accepted}
	if core.chart.move(Revoking) {
		core.found(ballot, &Revocation{Method: BallotFence, Ballot: ballot, Revoked: revoked, Promises: granted, Complete: true})
		core.chart.moveBack()
	}
}

func (core *Core) begin() {
	core.mutex.Lock()
	core.heard = time.Now()
	core.patience = core.firstPatience()
	core.mutex.Unlock()
	core.chart.move(Following)
}

func (core *Core) onRestore(*wire.Restore) (*wire.RestoreTold, *wire.Mishap) {
	state := core.voter.State()
	return &wire.RestoreTold{Voter: state.Founded, Founded: state.Founded, Promised: state.Promised, Marks: state.Marks()}, nil
}
