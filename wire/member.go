package wire

import "net/netip"

// Leader is who leads the cores, as far as the teller knows.
type Leader struct {
	Ballot  Term   `json:"ballot"`
	Core    int    `json:"core"`
	Address string `json:"address"`
}

// Known is whether the teller knows who leads.
func (leader Leader) Known() bool { return leader.Address != "" }

// Member is one daemon as the others see it.
type Member struct {
	Name            string  `json:"name"`
	Kind            string  `json:"kind"`
	Zone            string  `json:"zone"`
	InternalAddress string  `json:"wire" msgpack:"Wire"`
	PublicAddress   string  `json:"outer" msgpack:"Outer"`
	OperatorAddress string  `json:"operate" msgpack:"Operate"`
	Incarnation     string  `json:"incarnation"`
	Leaving         bool    `json:"leaving"`
	Ready           bool    `json:"ready"`
	KeyReplica      bool    `json:"keeper,omitempty" msgpack:"Keeper"`
	Demand          float64 `json:"demand,omitempty"`
	Guest           bool    `json:"guest,omitempty"`
}

// Backend is one backend as the platform lists it and the proxies find it.
type Backend struct {
	Name      string `json:"name"`
	Service   string `json:"service"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	Leaving   bool   `json:"leaving"`
	ProbeHint uint64 `json:"stir,omitempty" msgpack:"Stir"`
	Capacity  int    `json:"slots,omitempty" msgpack:"Slots"`
	WarmAtMs  int64  `json:"warm_at_ms,omitempty" msgpack:"WarmAt"`
}

// Probe is what one proxy last found at a backend.
type Probe struct {
	Backend     string  `json:"backend"`
	Incarnation string  `json:"incarnation"`
	Healthy     bool    `json:"healthy"`
	Leaving     bool    `json:"leaving"`
	WarmingUp   bool    `json:"cold" msgpack:"Cold"`
	WarmupRate  float64 `json:"gentle" msgpack:"Gentle"`
	Utilization float64 `json:"usage" msgpack:"Usage"`
	Serial      uint64  `json:"serial"`
}

// Session is what a daemon tells its core, again and again. Windows say what changed
// since the core's process that Upon names was told last; all, where it names none.
type Session struct {
	Member Member
	Serial uint64
	Table  TableVersion
	Parent string
	Probes []Probe
	Usage  map[string]uint64
	AgeMs  int64

	Routing     uint64
	Windows     []WindowCount
	NowMs       int64
	Ended       bool   `msgpack:"Gone"`
	BaseProcess uint64 `msgpack:"Upon"`
}

// Check refuses a session without a name, an incarnation, a known kind or an address.
func (session *Session) Check() error {
	if session.Member.Name == "" || session.Member.Incarnation == "" {
		return Errorf(BadMessage, "session without name or incarnation")
	}
	if session.Member.Kind != "proxy" && session.Member.Kind != "dir" {
		return Errorf(BadMessage, "session of unknown kind %q", session.Member.Kind)
	}
	if _, err := netip.ParseAddrPort(session.Member.InternalAddress); err != nil {
		return Errorf(BadMessage, "session from %q: %v", session.Member.InternalAddress, err)
	}
	return nil
}

// SessionResponse names the cores of the newest membership that the teller knows.
type SessionResponse struct {
	Leader Leader
	Serial uint64
	Table  TableVersion
	Cores  []string

	Routing    uint64
	NowMs      int64
	Process    uint64
	Membership Version `msgpack:"Members"`
}

// UsageCountRequest tells the leader at once how many tasks a process sent so far, by tenant.
type UsageCountRequest struct {
	Incarnation string
	Usage       map[string]uint64
}

// UsageCountResponse confirms a Count.
type UsageCountResponse struct{}

// Check refuses a count that names no process.
func (message *UsageCountRequest) Check() error {
	if message.Incarnation == "" {
		return Errorf(BadMessage, "count without incarnation")
	}
	return nil
}

// TableVersion orders tables: a new leader's are newer than all before.
type TableVersion struct {
	Term   Term   `json:"ballot" msgpack:"Ballot"`
	Number uint64 `json:"number"`
}

// Less is whether the mark is older than another.
func (mark TableVersion) Less(other TableVersion) bool {
	if mark.Term != other.Term {
		return mark.Term.Less(other.Term)
	}
	return mark.Number < other.Number
}

// Table is the soft state every daemon holds.
type Table struct {
	Version  TableVersion `json:"mark" msgpack:"Mark"`
	Members  []Member     `json:"members"`
	Backends []Backend    `json:"backends"`
	Complete bool         `json:"complete"`
}

// WatchRequest waits at the parent for news.
type WatchRequest struct {
	Name   string
	Serial uint64
	Table  TableVersion
	SpanMs int

	Routing uint64
}

// WatchResponse names the versions that the parent holds.
type WatchResponse struct {
	Serial uint64
	Table  TableVersion

	Routing uint64
}

// FetchRequest takes the table, and the names of the branches, that are newer than what the asker holds.
type FetchRequest struct {
	Serial uint64
	Table  TableVersion

	Routing uint64
}

// FetchResponse brings the routing without its trail.
type FetchResponse struct {
	Serial uint64
	Chunks []ChunkRef `msgpack:"Parts"`
	Table  *Table
	Delta  *TableDelta

	Routing           uint64
	RoutingBody       []byte
	RoutingCompressed bool `msgpack:"RoutingPacked"`

	encoded []byte
}

// Encode packs the answer once for all that get the same; it is not changed after.
func (told *FetchResponse) Encode() error {
	body, err := marshal(told)
	if err != nil {
		return AsError(err)
	}
	told.encoded = body
	return nil
}

func (told *FetchResponse) encodedBody() []byte { return told.encoded }

// LeaderRequest asks any daemon for the leader.
type LeaderRequest struct{}

// LeaderResponse is the leader and the cores, as far as the teller knows, and its versions.
type LeaderResponse struct {
	Leader   Leader
	Lameduck bool `msgpack:"Duck"`
	Cores    []string
	Serial   uint64

	Routing    uint64
	Table      TableVersion
	Membership Version `msgpack:"Members"`
}

// ReadIndexRequest asks the leader for the newest serial, proved by a beat after the ask.
type ReadIndexRequest struct{}

// ReadIndexResponse names the leader's confirmed versions.
type ReadIndexResponse struct {
	Serial uint64
	Table  TableVersion

	Routing uint64
}
