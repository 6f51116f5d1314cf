package message

import (
	"time"

	"orchidjunction/rpc"
)

// maxWatch bounds how long a watch may wait.
const maxWatch = 10 * time.Second

// WatchRequest waits at a process for versions newer than those given, at most SpanMs
// milliseconds.
type WatchRequest struct {
	Name   string
	Serial uint64
	Table  TableVersion
	SpanMs int

	Routing  uint64
	Rollouts uint64
}

// Timeout returns how long the process waits at most.
func (request *WatchRequest) Timeout() time.Duration {
	return min(time.Duration(request.SpanMs)*time.Millisecond, maxWatch)
}

// WatchResponse is the versions that the process holds. Newer roll-outs come with it, and so
// does the table's delta if no other version is newer and little of the table changed: what
// a request must no longer go to is known without a fetch.
type WatchResponse struct {
	Serial uint64
	Table  TableVersion

	Routing     uint64
	Rollouts    uint64
	RolloutList []Rollout
	Delta       *TableDelta
}

// NewerThan reports whether any of the versions is newer than those in a request.
func (response *WatchResponse) NewerThan(request *WatchRequest) bool {
	return response.Serial > request.Serial || response.Routing > request.Routing ||
		response.Rollouts > request.Rollouts || request.Table.Less(response.Table)
}

// NewerInTableOnly reports whether, of what does not come with the response by itself, only
// the table is newer than that in a request.
func (response *WatchResponse) NewerInTableOnly(request *WatchRequest) bool {
	return response.Serial <= request.Serial && response.Routing <= request.Routing && request.Table.Less(response.Table)
}

// FetchRequest asks for what is newer than the versions given.
type FetchRequest struct {
	Serial uint64
	Table  TableVersion

	Routing  uint64
	Rollouts uint64
}

// FetchResponse brings what is newer: the chunks that make up the settings, the table or
// its delta, the routing without its history, and the newest roll-out of each service.
type FetchResponse struct {
	Serial uint64
	Chunks []ChunkRef `msgpack:"Parts"`
	Table  *Table
	Delta  *TableDelta

	Routing           uint64
	RoutingBody       []byte
	RoutingCompressed bool `msgpack:"RoutingPacked"`

	Rollouts    uint64
	RolloutList []Rollout

	encoded []byte
}

// Encode encodes the response once for all processes that get the same one. It must not
// be changed afterwards.
func (response *FetchResponse) Encode() error {
	body, err := rpc.Marshal(response)
	if err != nil {
		return err
	}
	response.encoded = body
	return nil
}

// EncodedBody returns what Encode made, nil if it was not called.
func (response *FetchResponse) EncodedBody() []byte { return response.encoded }
