package control

import (
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"

	"k8s.io/klog/v2"
)

// onKeep keeps claims under the newest membership known and names that one: the asker
// counts no answers that were given under other voters.
func (core *Core) onKeep(request *message.RecordClaimsRequest) (*message.RecordClaimsResponse, error) {
	core.learnMembers(request.Membership)
	view := core.members()
	known := view.accepted()
	response := &message.RecordClaimsResponse{Core: view.ID, Membership: otherThan(request.Membership, known), Refused: true}
	if !view.votes() {
		core.counters.Add("claims_refused_without_vote", 1)
		return response, nil
	}
	whole := core.claimsWhole(view)
	wait := &keepWait{message: request, members: known}
	if err := core.claims.put(wait); err != nil {
		return nil, err
	}
	if wait.refused {
		response.Membership = core.members().accepted()
		return response, nil
	}
	core.counters.Add("claims_kept", uint64(len(request.Claims)))
	response.Refused, response.Complete, response.Results = false, whole, wait.told
	return response, nil
}

// otherThan is the known membership where its mark is not the asker's.
func otherThan(asked, known message.AcceptedValue) message.AcceptedValue {
	if asked.Version() == known.Version() {
		return message.AcceptedValue{}
	}
	return known
}

// claimsWhole is whether this core votes, not only joins, and lacks no claim.
func (core *Core) claimsWhole(view *View) bool {
	return contains(view.Voters, view.ID) && core.claims.Whole(view.ID)
}

// onPull gives a page of claims. Before the first one this core notes, on disk, the
// newest membership: from then on it keeps nothing that is counted by an older one
// with other voters, so nothing that the asker should hold comes here behind its back.
func (core *Core) onPull(pull *message.FetchClaimsRequest) (*message.FetchClaimsResponse, error) {
	core.learnMembers(pull.Membership)
	view := core.members()
	known := view.accepted()
	if pull.After == 0 && view.known() {
		fence := &keepWait{message: &message.RecordClaimsRequest{}, members: known}
		if err := core.claims.put(fence); err != nil {
			return nil, err
		}
		if fence.refused {
			return nil, rpc.Errorf(rpc.NotReady, "membership %v is no more", known.Version())
		}
	}
	response := &message.FetchClaimsResponse{Membership: otherThan(pull.Membership, known), Core: view.ID, Complete: core.claimsWhole(view)}
	response.Claims, response.Last, response.Done = core.claims.book.Page(pull.After, claimsPage)
	return response, nil
}

// mendClaims is the duty of a voter that lacks claims, since its disk was lost or it
// took another voter's place: those of so many whole voters that no quorum is missed
// make it whole. Of n voters that takes n - majority + 1.
func (core *Core) mendClaims() {
	if now, err := core.content(); err == nil && now.serial > 0 {
		core.claims.book.Remember(now.tree.Settings.Remember())
	}
	view := core.members()
	if core.voter.Blank() || !contains(view.Voters, view.ID) || core.claimsWhole(view) {
		return
	}
	if view.Mark.Serial == firstSerial {
		core.claims.countFrom(view.ID, core.claims.opened)
	}
	others, fenced, whole := core.pullFromVoters(view)
	if !core.members().same(view) {
		return
	}
	need := len(view.Voters) - message.Majority(view.Voters) + 1
	if fenced >= need {
		core.claims.countFrom(view.ID, time.Now())
	}
	if whole < need {
		core.counters.Add("claims_not_mended", 1)
		return
	}
	mend := &keepWait{message: &message.RecordClaimsRequest{}, members: view.accepted(), wholeAs: view.ID}
	if core.claims.put(mend) == nil && !mend.refused {
		core.counters.Add("claims_mended", 1)
		klog.Infof("core %d: claims are whole, told by %d of %d cores", view.ID, whole, others)
	}
}

// pulled is what came of taking another core's claims: whether it keeps nothing under
// older memberships any more, and whether all it should hold was taken.
type pulled struct {
	fenced bool
	whole  bool
}

// pullFromVoters takes the claims of the other voters and counts them.
func (core *Core) pullFromVoters(view *View) (others, fenced, whole int) {
	peers := []Peer{}
	for _, peer := range view.Voters {
		if peer.ID != view.ID {
			peers = append(peers, peer)
		}
	}
	got, _ := concurrent.Gather(core.goroutines, len(peers), func(index int) (pulled, error) {
		return core.pullClaims(view, peers[index])
	}, func(map[int]pulled, map[int]error) bool { return false })
	for _, one := range got {
		if one.fenced {
			fenced++
		}
		if one.whole {
			whole++
		}
	}
	return len(peers), fenced, whole
}

// pullClaims takes all of another core's claims, page by page.
func (core *Core) pullClaims(view *View, peer Peer) (pulled, error) {
	members := view.accepted()
	for after := uint64(0); ; {
		response, err := rpc.Call[message.FetchClaimsRequest, message.FetchClaimsResponse](core.line, peer.Address, "pull", pullLimit, &message.FetchClaimsRequest{After: after, Membership: members})
		if err != nil {
			return pulled{}, err
		}
		core.learnMembers(response.Membership)
		if message.Supersedes(response.Membership, members) || response.Core != peer.ID {
			return pulled{}, rpc.Errorf(rpc.NotReady, "core at %s counts by other voters", peer.Address)
		}
		if err := core.retakeClaims(response.Claims); err != nil {
			return pulled{}, err
		}
		if !response.Complete || response.Done {
			return pulled{fenced: true, whole: response.Complete}, nil
		}
		after = response.Last
	}
}

// retakeClaims keeps another core's claims, a message's worth at a time.
func (core *Core) retakeClaims(claims []message.ClaimRecord) error {
	for len(claims) > 0 {
		count := min(len(claims), message.MaxClaimsPerMessage)
		wait := &keepWait{message: &message.RecordClaimsRequest{Merged: claims[:count]}, members: core.members().accepted()}
		if err := core.claims.put(wait); err != nil {
			return err
		}
		if wait.refused {
			return rpc.Errorf(rpc.NotReady, "the membership changed meanwhile")
		}
		claims = claims[count:]
	}
	return nil
}
