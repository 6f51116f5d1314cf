package idempotency

import (
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/storage"
)

// TestLog is a Log without its writer goroutine.
type TestLog struct{ log *Log }

// OpenTestLog opens a log with a TTL of DefaultTTL and segments of the given size in bytes.
func OpenTestLog(disk storage.Disk, segment int64) (*TestLog, error) {
	log, err := OpenLog(disk, 0, metrics.NewCounters())
	if err != nil {
		return nil, err
	}
	log.journal.LimitSegments(segment)
	log.store.SetTTL(DefaultTTL)
	return &TestLog{log: log}, nil
}

// Record writes one request as the writer goroutine does.
func (test *TestLog) Record(request *message.RecordClaimsRequest) ([]message.ClaimResponse, error) {
	if err := test.log.repair(); err != nil {
		return nil, err
	}
	return test.log.writeGroup([]*Write{{Request: request}})
}

func (test *TestLog) Get(key message.ClaimKey) (message.ClaimRecord, bool) {
	return test.log.store.Get(key)
}

// DiskFailed reports whether the last write to the disk failed.
func (test *TestLog) DiskFailed() bool { return test.log.journal.Err() != nil }
