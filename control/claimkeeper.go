package control

import (
	"time"

	"orchidjunction/run"
	"orchidjunction/wire"

	"k8s.io/klog/v2"
)

// onKeep keeps claims under the newest membership known and names that one: the asker
// counts no answers that were given under other voters.
func (core *Core) onKeep(message *wire.RecordClaimsRequest) (*wire.RecordClaimsResponse, error) {
	core.learnMembers(message.Membership)
	view := core.members()
	known := view.accepted()
	told := &wire.RecordClaimsResponse{Core: view.ID, Membership: otherThan(message.Membership, known), Refused: true}
	if !view.votes() {
		core.counts.Add("claims_refused_without_vote", 1)
		return told, nil
	}
	whole := core.claimsWhole(view)
	wait := &keepWait{message: message, members: known}
	if err := core.claims.put(wait); err != nil {
		return nil, err
	}
	if wait.refused {
		told.Membership = core.members().accepted()
		return told, nil
	}
	core.counts.Add("claims_kept", uint64(len(message.Claims)))
	told.Refused, told.Complete, told.Results = false, whole, wait.told
	return told, nil
}

// otherThan is the known membership where its mark is not the asker's.
func otherThan(asked, known wire.AcceptedValue) wire.AcceptedValue {
	if asked.Version() == known.Version() {
		return wire.AcceptedValue{}
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
func (core *Core) onPull(pull *wire.FetchClaimsRequest) (*wire.FetchClaimsResponse, error) {
	core.learnMembers(pull.Membership)
	view := core.members()
	known := view.accepted()
	if pull.After == 0 && view.known() {
		fence := &keepWait{message: &wire.RecordClaimsRequest{}, members: known}
		if err := core.claims.put(fence); err != nil {
			return nil, err
		}
		if fence.refused {
			return nil, wire.Errorf(wire.NotReady, "membership %v is no more", known.Version())
		}
	}
	told := &wire.FetchClaimsResponse{Membership: otherThan(pull.Membership, known), Core: view.ID, Complete: core.claimsWhole(view)}
	told.Claims, told.Last, told.Done = core.claims.book.Page(pull.After, claimsPage)
	return told, nil
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
	need := len(view.Voters) - wire.Majority(view.Voters) + 1
	if fenced >= need {
		core.claims.countFrom(view.ID, time.Now())
	}
	if whole < need {
		core.counts.Add("claims_not_mended", 1)
		return
	}
	mend := &keepWait{message: &wire.RecordClaimsRequest{}, members: view.accepted(), wholeAs: view.ID}
	if core.claims.put(mend) == nil && !mend.refused {
		core.counts.Add("claims_mended", 1)
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
	got, _ := run.Gather(core.threads, len(peers), func(index int) (pulled, error) {
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
		told, err := wire.Call[wire.FetchClaimsRequest, wire.FetchClaimsResponse](core.line, peer.Address, "pull", pullLimit, &wire.FetchClaimsRequest{After: after, Membership: members})
		if err != nil {
			return pulled{}, err
		}
		core.learnMembers(told.Membership)
		if wire.Supersedes(told.Membership, members) || told.Core != peer.ID {
			return pulled{}, wire.Errorf(wire.NotReady, "core at %s counts by other voters", peer.Address)
		}
		if err := core.retakeClaims(told.Claims); err != nil {
			return pulled{}, err
		}
		if !told.Complete || told.Done {
			return pulled{fenced: true, whole: told.Complete}, nil
		}
		after = told.Last
	}
}

// retakeClaims keeps another core's claims, a message's worth at a time.
func (core *Core) retakeClaims(claims []wire.ClaimRecord) error {
	for len(claims) > 0 {
		count := min(len(claims), wire.MaxClaimsPerMessage)
		wait := &keepWait{message: &wire.RecordClaimsRequest{Merged: claims[:count]}, members: core.members().accepted()}
		if err := core.claims.put(wait); err != nil {
			return err
		}
		if wait.refused {
			return wire.Errorf(wire.NotReady, "the membership changed meanwhile")
		}
		claims = claims[count:]
	}
	return nil
}
