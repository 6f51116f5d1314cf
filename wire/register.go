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

// HistoryEntry is one change in a register's trail.
type HistoryEntry struct {
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
	Chunks []ChunkRef `msgpack:"Parts"`
}

// AcceptedValue is a value and the ballot it was written under.
type AcceptedValue struct {
	Term  Term `msgpack:"Ballot"`
	Value Value
}

// Version is how new the value is.
func (accepted AcceptedValue) Version() Version {
	return Version{Term: accepted.Term, Serial: accepted.Value.Serial}
}
