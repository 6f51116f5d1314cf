package message

import (
	"bytes"
	"net/netip"
	"slices"

	"orchidjunction/rpc"
)

// MaxPeerID bounds the IDs of cores. Each replacement uses up one.
const MaxPeerID = 1<<20 - 1

// Peer is a core that votes. Its ID is never given to another machine.
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
		return rpc.Errorf(rpc.BadMessage, "peer at %q: %w", address, err)
	}
	return nil
}

func checkCoreID(id int) error {
	if id < 1 || id > MaxPeerID {
		return rpc.Errorf(rpc.BadMessage, "core id %d is not in 1 to %d", id, MaxPeerID)
	}
	return nil
}

// VoterSet is the content of the membership register: which cores vote. While one of
// them is being replaced, Next holds the voters to come and a quorum is a majority of
// both groups (joint consensus). LastID is the highest ID that was ever given.
type VoterSet struct {
	Current []Peer
	Next    []Peer
	LastID  int
}

// Check refuses a set without voters, and an ID that stands twice in a group or is
// above LastID.
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
			return rpc.Errorf(rpc.BadMessage, "voter %d is there twice or above %d", peer.ID, voters.LastID)
		}
		seen[peer.ID] = true
	}
	return nil
}

func (voters *VoterSet) groups() [][]Peer { return [][]Peer{voters.Current, voters.Next} }

// Majority returns how many peers of a group are a majority of it.
func Majority(group []Peer) int { return len(group)/2 + 1 }

// CountIn returns for how many peers of a group has returns true.
func CountIn(group []Peer, contains func(id int) bool) int {
	count := 0
	for _, peer := range group {
		if contains(peer.ID) {
			count++
		}
	}
	return count
}

// Quorum reports whether the peers for which has returns true are a quorum: a majority
// of the current voters and, during a replacement, of the next ones too.
func (voters *VoterSet) Quorum(contains func(id int) bool) bool {
	if CountIn(voters.Current, contains) < Majority(voters.Current) {
		return false
	}
	return len(voters.Next) == 0 || CountIn(voters.Next, contains) >= Majority(voters.Next)
}

// Addresses returns those of all voters of both groups, each once.
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

// Supersedes reports whether known is a newer membership than asked and has other
// voters, so that a quorum counted by asked may no longer decide.
func Supersedes(known, request AcceptedValue) bool {
	return request.Version().Less(known.Version()) && !bytes.Equal(request.Value.Body, known.Value.Body)
}

// JoinRequest asks a core who votes and who leads. A core that is no voter repeats it;
// at the leader it also asks to become a learner. SinceBootstrap says that the sender's
// disk has been there since the system's first start. Known is the version of the newest
// membership that the sender knows.
type JoinRequest struct {
	Address        string
	SinceBootstrap bool `msgpack:"Opening"`
	Known          Version
}

// JoinResponse brings the leader, and the membership if it is newer than the sender's.
// Admitted is true only at a leader that has confirmed its leadership after it was asked
// and does not count the sender as a voter: a blank disk may then begin as a replica that
// has promised Term and accepted nothing.
type JoinResponse struct {
	Membership AcceptedValue `msgpack:"Members"`
	Leader     Leader
	Admitted   bool
	Term       Term `msgpack:"Ballot"`
}

// Check refuses an address that is not IP:port.
func (request *JoinRequest) Check() error { return checkAddress(request.Address) }

// RemoveVoterRequest is an operator's order to give a voter's place to a learner at once.
type RemoveVoterRequest struct {
	Core int
}

// RemoveVoterResponse says that a quorum decided that the core has no vote. Duplicate is
// true if it had none before the order came.
type RemoveVoterResponse struct {
	Version   uint64
	Duplicate bool `msgpack:"Again"`
}

// Check refuses an ID out of range.
func (request *RemoveVoterRequest) Check() error { return checkCoreID(request.Core) }

// LeaveRequest announces that a voter ends for good, as far as it knows, so that a
// learner which holds everything may take its place. The voter repeats it until it has
// no vote.
type LeaveRequest struct {
	Core int
}

// LeaveVoterRequest is a LeaveRequest that says at which address the voter is. A core may
// keep an ID of a step that was never decided, which another one has got since.
type LeaveVoterRequest struct {
	Core    int
	Address string
}

// LeaveResponse tells a leaving voter whether to wait until its place is taken.
type LeaveResponse struct {
	Wait       bool
	Membership AcceptedValue `msgpack:"Members"`
}

// Check refuses an ID out of range.
func (request *LeaveRequest) Check() error { return checkCoreID(request.Core) }

// Check refuses an ID out of range and an address of another form than IP:port.
func (request *LeaveVoterRequest) Check() error {
	if err := checkCoreID(request.Core); err != nil {
		return err
	}
	return rpc.CheckAddress("address", request.Address)
}
