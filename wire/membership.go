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

// PeerMost bounds the IDs of cores; a replacement takes the next one.
const PeerMost = 1<<20 - 1

func (peer Peer) check() error {
	if _, fault := netip.ParseAddrPort(peer.Address); fault != nil {
		return New(BadMessage, "peer at %q: %v", peer.Address, fault)
	}
	return checkCore(peer.ID)
}

// Voters is the content of the membership register: which cores vote. While one of
// them is being replaced Next holds the voters to come, and a decision takes a
// majority of both groups. LastID is the highest ID that was ever given.
type Voters struct {
	Current []Peer
	Next    []Peer
	LastID  int
}

// Enlist asks a core who votes and who leads. A core without a part in the quorum
// sends it again and again; at the leader it also asks to become a learner. Opening
// is whether the asker's disk has been there since the system's first start.
type Enlist struct {
	Address string
	Opening bool
	Known   Mark
}

// EnlistTold brings the membership where it is newer than what the asker knows, and
// the leader. Admitted is true only at a leader that has confirmed its lead after it
// was asked and that does not count the asker as a voter: then an empty disk may
// begin as a replica that has promised Ballot and accepted nothing.
type EnlistTold struct {
	Members  Accepted
	Leader   Leader
	Admitted bool
	Ballot   Ballot
}

// Removal is an operator's order to give a voter's place to a learner at once.
type Removal struct {
	Core int
}

// RemovalTold says that the core has no vote, decided by a quorum. Again is true where
// it had none before the order came.
type RemovalTold struct {
	Version uint64
	Again   bool
}

// Leave announces that a core ends for good, as far as it knows: a learner that
// holds everything may take its place. The core asks until it has no part left.
type Leave struct {
	Core int
}

// LeaveTold tells a leaving core whether to wait for its place to be taken.
type LeaveTold struct {
	Wait    bool
	Members Accepted
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
func (voters *Voters) Quorum(has func(id int) bool) bool {
	if CountIn(voters.Current, has) < Majority(voters.Current) {
		return false
	}
	return len(voters.Next) == 0 || CountIn(voters.Next, has) >= Majority(voters.Next)
}

// Addresses are those of all voters of both groups, each once.
func (voters *Voters) Addresses() []string {
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
func Supersedes(held, asked Accepted) bool {
	return asked.Mark().Less(held.Mark()) && !bytes.Equal(asked.Value.Body, held.Value.Body)
}

// Check refuses an address that is none.
func (message *Enlist) Check() error {
	return Peer{ID: 1, Address: message.Address}.check()
}

// Check refuses an ID out of range.
func (message *Removal) Check() error { return checkCore(message.Core) }

// Check refuses an ID out of range.
func (message *Leave) Check() error { return checkCore(message.Core) }

// Check refuses voters without a group, with an ID given twice within a group or
// above LastID.
func (voters *Voters) Check() error {
	if len(voters.Current) == 0 {
		return New(BadMessage, "membership without voters")
	}
	for _, group := range [][]Peer{voters.Current, voters.Next} {
		seen := map[int]bool{}
		for _, peer := range group {
			if mishap := peer.check(); mishap != nil {
				return mishap
			}
			if seen[peer.ID] || peer.ID > voters.LastID {
				return New(BadMessage, "voter %d is there twice or above %d", peer.ID, voters.LastID)
			}
			seen[peer.ID] = true
		}
	}
	return nil
}
