package control

import (
	"time"

	"orchidjunction/run"
	"orchidjunction/wire"

	"k8s.io/klog/v2"
)

// onKeep keeps claims under the newest membership known and names that one: the asker
// counts no answers that were given under other voters.
func (core *Core) onKeep(message *wire.Keep) (*wire.KeepTold, error) {
	core.learnMembers(message.Members)
	view := core.members()
	known := view.accepted()
	told := &wire.KeepTold{Core: view.ID, Members: otherThan(message.Members, known), Refused: true}
	if !view.votes() {
		core.counts.Add("claims_refused_without_vote", 1)
		return told, nil
	}
	whole := core.claimsWhole(view)
	wait := &keepWait{message: message, members: known}
	if mishap := core.claims.put(wait); mishap != nil {
		return nil, mishap
	}
	if wait.refused {
		told.Members = core.members().accepted()
		return told, nil
	}
	core.counts.Add("claims_kept", uint64(len(message.Claims)))
	told.Refused, told.Whole, told.Told = false, whole, wait.told
	return told, nil
}

// otherThan is the known membership where its mark is not the asker's.
func otherThan(asked, known wire.Accepted) wire.Accepted {
	if asked.Mark() == known.Mark() {
		return wire.Accepted{}
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
func (core *Core) onPull(pull *wire.Pull) (*wire.PullTold, error) {
	core.learnMembers(pull.Members)
	view := core.members()
	known := view.accepted()
	if pull.After == 0 && view.known() {
		fence := &keepWait{message: &wire.Keep{}, members: known}
		if mishap := core.claims.put(fence); mishap != nil {
			return nil, mishap
		}
		if fence.refused {
			return nil, wire.New(wire.NotReady, "membership %v is no more", known.Mark())
		}
	}
	told := &wire.PullTold{Members: otherThan(pull.Members, known), Core: view.ID, Whole: core.claimsWhole(view)}
	told.Claims, told.Last, told.Done = core.claims.book.Page(pull.After, claimsPage)
	return told, nil
}

// mendClaims is the duty of a voter that lacks claims, since its disk was lost or it
// took another voter's place: those of so many whole voters that no quorum is missed
// make it whole. Of n voters that takes n - majority + 1.
func (core *Core) mendClaims() {
	if now, mishap := core.content(); mishap == nil && now.serial > 0 {
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
	mend := &keepWait{message: &wire.Keep{}, members: view.accepted(), wholeAs: view.ID}
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
		told, fault := wire.Ask[wire.Pull, wire.PullTold](core.line, peer.Address, "pull", pullLimit, &wire.Pull{After: after, Members: members})
		if fault != nil {
			return pulled{}, fault
		}
		core.learnMembers(told.Members)
		if wire.Supersedes(told.Members, members) || told.Core != peer.ID {
			return pulled{}, wire.New(wire.NotReady, "core at %s counts by other voters", peer.Address)
		}
		if mishap := core.retakeClaims(told.Claims); mishap != nil {
			return pulled{}, mishap
		}
		if !told.Whole || told.Done {
			return pulled{fenced: true, whole: told.Whole}, nil
		}
		after = told.Last
	}
}

// retakeClaims keeps another core's claims, a message's worth at a time.
func (core *Core) retakeClaims(claims []wire.Claimed) error {
	for len(claims) > 0 {
		count := min(len(claims), wire.KeepMost)
		wait := &keepWait{message: &wire.Keep{Retold: claims[:count]}, members: core.members().accepted()}
		if mishap := core.claims.put(wait); mishap != nil {
			return mishap
		}
		if wait.refused {
			return wire.New(wire.NotReady, "the membership changed meanwhile")
		}
		claims = claims[count:]
	}
	return nil
}
