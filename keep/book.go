// Package keep is the bounded, in-memory store of idempotency keys that proxies and
// cores share. A Book grants a key to its first claim, remembers how the request
// ended, and forgets keys after a span that the settings give.
package keep

import (
	"orchidjunction/message"
	"sort"
	"sync"
	"time"
)

const (
	// FirstSpan is how long keys are remembered until settings say.
	FirstSpan = 10 * time.Minute
	// MostSpan is the longest that settings may say.
	MostSpan = 24 * time.Hour
	bookMost = 2_000_000
)

// Book is a store of claims on idempotency keys, in the order in which they came.
// It is safe for concurrent use.
type Book struct {
	mutex  sync.Mutex
	claims map[message.ClaimKey]keptClaim
	order  []turn
	number uint64
	span   time.Duration
}

type keptClaim struct {
	message.ClaimRecord
	at     time.Time
	number uint64
}

// turn is when a key was put, in order.
type turn struct {
	key    message.ClaimKey
	number uint64
}

// NewBook returns an empty Book that remembers keys for FirstSpan.
func NewBook() *Book { return &Book{claims: map[message.ClaimKey]keptClaim{}, span: FirstSpan} }

// Remember sets how long keys are remembered from now on.
func (book *Book) Remember(span time.Duration) {
	book.mutex.Lock()
	book.span = span
	book.mutex.Unlock()
}

// Span returns how long keys are remembered.
func (book *Book) Span() time.Duration {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return book.span
}

// forget drops what is older than the span, oldest first.
func (book *Book) forget() {
	for len(book.order) > 0 {
		first := book.order[0]
		held, found := book.claims[first.key]
		if found && held.number == first.number {
			if time.Since(held.at) < book.span {
				return
			}
			delete(book.claims, first.key)
		}
		book.order = book.order[1:]
	}
}

// put keeps a claim; one that is known already keeps its turn and its age.
func (book *Book) put(claimed message.ClaimRecord) {
	if held, found := book.claims[claimed.Key]; found && held.ID == claimed.ID {
		held.ClaimRecord = claimed
		book.claims[claimed.Key] = held
		return
	}
	book.number++
	book.order = append(book.order, turn{key: claimed.Key, number: book.number})
	book.claims[claimed.Key] = keptClaim{ClaimRecord: claimed, at: time.Now().Add(-time.Duration(claimed.AgeMs) * time.Millisecond), number: book.number}
}

// Claim grants the key to the first claim, and to the same claim again. A claim
// that names the running one in Instead replaces it. A refusal holds the claim that
// has the key, or nothing if the store is full.
func (book *Book) Claim(claim *message.ClaimRequest) *message.ClaimResponse {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.forget()
	held, found := book.claims[claim.Record.Key]
	if found && held.ID != claim.Record.ID && (claim.Replaces == "" || held.ID != claim.Replaces || held.Stage != message.ClaimRunning) {
		return &message.ClaimResponse{Existing: held.ClaimRecord}
	}
	if !found && len(book.claims) >= bookMost {
		return &message.ClaimResponse{}
	}
	if !found || held.ID != claim.Record.ID {
		book.put(claim.Record)
	}
	return &message.ClaimResponse{Granted: true, Existing: claim.Record}
}

// Settle records how the request of a claim ended, or frees the key of one that
// surely did not run. Whoever settles was granted a quorum, so a claim of another
// that is held here will be given back and is replaced.
func (book *Book) Settle(settle *message.CompleteClaimRequest) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if settle.Release {
		if book.claims[settle.Record.Key].ID == settle.Record.ID {
			delete(book.claims, settle.Record.Key)
		}
		return
	}
	book.put(settle.Record)
}

// Held returns the claim that has the key.
func (book *Book) Held(key message.ClaimKey) (message.ClaimRecord, bool) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	held, found := book.claims[key]
	return held.ClaimRecord, found
}

// Retell merges claims that other stores hold; a settled claim replaces the same
// one that still runs.
func (book *Book) Retell(claims []message.ClaimRecord) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	for _, claimed := range claims {
		held, found := book.claims[claimed.Key]
		if !found || held.ID == claimed.ID && held.Stage == message.ClaimRunning && claimed.Stage != message.ClaimRunning {
			book.put(claimed)
		}
	}
}

// Page returns at most so many claims put after a sequence number, with their ages,
// the last sequence number looked at, and whether none is left.
func (book *Book) Page(after uint64, most int) (claims []message.ClaimRecord, last uint64, done bool) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.forget()
	last = after
	first := sort.Search(len(book.order), func(index int) bool { return book.order[index].number > after })
	for _, next := range book.order[first:] {
		if len(claims) == most {
			return claims, last, false
		}
		last = next.number
		if held, found := book.claims[next.key]; found && held.number == next.number {
			held.AgeMs = time.Since(held.at).Milliseconds()
			claims = append(claims, held.ClaimRecord)
		}
	}
	return claims, last, true
}

// Count returns the number of keys that are held.
func (book *Book) Count() int {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return len(book.claims)
}
