package message

import (
	"fmt"

	"orchidjunction/rpc"
)

// Term numbers a leadership. Each term belongs to one core, so that no two cores ever
// lead under the same one. It is the proposal number of the agreement (Paxos' ballot).
type Term struct {
	Number uint64 `json:"round" msgpack:"Round"`
	Core   int    `json:"core"`
}

// Less reports whether the term is older than another.
func (term Term) Less(other Term) bool {
	if term.Number != other.Number {
		return term.Number < other.Number
	}
	return term.Core < other.Core
}

// String returns the number and the core, as in 7.2.
func (term Term) String() string { return fmt.Sprintf("%d.%d", term.Number, term.Core) }

// check refuses a term without a number or of a core out of range.
func (term Term) check() error {
	if term.Number == 0 {
		return rpc.Errorf(rpc.BadMessage, "term without a number")
	}
	return checkCoreID(term.Core)
}

// Version says how new the value of a register is: the term it was written under, then
// its serial.
type Version struct {
	Term   Term   `json:"ballot" msgpack:"Ballot"`
	Serial uint64 `json:"serial"`
}

// Less reports whether the version is older than another.
func (version Version) Less(other Version) bool {
	if version.Term != other.Term {
		return version.Term.Less(other.Term)
	}
	return version.Serial < other.Serial
}

// Versions are those of all registers.
type Versions [Registers]Version

// Less compares by the first register in which the versions differ.
func (versions Versions) Less(other Versions) bool {
	for register := range versions {
		if versions[register] != other[register] {
			return versions[register].Less(other[register])
		}
	}
	return false
}
