package control

import (
	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// RevocationMethod is how a former leadership was ended. Its text is shown to operators.
type RevocationMethod string

// With TermFence a quorum promised a newer term. With Resigned the leader announced that it
// writes no more.
const (
	TermFence RevocationMethod = "ballot fence at a majority"
	Resigned  RevocationMethod = "leader stepped down"
)

// Revocation records the end of a former leadership. A new leadership needs a complete one.
type Revocation struct {
	Method   RevocationMethod
	Term     message.Term
	Revoked  message.Term
	Promises map[int]*message.PrepareResponse
	Complete bool
	Learners []string
}

// fence makes a quorum promise a term, after which no older term can write.
func (core *Core) fence(view *consensus.View, term message.Term, former message.Term) (*Revocation, error) {
	promises, err := core.prepare(view, term)
	if err != nil {
		return nil, err
	}
	return fenceRevocation(term, former, promises), nil
}

// fenceRevocation returns the revocation by the promises of a quorum.
func fenceRevocation(term, former message.Term, promises map[int]*message.PrepareResponse) *Revocation {
	return &Revocation{Method: TermFence, Term: term, Revoked: former, Promises: promises, Complete: true}
}

func resignationRevocation(request *message.TransferLeadershipRequest) *Revocation {
	return &Revocation{Method: Resigned, Revoked: request.Term, Complete: true, Learners: request.Learners}
}

// covers reports whether no promise shows a leadership newer than the revoked one. A fence
// covers all.
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

// prepare asks the voters to promise a term, this core first, until a quorum has. A voter that
// knows a newer membership refuses and returns it for the next attempt.
func (core *Core) prepare(view *consensus.View, term message.Term) (map[int]*message.PrepareResponse, error) {
	request := &message.PrepareRequest{Term: term, Membership: view.Accepted()}
	own, err := core.replica.Prepare(request)
	if err != nil {
		return nil, err
	}
	if !own.Granted {
		core.observeTermNumber(own.Promised.Number)
		return nil, rpc.Errorf(rpc.StaleTerm, "this core has promised term %s", own.Promised)
	}
	request.Held = consensus.VersionsOf(own.Accepted)
	promises := core.preparePeers(view, request, core.replica.State().Size(), view.IsQuorumWithSelf)
	for _, promise := range promises {
		consensus.CompletePromise(promise, own.Accepted)
	}
	promises[view.ID] = own
	if !view.IsQuorumWithSelf(consensus.Agreed(promises, consensus.Granted)) {
		return nil, rpc.Errorf(
			rpc.StaleTerm,
			"%d cores but no quorum of membership %d promised term %s",
			len(promises),
			view.Version.Serial,
			term,
		)
	}
	return promises, nil
}

// preparePeers asks the other voters until enough have promised, and returns the granted
// promises. They may carry values of the given number of bytes.
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

// grantedPromises returns the granted promises, and learns the terms and memberships from the
// refusals.
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
