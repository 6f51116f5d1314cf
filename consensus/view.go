package consensus

import (
	"math"
	"slices"

	"orchidjunction/message"
)

// View is a membership as one core sees it. It is immutable. ID is the core's own, or 0
// if it is not a voter, and Peers are all other voters.
type View struct {
	*Membership
	Address string
	ID      int
	Peers   []message.Peer
}

// NewView returns the view of the core at an address. A nil membership means that none is
// known yet.
func NewView(address string, membership *Membership) *View {
	view := &View{Membership: membership, Address: address}
	if membership == nil {
		view.Membership = &Membership{}
		return view
	}
	for _, peer := range membership.All() {
		if peer.Address == address {
			view.ID = peer.ID
		} else {
			view.Peers = append(view.Peers, peer)
		}
	}
	return view
}

// SameVoters reports whether two views have the same voters, regardless of their versions.
func (view *View) SameVoters(other *View) bool {
	return view.LastID == other.LastID && slices.Equal(view.Voters, other.Voters) && slices.Equal(view.Next, other.Next)
}

// HasMembership reports whether a membership is known.
func (view *View) HasMembership() bool { return view.Version.Serial > 0 }

// IsVoter reports whether this core is a voter.
func (view *View) IsVoter() bool { return view.ID > 0 }

// IsQuorumWithSelf reports whether this core and the voters for which has returns true are a
// quorum. It is false if this core is not a voter.
func (view *View) IsQuorumWithSelf(has func(id int) bool) bool {
	return view.IsVoter() && view.Quorum(func(id int) bool { return id == view.ID || has(id) })
}

// DecidedBy is like IsQuorumWithSelf, but counts this core only if has returns true for it.
func (view *View) DecidedBy(has func(id int) bool) bool { return view.IsVoter() && view.Quorum(has) }

// MajoritySize returns the size of a majority of the current voters, or math.MaxInt if
// this core is not a voter.
func (view *View) MajoritySize() int {
	if !view.IsVoter() {
		return math.MaxInt
	}
	return message.Majority(view.Voters)
}

// Rank returns this core's index among the current voters, or 0 if it is not one of them.
func (view *View) Rank() int {
	return max(slices.IndexFunc(view.Voters, func(peer message.Peer) bool { return peer.ID == view.ID }), 0)
}

// Leader returns this core as the leader of a term.
func (view *View) Leader(term message.Term) message.Leader {
	return message.Leader{Term: term, Core: view.ID, Address: view.Address}
}

// AddressOf returns a voter's address, or this core's own if no other voter has the ID.
func (view *View) AddressOf(id int) string {
	for _, peer := range view.Peers {
		if peer.ID == id {
			return peer.Address
		}
	}
	return view.Address
}

// Addresses returns the addresses of all voters, this core's own first if it is a voter
// or no membership is known.
func (view *View) Addresses() []string {
	all := []string{}
	if view.IsVoter() || !view.HasMembership() {
		all = append(all, view.Address)
	}
	for _, peer := range view.Peers {
		all = append(all, peer.Address)
	}
	return all
}

// AllPeers returns all voters, this core first.
func (view *View) AllPeers() []message.Peer {
	return append([]message.Peer{{ID: view.ID, Address: view.Address}}, view.Peers...)
}

// MayVoteWithoutRestore reports whether a core that learns its first membership may vote without
// a restore. A disk that has been there since the system's first start has never voted.
func (view *View) MayVoteWithoutRestore(sinceBootstrap bool) bool {
	return sinceBootstrap && view.IsVoter()
}
