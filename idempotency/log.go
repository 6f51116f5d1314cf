package idempotency

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

const (
	fileKind     = "claims"
	queueSize    = 4096
	maxGroupSize = 512

	// diskRetryInterval is the time between attempts to write after a disk error.
	diskRetryInterval = 250 * time.Millisecond
)

// Log holds a core's claims on idempotency keys: a Store, and a journal separate from that
// of consensus. One goroutine (RunWriter) writes all queued messages as one group.
//
// The log is complete for a voter if it holds every unexpired claim for which a quorum
// may count this voter.
type Log struct {
	store    *Store
	disk     storage.Disk
	journal  *storage.Journal
	queue    *concurrent.Queue[*Write]
	counters *metrics.Counters

	// Used only by the writer goroutine once the log is open.
	unwritten       *group    // in the store, but not on disk after a disk error
	lastDiskErrorAt time.Time // or the time of the last repair attempt
	segmentAges     map[uint64]time.Duration
	membership      message.AcceptedValue // the newest under which anything was recorded or read

	// The log's age advances only while the core runs: neither changes of the wall clock
	// nor downtime make claims older.
	openedAt time.Time
	baseAge  time.Duration

	mutex           sync.Mutex
	resolved        *sync.Cond
	completeVoterID int // the voter for which the log is complete, 0 for none
	recording       recordingVoter
	closed          bool
}

// recordingVoter is a voter and the time since which it has recorded every claim for
// which a quorum may count it.
type recordingVoter struct {
	id    int
	since time.Time
}

// Write is one message to be recorded under a membership. CompleteAs is the voter for
// which the log is complete once this is durable, 0 for none. After Submit, Results holds
// one response per claim of the request; Refused is true if nothing was recorded because
// a newer membership with other voters is known.
type Write struct {
	Request    *message.RecordClaimsRequest
	Membership message.AcceptedValue
	CompleteAs int
	Results    []message.ClaimResponse
	Refused    bool

	err  error
	done bool
}

// OpenLog opens and replays a log. Releases without voter replacement did not store the
// voter for which a log is complete; legacyVoterID is used for their data.
func OpenLog(disk storage.Disk, legacyVoterID int, counters *metrics.Counters) (*Log, error) {
	log := &Log{
		store:       NewStore(),
		disk:        disk,
		queue:       concurrent.NewQueue[*Write](queueSize),
		counters:    counters,
		segmentAges: map[uint64]time.Duration{},
	}
	log.resolved = sync.NewCond(&log.mutex)
	log.store.SetTTL(MaxTTL)
	groups, err := log.readGroups()
	if err != nil {
		return nil, err
	}
	_ = log.journal.Rewrite() // the journal keeps the error, and repair tries again
	log.openedAt = time.Now()
	for index := range groups {
		log.replay(&groups[index], legacyVoterID)
	}
	return log, nil
}

func (log *Log) readGroups() ([]group, error) {
	segments, err := storage.FileNumbers(log.disk, fileKind)
	if err != nil {
		return nil, err
	}
	first := uint64(0)
	if len(segments) > 0 {
		first = segments[0]
	}
	groups := []group{}
	log.journal, err = storage.OpenJournal(log.disk, fileKind, first, func(segment uint64, payload []byte) error {
		loaded := group{}
		if err := rpc.Unmarshal(payload, &loaded); err != nil {
			return err
		}
		groups = append(groups, loaded)
		log.baseAge = max(log.baseAge, loaded.At)
		log.segmentAges[segment] = log.baseAge
		return nil
	})
	return groups, err
}

func (log *Log) replay(loaded *group, legacyVoterID int) {
	log.apply(loaded, log.baseAge-loaded.At)
	if loaded.Complete {
		log.completeVoterID = loaded.Core
	}
	if loaded.Complete && log.completeVoterID == 0 {
		log.completeVoterID = legacyVoterID
	}
	if loaded.Membership != nil {
		log.membership = *loaded.Membership
	}
}

// Store returns the claims in memory.
func (log *Log) Store() *Store { return log.store }

// OpenedAt returns when the log was opened.
func (log *Log) OpenedAt() time.Time { return log.openedAt }

// Membership returns the newest membership found when the log was opened. It must not be
// called while RunWriter runs.
func (log *Log) Membership() message.AcceptedValue { return log.membership }

func (log *Log) elapsed() time.Duration { return log.baseAge + time.Since(log.openedAt) }

// apply adds a group to the store as if it had arrived the given time ago.
func (log *Log) apply(applied *group, ago time.Duration) []message.ClaimResponse {
	results := make([]message.ClaimResponse, len(applied.Claims))
	for index := range applied.Claims {
		applied.Claims[index].Record.AgeMs = ago.Milliseconds()
		results[index] = *log.store.Claim(&applied.Claims[index])
	}
	for index := range applied.Merged {
		applied.Merged[index].AgeMs += ago.Milliseconds()
	}
	log.store.Merge(applied.Merged)
	for index := range applied.Completed {
		log.store.Complete(&applied.Completed[index])
	}
	return results
}

// Submit queues a message for the writer goroutine and waits until it is durable. It
// returns Overloaded immediately if the queue is full.
func (log *Log) Submit(write *Write) error {
	if !log.queue.Put(write) {
		log.counters.Add("claim_ring_full", 1)
		return rpc.Errorf(rpc.Overloaded, "claim log queue is full; the disk does not keep up")
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	for !write.done && !log.closed {
		log.resolved.Wait()
	}
	if !write.done {
		return rpc.Errorf(rpc.Stopping, "core is stopping")
	}
	return write.err
}

// RunWriter writes queued messages until Stop is called. While the disk fails, nothing is
// added to the store and waiting callers get the error immediately.
func (log *Log) RunWriter() {
	for {
		writes := log.queue.Take(maxGroupSize)
		if len(writes) == 0 {
			log.releaseWaiters()
			return
		}
		err, results := log.repair(), []message.ClaimResponse(nil)
		if err == nil {
			results, err = log.writeGroup(writes)
		}
		log.resolveWrites(writes, results, err)
	}
}

// Stop ends RunWriter. Messages still in the queue are not recorded.
func (log *Log) Stop() { log.queue.Close() }

func (log *Log) releaseWaiters() {
	log.mutex.Lock()
	log.closed = true
	log.resolved.Broadcast()
	log.mutex.Unlock()
}

// writeGroup applies the messages to the store and syncs them as one group. Messages under
// a superseded membership are refused.
func (log *Log) writeGroup(writes []*Write) ([]message.ClaimResponse, error) {
	written := group{At: log.elapsed()}
	for _, write := range writes {
		write.Refused = !log.advanceMembership(&written, write.Membership)
		if !write.Refused {
			written.add(write)
		}
	}
	results := log.apply(&written, 0)
	durable := written
	durable.Claims = nil
	for index := range results {
		if results[index].Granted {
			durable.Claims = append(durable.Claims, written.Claims[index])
		}
	}
	err := log.sync(&durable)
	if err != nil {
		log.recordDiskError(&durable, err)
	}
	return results, err
}

// resolveWrites gives each waiting write its results, which are in the order of the claims
// of all writes that were not refused.
func (log *Log) resolveWrites(writes []*Write, results []message.ClaimResponse, err error) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	for _, write := range writes {
		if err == nil && !write.Refused {
			count := len(write.Request.Claims)
			write.Results, results = results[:count], results[count:]
		}
		write.err, write.done = err, true
	}
	log.resolved.Broadcast()
}

// recordDiskError keeps a group that could not be written. The store holds it already, so
// it must be written before any later group is answered.
func (log *Log) recordDiskError(unwritten *group, err error) {
	log.unwritten, log.lastDiskErrorAt = unwritten, time.Now()
	log.counters.Add("claim_disk_faults", 1)
	klog.Errorf("idempotency keys: claims are refused until the disk accepts writes again: %v", err)
}

// repair returns nil while the journal accepts groups. After a disk error, it tries every
// diskRetryInterval to rewrite the last segment and to append the unwritten group.
func (log *Log) repair() error {
	err := log.journal.Err()
	if err == nil {
		return nil
	}
	if time.Since(log.lastDiskErrorAt) < diskRetryInterval {
		return err
	}
	log.lastDiskErrorAt = time.Now()
	if err := log.journal.Rewrite(); err != nil {
		return err
	}
	if log.unwritten != nil {
		if err := log.sync(log.unwritten); err != nil {
			return err
		}
		log.unwritten = nil
	}
	log.counters.Add("claim_disk_repairs", 1)
	klog.Infof("idempotency keys: the disk accepts writes again")
	return nil
}

// advanceMembership adds a membership to the group if it is newer than the known one. It
// returns false if a newer one with other voters is known: a quorum of the given one may no
// longer decide.
func (log *Log) advanceMembership(target *group, membership message.AcceptedValue) bool {
	if message.Supersedes(log.membership, membership) {
		return false
	}
	if log.membership.Version().Less(membership.Version()) {
		log.membership, target.Membership = membership, &membership
	}
	return true
}

// sync makes a group durable and then sets the voter for which it completes the log.
func (log *Log) sync(synced *group) error {
	if err := log.append(synced); err != nil {
		return err
	}
	if synced.Complete {
		log.mutex.Lock()
		log.completeVoterID = synced.Core
		log.mutex.Unlock()
	}
	return nil
}

func (log *Log) append(appended *group) error {
	if appended.isEmpty() {
		return nil
	}
	frame, err := storage.EncodeFrame(appended)
	if err != nil {
		return err
	}
	if log.journal.Full(frame) {
		if err := log.rotate(); err != nil {
			return err
		}
	}
	log.counters.Add("claim_groups", 1)
	log.segmentAges[log.journal.Number()] = appended.At
	return log.journal.Append(frame)
}

// rotate begins a segment with the membership and the voter for which the log is complete,
// since the segments that hold them may be removed, and removes expired segments.
func (log *Log) rotate() error {
	first := group{At: log.elapsed(), Core: log.completeVoter()}
	first.Complete = first.Core > 0
	if log.membership.Value.Serial > 0 {
		first.Membership = &log.membership
	}
	if err := log.journal.Begin(log.journal.Number() + 1); err != nil {
		return err
	}
	if !first.isEmpty() {
		frame, err := storage.EncodeFrame(&first)
		if err != nil {
			return err
		}
		if err := log.journal.Append(frame); err != nil {
			return err
		}
	}
	log.removeExpiredSegments()
	return nil
}

// removeExpiredSegments removes segments that hold only expired keys, oldest first. Each
// removal is synced separately: otherwise a power loss could restore an older segment but
// not a newer one and leave a gap. Failed removals are retried at the next rotation.
func (log *Log) removeExpiredSegments() {
	oldestKept := log.journal.Number()
	for number, newest := range log.segmentAges {
		if log.elapsed()-newest < log.store.TTL() {
			oldestKept = min(oldestKept, number)
		}
	}
	for number := range log.segmentAges {
		if number < oldestKept {
			delete(log.segmentAges, number)
		}
	}
	if err := storage.RemoveBefore(log.disk, fileKind, oldestKept, log.disk.Sync); err != nil {
		log.counters.Add("claim_sweeps_short", 1)
	}
}

// CompleteFor reports whether the log is complete for a voter.
func (log *Log) CompleteFor(id int) bool { return id > 0 && log.completeVoter() == id }

// completeVoter returns the voter for which the log is complete, 0 for none. The log is
// complete for a voter that has recorded everything for longer than the TTL.
func (log *Log) completeVoter() int {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.recording.id > 0 && time.Since(log.recording.since) > log.store.TTL() {
		return log.recording.id
	}
	return log.completeVoterID
}

// RecordingSince sets the time since which a voter records every claim that it should,
// unless it is already set for this voter.
func (log *Log) RecordingSince(id int, at time.Time) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.recording.id != id {
		log.recording = recordingVoter{id: id, since: at}
	}
}

// Close closes the journal. It must be called after RunWriter has returned.
func (log *Log) Close() { log.journal.Close() }
