package message

// Register names one of the values that the cores replicate, each as a whole.
type Register int

// The registers; Registers is their number.
const (
	SettingsRegister Register = iota
	ReportsRegister
	RoutingRegister
	MembersRegister
	RolloutsRegister
	Registers
)

// HistoryEntry is one change of the settings register, by which a repeated request for
// the same change is recognized.
type HistoryEntry struct {
	Serial   uint64 `json:"serial"`
	Change   string `json:"change"`
	Digest   string `json:"digest"`
	Kind     string `json:"kind"`
	Operator string `json:"operator"`
	AtMs     int64  `json:"at_ms"`
}

// Value is the content of a register at a serial: a body, or the chunks that make it up.
type Value struct {
	Serial uint64
	Body   []byte
	Chunks []ChunkRef `msgpack:"Parts"`
}

// Size returns how many bytes the value takes in a message, without its chunks' texts.
func (value *Value) Size() int {
	size := len(value.Body)
	for index := range value.Chunks {
		size += len(value.Chunks[index].Path) + len(value.Chunks[index].Digest)
	}
	return size
}

// AcceptedValue is a value and the term under which a replica accepted it.
type AcceptedValue struct {
	Term  Term `msgpack:"Ballot"`
	Value Value
}

// Version returns how new the value is.
func (accepted AcceptedValue) Version() Version {
	return Version{Term: accepted.Term, Serial: accepted.Value.Serial}
}
