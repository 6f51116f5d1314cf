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

	// repairInterval is how often a disk that refused something is tried again.
	repairInterval = 250 * time.Millisecond
)

// Log is a core's claims on idempotency keys: a Store, and a journal apart from that of
// the agreement. One goroutine (RunWriter) writes what came meanwhile as one group.
//
// The log is complete for a voter if it holds every claim that a quorum may count this
// voter for and that has not expired.
type Log struct {
	store    *Store
	disk     storage.Disk
	journal  *storage.Journal
	queue    *concurrent.Queue[*Write]
	counters *metrics.Counters

	// The writing goroutine alone uses these once the log is open.
	unsynced   *group    // refused by the disk, and in the store already
	failedAt   time.Time // when the disk refused something last
	ages       map[uint64]time.Duration
	membership message.AcceptedValue // the newest that anything here was recorded or read under

	// The log's age runs only while the core does: clocks that are set, and time away,
	// make nothing older.
	openedAt time.Time
	baseAge  time.Duration

	mutex      sync.Mutex
	wake       *sync.Cond
	completeAs int // the voter for which the log is complete, 0 for none
	recording  voterSince
	closed     bool
}

// voterSince is from when on a voter records every claim that a quorum may count it for.
type voterSince struct {
	id int
	at time.Time
}

// Write is one message to be recorded under a membership. CompleteAs is the voter for
// which the log is complete once this is durable, 0 for none. After Submit, Results
// answer the request's claims, and Refused says that nothing was recorded because a
// newer membership with other voters is known here.
type Write struct {
	Request    *message.RecordClaimsRequest
	Membership message.AcceptedValue
	CompleteAs int
	Results    []message.ClaimResponse
	Refused    bool

	err  error
	done bool
}

// OpenLog reads a log. In data of a release in which no voter was ever replaced, the
// voter for which the log is complete has the given ID.
func OpenLog(disk storage.Disk, givenID int, counters *metrics.Counters) (*Log, error) {
	log := &Log{
		store:    NewStore(),
		disk:     disk,
		queue:    concurrent.NewQueue[*Write](queueSize),
		counters: counters,
		ages:     map[uint64]time.Duration{},
	}
	log.wake = sync.NewCond(&log.mutex)
	log.store.SetTTL(MaxTTL)
	groups, err := log.readGroups()
	if err != nil {
		return nil, err
	}
	_ = log.journal.Rewrite() // the journal keeps its error, and repair tries again
	log.openedAt = time.Now()
	for index := range groups {
		log.replay(&groups[index], givenID)
	}
	return log, nil
}

// readGroups opens the journal and returns the groups in it.
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
		read := group{}
		if err := rpc.Unmarshal(payload, &read); err != nil {
			return err
		}
		groups = append(groups, read)
		log.baseAge = max(log.baseAge, read.At)
		log.ages[segment] = log.baseAge
		return nil
	})
	return groups, err
}

// replay applies a group that was read.
func (log *Log) replay(read *group, givenID int) {
	log.apply(read, log.baseAge-read.At)
	if read.Complete {
		log.completeAs = read.Core
	}
	if read.Complete && log.completeAs == 0 {
		log.completeAs = givenID
	}
	if read.Membership != nil {
		log.membership = *read.Membership
	}
}

// Store returns the claims in memory.
func (log *Log) Store() *Store { return log.store }

// OpenedAt returns when the log was opened.
func (log *Log) OpenedAt() time.Time { return log.openedAt }

// Membership returns the newest membership that anything was recorded or read under, as
// it was when the log was opened. It must not be called once RunWriter runs.
func (log *Log) Membership() message.AcceptedValue { return log.membership }

func (log *Log) age() time.Duration { return log.baseAge + time.Since(log.openedAt) }

// apply puts a group into the store as if it had come some time ago.
func (log *Log) apply(added *group, ago time.Duration) []message.ClaimResponse {
	results := make([]message.ClaimResponse, len(added.Claims))
	for index := range added.Claims {
		added.Claims[index].Record.AgeMs = ago.Milliseconds()
		results[index] = *log.store.Claim(&added.Claims[index])
	}
	for index := range added.Merged {
		added.Merged[index].AgeMs += ago.Milliseconds()
	}
	log.store.Merge(added.Merged)
	for index := range added.Completed {
		log.store.Complete(&added.Completed[index])
	}
	return results
}

// Submit hands a message to the writing goroutine and waits until it is durable. It
// returns Overloaded at once if too many wait.
func (log *Log) Submit(write *Write) error {
	if !log.queue.Put(write) {
		log.counters.Add("claim_ring_full", 1)
		return rpc.Errorf(rpc.Overloaded, "too many claims wait for this core's disk")
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	for !write.done && !log.closed {
		log.wake.Wait()
	}
	if !write.done {
		return rpc.Errorf(rpc.Stopping, "this core stops")
	}
	return write.err
}

// RunWriter is the writing goroutine. While the disk refuses groups, nothing is put into
// the store and those who wait get the error at once.
func (log *Log) RunWriter() {
	for {
		writes := log.queue.Take(maxGroupSize)
		if len(writes) == 0 {
			log.release()
			return
		}
		err, results := log.repair(), []message.ClaimResponse(nil)
		if err == nil {
			results, err = log.writeGroup(writes)
		}
		log.resolve(writes, results, err)
	}
}

// Stop ends RunWriter; what waits is not recorded.
func (log *Log) Stop() { log.queue.Close() }

// release wakes those who still wait once the queue is closed.
func (log *Log) release() {
	log.mutex.Lock()
	log.closed = true
	log.wake.Broadcast()
	log.mutex.Unlock()
}

// writeGroup applies and syncs what came as one group, but for what comes under a
// membership that is superseded.
func (log *Log) writeGroup(writes []*Write) ([]message.ClaimResponse, error) {
	added := group{At: log.age()}
	for _, write := range writes {
		write.Refused = !log.raiseMembership(&added, write.Membership)
		if !write.Refused {
			added.add(write)
		}
	}
	results := log.apply(&added, 0)
	durable := added
	durable.Claims = nil
	for index := range results {
		if results[index].Granted {
			durable.Claims = append(durable.Claims, added.Claims[index])
		}
	}
	err := log.sync(&durable)
	if err != nil {
		log.failed(&durable, err)
	}
	return results, err
}

// resolve gives each waiting write its result. The results are in the order of the claims
// of all writes that were not refused.
func (log *Log) resolve(writes []*Write, results []message.ClaimResponse, err error) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	for _, write := range writes {
		if err == nil && !write.Refused {
			count := len(write.Request.Claims)
			write.Results, results = results[:count], results[count:]
		}
		write.err, write.done = err, true
	}
	log.wake.Broadcast()
}

// failed keeps a group that the disk refused, since the store holds it already: it is
// written before any later one is answered.
func (log *Log) failed(refused *group, err error) {
	log.unsynced, log.failedAt = refused, time.Now()
	log.counters.Add("claim_disk_faults", 1)
	klog.Errorf("idempotency keys: refused until the disk takes writes again: %v", err)
}

// repair returns nil while the journal accepts groups. After an error it tries now and
// then to rewrite the last segment and to append what the store holds beyond it.
func (log *Log) repair() error {
	err := log.journal.Err()
	if err == nil {
		return nil
	}
	if time.Since(log.failedAt) < repairInterval {
		return err
	}
	log.failedAt = time.Now()
	if err := log.journal.Rewrite(); err != nil {
		return err
	}
	if log.unsynced != nil {
		if err := log.sync(log.unsynced); err != nil {
			return err
		}
		log.unsynced = nil
	}
	log.counters.Add("claim_disk_repairs", 1)
	klog.Infof("idempotency keys: the disk takes writes again")
	return nil
}

// raiseMembership notes the membership that something is recorded under. It returns false
// if one with other voters was noted before, so that a quorum of this one may no longer
// decide.
func (log *Log) raiseMembership(added *group, membership message.AcceptedValue) bool {
	if message.Supersedes(log.membership, membership) {
		return false
	}
	if log.membership.Version().Less(membership.Version()) {
		log.membership, added.Membership = membership, &membership
	}
	return true
}

// sync makes a group durable and notes the voter for which it completes the log.
func (log *Log) sync(added *group) error {
	if err := log.append(added); err != nil {
		return err
	}
	if added.Complete {
		log.mutex.Lock()
		log.completeAs = added.Core
		log.mutex.Unlock()
	}
	return nil
}

func (log *Log) append(added *group) error {
	if added.isEmpty() {
		return nil
	}
	frame, err := storage.EncodeFrame(added)
	if err != nil {
		return err
	}
	if log.journal.Full(frame) {
		if err := log.rotate(); err != nil {
			return err
		}
	}
	log.counters.Add("claim_groups", 1)
	log.ages[log.journal.Number()] = added.At
	return log.journal.Append(frame)
}

// rotate begins a segment with what must not be forgotten, and removes those that hold
// only expired keys.
func (log *Log) rotate() error {
	first := group{At: log.age(), Core: log.completeVoter()}
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
	log.removeExpired()
	return nil
}

// removeExpired removes segments that hold only expired keys, the oldest first, each
// removal synced by itself: of several that a power loss may undo one by one, an older
// one could come back and leave a gap. What the disk does not remove now goes next time.
func (log *Log) removeExpired() {
	oldestKept := log.journal.Number()
	for number, newest := range log.ages {
		if log.age()-newest < log.store.TTL() {
			oldestKept = min(oldestKept, number)
		}
	}
	for number := range log.ages {
		if number < oldestKept {
			delete(log.ages, number)
		}
	}
	if err := storage.RemoveBefore(log.disk, fileKind, oldestKept, log.disk.Sync); err != nil {
		log.counters.Add("claim_sweeps_short", 1)
	}
}

// CompleteFor reports whether the log is complete for a voter.
func (log *Log) CompleteFor(id int) bool { return id > 0 && log.completeVoter() == id }

// completeVoter returns the voter for which the log is complete, 0 for none. A voter that
// has recorded everything for as long as keys are remembered lacks nothing.
func (log *Log) completeVoter() int {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.recording.id > 0 && time.Since(log.recording.at) > log.store.TTL() {
		return log.recording.id
	}
	return log.completeAs
}

// RecordingSince notes from when on a voter records all that it should, unless that was
// noted before.
func (log *Log) RecordingSince(id int, at time.Time) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.recording.id != id {
		log.recording = voterSince{id: id, at: at}
	}
}

// Close closes the journal, after RunWriter has ended.
func (log *Log) Close() { log.journal.Close() }
