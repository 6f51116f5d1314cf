package control

import (
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"

	"k8s.io/klog/v2"
)

// onRecordClaims keeps claims under the newest membership known and names that one: the asker
// counts no answers that were given under other voters.
func (core *Core) onRecordClaims(request *message.RecordClaimsRequest) (*message.RecordClaimsResponse, error) {
	core.learnMembership(request.Membership)
	view := core.membership()
	known := view.accepted()
	response := &message.RecordClaimsResponse{Core: view.ID, Membership: unlessSame(request.Membership, known), Refused: true}
	if !view.votes() {
		core.counters.Add("claims_refused_without_vote", 1)
		return response, nil
	}
	whole := core.claimsComplete(view)
	wait := &pendingWrite{request: request, membership: known}
	if err := core.claims.submit(wait); err != nil {
		return nil, err
	}
	if wait.refused {
		response.Membership = core.membership().accepted()
		return response, nil
	}
	core.counters.Add("claims_kept", uint64(len(request.Claims)))
	response.Refused, response.Complete, response.Results = false, whole, wait.results
	return response, nil
}

// unlessSame is the known membership where its mark is not the asker's.
func unlessSame(asked, known message.AcceptedValue) message.AcceptedValue {
	if asked.Version() == known.Version() {
		return message.AcceptedValue{}
	}
	return known
}

// claimsComplete is whether this core votes, not only joins, and lacks no claim.
func (core *Core) claimsComplete(view *View) bool {
	return contains(view.Voters, view.ID) && core.claims.Complete(view.ID)
}

// onFetchClaims gives a page of claims. Before the first one this core notes, on disk, the
// newest membership: from then on it keeps nothing that is counted by an older one
// with other voters, so nothing that the asker should hold comes here behind its back.
func (core *Core) onFetchClaims(pull *message.FetchClaimsRequest) (*message.FetchClaimsResponse, error) {
	core.learnMembership(pull.Membership)
	view := core.membership()
	known := view.accepted()
	if pull.After == 0 && view.known() {
		fence := &pendingWrite{request: &message.RecordClaimsRequest{}, membership: known}
		if err := core.claims.submit(fence); err != nil {
			return nil, err
		}
		if fence.refused {
			return nil, rpc.Errorf(rpc.NotReady, "membership %v is no more", known.Version())
		}
	}
	response := &message.FetchClaimsResponse{Membership: unlessSame(pull.Membership, known), Core: view.ID, Complete: core.claimsComplete(view)}
	response.Claims, response.Last, response.Done = core.claims.store.Page(pull.After, claimsPageSize)
	return response, nil
}

// repairClaims is the duty of a voter that lacks claims, since its disk was lost or it
// took another voter's place: those of so many whole voters that no quorum is missed
// make it whole. Of n voters that takes n - majority + 1.
func (core *Core) repairClaims() {
	if now, err := core.content(); err == nil && now.serial > 0 {
		core.claims.store.Remember(now.tree.Settings.Remember())
	}
	view := core.membership()
	if core.replica.Blank() || !contains(view.Voters, view.ID) || core.claimsComplete(view) {
		return
	}
	if view.Version.Serial == firstSerial {
		core.claims.recordingFrom(view.ID, core.claims.openedAt)
	}
	others, fenced, whole := core.fetchClaimsFromVoters(view)
	if !core.membership().same(view) {
		return
	}
	need := len(view.Voters) - message.Majority(view.Voters) + 1
	if fenced >= need {
		core.claims.recordingFrom(view.ID, time.Now())
	}
	if whole < need {
		core.counters.Add("claims_not_mended", 1)
		return
	}
	mend := &pendingWrite{request: &message.RecordClaimsRequest{}, membership: view.accepted(), completeAs: view.ID}
	if core.claims.submit(mend) == nil && !mend.refused {
		core.counters.Add("claims_mended", 1)
		klog.Infof("core %d: claims are whole, told by %d of %d cores", view.ID, whole, others)
	}
}

// fetchedClaims is what came of taking another core's claims: whether it keeps nothing under
// older memberships any more, and whether all it should hold was taken.
type fetchedClaims struct {
	fenced   bool
	complete bool
}

// fetchClaimsFromVoters takes the claims of the other voters and counts them.
func (core *Core) fetchClaimsFromVoters(view *View) (others, fenced, whole int) {
	peers := []Peer{}
	for _, peer := range view.Voters {
		if peer.ID != view.ID {
			peers = append(peers, peer)
		}
	}
	got, _ := concurrent.Gather(core.goroutines, len(peers), func(index int) (fetchedClaims, error) {
		return core.fetchClaims(view, peers[index])
	}, func(map[int]fetchedClaims, map[int]error) bool { return false })
	for _, one := range got {
		if one.fenced {
			fenced++
		}
		if one.complete {
			whole++
		}
	}
	return len(peers), fenced, whole
}

// fetchClaims takes all of another core's claims, page by page.
func (core *Core) fetchClaims(view *View, peer Peer) (fetchedClaims, error) {
	members := view.accepted()
	for after := uint64(0); ; {
		response, err := rpc.Call[message.FetchClaimsRequest, message.FetchClaimsResponse](core.client, peer.Address, "pull", fetchClaimsTimeout, &message.FetchClaimsRequest{After: after, Membership: members})
		if err != nil {
			return fetchedClaims{}, err
		}
		core.learnMembership(response.Membership)
		if message.Supersedes(response.Membership, members) || response.Core != peer.ID {
			return fetchedClaims{}, rpc.Errorf(rpc.NotReady, "core at %s counts by other voters", peer.Address)
		}
		if err := core.mergeClaims(response.Claims); err != nil {
			return fetchedClaims{}, err
		}
		if !response.Complete || response.Done {
			return fetchedClaims{fenced: true, complete: response.Complete}, nil
		}
		after = response.Last
	}
}

// mergeClaims keeps another core's claims, a message's worth at a time.
func (core *Core) mergeClaims(claims []message.ClaimRecord) error {
	for len(claims) > 0 {
		count := min(len(claims), message.MaxClaimsPerMessage)
		wait := &pendingWrite{request: &message.RecordClaimsRequest{Merged: claims[:count]}, membership: core.membership().accepted()}
		if err := core.claims.submit(wait); err != nil {
			return err
		}
		if wait.refused {
			return rpc.Errorf(rpc.NotReady, "the membership changed meanwhile")
		}
		claims = claims[count:]
	}
	return nil
}
