package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"time"
)

// Method is how a round makes the former leadership's conditions false.
type Method string

const (
	TermFence Method = "ballot fence at a majority"
	Resigned  Method = "leader stepped down"
)

// Revocation ends the former leadership; establishment takes only a complete one.
type Revocation struct {
	Method   Method
	Term     message.Term
	Revoked  message.Term
	Promises map[int]*message.PrepareResponse
	Complete bool
	Learners []string
}

// fence pushes the ballot until a majority holds no older one valid.
func (core *Core) fence(view *View, term message.Term, revoked message.Term) (*Revocation, error) {
	promises, err := core.prepare(view, term)
	if err != nil {
		return nil, err
	}
	return &Revocation{Method: TermFence, Term: term, Revoked: revoked, Promises: promises, Complete: true}, nil
}

// resigned takes the leader's own word that it writes no more.
func resigned(request *message.TransferLeadershipRequest) *Revocation {
	return &Revocation{Method: Resigned, Revoked: request.Term, Complete: true, Learners: request.Learners}
}

// covers is false when a promise shows a leadership newer than the one revoked.
func (revocation *Revocation) covers(promises map[int]*message.PrepareResponse) bool {
	if !revocation.Complete {
		return false
	}
	if revocation.Method == TermFence {
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

// prepare asks every voter to promise, this one first and synced, until a quorum
// did. One that knows a newer membership refuses and tells it: the next attempt
// counts by that.
func (core *Core) prepare(view *View, term message.Term) (map[int]*message.PrepareResponse, error) {
	request := &message.PrepareRequest{Term: term, Membership: view.accepted()}
	own, err := core.replica.Prepare(request)
	if err != nil {
		return nil, err
	}
	if !own.Granted {
		core.observeTermNumber(own.Promised.Number)
		return nil, &rpc.Error{Code: rpc.StaleTerm, Message: "own promise " + own.Promised.String()}
	}
	response := callPeers(core, view, func(peer Peer) (*message.PrepareResponse, error) {
		return rpc.Call[message.PrepareRequest, message.PrepareResponse](core.client, peer.Address, "promise", core.callTimeout(), request)
	}, granted, view.decides)
	promises := core.grantedPromises(response)
	promises[view.ID] = own
	if !view.decides(agreed(promises, granted)) {
		return nil, rpc.Errorf(rpc.StaleTerm, "%d cores and no quorum of membership %d promised %s", len(promises), view.Version.Serial, term)
	}
	return promises, nil
}

func granted(response *message.PrepareResponse) bool { return response.Granted }

// grantedPromises are those that were granted; what the others know is learned.
func (core *Core) grantedPromises(response map[int]*message.PrepareResponse) map[int]*message.PrepareResponse {
	promises := map[int]*message.PrepareResponse{}
	for id, promise := range response {
		if promise.Granted {
			promises[id] = promise
			continue
		}
		core.observeTermNumber(promise.Promised.Number)
		core.learnMembership(promise.Membership)
	}
	return promises
}

func (core *Core) callTimeout() time.Duration { return core.config.SuspicionTimeout }
