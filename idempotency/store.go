// Package idempotency records which request claimed which idempotency key and how that
// request ended. A Store does so in memory, at proxies and cores; a Log persists a core's
// Store on disk.
package idempotency

import (
	"sort"
	"sync"
	"time"

	"orchidjunction/message"
)

const (
	// DefaultTTL is how long keys are remembered if the settings do not say.
	DefaultTTL = 10 * time.Minute
	// MaxTTL is the longest TTL that the settings allow.
	MaxTTL = 24 * time.Hour

	maxKeys = 2_000_000
)

// Store holds claims on idempotency keys in order of arrival. It is safe for concurrent
// use.
type Store struct {
	mutex    sync.Mutex
	claims   map[message.ClaimKey]storedClaim
	order    []position
	sequence uint64
	ttl      time.Duration
}

type storedClaim struct {
	message.ClaimRecord
	at       time.Time
	sequence uint64
}

// position is a key's place in the order, stale if the stored claim has another sequence.
type position struct {
	key      message.ClaimKey
	sequence uint64
}

// NewStore returns an empty Store with a TTL of DefaultTTL.
func NewStore() *Store {
	return &Store{claims: map[message.ClaimKey]storedClaim{}, ttl: DefaultTTL}
}

// SetTTL sets how long keys are remembered, also those already stored.
func (store *Store) SetTTL(ttl time.Duration) {
	store.mutex.Lock()
	store.ttl = ttl
	store.mutex.Unlock()
}

// TTL returns how long keys are remembered.
func (store *Store) TTL() time.Duration {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.ttl
}

// expire removes claims older than the TTL, oldest first.
func (store *Store) expire() {
	for len(store.order) > 0 {
		first := store.order[0]
		stored, found := store.claims[first.key]
		if found && stored.sequence == first.sequence {
			if time.Since(stored.at) < store.ttl {
				return
			}
			delete(store.claims, first.key)
		}
		store.order = store.order[1:]
	}
}

// put records a claim. A claim that is already stored keeps its position and age.
func (store *Store) put(record message.ClaimRecord) {
	if stored, found := store.claims[record.Key]; found && stored.ID == record.ID {
		stored.ClaimRecord = record
		store.claims[record.Key] = stored
		return
	}
	store.sequence++
	store.order = append(store.order, position{key: record.Key, sequence: store.sequence})
	at := time.Now().Add(-time.Duration(record.AgeMs) * time.Millisecond)
	store.claims[record.Key] = storedClaim{ClaimRecord: record, at: at, sequence: store.sequence}
}

// Claim grants the key to the first claim, and to the same claim when it is repeated. A
// claim whose Replaces is the ID of the running claim takes over the key. A refusal
// contains the claim that has the key, or nothing if the store is full.
func (store *Store) Claim(request *message.ClaimRequest) *message.ClaimResponse {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	stored, found := store.claims[request.Record.Key]
	isSame := found && stored.ID == request.Record.ID
	isReplaced := found && request.Replaces != "" && stored.ID == request.Replaces && stored.Stage == message.ClaimRunning
	switch {
	case isSame:
	case found && !isReplaced:
		return &message.ClaimResponse{Existing: stored.ClaimRecord}
	case !found && len(store.claims) >= maxKeys:
		return &message.ClaimResponse{}
	default:
		store.put(request.Record)
	}
	return &message.ClaimResponse{Granted: true, Existing: request.Record}
}

// Complete records how the request of a claim ended, or releases the key of one that
// certainly did not run. The sender was granted a quorum, so a different claim stored here
// will be released and is replaced.
func (store *Store) Complete(request *message.CompleteClaimRequest) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if !request.Release {
		store.put(request.Record)
		return
	}
	if store.claims[request.Record.Key].ID == request.Record.ID {
		delete(store.claims, request.Record.Key)
	}
}

// Get returns the claim that has the key.
func (store *Store) Get(key message.ClaimKey) (message.ClaimRecord, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	stored, found := store.claims[key]
	return stored.ClaimRecord, found
}

// Merge adds claims of other stores. A completed claim replaces the same running one.
func (store *Store) Merge(records []message.ClaimRecord) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, record := range records {
		stored, found := store.claims[record.Key]
		completes := stored.ID == record.ID && stored.Stage == message.ClaimRunning && record.Stage != message.ClaimRunning
		if !found || completes {
			store.put(record)
		}
	}
}

// Page returns at most limit claims with sequence numbers above after, with their ages,
// the last sequence number examined, and whether no claims are left.
func (store *Store) Page(after uint64, limit int) (records []message.ClaimRecord, last uint64, done bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	last = after
	start := sort.Search(len(store.order), func(index int) bool { return store.order[index].sequence > after })
	for _, next := range store.order[start:] {
		if len(records) == limit {
			return records, last, false
		}
		last = next.sequence
		if stored, found := store.claims[next.key]; found && stored.sequence == next.sequence {
			stored.AgeMs = time.Since(stored.at).Milliseconds()
			records = append(records, stored.ClaimRecord)
		}
	}
	return records, last, true
}

// Count returns the number of stored keys.
func (store *Store) Count() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return len(store.claims)
}
