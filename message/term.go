package message

import (
	"fmt"

	"orchidjunction/rpc"
)

// Term identifies a leadership. Each term belongs to one core, so that no two cores lead in the
// same term. It is the proposal number of the consensus protocol (the ballot in Paxos).
type Term struct {
	Number uint64 `json:"round" msgpack:"Round"`
	Core   int    `json:"core"`
}

// Less reports whether term is older than other.
func (term Term) Less(other Term) bool {
	if term.Number != other.Number {
		return term.Number < other.Number
	}
	return term.Core < other.Core
}

// String returns number and core, for example 7.2.
func (term Term) String() string { return fmt.Sprintf("%d.%d", term.Number, term.Core) }

// check rejects a term with number 0 or with a core out of range.
func (term Term) check() error {
	if term.Number == 0 {
		return rpc.Errorf(rpc.BadMessage, "term without a number")
	}
	return checkCoreID(term.Core)
}

// Version orders the values of a register by the term in which they were written, then by
// serial.
type Version struct {
	Term   Term   `json:"ballot" msgpack:"Ballot"`
	Serial uint64 `json:"serial"`
}

// Less reports whether version is older than other.
func (version Version) Less(other Version) bool {
	if version.Term != other.Term {
		return version.Term.Less(other.Term)
	}
	return version.Serial < other.Serial
}

// Versions are the versions of all registers.
type Versions [Registers]Version

// Less compares the first register in which the versions differ.
func (versions Versions) Less(other Versions) bool {
	for register := range versions {
		if versions[register] != other[register] {
			return versions[register].Less(other[register])
		}
	}
	return false
}
