package message

import (
	"bytes"
	"net/netip"
	"slices"

	"orchidjunction/rpc"
)

// MaxPeerID is the highest ID of a core. Each replacement uses a new ID.
const MaxPeerID = 1<<20 - 1

// Peer is a voter. Its ID is never reused for another machine.
type Peer struct {
	ID      int    `json:"id"`
	Address string `json:"address"`
}

func (peer Peer) check() error {
	if err := checkAddress(peer.Address); err != nil {
		return err
	}
	return checkCoreID(peer.ID)
}

func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return rpc.Errorf(rpc.BadMessage, "peer address %q: %w", address, err)
	}
	return nil
}

func checkCoreID(id int) error {
	if id < 1 || id > MaxPeerID {
		return rpc.Errorf(rpc.BadMessage, "core ID %d is out of range 1 to %d", id, MaxPeerID)
	}
	return nil
}

// VoterSet is the content of the membership register. While a voter is being replaced, Next
// holds the next voters and a quorum is a majority of both groups (joint consensus). LastID is
// the highest ID ever assigned.
type VoterSet struct {
	Current []Peer
	Next    []Peer
	LastID  int
}

// Check rejects a set without voters, and an ID that is duplicate in a group or above LastID.
func (voters *VoterSet) Check() error {
	if len(voters.Current) == 0 {
		return rpc.Errorf(rpc.BadMessage, "membership without voters")
	}
	for _, group := range voters.groups() {
		if err := voters.checkGroup(group); err != nil {
			return err
		}
	}
	return nil
}

func (voters *VoterSet) checkGroup(group []Peer) error {
	seen := map[int]bool{}
	for _, peer := range group {
		if err := peer.check(); err != nil {
			return err
		}
		if seen[peer.ID] || peer.ID > voters.LastID {
			return rpc.Errorf(rpc.BadMessage, "voter ID %d is duplicate or above the last ID %d", peer.ID, voters.LastID)
		}
		seen[peer.ID] = true
	}
	return nil
}

func (voters *VoterSet) groups() [][]Peer { return [][]Peer{voters.Current, voters.Next} }

// Majority returns the size of a majority of the group.
func Majority(group []Peer) int { return len(group)/2 + 1 }

// CountIn returns the number of peers of a group for which contains returns true.
func CountIn(group []Peer, contains func(id int) bool) int {
	count := 0
	for _, peer := range group {
		if contains(peer.ID) {
			count++
		}
	}
	return count
}

// Quorum reports whether the peers for which contains returns true are a quorum: a majority of
// the current voters and, during a replacement, also of the next ones.
func (voters *VoterSet) Quorum(contains func(id int) bool) bool {
	if CountIn(voters.Current, contains) < Majority(voters.Current) {
		return false
	}
	return len(voters.Next) == 0 || CountIn(voters.Next, contains) >= Majority(voters.Next)
}

// Addresses returns the distinct addresses of the voters of both groups.
func (voters *VoterSet) Addresses() []string {
	addresses := []string{}
	for _, group := range voters.groups() {
		for _, peer := range group {
			if !slices.Contains(addresses, peer.Address) {
				addresses = append(addresses, peer.Address)
			}
		}
	}
	return addresses
}

// Supersedes reports whether known is a newer membership than request with different voters, so
// that a quorum of request's voters may no longer decide.
func Supersedes(known, request AcceptedValue) bool {
	return request.Version().Less(known.Version()) && !bytes.Equal(request.Value.Body, known.Value.Body)
}

// JoinRequest asks a core for the membership and the leader, and the leader also to add the
// sender as a learner. A core that is not a voter sends it repeatedly. SinceBootstrap says that
// the sender's disk dates from the bootstrap of the system. Known is the version of the newest
// membership known to the sender.
type JoinRequest struct {
	Address        string
	SinceBootstrap bool `msgpack:"Opening"`
	Known          Version
}

// JoinResponse contains the leader, and the membership if it is newer than the request's.
// Admitted is set only by a leader that has confirmed its leadership since the request and does
// not count the requesting core as a voter: a core with a blank disk may then start as a replica
// that has promised Term and accepted nothing.
type JoinResponse struct {
	Membership AcceptedValue `msgpack:"Members"`
	Leader     Leader
	Admitted   bool
	Term       Term `msgpack:"Ballot"`
}

// Check rejects an address that is not IP:port.
func (request *JoinRequest) Check() error { return checkAddress(request.Address) }

// RemoveVoterRequest is an operator's order to replace a voter by a learner immediately.
type RemoveVoterRequest struct {
	Core int
}

// RemoveVoterResponse confirms that a quorum has removed the voter. Duplicate is true if the core
// was not a voter when the order arrived.
type RemoveVoterResponse struct {
	Version   uint64
	Duplicate bool `msgpack:"Again"`
}

// Check rejects an ID out of range.
func (request *RemoveVoterRequest) Check() error { return checkCoreID(request.Core) }

// LeaveRequest announces that a voter shuts down, presumably for good, so that a synced learner
// may replace it. The core repeats it until it is no longer a voter.
type LeaveRequest struct {
	Core int
}

// LeaveVoterRequest is a LeaveRequest with the voter's address. The ID alone is ambiguous: a core
// may still have an ID from an undecided replacement that was since assigned to another core.
type LeaveVoterRequest struct {
	Core    int
	Address string
}

// LeaveResponse tells a leaving voter whether to wait until it has been replaced.
type LeaveResponse struct {
	Wait       bool
	Membership AcceptedValue `msgpack:"Members"`
}

// Check rejects an ID out of range.
func (request *LeaveRequest) Check() error { return checkCoreID(request.Core) }

// Check rejects an ID out of range and an address that is not IP:port.
func (request *LeaveVoterRequest) Check() error {
	if err := checkCoreID(request.Core); err != nil {
		return err
	}
	return rpc.CheckAddress("address", request.Address)
}
