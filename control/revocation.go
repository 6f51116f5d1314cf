package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"time"
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
	Ballot   message.Term
	Revoked  message.Term
	Promises map[int]*message.PrepareResponse
	Complete bool
	Learners []string
}

// fence pushes the ballot until a majority holds no older one valid.
func (core *Core) fence(view *View, term message.Term, revoked message.Term) (*Revocation, error) {
	promises, err := core.pushBallot(view, term)
	if err != nil {
		return nil, err
	}
	return &Revocation{Method: BallotFence, Ballot: term, Revoked: revoked, Promises: promises, Complete: true}, nil
}

// steppedDown takes the leader's own word that it writes no more.
func steppedDown(request *message.TransferLeadershipRequest) *Revocation {
	return &Revocation{Method: SteppedDown, Revoked: request.Term, Complete: true, Learners: request.Learners}
}

// covers is false when a promise shows a leadership newer than the one revoked.
func (revocation *Revocation) covers(promises map[int]*message.PrepareResponse) bool {
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
func (core *Core) pushBallot(view *View, term message.Term) (map[int]*message.PrepareResponse, error) {
	request := &message.PrepareRequest{Term: term, Membership: view.accepted()}
	own, err := core.voter.Promise(request)
	if err != nil {
		return nil, err
	}
	if !own.Granted {
		core.sawRound(own.Promised.Number)
		return nil, &rpc.Error{Code: rpc.StaleTerm, Message: "own promise " + own.Promised.String()}
	}
	response := askPeers(core, view, func(peer Peer) (*message.PrepareResponse, error) {
		return rpc.Call[message.PrepareRequest, message.PrepareResponse](core.line, peer.Address, "promise", core.roundLimit(), request)
	}, granted, view.decides)
	promises := core.promisesOf(response)
	promises[view.ID] = own
	if !view.decides(agreed(promises, granted)) {
		return nil, rpc.Errorf(rpc.StaleTerm, "%d cores and no quorum of membership %d promised %s", len(promises), view.Mark.Serial, term)
	}
	return promises, nil
}

func granted(response *message.PrepareResponse) bool { return response.Granted }

// promisesOf are those that were granted; what the others know is learned.
func (core *Core) promisesOf(response map[int]*message.PrepareResponse) map[int]*message.PrepareResponse {
	promises := map[int]*message.PrepareResponse{}
	for id, promise := range response {
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
