package wire

import (
	"bytes"
	"net/netip"
	"slices"
)

// Peer is one core machine that votes. Its ID is never given to another machine.
type Peer struct {
	ID      int    `json:"id"`
	Address string `json:"address"`
}

// MaxPeerID bounds the IDs of cores; a replacement takes the next one.
const MaxPeerID = 1<<20 - 1

func (peer Peer) check() error {
	if _, err := netip.ParseAddrPort(peer.Address); err != nil {
		return Errorf(BadMessage, "peer at %q: %v", peer.Address, err)
	}
	return checkCore(peer.ID)
}

// VoterSet is the content of the membership register: which cores vote. While one of
// them is being replaced Next holds the voters to come, and a decision takes a
// majority of both groups. LastID is the highest ID that was ever given.
type VoterSet struct {
	Current []Peer
	Next    []Peer
	LastID  int
}

// JoinRequest asks a core who votes and who leads. A core without a part in the quorum
// sends it again and again; at the leader it also asks to become a learner. Opening
// is whether the asker's disk has been there since the system's first start.
type JoinRequest struct {
	Address        string
	SinceBootstrap bool `msgpack:"Opening"`
	Known          Version
}

// JoinResponse brings the membership where it is newer than what the asker knows, and
// the leader. Admitted is true only at a leader that has confirmed its lead after it
// was asked and that does not count the asker as a voter: then an empty disk may
// begin as a replica that has promised Ballot and accepted nothing.
type JoinResponse struct {
	Membership AcceptedValue `msgpack:"Members"`
	Leader     Leader
	Admitted   bool
	Term       Term `msgpack:"Ballot"`
}

// RemoveVoterRequest is an operator's order to give a voter's place to a learner at once.
type RemoveVoterRequest struct {
	Core int
}

// RemoveVoterResponse says that the core has no vote, decided by a quorum. Again is true where
// it had none before the order came.
type RemoveVoterResponse struct {
	Version   uint64
	Duplicate bool `msgpack:"Again"`
}

// LeaveRequest announces that a core ends for good, as far as it knows: a learner that
// holds everything may take its place. The core asks until it has no part left.
type LeaveRequest struct {
	Core int
}

// LeaveResponse tells a leaving core whether to wait for its place to be taken.
type LeaveResponse struct {
	Wait       bool
	Membership AcceptedValue `msgpack:"Members"`
}

// Majority is how many of a group decide.
func Majority(group []Peer) int { return len(group)/2 + 1 }

// CountIn is how many of a group has is true for.
func CountIn(group []Peer, has func(id int) bool) int {
	count := 0
	for _, peer := range group {
		if has(peer.ID) {
			count++
		}
	}
	return count
}

// Quorum is whether those for which has is true decide: a majority of the current
// voters and, during a replacement, of the next ones too.
func (voters *VoterSet) Quorum(has func(id int) bool) bool {
	if CountIn(voters.Current, has) < Majority(voters.Current) {
		return false
	}
	return len(voters.Next) == 0 || CountIn(voters.Next, has) >= Majority(voters.Next)
}

// Addresses are those of all voters of both groups, each once.
func (voters *VoterSet) Addresses() []string {
	addresses := []string{}
	for _, group := range [][]Peer{voters.Current, voters.Next} {
		for _, peer := range group {
			if !slices.Contains(addresses, peer.Address) {
				addresses = append(addresses, peer.Address)
			}
		}
	}
	return addresses
}

// Supersedes is whether an accepted membership is newer than another one and has
// other voters: a quorum counted by the other one may then decide no more.
func Supersedes(held, asked AcceptedValue) bool {
	return asked.Version().Less(held.Version()) && !bytes.Equal(asked.Value.Body, held.Value.Body)
}

// Check refuses an address that is none.
func (message *JoinRequest) Check() error {
	return Peer{ID: 1, Address: message.Address}.check()
}

// Check refuses an ID out of range.
func (message *RemoveVoterRequest) Check() error { return checkCore(message.Core) }

// Check refuses an ID out of range.
func (message *LeaveRequest) Check() error { return checkCore(message.Core) }

// Check refuses voters without a group, with an ID given twice within a group or
// above LastID.
func (voters *VoterSet) Check() error {
	if len(voters.Current) == 0 {
		return Errorf(BadMessage, "membership without voters")
	}
	for _, group := range [][]Peer{voters.Current, voters.Next} {
		seen := map[int]bool{}
		for _, peer := range group {
			if err := peer.check(); err != nil {
				return err
			}
			if seen[peer.ID] || peer.ID > voters.LastID {
				return Errorf(BadMessage, "voter %d is there twice or above %d", peer.ID, voters.LastID)
			}
			seen[peer.ID] = true
		}
	}
	return nil
}
