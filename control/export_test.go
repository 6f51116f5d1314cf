package control

import (
	"orchidjunction/keep"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/storage"
)

// LimitSegments makes a store begin a segment after fewer bytes, so that short
// tests see many.
func (store *Store) LimitSegments(bytes int64) { store.journal.LimitSegments(bytes) }

// TestClaims is a claim log without its writing thread.
type TestClaims struct{ log *ClaimLog }

// OpenTestClaims opens a log that remembers keys for keep.FirstSpan.
func OpenTestClaims(disk storage.Disk, segment int64) (*TestClaims, error) {
	log, err := openClaimLog(disk, 0, metrics.NewCounters())
	if err != nil {
		return nil, err
	}
	log.journal.LimitSegments(segment)
	log.store.Remember(keep.FirstSpan)
	return &TestClaims{log: log}, nil
}

// Keep is one turn of the writing thread.
func (claims *TestClaims) Keep(request *message.RecordClaimsRequest) ([]message.ClaimResponse, error) {
	if err := claims.log.repair(); err != nil {
		return nil, err
	}
	return claims.log.writeGroup([]*pendingWrite{{request: request}})
}

func (claims *TestClaims) Held(key message.ClaimKey) (message.ClaimRecord, bool) {
	return claims.log.store.Held(key)
}

// Refuses is whether the disk refused the last group.
func (claims *TestClaims) Refuses() bool { return claims.log.journal.Err() != nil }
