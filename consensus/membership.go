package consensus

import (
	"net/netip"
	"slices"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// InitialSerial is the serial of the membership before any voter was replaced.
const InitialSerial = 1

// Membership is one version of the set of voters, with the term under which it was
// accepted. It is immutable.
//
// A version has one group of voters, or is the joint version (joint consensus) between
// two such versions: Voters is then the old group, Next the new one, and a quorum is a
// majority of both. So every quorum of a version intersects every quorum of the version
// before it, and a leader that uses an older version can't decide unnoticed.
type Membership struct {
	Version message.Version
	Voters  []message.Peer
	Next    []message.Peer
	LastID  int
}

// InitialMembership returns the membership of the system's first start. It assigns the
// IDs from 1 in the order of the addresses.
func InitialMembership(addresses []string) *Membership {
	sorted := slices.SortedFunc(slices.Values(addresses), CompareAddresses)
	peers := make([]message.Peer, 0, len(sorted))
	for index, address := range sorted {
		peers = append(peers, message.Peer{ID: index + 1, Address: address})
	}
	return NewMembership(peers)
}

// NewMembership returns the first version, with the given peers as its voters.
func NewMembership(peers []message.Peer) *Membership {
	membership := &Membership{Version: message.Version{Serial: InitialSerial}}
	membership.Voters = slices.SortedFunc(slices.Values(peers), comparePeers)
	for _, peer := range peers {
		membership.LastID = max(membership.LastID, peer.ID)
	}
	return membership
}

// DecodeMembership decodes an accepted value of the membership register. Serial 0 means
// that there is no membership; it returns nil for that.
func DecodeMembership(accepted message.AcceptedValue) (*Membership, error) {
	if accepted.Value.Serial == 0 {
		return nil, nil
	}
	var voters message.VoterSet
	if err := rpc.Unmarshal(accepted.Value.Body, &voters); err != nil {
		return nil, err
	}
	if err := voters.Check(); err != nil {
		return nil, err
	}
	return &Membership{Version: accepted.Version(), Voters: voters.Current, Next: voters.Next, LastID: voters.LastID}, nil
}

// Accepted returns the membership as an accepted value of its register. It returns the
// value of serial 0 for a nil Membership.
func (membership *Membership) Accepted() message.AcceptedValue {
	if membership == nil {
		return message.AcceptedValue{}
	}
	body, _ := rpc.Marshal(membership.VoterSet()) // encoding integers and strings cannot fail
	return message.AcceptedValue{
		Term:  membership.Version.Term,
		Value: message.Value{Serial: membership.Version.Serial, Body: body},
	}
}

// VoterSet returns the membership as the content of its register.
func (membership *Membership) VoterSet() *message.VoterSet {
	return &message.VoterSet{Current: membership.Voters, Next: membership.Next, LastID: membership.LastID}
}

// IsJoint reports whether this is a joint version.
func (membership *Membership) IsJoint() bool { return len(membership.Next) > 0 }

// Groups returns the groups of voters; a quorum needs a majority of each.
func (membership *Membership) Groups() [][]message.Peer {
	if membership.IsJoint() {
		return [][]message.Peer{membership.Voters, membership.Next}
	}
	return [][]message.Peer{membership.Voters}
}

// All returns the voters of all groups, sorted by ID and without duplicates.
func (membership *Membership) All() []message.Peer {
	all := slices.Clone(membership.Voters)
	for _, peer := range membership.Next {
		if !slices.Contains(all, peer) {
			all = append(all, peer)
		}
	}
	slices.SortFunc(all, comparePeers)
	return all
}

// HasAddress reports whether a voter has the address.
func (membership *Membership) HasAddress(address string) bool {
	return slices.ContainsFunc(membership.All(), func(peer message.Peer) bool { return peer.Address == address })
}

// Quorum reports whether the voters for which has returns true are a quorum.
func (membership *Membership) Quorum(has func(id int) bool) bool {
	return membership.VoterSet().Quorum(has)
}

// FencesLostVoter reports whether a voter whose disk was lost may vote again: the other
// voters for which has returns true intersect every quorum that it was part of, and form
// a quorum together with it. Of n voters this takes n - majority + 1 others.
func (membership *Membership) FencesLostVoter(lost int, has func(id int) bool) bool {
	others := func(id int) bool { return id != lost && has(id) }
	for _, group := range membership.Groups() {
		required := message.Majority(group)
		if ContainsPeer(group, lost) {
			required = len(group) - message.Majority(group) + 1
		}
		if message.CountIn(group, others) < required {
			return false
		}
	}
	return true
}

// MayLead reports whether a core may be a candidate. One that is only in Next may not:
// its ID is not certain until the joint version that assigned it is decided.
func (membership *Membership) MayLead(id int) bool { return ContainsPeer(membership.Voters, id) }

// WithReplacement returns the joint version that replaces a voter by the core at an
// address, which gets a new ID.
func (membership *Membership) WithReplacement(leaving int, address string) *Membership {
	joint := &Membership{Voters: membership.Voters, LastID: membership.LastID + 1}
	joint.Version.Serial = membership.Version.Serial + 1
	for _, peer := range membership.Voters {
		if peer.ID != leaving {
			joint.Next = append(joint.Next, peer)
		}
	}
	joint.Next = append(joint.Next, message.Peer{ID: joint.LastID, Address: address})
	return joint
}

// AfterJoint returns the version after a joint one, which has only the new voters.
func (membership *Membership) AfterJoint() *Membership {
	next := &Membership{Voters: membership.Next, LastID: membership.LastID}
	next.Version.Serial = membership.Version.Serial + 1
	return next
}

// ContainsPeer reports whether a group contains a peer with the ID.
func ContainsPeer(group []message.Peer, id int) bool {
	return slices.ContainsFunc(group, func(peer message.Peer) bool { return peer.ID == id })
}

// CompareAddresses orders addresses of the form IP:port, as cmp.Compare does.
func CompareAddresses(left, right string) int {
	parsedLeft, _ := netip.ParseAddrPort(left)   // an invalid address is sorted first
	parsedRight, _ := netip.ParseAddrPort(right) // as above
	return parsedLeft.Compare(parsedRight)
}

func comparePeers(left, right message.Peer) int { return left.ID - right.ID }
