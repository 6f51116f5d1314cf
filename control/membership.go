package control

import (
	"math"
	"net/netip"
	"orchidjunction/message"
	"orchidjunction/rpc"
	"slices"
)

// Membership is one version of who votes, with the mark it was accepted under.
// It is immutable. Newer versions have greater marks.
//
// A version either has one group of voters, or is a step between two versions:
// Voters is the former group, Next the following one, and every decision takes a
// majority of both. So any quorum of a version meets any quorum of the version
// before it, and a leadership under an older version can't decide unnoticed.
type Membership struct {
	Version message.Version
	Voters  []Peer
	Next    []Peer
	LastID  int
}

// firstSerial is that of the founding membership: no voter was ever replaced.
const firstSerial = 1

// firstMembership numbers founding cores by the order of their addresses.
func firstMembership(addresses []string) *Membership {
	sorted := slices.Clone(addresses)
	slices.SortFunc(sorted, compareAddresses)
	peers := []Peer{}
	for index, address := range sorted {
		peers = append(peers, Peer{ID: index + 1, Address: address})
	}
	return givenMembership(peers)
}

// givenMembership is the first version, made of peers that were named.
func givenMembership(peers []Peer) *Membership {
	membership := &Membership{Version: message.Version{Serial: firstSerial}, Voters: slices.Clone(peers)}
	slices.SortFunc(membership.Voters, comparePeers)
	for _, peer := range peers {
		membership.LastID = max(membership.LastID, peer.ID)
	}
	return membership
}

// membershipOf reads an accepted value of the membership register; a value of
// serial 0 stands for no membership and gives nil.
func membershipOf(accepted message.AcceptedValue) (*Membership, error) {
	if accepted.Value.Serial == 0 {
		return nil, nil
	}
	var voters message.VoterSet
	if err := rpc.Unmarshal(accepted.Value.Body, &voters); err != nil {
		return nil, rpc.AsError(err)
	}
	if err := voters.Check(); err != nil {
		return nil, err
	}
	return &Membership{Version: accepted.Version(), Voters: voters.Current, Next: voters.Next, LastID: voters.LastID}, nil
}

// accepted is the membership as the register's value under its mark.
func (membership *Membership) accepted() message.AcceptedValue {
	if membership == nil {
		return message.AcceptedValue{}
	}
	body, _ := rpc.Marshal(membership.voters())
	return message.AcceptedValue{Term: membership.Version.Term, Value: message.Value{Serial: membership.Version.Serial, Body: body}}
}

// voters is the membership as the register's content.
func (membership *Membership) voters() *message.VoterSet {
	return &message.VoterSet{Current: membership.Voters, Next: membership.Next, LastID: membership.LastID}
}

func comparePeers(left, right Peer) int { return left.ID - right.ID }

func compareAddresses(left, right string) int {
	parsedLeft, _ := netip.ParseAddrPort(left)
	parsedRight, _ := netip.ParseAddrPort(right)
	return parsedLeft.Compare(parsedRight)
}

// changing is whether this version is a step between two groups.
func (membership *Membership) changing() bool { return len(membership.Next) > 0 }

// groups are the sets of voters of which each must have a majority.
func (membership *Membership) groups() [][]Peer {
	if membership.changing() {
		return [][]Peer{membership.Voters, membership.Next}
	}
	return [][]Peer{membership.Voters}
}

// all are the voters of both groups by ID, each once.
func (membership *Membership) all() []Peer {
	all := slices.Clone(membership.Voters)
	for _, peer := range membership.Next {
		if !slices.Contains(all, peer) {
			all = append(all, peer)
		}
	}
	slices.SortFunc(all, comparePeers)
	return all
}

// quorum is whether those for which has is true decide.
func (membership *Membership) quorum(has func(id int) bool) bool {
	return membership.voters().Quorum(has)
}

// fencesWithout is whether the others for which has is true meet every quorum that
// a voter took part in whose disk was lost, without counting that voter, and decide
// together with it. Of n voters that takes n - majority + 1 others.
func (membership *Membership) fencesWithout(lost int, has func(id int) bool) bool {
	others := func(id int) bool { return id != lost && has(id) }
	for _, group := range membership.groups() {
		need := message.Majority(group)
		if contains(group, lost) {
			need = len(group) - message.Majority(group) + 1
		}
		if message.CountIn(group, others) < need {
			return false
		}
	}
	return true
}

func contains(group []Peer, id int) bool {
	return slices.ContainsFunc(group, func(peer Peer) bool { return peer.ID == id })
}

// mayLead is whether a core may stand. One that is only joining may not: its ID is
// its own for certain only once the step that gave it is decided.
func (membership *Membership) mayLead(id int) bool { return contains(membership.Voters, id) }

// withReplacement is the step that puts a machine at an address into a voter's place,
// under a new ID.
func (membership *Membership) withReplacement(leaving int, address string) *Membership {
	step := &Membership{Voters: membership.Voters, LastID: membership.LastID + 1}
	step.Version.Serial = membership.Version.Serial + 1
	for _, peer := range membership.Voters {
		if peer.ID != leaving {
			step.Next = append(step.Next, peer)
		}
	}
	step.Next = append(step.Next, Peer{ID: step.LastID, Address: address})
	return step
}

// withoutFormer is the version that ends a step: only the following voters are left.
func (membership *Membership) withoutFormer() *Membership {
	next := &Membership{Voters: membership.Next, LastID: membership.LastID}
	next.Version.Serial = membership.Version.Serial + 1
	return next
}

// View is a membership as one core sees it. Its ID is 0 for a core that has no
// vote, and Peers are all voters but that core.
type View struct {
	*Membership
	Address string
	ID      int
	Peers   []Peer
}

// viewOf is the membership seen from an address; nil stands for none known yet.
func viewOf(wire string, membership *Membership) *View {
	view := &View{Membership: membership, Address: wire}
	if membership == nil {
		view.Membership = &Membership{}
		return view
	}
	for _, peer := range membership.all() {
		if peer.Address == wire {
			view.ID = peer.ID
		} else {
			view.Peers = append(view.Peers, peer)
		}
	}
	return view
}

// same is whether two views count by the same voters, whatever their marks.
func (view *View) same(other *View) bool {
	return view.LastID == other.LastID && slices.Equal(view.Voters, other.Voters) && slices.Equal(view.Next, other.Next)
}

// known is whether there is a membership at all.
func (view *View) known() bool { return view.Version.Serial > 0 }

// votes is whether this core is a voter.
func (view *View) votes() bool { return view.ID > 0 }

// decides is whether this core and those for which has is true are a quorum; a
// core without a vote never decides.
func (view *View) decides(has func(id int) bool) bool {
	return view.votes() && view.quorum(func(id int) bool { return id == view.ID || has(id) })
}

// majoritySize is how many cores of the group that votes now make a majority; no number
// suffices for a core without a vote.
func (view *View) majoritySize() int {
	if !view.votes() {
		return math.MaxInt
	}
	return message.Majority(view.Voters)
}

// rank is this core's place among the voters, from 0.
func (view *View) rank() int {
	return max(slices.IndexFunc(view.Voters, func(peer Peer) bool { return peer.ID == view.ID }), 0)
}

func (view *View) leader(term message.Term) message.Leader {
	return message.Leader{Term: term, Core: view.ID, Address: view.Address}
}

// address is where a voter is; this core's where there is no such voter.
func (view *View) address(id int) string {
	for _, peer := range view.Peers {
		if peer.ID == id {
			return peer.Address
		}
	}
	return view.Address
}

// addresses are those of all voters, this core's first if it is one or if none is known.
func (view *View) addresses() []string {
	all := []string{}
	if view.votes() || !view.known() {
		all = append(all, view.Address)
	}
	for _, peer := range view.Peers {
		all = append(all, peer.Address)
	}
	return all
}

// has is whether a voter stands at the address.
func (view *View) has(address string) bool {
	return slices.ContainsFunc(view.all(), func(peer Peer) bool { return peer.Address == address })
}
