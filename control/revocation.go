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
	Learners []string
}

// fence pushes the ballot until a majority holds no older one valid.
func (core *Core) fence(view *View, ballot wire.Ballot, revoked wire.Ballot) (*Revocation, error) {
	promises, mishap := core.pushBallot(view, ballot)
	if mishap != nil {
		return nil, mishap
	}
	return &Revocation{Method: BallotFence, Ballot: ballot, Revoked: revoked, Promises: promises, Complete: true}, nil
}

// steppedDown takes the leader's own word that it writes no more.
func steppedDown(message *wire.StepDown) *Revocation {
	return &Revocation{Method: SteppedDown, Revoked: message.Ballot, Complete: true, Learners: message.Learners}
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

// pushBallot asks every voter to promise, this one first and synced, until a quorum
// did. One that knows a newer membership refuses and tells it: the next attempt
// counts by that.
func (core *Core) pushBallot(view *View, ballot wire.Ballot) (map[int]*wire.PromiseTold, error) {
	message := &wire.Promise{Ballot: ballot, Members: view.accepted()}
	own, mishap := core.voter.Promise(message)
	if mishap != nil {
		return nil, mishap
	}
	if !own.Granted {
		core.sawRound(own.Promised.Round)
		return nil, &wire.Mishap{Kind: wire.StaleBallot, Cause: "own promise " + own.Promised.String()}
	}
	told := askPeers(core, view, func(peer Peer) (*wire.PromiseTold, error) {
		return wire.Ask[wire.Promise, wire.PromiseTold](core.line, peer.Address, "promise", core.roundLimit(), message)
	}, granted, view.decides)
	promises := core.promisesOf(told)
	promises[view.ID] = own
	if !view.decides(agreed(promises, granted)) {
		return nil, wire.New(wire.StaleBallot, "%d cores and no quorum of membership %d promised %s", len(promises), view.Mark.Serial, ballot)
	}
	return promises, nil
}

func granted(told *wire.PromiseTold) bool { return told.Granted }

// promisesOf are those that were granted; what the others know is learned.
func (core *Core) promisesOf(told map[int]*wire.PromiseTold) map[int]*wire.PromiseTold {
	promises := map[int]*wire.PromiseTold{}
	for id, promise := range told {
		if promise.Granted {
			promises[id] = promise
			continue
		}
		core.sawRound(promise.Promised.Round)
		core.learnMembers(promise.Members)
	}
	return promises
}

func (core *Core) roundLimit() time.Duration { return core.place.Suspect }
