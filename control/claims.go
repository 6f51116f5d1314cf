package control

import (
	"sync"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/keep"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
	"orchidjunction/storage"

	"k8s.io/klog/v2"
)

const (
	claimsFile          = "claims"
	claimsQueueSize     = 4096
	maxClaimGroup       = 512
	claimsPageSize      = 2000
	claimRepairInterval = 500 * time.Millisecond
	fetchClaimsTimeout  = 2 * time.Second
)

// ClaimLog is what this core remembers of money keys: a book, and a journal
// apart from the election's. One thread writes what came meanwhile as one group.
type ClaimLog struct {
	store    *keep.Book
	disk     storage.Disk
	journal  *storage.Journal
	queue    *concurrent.Queue[*pendingWrite]
	counters *metrics.Counters
	pending  *claimGroup
	failedAt time.Time
	openedAt time.Time
	baseAge  time.Duration
	ages     map[uint64]time.Duration

	// membership is the newest membership that anything here was kept or told under. Only
	// the writing thread uses it once the log is open.
	membership message.AcceptedValue

	mutex      sync.Mutex
	wake       *sync.Cond
	completeAs int
	recording  voterSince
	closed     bool
}

// voterSince is from when on a voter keeps every claim that a quorum may count it for.
type voterSince struct {
	id int
	at time.Time
}

// pendingWrite is one message under way to the disk, kept under a membership. WholeAs is
// the voter that lacks nothing once this lasts, 0 for none.
type pendingWrite struct {
	request    *message.RecordClaimsRequest
	membership message.AcceptedValue
	completeAs int
	results    []message.ClaimResponse
	refused    bool
	err        error
	done       bool
}

// claimGroup is one synced step. At is the log's own age, which runs only while
// the core does: clocks that jump, and time away, make nothing older. Core is the
// voter that is whole. Members is there where the group raised it.
type claimGroup struct {
	At         time.Duration
	Complete   bool `msgpack:"Whole"`
	Core       int
	Membership *message.AcceptedValue `msgpack:"Members"`
	Claims     []message.ClaimRequest
	Merged     []message.ClaimRecord          `msgpack:"Retold"`
	Completed  []message.CompleteClaimRequest `msgpack:"Settles"`
}

// openClaimLog reads the log. In groups of a release in which no voter was ever
// replaced, the voter that is whole has the given ID.
func openClaimLog(disk storage.Disk, given int, counters *metrics.Counters) (*ClaimLog, error) {
	log := &ClaimLog{disk: disk, store: keep.NewBook(), queue: concurrent.NewQueue[*pendingWrite](claimsQueueSize), counters: counters, ages: map[uint64]time.Duration{}}
	log.wake = sync.NewCond(&log.mutex)
	log.store.Remember(keep.MostSpan)
	segments, err := storage.FileNumbers(disk, claimsFile)
	if err != nil {
		return nil, err
	}
	first := uint64(0)
	if len(segments) > 0 {
		first = segments[0]
	}
	groups := []claimGroup{}
	log.journal, err = storage.OpenJournal(disk, claimsFile, first, func(segment uint64, payload []byte) error {
		group := claimGroup{}
		if err := rpc.Unmarshal(payload, &group); err != nil {
			return rpc.AsError(err)
		}
		groups = append(groups, group)
		log.baseAge = max(log.baseAge, group.At)
		log.ages[segment] = log.baseAge
		return nil
	})
	if err != nil {
		return nil, err
	}
	_ = log.journal.Rewrite() // the journal keeps its fault, and repair tries again
	log.openedAt = time.Now()
	for index := range groups {
		log.apply(&groups[index], log.baseAge-groups[index].At)
		if groups[index].Complete {
			log.completeAs = groups[index].Core
		}
		if groups[index].Complete && log.completeAs == 0 {
			log.completeAs = given
		}
		if groups[index].Membership != nil {
			log.membership = *groups[index].Membership
		}
	}
	return log, nil
}

func (log *ClaimLog) age() time.Duration { return log.baseAge + time.Since(log.openedAt) }

// apply puts a group that is so old into the book.
func (log *ClaimLog) apply(group *claimGroup, old time.Duration) []message.ClaimResponse {
	response := make([]message.ClaimResponse, len(group.Claims))
	for index := range group.Claims {
		group.Claims[index].Record.AgeMs = old.Milliseconds()
		response[index] = *log.store.Claim(&group.Claims[index])
	}
	for index := range group.Merged {
		group.Merged[index].AgeMs += old.Milliseconds()
	}
	log.store.Retell(group.Merged)
	for index := range group.Completed {
		log.store.Settle(&group.Completed[index])
	}
	return response
}

// runWriter is the duty of the writing thread. While the disk refuses groups, nothing is
// laid in the book and those who wait are told so at once.
func (log *ClaimLog) runWriter() {
	for {
		waits := log.queue.Take(maxClaimGroup)
		if len(waits) == 0 {
			log.close()
			return
		}
		err, response := log.repair(), []message.ClaimResponse(nil)
		if err == nil {
			response, err = log.writeGroup(waits)
		}
		log.resolve(waits, response, err)
	}
}

// writeGroup lays and syncs what came as one group, but for what comes under a
// membership that is no more.
func (log *ClaimLog) writeGroup(waits []*pendingWrite) ([]message.ClaimResponse, error) {
	group := claimGroup{At: log.age()}
	for _, wait := range waits {
		if wait.refused = !log.raiseMembership(&group, wait.membership); !wait.refused {
			group.add(wait)
		}
	}
	response := log.apply(&group, 0)
	lasting := group
	lasting.Claims = nil
	for index := range response {
		if response[index].Granted {
			lasting.Claims = append(lasting.Claims, group.Claims[index])
		}
	}
	err := log.syncGroup(&lasting)
	if err != nil {
		log.fail(&lasting, err)
	}
	return response, err
}

// add puts a message, and whom it makes whole, into the group.
func (group *claimGroup) add(wait *pendingWrite) {
	group.Claims = append(group.Claims, wait.request.Claims...)
	group.Merged = append(group.Merged, wait.request.Merged...)
	group.Completed = append(group.Completed, wait.request.Completed...)
	if wait.completeAs > 0 {
		group.Complete, group.Core = true, wait.completeAs
	}
}

// resolve gives each waiting message what became of it. What was told is in order of
// the claims of all messages that were not refused.
func (log *ClaimLog) resolve(waits []*pendingWrite, response []message.ClaimResponse, err error) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	for _, wait := range waits {
		if err == nil && !wait.refused {
			count := len(wait.request.Claims)
			wait.results, response = response[:count], response[count:]
		}
		wait.err, wait.done = err, true
	}
	log.wake.Broadcast()
}

// fail keeps the group that the disk refused, since the book holds it already: it
// is written before any later one is answered.
func (log *ClaimLog) fail(group *claimGroup, err error) {
	log.pending, log.failedAt = group, time.Now()
	log.counters.Add("claim_disk_faults", 1)
	klog.Errorf("claims: refused until the disk takes writes again: %v", err)
}

// repair is nil while the journal takes groups. After a fault it tries at a pace to
// rewrite the last segment and to append what the book holds beyond it.
func (log *ClaimLog) repair() error {
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
	if log.pending != nil {
		if err := log.syncGroup(log.pending); err != nil {
			return err
		}
		log.pending = nil
	}
	log.counters.Add("claim_disk_repairs", 1)
	klog.Infof("claims: the disk takes writes again")
	return nil
}

// raiseMembership notes the membership that something is kept under; false where one with other
// voters was noted before, so that a quorum of this one may decide no more.
func (log *ClaimLog) raiseMembership(group *claimGroup, members message.AcceptedValue) bool {
	if message.Supersedes(log.membership, members) {
		return false
	}
	if log.membership.Version().Less(members.Version()) {
		log.membership, group.Membership = members, &members
	}
	return true
}

// close lets go of those who still wait once the ring is closed.
func (log *ClaimLog) close() {
	log.mutex.Lock()
	log.closed = true
	log.wake.Broadcast()
	log.mutex.Unlock()
}

// syncGroup syncs a group, and notes the voter that it makes whole.
func (log *ClaimLog) syncGroup(group *claimGroup) error {
	err := log.appendGroup(group)
	if err == nil && group.Complete {
		log.mutex.Lock()
		log.completeAs = group.Core
		log.mutex.Unlock()
	}
	return err
}

func (log *ClaimLog) appendGroup(group *claimGroup) error {
	if len(group.Claims)+len(group.Merged)+len(group.Completed) == 0 && !group.Complete && group.Membership == nil {
		return nil
	}
	frame, err := storage.EncodeFrame(group)
	if err != nil {
		return err
	}
	if log.journal.Full(frame) {
		if err := log.rotate(); err != nil {
			return err
		}
	}
	log.counters.Add("claim_groups", 1)
	log.ages[log.journal.Number()] = group.At
	return log.journal.Append(frame)
}

// rotate begins a segment and removes those that hold only forgotten keys.
func (log *ClaimLog) rotate() error {
	first := claimGroup{At: log.age(), Core: log.completeVoter()}
	first.Complete = first.Core > 0
	if log.membership.Value.Serial > 0 {
		first.Membership = &log.membership
	}
	if err := log.journal.Begin(log.journal.Number() + 1); err != nil {
		return err
	}
	if first.Complete || first.Membership != nil {
		frame, err := storage.EncodeFrame(&first)
		if err != nil {
			return err
		}
		if err := log.journal.Append(frame); err != nil {
			return err
		}
	}
	log.removeForgotten()
	return nil
}

// removeForgotten removes what is forgotten, oldest first, each removal synced by itself:
// of several that a power loss may undo one by one, an older one could come back
// and leave a gap. What the disk does not let go now goes at the next sweep.
func (log *ClaimLog) removeForgotten() {
	keeps := log.journal.Number()
	for number, newest := range log.ages {
		if log.age()-newest < log.store.Span() {
			keeps = min(keeps, number)
		}
	}
	for number := range log.ages {
		if number < keeps {
			delete(log.ages, number)
		}
	}
	if err := storage.RemoveBefore(log.disk, claimsFile, keeps, log.disk.Sync); err != nil {
		log.counters.Add("claim_sweeps_short", 1)
	}
}

// Complete is whether a voter lacks nothing that it should hold and that is not yet
// forgotten. It need not hold all: claims of a quorum without it are elsewhere.
func (log *ClaimLog) Complete(id int) bool { return id > 0 && log.completeVoter() == id }

// completeVoter is the voter that lacks nothing, 0 while none does.
func (log *ClaimLog) completeVoter() int {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.recording.id > 0 && time.Since(log.recording.at) > log.store.Span() {
		return log.recording.id
	}
	return log.completeAs
}

// recordingFrom notes since when a voter keeps all that it should, unless that was noted.
func (log *ClaimLog) recordingFrom(id int, at time.Time) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.recording.id != id {
		log.recording = voterSince{id: id, at: at}
	}
}

// submit hands a message to the writing thread and waits until it lasts.
func (log *ClaimLog) submit(wait *pendingWrite) error {
	if !log.queue.Put(wait) {
		log.counters.Add("claim_ring_full", 1)
		return &rpc.Error{Code: rpc.Overloaded, Message: "too many claims wait for this core's disk"}
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	for !wait.done && !log.closed {
		log.wake.Wait()
	}
	if !wait.done {
		return rpc.Errorf(rpc.Stopping, "this core stops")
	}
	return wait.err
}
