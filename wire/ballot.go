package wire

import "fmt"

// Term orders leaderships; no two cores ever share one.
type Term struct {
	Number uint64 `json:"round" msgpack:"Round"`
	Core   int    `json:"core"`
}

// Less is whether the ballot is older than another.
func (ballot Term) Less(other Term) bool {
	if ballot.Number != other.Number {
		return ballot.Number < other.Number
	}
	return ballot.Core < other.Core
}

// String is the round and the core, as logs show them.
func (ballot Term) String() string { return fmt.Sprintf("%d.%d", ballot.Number, ballot.Core) }

// Version is how new a register is: the ballot it was written under, then its serial.
type Version struct {
	Term   Term   `json:"ballot" msgpack:"Ballot"`
	Serial uint64 `json:"serial"`
}

// Less is whether the mark is older than another.
func (mark Version) Less(other Version) bool {
	if mark.Term != other.Term {
		return mark.Term.Less(other.Term)
	}
	return mark.Serial < other.Serial
}

// Versions are those of both registers.
type Versions [Registers]Version

// Less compares by the first register in which the marks differ.
func (marks Versions) Less(other Versions) bool {
	for register := range marks {
		if marks[register] != other[register] {
			return marks[register].Less(other[register])
		}
	}
	return false
}
