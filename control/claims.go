package control

import (
	"sync"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/keep"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"

	"k8s.io/klog/v2"
)

const (
	claimsName  = "claims"
	claimsRing  = 4096
	claimsGroup = 512
	claimsPage  = 2000
	mendPace    = 500 * time.Millisecond
	pullLimit   = 2 * time.Second
)

// ClaimLog is what this core remembers of money keys: a book, and a journal
// apart from the election's. One thread writes what came meanwhile as one group.
type ClaimLog struct {
	book     *keep.Book
	journal  *Journal
	ring     *concurrent.Queue[*keepWait]
	counters *metrics.Counters
	pending  *claimGroup
	refused  time.Time
	opened   time.Time
	base     time.Duration
	ages     map[uint64]time.Duration

	// members is the newest membership that anything here was kept or told under. Only
	// the writing thread uses it once the log is open.
	members message.AcceptedValue

	mutex   sync.Mutex
	wake    *sync.Cond
	wholeAs int
	asking  voterSince
	ended   bool
}

// voterSince is from when on a voter keeps every claim that a quorum may count it for.
type voterSince struct {
	id int
	at time.Time
}

// keepWait is one message under way to the disk, kept under a membership. WholeAs is
// the voter that lacks nothing once this lasts, 0 for none.
type keepWait struct {
	message *message.RecordClaimsRequest
	members message.AcceptedValue
	wholeAs int
	told    []message.ClaimResponse
	refused bool
	mishap  error
	done    bool
}

// claimGroup is one synced step. At is the log's own age, which runs only while
// the core does: clocks that jump, and time away, make nothing older. Core is the
// voter that is whole. Members is there where the group raised it.
type claimGroup struct {
	At      time.Duration
	Whole   bool
	Core    int
	Members *message.AcceptedValue
	Claims  []message.ClaimRequest
	Retold  []message.ClaimRecord
	Settles []message.CompleteClaimRequest
}

// openClaimLog reads the log. In groups of a release in which no voter was ever
// replaced, the voter that is whole has the given ID.
func openClaimLog(disk Disk, given int, counters *metrics.Counters) (*ClaimLog, error) {
	log := &ClaimLog{book: keep.NewBook(), ring: concurrent.NewQueue[*keepWait](claimsRing), counters: counters, ages: map[uint64]time.Duration{}}
	log.wake = sync.NewCond(&log.mutex)
	log.book.Remember(keep.MostSpan)
	segments, err := numbers(disk, claimsName)
	if err != nil {
		return nil, err
	}
	first := uint64(0)
	if len(segments) > 0 {
		first = segments[0]
	}
	groups := []claimGroup{}
	log.journal, err = loadJournal(disk, claimsName, first, func(segment uint64, payload []byte) error {
		group := claimGroup{}
		if err := rpc.Unmarshal(payload, &group); err != nil {
			return rpc.AsError(err)
		}
		groups = append(groups, group)
		log.base = max(log.base, group.At)
		log.ages[segment] = log.base
		return nil
	})
	if err != nil {
		return nil, err
	}
	_ = log.journal.rewrite() // the journal keeps its fault, and repair tries again
	log.opened = time.Now()
	for index := range groups {
		log.lay(&groups[index], log.base-groups[index].At)
		if groups[index].Whole {
			log.wholeAs = groups[index].Core
		}
		if groups[index].Whole && log.wholeAs == 0 {
			log.wholeAs = given
		}
		if groups[index].Members != nil {
			log.members = *groups[index].Members
		}
	}
	return log, nil
}

func (log *ClaimLog) age() time.Duration { return log.base + time.Since(log.opened) }

// lay puts a group that is so old into the book.
func (log *ClaimLog) lay(group *claimGroup, old time.Duration) []message.ClaimResponse {
	response := make([]message.ClaimResponse, len(group.Claims))
	for index := range group.Claims {
		group.Claims[index].Record.AgeMs = old.Milliseconds()
		response[index] = *log.book.Claim(&group.Claims[index])
	}
	for index := range group.Retold {
		group.Retold[index].AgeMs += old.Milliseconds()
	}
	log.book.Retell(group.Retold)
	for index := range group.Settles {
		log.book.Settle(&group.Settles[index])
	}
	return response
}

// write is the duty of the writing thread. While the disk refuses groups, nothing is
// laid in the book and those who wait are told so at once.
func (log *ClaimLog) write() {
	for {
		waits := log.ring.Take(claimsGroup)
		if len(waits) == 0 {
			log.leave()
			return
		}
		err, response := log.repair(), []message.ClaimResponse(nil)
		if err == nil {
			response, err = log.writeGroup(waits)
		}
		log.answer(waits, response, err)
	}
}

// writeGroup lays and syncs what came as one group, but for what comes under a
// membership that is no more.
func (log *ClaimLog) writeGroup(waits []*keepWait) ([]message.ClaimResponse, error) {
	group := claimGroup{At: log.age()}
	for _, wait := range waits {
		if wait.refused = !log.raise(&group, wait.members); !wait.refused {
			group.add(wait)
		}
	}
	response := log.lay(&group, 0)
	lasting := group
	lasting.Claims = nil
	for index := range response {
		if response[index].Granted {
			lasting.Claims = append(lasting.Claims, group.Claims[index])
		}
	}
	err := log.syncWhole(&lasting)
	if err != nil {
		log.refuse(&lasting, err)
	}
	return response, err
}

// add puts a message, and whom it makes whole, into the group.
func (group *claimGroup) add(wait *keepWait) {
	group.Claims = append(group.Claims, wait.message.Claims...)
	group.Retold = append(group.Retold, wait.message.Merged...)
	group.Settles = append(group.Settles, wait.message.Completed...)
	if wait.wholeAs > 0 {
		group.Whole, group.Core = true, wait.wholeAs
	}
}

// answer gives each waiting message what became of it. What was told is in order of
// the claims of all messages that were not refused.
func (log *ClaimLog) answer(waits []*keepWait, response []message.ClaimResponse, err error) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	for _, wait := range waits {
		if err == nil && !wait.refused {
			count := len(wait.message.Claims)
			wait.told, response = response[:count], response[count:]
		}
		wait.mishap, wait.done = err, true
	}
	log.wake.Broadcast()
}

// refuse keeps the group that the disk refused, since the book holds it already: it
// is written before any later one is answered.
func (log *ClaimLog) refuse(group *claimGroup, err error) {
	log.pending, log.refused = group, time.Now()
	log.counters.Add("claim_disk_faults", 1)
	klog.Errorf("claims: refused until the disk takes writes again: %v", err)
}

// repair is nil while the journal takes groups. After a fault it tries at a pace to
// rewrite the last segment and to append what the book holds beyond it.
func (log *ClaimLog) repair() error {
	err := log.journal.fault
	if err == nil {
		return nil
	}
	if time.Since(log.refused) < repairPace {
		return err
	}
	log.refused = time.Now()
	if err := log.journal.rewrite(); err != nil {
		return err
	}
	if log.pending != nil {
		if err := log.syncWhole(log.pending); err != nil {
			return err
		}
		log.pending = nil
	}
	log.counters.Add("claim_disk_repairs", 1)
	klog.Infof("claims: the disk takes writes again")
	return nil
}

// raise notes the membership that something is kept under; false where one with other
// voters was noted before, so that a quorum of this one may decide no more.
func (log *ClaimLog) raise(group *claimGroup, members message.AcceptedValue) bool {
	if message.Supersedes(log.members, members) {
		return false
	}
	if log.members.Version().Less(members.Version()) {
		log.members, group.Members = members, &members
	}
	return true
}

// leave lets go of those who still wait once the ring is closed.
func (log *ClaimLog) leave() {
	log.mutex.Lock()
	log.ended = true
	log.wake.Broadcast()
	log.mutex.Unlock()
}

// syncWhole syncs a group, and notes the voter that it makes whole.
func (log *ClaimLog) syncWhole(group *claimGroup) error {
	err := log.sync(group)
	if err == nil && group.Whole {
		log.mutex.Lock()
		log.wholeAs = group.Core
		log.mutex.Unlock()
	}
	return err
}

func (log *ClaimLog) sync(group *claimGroup) error {
	if len(group.Claims)+len(group.Retold)+len(group.Settles) == 0 && !group.Whole && group.Members == nil {
		return nil
	}
	frame, err := packFrame(group)
	if err != nil {
		return err
	}
	if log.journal.full(frame) {
		if err := log.roll(); err != nil {
			return err
		}
	}
	log.counters.Add("claim_groups", 1)
	log.ages[log.journal.number] = group.At
	return log.journal.Append(frame)
}

// roll begins a segment and removes those that hold only forgotten keys.
func (log *ClaimLog) roll() error {
	first := claimGroup{At: log.age(), Core: log.whole()}
	first.Whole = first.Core > 0
	if log.members.Value.Serial > 0 {
		first.Members = &log.members
	}
	if err := log.journal.begin(log.journal.number + 1); err != nil {
		return err
	}
	if first.Whole || first.Members != nil {
		frame, err := packFrame(&first)
		if err != nil {
			return err
		}
		if err := log.journal.Append(frame); err != nil {
			return err
		}
	}
	log.sweep()
	return nil
}

// sweep removes what is forgotten, oldest first, each removal synced by itself:
// of several that a power loss may undo one by one, an older one could come back
// and leave a gap. What the disk does not let go now goes at the next sweep.
func (log *ClaimLog) sweep() {
	keeps := log.journal.number
	for number, newest := range log.ages {
		if log.age()-newest < log.book.Span() {
			keeps = min(keeps, number)
		}
	}
	for number := range log.ages {
		if number < keeps {
			delete(log.ages, number)
		}
	}
	if err := sweep(log.journal.disk, claimsName, keeps, log.journal.disk.Sync); err != nil {
		log.counters.Add("claim_sweeps_short", 1)
	}
}

// Whole is whether a voter lacks nothing that it should hold and that is not yet
// forgotten. It need not hold all: claims of a quorum without it are elsewhere.
func (log *ClaimLog) Whole(id int) bool { return id > 0 && log.whole() == id }

// whole is the voter that lacks nothing, 0 while none does.
func (log *ClaimLog) whole() int {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.asking.id > 0 && time.Since(log.asking.at) > log.book.Span() {
		return log.asking.id
	}
	return log.wholeAs
}

// countFrom notes since when a voter keeps all that it should, unless that was noted.
func (log *ClaimLog) countFrom(id int, at time.Time) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.asking.id != id {
		log.asking = voterSince{id: id, at: at}
	}
}

// put hands a message to the writing thread and waits until it lasts.
func (log *ClaimLog) put(wait *keepWait) error {
	if !log.ring.Put(wait) {
		log.counters.Add("claim_ring_full", 1)
		return &rpc.Error{Code: rpc.Overloaded, Message: "too many claims wait for this core's disk"}
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	for !wait.done && !log.ended {
		log.wake.Wait()
	}
	if !wait.done {
		return rpc.Errorf(rpc.Stopping, "this core stops")
	}
	return wait.mishap
}
