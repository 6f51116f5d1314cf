// Package idempotency remembers which request claimed which idempotency key and how that
// request ended. A Store does so in memory, at proxies and cores; a Log keeps a core's
// Store on disk.
package idempotency

import (
	"sort"
	"sync"
	"time"

	"orchidjunction/message"
)

const (
	// DefaultTTL is how long keys are remembered until the settings say.
	DefaultTTL = 10 * time.Minute
	// MaxTTL is the longest that the settings may say.
	MaxTTL = 24 * time.Hour

	maxKeys = 2_000_000
)

// Store holds claims on idempotency keys in the order in which they came. It is safe for
// concurrent use.
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

// position is a key's place in the order.
type position struct {
	key      message.ClaimKey
	sequence uint64
}

// NewStore returns an empty Store that remembers keys for DefaultTTL.
func NewStore() *Store {
	return &Store{claims: map[message.ClaimKey]storedClaim{}, ttl: DefaultTTL}
}

// SetTTL sets how long keys are remembered from now on.
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

// expire drops claims that are older than the TTL, the oldest first.
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

// put records a claim. One that is known already keeps its position and its age.
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

// Claim grants the key to the first claim, and to the same claim again. A claim that
// names the running one in Replaces gets the key in its place. A refusal holds the claim
// that has the key, or nothing if the store is full.
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
// certainly did not run. The sender was granted a quorum, so that another claim that is
// held here will be given back and is replaced.
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

// Merge adds claims that other stores hold. A completed claim replaces the same one that
// still runs.
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

// Page returns at most limit claims put after a sequence number, with their ages, the
// last sequence number looked at, and whether none is left.
func (store *Store) Page(after uint64, limit int) (records []message.ClaimRecord, last uint64, done bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	last = after
	first := sort.Search(len(store.order), func(index int) bool { return store.order[index].sequence > after })
	for _, next := range store.order[first:] {
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

// Count returns the number of keys that are held.
func (store *Store) Count() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return len(store.claims)
}
