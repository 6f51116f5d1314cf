package control

import (
	"time"

	"orchidjunction/wire"
)

// Method is how a round makes the former leadership's conditions false.
type Method string

const (
	BallotFence Method = "ballot fence at a majority"
	SteppedDown Method = "leader stepped down"
)

// Revocation ends the former leadership; establishment takes only a complete one.
type Revocation struct {
	Method   Method
	Ballot   wire.Ballot
	Revoked  wire.Ballot
	Promises map[int]*wire.PromiseTold
	Complete bool
}

// fence pushes the ballot until a majority holds no older one valid.
func (core *Core) fence(ballot wire.Ballot, revoked wire.Ballot) (*Revocation, *wire.Mishap) {
	promises, mishap := core.pushBallot(ballot, core.roster().majority())
	if mishap != nil {
		return nil, mishap
	}
	return &Revocation{Method: BallotFence, Ballot: ballot, Revoked: revoked, Promises: promises, Complete: true}, nil
}

// steppedDown takes the leader's own word that it writes no more.
func steppedDown(message *wire.StepDown) *Revocation {
	return &Revocation{Method: SteppedDown, Revoked: message.Ballot, Complete: true}
}

// covers is false when a promise shows a leadership newer than the one revoked.
func (revocation *Revocation) covers(promises map[int]*wire.PromiseTold) bool {
	if !revocation.Complete {
		return false
	}
	if revocation.Method == BallotFence {
		return true
	}
	for _, promise := range promises {
		for register := range promise.Accepted {
			if revocation.Revoked.Less(promise.Accepted[register].Ballot) {
				return false
			}
		}
	}
	return true
}

// pushBallot asks every core to promise, this one first and synced.
func (core *Core) pushBallot(ballot wire.Ballot, need int) (map[int]*wire.PromiseTold, *wire.Mishap) {
	own, mishap := core.voter.Promise(ballot)
	if mishap != nil {
		return nil, mishap
	}
	if !own.Granted {
		core.sawRound(own.Promised.Round)
		return nil, &wire.Mishap{Kind: wire.StaleBallot, Cause: "own promise " + own.Promised.String()}
	}
	promises := map[int]*wire.PromiseTold{core.roster().ID: own}
	told := askPeers(core, func(peer Peer) (*wire.PromiseTold, error) {
		return wire.Ask[wire.Promise, wire.PromiseTold](core.line, peer.Address, "promise", core.roundLimit(), &wire.Promise{Ballot: ballot})
	}, func(told *wire.PromiseTold) bool { return told.Granted }, need-1)
	for id, promise := range told {
		if promise.Granted {
			promises[id] = promise
		} else {
			core.sawRound(promise.Promised.Round)
		}
	}
	if len(promises) < need {
		return nil, wire.New(wire.StaleBallot, "%d of %d promised %s", len(promises), need, ballot)
	}
	return promises, nil
}

func (core *Core) roundLimit() time.Duration { return core.place.Suspect }
