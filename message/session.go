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

// Session is a daemon's heartbeat to a core: its member entry, its versions in force, its health
// checks of backends, and its counts. Windows contains the changes since the last counts that
// the core's process BaseProcess acknowledged, or all counts if BaseProcess is 0. Rollouts is
// the serial of the rollouts in force. Times are in milliseconds.
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

// Check rejects a session without a name, an incarnation, a known kind or a valid address.
func (session *Session) Check() error {
	if session.Member.Name == "" || session.Member.Incarnation == "" {
		return rpc.Errorf(rpc.BadMessage, "session without name or incarnation")
	}
	if session.Member.Kind != ProxyKind && session.Member.Kind != DirectoryKind {
		return rpc.Errorf(rpc.BadMessage, "session of unknown kind %q", session.Member.Kind)
	}
	if _, err := netip.ParseAddrPort(session.Member.InternalAddress); err != nil {
		return rpc.Errorf(rpc.BadMessage, "session from address %q: %w", session.Member.InternalAddress, err)
	}
	return nil
}

// SessionResponse contains the leader and the newest versions known to the core. Cores are the
// addresses of the voters, and Process identifies the core's process.
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

// UsageCountRequest reports to the leader, between session heartbeats, how many requests a
// process has sent per tenant so far.
type UsageCountRequest struct {
	Incarnation string
	Usage       map[string]uint64
}

// UsageCountResponse confirms a UsageCountRequest.
type UsageCountResponse struct{}

// Check rejects a count without an incarnation.
func (request *UsageCountRequest) Check() error {
	if request.Incarnation == "" {
		return rpc.Errorf(rpc.BadMessage, "count without incarnation")
	}
	return nil
}

// WindowCountsRequest reports a process's window counts to a core between session heartbeats.
// The fields are as in Session.
type WindowCountsRequest struct {
	Incarnation string
	Windows     []WindowCount
	NowMs       int64
	BaseProcess uint64

	Rollouts      uint64
	RolloutCounts []RolloutCounts
}

// WindowCountsResponse confirms a WindowCountsRequest. Process identifies the core's process.
type WindowCountsResponse struct{ Process uint64 }

// Check rejects counts without an incarnation.
func (request *WindowCountsRequest) Check() error {
	if request.Incarnation == "" {
		return rpc.Errorf(rpc.BadMessage, "counts without incarnation")
	}
	return nil
}

// ProcessCounts contains the window counts of one process of a daemon. Ended says that the
// counts are final.
type ProcessCounts struct {
	Name        string
	Incarnation string
	Ended       bool
	Windows     []WindowCount
}

// CopyCountsRequest sends a core a copy of counts, in case the sender and the counting processes
// are lost. Body is encoded by EncodeCounts. It contains all counts or, if BaseProcess is not 0,
// the changes since the last copy that the receiver's process BaseProcess received.
type CopyCountsRequest struct {
	Body        []byte
	BaseProcess uint64
}

// CopyCountsResponse confirms that the copy is durable. Process identifies the receiver's
// process. If it differs from BaseProcess, all counts must be sent again.
type CopyCountsResponse struct{ Process uint64 }

// FetchCountsRequest asks a core for all its counts.
type FetchCountsRequest struct{}

// FetchCountsResponse contains all counts of a core, encoded by EncodeCounts.
type FetchCountsResponse struct{ Body []byte }

// EncodeCounts encodes and compresses counts.
func EncodeCounts(counts []ProcessCounts) ([]byte, error) {
	body, err := rpc.Marshal(counts)
	if err != nil {
		return nil, err
	}
	return Compress(body), nil
}

// DecodeCounts decodes the result of EncodeCounts.
func DecodeCounts(body []byte) ([]ProcessCounts, error) {
	if len(body) == 0 {
		return nil, nil
	}
	decompressed, err := decompress(body)
	if err != nil {
		return nil, rpc.Errorf(rpc.BadMessage, "counts of %d bytes: %w", len(body), err)
	}
	counts := []ProcessCounts{}
	if err := rpc.Unmarshal(decompressed, &counts); err != nil {
		return nil, err
	}
	return counts, nil
}
