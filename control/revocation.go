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
	Ballot   wire.Term
	Revoked  wire.Term
	Promises map[int]*wire.PrepareResponse
	Complete bool
	Learners []string
}

// fence pushes the ballot until a majority holds no older one valid.
func (core *Core) fence(view *View, ballot wire.Term, revoked wire.Term) (*Revocation, error) {
	promises, err := core.pushBallot(view, ballot)
	if err != nil {
		return nil, err
	}
	return &Revocation{Method: BallotFence, Ballot: ballot, Revoked: revoked, Promises: promises, Complete: true}, nil
}

// steppedDown takes the leader's own word that it writes no more.
func steppedDown(message *wire.TransferLeadershipRequest) *Revocation {
	return &Revocation{Method: SteppedDown, Revoked: message.Term, Complete: true, Learners: message.Learners}
}

// covers is false when a promise shows a leadership newer than the one revoked.
func (revocation *Revocation) covers(promises map[int]*wire.PrepareResponse) bool {
	if !revocation.Complete {
		return false
	}
	if revocation.Method == BallotFence {
		return true
	}
	for _, promise := range promises {
		for register := range promise.Accepted {
			if revocation.Revoked.Less(promise.Accepted[register].Term) {
				return false
			}
		}
	}
	return true
}

// pushBallot asks every voter to promise, this one first and synced, until a quorum
// did. One that knows a newer membership refuses and tells it: the next attempt
// counts by that.
func (core *Core) pushBallot(view *View, ballot wire.Term) (map[int]*wire.PrepareResponse, error) {
	message := &wire.PrepareRequest{Term: ballot, Membership: view.accepted()}
	own, err := core.voter.Promise(message)
	if err != nil {
		return nil, err
	}
	if !own.Granted {
		core.sawRound(own.Promised.Number)
		return nil, &wire.Error{Code: wire.StaleTerm, Message: "own promise " + own.Promised.String()}
	}
	told := askPeers(core, view, func(peer Peer) (*wire.PrepareResponse, error) {
		return wire.Call[wire.PrepareRequest, wire.PrepareResponse](core.line, peer.Address, "promise", core.roundLimit(), message)
	}, granted, view.decides)
	promises := core.promisesOf(told)
	promises[view.ID] = own
	if !view.decides(agreed(promises, granted)) {
		return nil, wire.Errorf(wire.StaleTerm, "%d cores and no quorum of membership %d promised %s", len(promises), view.Mark.Serial, ballot)
	}
	return promises, nil
}

func granted(told *wire.PrepareResponse) bool { return told.Granted }

// promisesOf are those that were granted; what the others know is learned.
func (core *Core) promisesOf(told map[int]*wire.PrepareResponse) map[int]*wire.PrepareResponse {
	promises := map[int]*wire.PrepareResponse{}
	for id, promise := range told {
		if promise.Granted {
			promises[id] = promise
			continue
		}
		core.sawRound(promise.Promised.Number)
		core.learnMembers(promise.Membership)
	}
	return promises
}

func (core *Core) roundLimit() time.Duration { return core.place.Suspect }
