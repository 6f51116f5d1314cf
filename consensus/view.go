package consensus

import (
	"math"
	"slices"

	"orchidjunction/message"
)

// View is a membership as one core sees it. It is immutable. ID is the core's own, 0 if
// it has no vote, and Peers are all voters but the core.
type View struct {
	*Membership
	Address string
	ID      int
	Peers   []message.Peer
}

// NewView returns the membership as the core at an address sees it. A nil membership
// stands for none known yet.
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

// SameVoters reports whether two views count by the same voters, whatever their versions.
func (view *View) SameVoters(other *View) bool {
	return view.LastID == other.LastID && slices.Equal(view.Voters, other.Voters) && slices.Equal(view.Next, other.Next)
}

// Known reports whether there is a membership at all.
func (view *View) Known() bool { return view.Version.Serial > 0 }

// Votes reports whether this core is a voter.
func (view *View) Votes() bool { return view.ID > 0 }

// Decides reports whether this core and the voters for which has returns true are a
// quorum; a core without a vote never decides.
func (view *View) Decides(has func(id int) bool) bool {
	return view.Votes() && view.Quorum(func(id int) bool { return id == view.ID || has(id) })
}

// DecidedBy reports whether the voters for which has returns true are a quorum, without
// counting this core by itself; a core without a vote never decides.
func (view *View) DecidedBy(has func(id int) bool) bool { return view.Votes() && view.Quorum(has) }

// MajoritySize returns how many cores of the current voters are a majority; no number
// suffices for a core without a vote.
func (view *View) MajoritySize() int {
	if !view.Votes() {
		return math.MaxInt
	}
	return message.Majority(view.Voters)
}

// Rank returns this core's position among the current voters, from 0.
func (view *View) Rank() int {
	return max(slices.IndexFunc(view.Voters, func(peer message.Peer) bool { return peer.ID == view.ID }), 0)
}

// Leader returns this core as the leader of a term.
func (view *View) Leader(term message.Term) message.Leader {
	return message.Leader{Term: term, Core: view.ID, Address: view.Address}
}

// AddressOf returns a voter's address, and this core's if there is no such voter.
func (view *View) AddressOf(id int) string {
	for _, peer := range view.Peers {
		if peer.ID == id {
			return peer.Address
		}
	}
	return view.Address
}

// Addresses returns those of all voters, this core's first if it votes or if no
// membership is known.
func (view *View) Addresses() []string {
	all := []string{}
	if view.Votes() || !view.Known() {
		all = append(all, view.Address)
	}
	for _, peer := range view.Peers {
		all = append(all, peer.Address)
	}
	return all
}

// WithSelf returns all voters, this core first.
func (view *View) WithSelf() []message.Peer {
	return append([]message.Peer{{ID: view.ID, Address: view.Address}}, view.Peers...)
}

// MayVoteAtOnce reports whether a core that first hears of this membership becomes a
// voter of it at once. A disk that has been there since the first start never voted.
func (view *View) MayVoteAtOnce(sinceBootstrap bool) bool { return sinceBootstrap && view.Votes() }
