package wire

import "net/netip"

// Leader is who leads the cores, as far as the teller knows.
type Leader struct {
	Ballot  Ballot `json:"ballot"`
	Core    int    `json:"core"`
	Address string `json:"address"`
}

// Known is whether the teller knows who leads.
func (leader Leader) Known() bool { return leader.Address != "" }

// Member is one daemon as the others see it.
type Member struct {
	Name        string  `json:"name"`
	Kind        string  `json:"kind"`
	Zone        string  `json:"zone"`
	Wire        string  `json:"wire"`
	Outer       string  `json:"outer"`
	Operate     string  `json:"operate"`
	Incarnation string  `json:"incarnation"`
	Leaving     bool    `json:"leaving"`
	Ready       bool    `json:"ready"`
	Keeper      bool    `json:"keeper,omitempty"`
	Demand      float64 `json:"demand,omitempty"`
	Guest       bool    `json:"guest,omitempty"`
}

// Backend is one backend as the platform lists it and the proxies find it.
type Backend struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
	Stir    uint64 `json:"stir,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	WarmAt  int64  `json:"warm_at_ms,omitempty"`
}

// Probe is what one proxy last found at a backend.
type Probe struct {
	Backend     string  `json:"backend"`
	Incarnation string  `json:"incarnation"`
	Healthy     bool    `json:"healthy"`
	Leaving     bool    `json:"leaving"`
	Cold        bool    `json:"cold"`
	Gentle      float64 `json:"gentle"`
	Usage       float64 `json:"usage"`
	Serial      uint64  `json:"serial"`
}

// Session is what a daemon tells its core, again and again. Windows say what changed
// since the core's process that Upon names was told last; all, where it names none.
type Session struct {
	Member Member
	Serial uint64
	Table  TableMark
	Parent string
	Probes []Probe
	Usage  map[string]uint64
	AgeMs  int64

	Routing uint64
	Windows []WindowCount
	NowMs   int64
	Gone    bool
	Upon    uint64
}

// Check refuses a session without a name, an incarnation, a known kind or an address.
func (session *Session) Check() error {
	if session.Member.Name == "" || session.Member.Incarnation == "" {
		return New(BadMessage, "session without name or incarnation")
	}
	if session.Member.Kind != "proxy" && session.Member.Kind != "dir" {
		return New(BadMessage, "session of unknown kind %q", session.Member.Kind)
	}
	if _, fault := netip.ParseAddrPort(session.Member.Wire); fault != nil {
		return New(BadMessage, "session from %q: %v", session.Member.Wire, fault)
	}
	return nil
}

// SessionTold names the cores of the newest membership that the teller knows.
type SessionTold struct {
	Leader Leader
	Serial uint64
	Table  TableMark
	Cores  []string

	Routing uint64
	NowMs   int64
	Process uint64
	Members Mark
}

// Count tells the leader at once how many tasks a process sent so far, by tenant.
type Count struct {
	Incarnation string
	Usage       map[string]uint64
}

// CountTold confirms a Count.
type CountTold struct{}

// Check refuses a count that names no process.
func (message *Count) Check() error {
	if message.Incarnation == "" {
		return New(BadMessage, "count without incarnation")
	}
	return nil
}

// TableMark orders tables: a new leader's are newer than all before.
type TableMark struct {
	Ballot Ballot `json:"ballot"`
	Number uint64 `json:"number"`
}

// Less is whether the mark is older than another.
func (mark TableMark) Less(other TableMark) bool {
	if mark.Ballot != other.Ballot {
		return mark.Ballot.Less(other.Ballot)
	}
	return mark.Number < other.Number
}

// Table is the soft state every daemon holds.
type Table struct {
	Mark     TableMark `json:"mark"`
	Members  []Member  `json:"members"`
	Backends []Backend `json:"backends"`
	Complete bool      `json:"complete"`
}

// Watch waits at the parent for news.
type Watch struct {
	Name   string
	Serial uint64
	Table  TableMark
	SpanMs int

	Routing uint64
}

// WatchTold names the versions that the parent holds.
type WatchTold struct {
	Serial uint64
	Table  TableMark

	Routing uint64
}

// Fetch takes the table, and the names of the branches, that are newer than what the asker holds.
type Fetch struct {
	Serial uint64
	Table  TableMark

	Routing uint64
}

// FetchTold brings the routing without its trail.
type FetchTold struct {
	Serial uint64
	Parts  []Part
	Table  *Table
	Delta  *TableDelta

	Routing       uint64
	RoutingBody   []byte
	RoutingPacked bool

	sealed []byte
}

// Seal packs the answer once for all that get the same; it is not changed after.
func (told *FetchTold) Seal() error {
	body, fault := pack(told)
	if fault != nil {
		return AsMishap(fault)
	}
	told.sealed = body
	return nil
}

func (told *FetchTold) body() []byte { return told.sealed }

// Who asks any daemon for the leader.
type Who struct{}

// WhoTold is the leader and the cores, as far as the teller knows, and its versions.
type WhoTold struct {
	Leader Leader
	Duck   bool
	Cores  []string
	Serial uint64

	Routing uint64
	Table   TableMark
	Members Mark
}

// Confirm asks the leader for the newest serial, proved by a beat after the ask.
type Confirm struct{}

// ConfirmTold names the leader's confirmed versions.
type ConfirmTold struct {
	Serial uint64
	Table  TableMark

	Routing uint64
}
