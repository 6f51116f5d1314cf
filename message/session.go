package message

import (
	"net/netip"

	"orchidjunction/rpc"
)

// Kinds of daemons.
const (
	ProxyKind     = "proxy"
	DirectoryKind = "dir"
)

// Session is a daemon's heartbeat to a core: who it is, which versions are in force at
// it, what it found at backends, and what it counted. Windows hold what changed since
// the core's process BaseProcess was last told, or everything if that is 0. Rollouts is the
// serial of the roll-outs in force at it. Times are in milliseconds.
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

	Rollouts      uint64
	RolloutCounts []RolloutCounts
}

// Check refuses a session without a name, an incarnation, a known kind or an address.
func (session *Session) Check() error {
	if session.Member.Name == "" || session.Member.Incarnation == "" {
		return rpc.Errorf(rpc.BadMessage, "session without name or incarnation")
	}
	if session.Member.Kind != ProxyKind && session.Member.Kind != DirectoryKind {
		return rpc.Errorf(rpc.BadMessage, "session of unknown kind %q", session.Member.Kind)
	}
	if _, err := netip.ParseAddrPort(session.Member.InternalAddress); err != nil {
		return rpc.Errorf(rpc.BadMessage, "session from %q: %w", session.Member.InternalAddress, err)
	}
	return nil
}

// SessionResponse is the leader and the newest versions, as far as the core knows. Cores
// are the addresses of the voters, and Process identifies the core's process.
type SessionResponse struct {
	Leader Leader
	Serial uint64
	Table  TableVersion
	Cores  []string

	Routing    uint64
	NowMs      int64
	Process    uint64
	Membership Version `msgpack:"Members"`
	Rollouts   uint64
}

// UsageCountRequest tells the leader at once how many requests of each tenant a process
// has sent so far.
type UsageCountRequest struct {
	Incarnation string
	Usage       map[string]uint64
}

// UsageCountResponse confirms a UsageCountRequest.
type UsageCountResponse struct{}

// Check refuses a count that names no process.
func (request *UsageCountRequest) Check() error {
	if request.Incarnation == "" {
		return rpc.Errorf(rpc.BadMessage, "count without incarnation")
	}
	return nil
}

// WindowCountsRequest tells the leader, between two heartbeats of a session, what a process
// counted in windows. The fields are as in a Session.
type WindowCountsRequest struct {
	Incarnation string
	Windows     []WindowCount
	NowMs       int64
	BaseProcess uint64

	Rollouts      uint64
	RolloutCounts []RolloutCounts
}

// WindowCountsResponse confirms a WindowCountsRequest. Process identifies the leader's process.
type WindowCountsResponse struct{ Process uint64 }

// Check refuses counts that name no process.
func (request *WindowCountsRequest) Check() error {
	if request.Incarnation == "" {
		return rpc.Errorf(rpc.BadMessage, "counts without incarnation")
	}
	return nil
}

// ProcessCounts is what one process of a daemon counted in windows. Ended says that it
// counts no more.
type ProcessCounts struct {
	Name        string
	Incarnation string
	Ended       bool
	Windows     []WindowCount
}

// CopyCountsRequest gives a core a copy of counts, for the case that the sender is lost with
// those that counted. Body is what EncodeCounts made of all counts or, if BaseProcess is not
// 0, of what changed since that process of the receiver got the last copy.
type CopyCountsRequest struct {
	Body        []byte
	BaseProcess uint64
}

// CopyCountsResponse confirms a copy that is durable. Process identifies the receiver's
// process; if it is not the request's BaseProcess, everything must be sent again.
type CopyCountsResponse struct{ Process uint64 }

// FetchCountsRequest asks a core for all counts that it holds.
type FetchCountsRequest struct{}

// FetchCountsResponse has all counts that a core holds, as EncodeCounts makes them.
type FetchCountsResponse struct{ Body []byte }

// EncodeCounts returns counts encoded and compressed.
func EncodeCounts(counts []ProcessCounts) ([]byte, error) {
	body, err := rpc.Marshal(counts)
	if err != nil {
		return nil, err
	}
	return Compress(body), nil
}

// DecodeCounts returns the counts that EncodeCounts encoded.
func DecodeCounts(body []byte) ([]ProcessCounts, error) {
	if len(body) == 0 {
		return nil, nil
	}
	plain, err := decompress(body)
	if err != nil {
		return nil, rpc.Errorf(rpc.BadMessage, "counts of %d bytes: %w", len(body), err)
	}
	counts := []ProcessCounts{}
	if err := rpc.Unmarshal(plain, &counts); err != nil {
		return nil, err
	}
	return counts, nil
}
