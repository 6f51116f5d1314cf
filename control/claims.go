package control

import (
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/concurrent"
	"orchidjunction/consensus"
	"orchidjunction/idempotency"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	claimsPageSize      = 2000
	claimRepairInterval = 500 * time.Millisecond
	fetchClaimsTimeout  = 2 * time.Second
)

// recordClaims records claims under the newest known membership.
func (core *Core) recordClaims(request *message.RecordClaimsRequest) (*idempotency.Write, error) {
	write := &idempotency.Write{Request: request, Membership: core.membership().Accepted()}
	return write, core.claims.Submit(write)
}

// onRecordClaims records claims under the newest known membership and returns that membership:
// the sender ignores responses given under other voters.
func (core *Core) onRecordClaims(request *message.RecordClaimsRequest) (*message.RecordClaimsResponse, error) {
	core.learnMembership(request.Membership)
	view := core.membership()
	known := view.Accepted()
	response := &message.RecordClaimsResponse{Core: view.ID, Membership: membershipIfDifferent(request.Membership, known), Refused: true}
	if !view.IsVoter() {
		core.counters.Add("claims_refused_without_vote", 1)
		return response, nil
	}
	isComplete := core.claimsComplete(view)
	write := &idempotency.Write{Request: request, Membership: known}
	if err := core.claims.Submit(write); err != nil {
		return nil, err
	}
	if write.Refused {
		response.Membership = core.membership().Accepted()
		return response, nil
	}
	core.counters.Add("claims_kept", uint64(len(request.Claims)))
	response.Refused, response.Complete, response.Results = false, isComplete, write.Results
	return response, nil
}

// membershipIfDifferent returns the known membership if its version differs from that of the sent
// one.
func membershipIfDifferent(sent, known message.AcceptedValue) message.AcceptedValue {
	if sent.Version() == known.Version() {
		return message.AcceptedValue{}
	}
	return known
}

// claimsComplete reports whether this core is a voter, not only joining, and lacks no claim.
func (core *Core) claimsComplete(view *consensus.View) bool {
	return consensus.ContainsPeer(view.Voters, view.ID) && core.claims.CompleteFor(view.ID)
}

// onFetchClaims returns a page of claims. Before the first page, it records the newest membership
// on disk. From then on this core records no claims under an older membership with other voters:
// the sender would not learn of those.
func (core *Core) onFetchClaims(request *message.FetchClaimsRequest) (*message.FetchClaimsResponse, error) {
	core.learnMembership(request.Membership)
	view := core.membership()
	known := view.Accepted()
	if request.After == 0 && view.HasMembership() {
		barrier := &idempotency.Write{Request: &message.RecordClaimsRequest{}, Membership: known}
		if err := core.claims.Submit(barrier); err != nil {
			return nil, err
		}
		if barrier.Refused {
			return nil, rpc.Errorf(rpc.NotReady, "membership %v has been superseded", known.Version())
		}
	}
	response := &message.FetchClaimsResponse{
		Membership: membershipIfDifferent(request.Membership, known),
		Core:       view.ID,
		Complete:   core.claimsComplete(view),
	}
	response.Claims, response.Last, response.Done = core.claims.Store().Page(request.After, claimsPageSize)
	return response, nil
}

// repairClaims completes the claims of a voter that lacks some, because its disk was lost or it
// replaced another voter. It fetches them from so many complete voters that every quorum includes
// at least one of them: n - majority + 1 of n voters.
func (core *Core) repairClaims() {
	if current, err := core.committedContent(); err == nil && current.serial > 0 {
		core.claims.Store().SetTTL(current.tree.Settings.KeyTTL())
	}
	view := core.membership()
	if core.replica.Blank() || !consensus.ContainsPeer(view.Voters, view.ID) || core.claimsComplete(view) {
		return
	}
	if view.Version.Serial == consensus.InitialSerial {
		core.claims.RecordingSince(view.ID, core.claims.OpenedAt())
	}
	fetched := core.fetchClaimsFromVoters(view)
	if !core.membership().SameVoters(view) {
		return
	}
	needed := len(view.Voters) - message.Majority(view.Voters) + 1
	if fetched.fenced >= needed {
		core.claims.RecordingSince(view.ID, time.Now())
	}
	if fetched.complete < needed {
		core.counters.Add("claims_not_mended", 1)
		return
	}
	repair := &idempotency.Write{Request: &message.RecordClaimsRequest{}, Membership: view.Accepted(), CompleteAs: view.ID}
	if core.claims.Submit(repair) == nil && !repair.Refused {
		core.counters.Add("claims_mended", 1)
		klog.Infof("core %d: idempotency keys complete, fetched from %d of %d cores", view.ID, fetched.complete, fetched.asked)
	}
}

// claimFetchSummary counts the voters that were asked for their claims, those that no longer
// record claims under older memberships, and those whose claims were all fetched.
type claimFetchSummary struct {
	asked    int
	fenced   int
	complete int
}

// claimFetchResult is the outcome of fetching one core's claims.
type claimFetchResult struct {
	fenced   bool
	complete bool
}

func (core *Core) fetchClaimsFromVoters(view *consensus.View) claimFetchSummary {
	peers := []message.Peer{}
	for _, peer := range view.Voters {
		if peer.ID != view.ID {
			peers = append(peers, peer)
		}
	}
	results, _ := concurrent.Gather(core.goroutines, len(peers), func(index int) (claimFetchResult, error) {
		return core.fetchClaims(view, peers[index])
	}, func(map[int]claimFetchResult, map[int]error) bool { return false })
	counts := claimFetchSummary{asked: len(peers)}
	for _, result := range results {
		if result.fenced {
			counts.fenced++
		}
		if result.complete {
			counts.complete++
		}
	}
	return counts
}

// fetchClaims fetches all claims of another core, page by page, and records them here.
func (core *Core) fetchClaims(view *consensus.View, peer message.Peer) (claimFetchResult, error) {
	membership := view.Accepted()
	for after := uint64(0); ; {
		request := &message.FetchClaimsRequest{After: after, Membership: membership}
		response, err := rpc.Call(core.client, peer.Address, message.MethodFetchClaims, fetchClaimsTimeout, request)
		if err != nil {
			return claimFetchResult{}, err
		}
		core.learnMembership(response.Membership)
		if message.Supersedes(response.Membership, membership) || response.Core != peer.ID {
			return claimFetchResult{}, rpc.Errorf(rpc.NotReady, "core at %s has a newer membership or another ID", peer.Address)
		}
		if err := core.mergeClaims(response.Claims); err != nil {
			return claimFetchResult{}, err
		}
		if !response.Complete || response.Done {
			return claimFetchResult{fenced: true, complete: response.Complete}, nil
		}
		after = response.Last
	}
}

// mergeClaims records another core's claims in batches of at most MaxClaimsPerMessage.
func (core *Core) mergeClaims(claims []message.ClaimRecord) error {
	for len(claims) > 0 {
		count := min(len(claims), message.MaxClaimsPerMessage)
		write, err := core.recordClaims(&message.RecordClaimsRequest{Merged: claims[:count]})
		if err != nil {
			return err
		}
		if write.Refused {
			return rpc.Errorf(rpc.NotReady, "membership changed while claims were being merged")
		}
		claims = claims[count:]
	}
	return nil
}
