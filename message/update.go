package message

import (
	"time"

	"orchidjunction/rpc"
)

// maxWatchDuration limits the duration of a watch.
const maxWatchDuration = 10 * time.Second

// WatchRequest waits up to SpanMs milliseconds for versions newer than those given.
type WatchRequest struct {
	Name   string
	Serial uint64
	Table  TableVersion
	SpanMs int

	Routing  uint64
	Rollouts uint64
}

// Timeout returns the maximum duration of the watch.
func (request *WatchRequest) Timeout() time.Duration {
	return min(time.Duration(request.SpanMs)*time.Millisecond, maxWatchDuration)
}

// WatchResponse contains the responder's versions, newer rollouts, and the table delta if only
// the table is newer and the delta is small. Daemons thus learn without a fetch which backends
// must no longer receive requests.
type WatchResponse struct {
	Serial uint64
	Table  TableVersion

	Routing     uint64
	Rollouts    uint64
	RolloutList []Rollout
	Delta       *TableDelta
}

// NewerThan reports whether any version is newer than in request.
func (response *WatchResponse) NewerThan(request *WatchRequest) bool {
	return response.Serial > request.Serial || response.Routing > request.Routing ||
		response.Rollouts > request.Rollouts || request.Table.Less(response.Table)
}

// NewerInTableOnly reports whether only the table is newer than in request. Rollouts are ignored
// because they are part of the response.
func (response *WatchResponse) NewerInTableOnly(request *WatchRequest) bool {
	return response.Serial <= request.Serial && response.Routing <= request.Routing && request.Table.Less(response.Table)
}

// FetchRequest asks for everything newer than the given versions.
type FetchRequest struct {
	Serial uint64
	Table  TableVersion

	Routing  uint64
	Rollouts uint64
}

// FetchResponse contains what is newer: the chunk references of the settings, the table or its
// delta, the routing without its history, and the newest rollout of each service.
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

// Encode encodes the response once for all recipients. The response must not be modified
// afterwards.
func (response *FetchResponse) Encode() error {
	body, err := rpc.Marshal(response)
	if err != nil {
		return err
	}
	response.encoded = body
	return nil
}

// EncodedBody returns the result of Encode, nil if that was not called.
func (response *FetchResponse) EncodedBody() []byte { return response.encoded }
