package control

import (
	"sync"

	"orchidjunction/message"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

const maxCachedResponses = 4

// fetchCache caches responses with the newest table, so that each is encoded once for all
// daemons. It is safe for concurrent use.
type fetchCache struct {
	mutex     sync.Mutex
	table     *message.Table
	responses map[fetchKey]*message.FetchResponse
}

type fetchKey struct{ serial, routing, rollouts uint64 }

// get returns the cached response with the same content. A response without a table is small and
// is returned as it is.
func (cache *fetchCache) get(response *message.FetchResponse) (*message.FetchResponse, error) {
	if response.Table == nil {
		return response, nil
	}
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	key := fetchKey{response.Serial, response.Routing, response.Rollouts}
	if cached := cache.responses[key]; cached != nil && cache.table == response.Table {
		return cached, nil
	}
	if err := response.Encode(); err != nil {
		return nil, err
	}
	if cache.table != response.Table || len(cache.responses) >= maxCachedResponses {
		cache.table, cache.responses = response.Table, map[fetchKey]*message.FetchResponse{}
	}
	cache.responses[key] = response
	return response, nil
}

// routingCache caches the committed routing in the form sent to daemons. It is safe for
// concurrent use.
type routingCache struct {
	mutex  sync.Mutex
	serial uint64
	body   []byte
}

// get returns the routing without its history, encoded and compressed.
func (cache *routingCache) get(value message.Value) ([]byte, error) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if cache.serial == value.Serial {
		return cache.body, nil
	}
	state, err := routing.DecodeState(value.Body)
	if err != nil {
		return nil, err
	}
	body, err := rpc.Marshal(state.WithoutHistory())
	if err != nil {
		return nil, err
	}
	cache.serial, cache.body = value.Serial, message.Compress(body)
	return cache.body, nil
}
