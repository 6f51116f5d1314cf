package message

// Register identifies one of the values that the cores replicate, each as a unit.
type Register int

// The registers. Registers is their number.
const (
	SettingsRegister Register = iota
	ReportsRegister
	RoutingRegister
	MembersRegister
	RolloutsRegister
	Registers
)

// HistoryEntry is one change of the settings register. It is used to detect repeated requests
// for the same change.
type HistoryEntry struct {
	Serial   uint64 `json:"serial"`
	Change   string `json:"change"`
	Digest   string `json:"digest"`
	Kind     string `json:"kind"`
	Operator string `json:"operator"`
	AtMs     int64  `json:"at_ms"`
}

// Value is the content of a register at a serial: a body, or references to its chunks.
type Value struct {
	Serial uint64
	Body   []byte
	Chunks []ChunkRef `msgpack:"Parts"`
}

// Size returns the approximate size in a message, in bytes, without the texts of the chunks.
func (value *Value) Size() int {
	size := len(value.Body)
	for index := range value.Chunks {
		size += len(value.Chunks[index].Path) + len(value.Chunks[index].Digest)
	}
	return size
}

// AcceptedValue is a value and the term in which a replica accepted it.
type AcceptedValue struct {
	Term  Term `msgpack:"Ballot"`
	Value Value
}

// Version returns the version of the accepted value.
func (accepted AcceptedValue) Version() Version {
	return Version{Term: accepted.Term, Serial: accepted.Value.Serial}
}
