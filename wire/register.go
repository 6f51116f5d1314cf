package wire

// Register names one of the whole values that the cores agree on.
type Register int

// The registers; Registers is their number.
const (
	SettingsRegister Register = iota
	ReportsRegister
	RoutingRegister
	MembersRegister
	Registers
)

// Entry is one change in a register's trail.
type Entry struct {
	Serial   uint64 `json:"serial"`
	Change   string `json:"change"`
	Digest   string `json:"digest"`
	Kind     string `json:"kind"`
	Operator string `json:"operator"`
	AtMs     int64  `json:"at_ms"`
}

// Value is the whole content of a register at a serial: a body, or the branches
// that make it up.
type Value struct {
	Serial uint64
	Body   []byte
	Parts  []Part
}

// Accepted is a value and the ballot it was written under.
type Accepted struct {
	Ballot Ballot
	Value  Value
}

// Mark is how new the value is.
func (accepted Accepted) Mark() Mark {
	return Mark{Ballot: accepted.Ballot, Serial: accepted.Value.Serial}
}
