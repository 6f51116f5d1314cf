package control

import (
	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Method is how a former leadership was ended. Its text is shown to operators.
type Method string

// The methods: a quorum promised a newer term, or the leader said that it writes no more.
const (
	TermFence Method = "ballot fence at a majority"
	Resigned  Method = "leader stepped down"
)

// Revocation ends a former leadership. Establishment needs a complete one.
type Revocation struct {
	Method   Method
	Term     message.Term
	Revoked  message.Term
	Promises map[int]*message.PrepareResponse
	Complete bool
	Learners []string
}

// fence has a quorum promise a term, so that no older one can write any more.
func (core *Core) fence(view *consensus.View, term message.Term, former message.Term) (*Revocation, error) {
	promises, err := core.prepare(view, term)
	if err != nil {
		return nil, err
	}
	return fenceRevocation(term, former, promises), nil
}

// fenceRevocation returns the revocation that promises of a quorum are.
func fenceRevocation(term, former message.Term, promises map[int]*message.PrepareResponse) *Revocation {
	return &Revocation{Method: TermFence, Term: term, Revoked: former, Promises: promises, Complete: true}
}

// resignationRevocation returns the revocation that a leader's own word is.
func resignationRevocation(request *message.TransferLeadershipRequest) *Revocation {
	return &Revocation{Method: Resigned, Revoked: request.Term, Complete: true, Learners: request.Learners}
}

// covers reports whether no promise shows a leadership newer than the revoked one.
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

// prepare asks every voter to promise a term, this core first, until a quorum did. A
// voter that knows a newer membership refuses and returns it: the next attempt counts by
// that.
func (core *Core) prepare(view *consensus.View, term message.Term) (map[int]*message.PrepareResponse, error) {
	request := &message.PrepareRequest{Term: term, Membership: view.Accepted()}
	own, err := core.replica.Prepare(request)
	if err != nil {
		return nil, err
	}
	if !own.Granted {
		core.observeTermNumber(own.Promised.Number)
		return nil, rpc.Errorf(rpc.StaleTerm, "own promise %s", own.Promised)
	}
	request.Held = consensus.VersionsOf(own.Accepted)
	promises := core.preparePeers(view, request, core.replica.State().Size(), view.Decides)
	for _, promise := range promises {
		consensus.CompletePromise(promise, own.Accepted)
	}
	promises[view.ID] = own
	if !view.Decides(consensus.Agreed(promises, consensus.Granted)) {
		return nil, rpc.Errorf(
			rpc.StaleTerm,
			"%d cores and no quorum of membership %d promised %s",
			len(promises),
			view.Version.Serial,
			term,
		)
	}
	return promises, nil
}

// preparePeers asks the other voters to promise, until those that did are enough, and
// returns the promises that were granted. They may bring values of so many bytes.
func (core *Core) preparePeers(
	view *consensus.View,
	request *message.PrepareRequest,
	bytes int,
	enough func(has func(id int) bool) bool,
) map[int]*message.PrepareResponse {
	timeout := core.callTimeout() + transferTime(bytes)
	responses := callPeers(core, view, func(peer message.Peer) (*message.PrepareResponse, error) {
		return rpc.Call(core.client, peer.Address, message.MethodPrepare, timeout, request)
	}, consensus.Granted, enough)
	return core.grantedPromises(responses)
}

// grantedPromises returns the granted promises, and learns what the other voters know.
func (core *Core) grantedPromises(responses map[int]*message.PrepareResponse) map[int]*message.PrepareResponse {
	promises := map[int]*message.PrepareResponse{}
	for id, response := range responses {
		if response.Granted {
			promises[id] = response
			continue
		}
		core.observeTermNumber(response.Promised.Number)
		core.learnMembership(response.Membership)
	}
	return promises
}
