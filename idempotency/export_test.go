package idempotency

import (
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/storage"
)

// TestLog is a log without its writing goroutine.
type TestLog struct{ log *Log }

// OpenTestLog opens a log that remembers keys for DefaultTTL and begins a segment after
// so many bytes.
func OpenTestLog(disk storage.Disk, segment int64) (*TestLog, error) {
	log, err := OpenLog(disk, 0, metrics.NewCounters())
	if err != nil {
		return nil, err
	}
	log.journal.LimitSegments(segment)
	log.store.SetTTL(DefaultTTL)
	return &TestLog{log: log}, nil
}

// Keep is one turn of the writing goroutine.
func (test *TestLog) Keep(request *message.RecordClaimsRequest) ([]message.ClaimResponse, error) {
	if err := test.log.repair(); err != nil {
		return nil, err
	}
	return test.log.writeGroup([]*Write{{Request: request}})
}

// Held returns the claim that has a key.
func (test *TestLog) Held(key message.ClaimKey) (message.ClaimRecord, bool) {
	return test.log.store.Get(key)
}

// Refuses reports whether the disk refused the last group.
func (test *TestLog) Refuses() bool { return test.log.journal.Err() != nil }
