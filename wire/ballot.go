package wire

import "fmt"

// Ballot orders leaderships; no two cores ever share one.
type Ballot struct {
	Round uint64 `json:"round"`
	Core  int    `json:"core"`
}

// Less is whether the ballot is older than another.
func (ballot Ballot) Less(other Ballot) bool {
	if ballot.Round != other.Round {
		return ballot.Round < other.Round
	}
	return ballot.Core < other.Core
}

// String is the round and the core, as logs show them.
func (ballot Ballot) String() string { return fmt.Sprintf("%d.%d", ballot.Round, ballot.Core) }

// Mark is how new a register is: the ballot it was written under, then its serial.
type Mark struct {
	Ballot Ballot `json:"ballot"`
	Serial uint64 `json:"serial"`
}

// Less is whether the mark is older than another.
func (mark Mark) Less(other Mark) bool {
	if mark.Ballot != other.Ballot {
		return mark.Ballot.Less(other.Ballot)
	}
	return mark.Serial < other.Serial
}

// Marks are those of both registers.
type Marks [Registers]Mark

// Less compares by the first register in which the marks differ.
func (marks Marks) Less(other Marks) bool {
	for register := range marks {
		if marks[register] != other[register] {
			return marks[register].Less(other[register])
		}
	}
	return false
}
