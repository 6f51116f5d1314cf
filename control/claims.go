package control

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
	"orchidjunction/keep"
	"orchidjunction/run"
	"orchidjunction/wire"
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
	book    *keep.Book
	journal *Journal
	ring    *run.Ring[*keepWait]
	counts  *run.Counts
	fault   func(*wire.Mishap)
	opened  time.Time
	base    time.Duration
	ages    map[uint64]time.Duration

	mutex sync.Mutex
	wake  *sync.Cond
	whole bool
	ended bool
}

// keepWait is one message under way to the disk.
type keepWait struct {
	message *wire.Keep
	whole   bool
	told    []wire.ClaimTold
	mishap  *wire.Mishap
	done    bool
}

// claimGroup is one synced step. At is the log's own age, which runs only while
// the core does: clocks that jump, and time away, make nothing older.
type claimGroup struct {
	At      time.Duration
	Whole   bool
	Claims  []wire.Claim
	Retold  []wire.Claimed
	Settles []wire.Settle
}

func openClaimLog(disk Disk, counts *run.Counts, fault func(*wire.Mishap)) (*ClaimLog, *wire.Mishap) {
	log := &ClaimLog{book: keep.NewBook(), ring: run.NewRing[*keepWait](claimsRing), counts: counts, fault: fault, ages: map[uint64]time.Duration{}}
	log.wake = sync.NewCond(&log.mutex)
	log.book.Remember(keep.MostSpan)
	segments, mishap := numbers(disk, claimsName)
	if mishap != nil {
		return nil, mishap
	}
	first := uint64(0)
	if len(segments) > 0 {
		first = segments[0]
	}
	groups := []claimGroup{}
	log.journal, mishap = OpenJournal(disk, claimsName, first, func(segment uint64, payload []byte) *wire.Mishap {
		group := claimGroup{}
		if fault := wire.Unpack(payload, &group); fault != nil {
			return wire.AsMishap(fault)
		}
		groups = append(groups, group)
		log.base = max(log.base, group.At)
		log.ages[segment] = log.base
		return nil
	})
	if mishap != nil {
		return nil, mishap
	}
	log.opened = time.Now()
	for index := range groups {
		log.lay(&groups[index], log.base-groups[index].At)
		log.whole = log.whole || groups[index].Whole
	}
	return log, nil
}

func (log *ClaimLog) age() time.Duration { return log.base + time.Since(log.opened) }

// lay puts a group that is so old into the book.
func (log *ClaimLog) lay(group *claimGroup, old time.Duration) []wire.ClaimTold {
	told := make([]wire.ClaimTold, len(group.Claims))
	for index := range group.Claims {
		group.Claims[index].Claimed.AgeMs = old.Milliseconds()
		told[index] = *log.book.Claim(&group.Claims[index])
	}
	for index := range group.Retold {
		group.Retold[index].AgeMs += old.Milliseconds()
	}
	log.book.Retell(group.Retold)
	for index := range group.Settles {
		log.book.Settle(&group.Settles[index])
	}
	return told
}

// write is the duty of the writing thread.
func (log *ClaimLog) write() {
	for {
		waits := log.ring.Take(claimsGroup)
		if len(waits) == 0 {
			log.leave()
			return
		}
		group, sizes := claimGroup{At: log.age()}, make([]int, len(waits))
		for index, wait := range waits {
			sizes[index] = len(wait.message.Claims)
			group.Claims = append(group.Claims, wait.message.Claims...)
			group.Retold = append(group.Retold, wait.message.Retold...)
			group.Settles = append(group.Settles, wait.message.Settles...)
			group.Whole = group.Whole || wait.whole
		}
		told := log.lay(&group, 0)
		lasting := group
		lasting.Claims = nil
		for index := range told {
			if told[index].Granted {
				lasting.Claims = append(lasting.Claims, group.Claims[index])
			}
		}
		mishap := log.sync(&lasting)
		log.mutex.Lock()
		log.whole = log.whole || mishap == nil && group.Whole
		for index, wait := range waits {
			wait.told, told = told[:sizes[index]], told[sizes[index]:]
			wait.mishap, wait.done = mishap, true
		}
		log.wake.Broadcast()
		log.mutex.Unlock()
		if mishap != nil {
			log.fault(mishap)
			log.leave()
			return
		}
	}
}

// leave lets go of those who still wait once the ring is closed.
func (log *ClaimLog) leave() {
	log.mutex.Lock()
	log.ended = true
	log.wake.Broadcast()
	log.mutex.Unlock()
}

func (log *ClaimLog) sync(group *claimGroup) *wire.Mishap {
	if len(group.Claims)+len(group.Retold)+len(group.Settles) == 0 && !group.Whole {
		return nil
	}
	frame, mishap := packFrame(group)
	if mishap != nil {
		return mishap
	}
	if log.journal.full(frame) {
		if mishap := log.roll(); mishap != nil {
			return mishap
		}
	}
	log.counts.Add("claim_groups", 1)
	log.ages[log.journal.number] = group.At
	return log.journal.Append(frame)
}

// roll begins a segment and removes those that hold only forgotten keys.
func (log *ClaimLog) roll() *wire.Mishap {
	whole := log.Whole()
	if mishap := log.journal.begin(log.journal.number + 1); mishap != nil {
		return mishap
	}
	if whole {
		frame, mishap := packFrame(&claimGroup{At: log.age(), Whole: true})
		if mishap != nil {
			return mishap
		}
		if mishap := log.journal.Append(frame); mishap != nil {
			return mishap
		}
	}
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
	return sweep(log.journal.disk, claimsName, keeps)
}

// Whole is whether nothing that was kept here, and is not yet forgotten, is lost.
func (log *ClaimLog) Whole() bool {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.whole || !log.opened.IsZero() && time.Since(log.opened) > log.book.Span()
}

// put hands a message to the writing thread and waits until it lasts.
func (log *ClaimLog) put(wait *keepWait) *wire.Mishap {
	if !log.ring.Put(wait) {
		log.counts.Add("claim_ring_full", 1)
		return &wire.Mishap{Kind: wire.Busy, Cause: "too many claims wait for this core's disk"}
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	for !wait.done && !log.ended {
		log.wake.Wait()
	}
	if !wait.done {
		return wire.New(wire.Stopping, "this core stops")
	}
	return wait.mishap
}

func (core *Core) onKeep(message *wire.Keep) (*wire.KeepTold, *wire.Mishap) {
	if !core.members().votes() {
		return nil, wire.New(wire.NotReady, "this core has no vote")
	}
	whole := core.claims.Whole()
	wait := &keepWait{message: message}
	if mishap := core.claims.put(wait); mishap != nil {
		return nil, mishap
	}
	core.counts.Add("claims_kept", uint64(len(message.Claims)))
	return &wire.KeepTold{Cores: len(core.members().Peers) + 1, Whole: whole, Told: wait.told}, nil
}

func (core *Core) onPull(pull *wire.Pull) (*wire.PullTold, *wire.Mishap) {
	told := &wire.PullTold{Cores: len(core.members().Peers) + 1, Whole: core.claims.Whole()}
	told.Claims, told.Last, told.Done = core.claims.book.Page(pull.After, claimsPage)
	return told, nil
}

// mendClaims is the duty of a core that lost its claims: those of so many others
// that no majority it was part of is missed make it whole again.
func (core *Core) mendClaims() {
	if now, mishap := core.content(); mishap == nil && now.serial > 0 {
		core.claims.book.Remember(now.tree.Settings.Remember())
	}
	if core.claims.Whole() || core.voter.Blank() {
		return
	}
	view := core.members()
	if !view.votes() {
		return
	}
	got, _ := run.Gather(core.threads, len(view.Peers), func(index int) (bool, error) {
		return core.pullClaims(view.Peers[index])
	}, func(map[int]bool, map[int]error) bool { return false })
	wholes := map[int]bool{}
	for index, whole := range got {
		wholes[view.Peers[index].ID] = whole
	}
	if !view.fencesWithout(view.ID, func(id int) bool { return wholes[id] }) {
		core.counts.Add("claims_not_mended", 1)
		return
	}
	if core.claims.put(&keepWait{message: &wire.Keep{}, whole: true}) == nil {
		core.counts.Add("claims_mended", 1)
		klog.Infof("core %d: claims are whole again, told by %d cores", view.ID, len(wholes))
	}
}

// pullClaims takes all of another core's claims, page by page.
func (core *Core) pullClaims(peer Peer) (bool, error) {
	for after, whole := uint64(0), true; ; {
		told, fault := wire.Ask[wire.Pull, wire.PullTold](core.line, peer.Address, "pull", pullLimit, &wire.Pull{After: after})
		if fault != nil {
			return false, fault
		}
		for len(told.Claims) > 0 {
			count := min(len(told.Claims), wire.KeepMost)
			if mishap := core.claims.put(&keepWait{message: &wire.Keep{Retold: told.Claims[:count]}}); mishap != nil {
				return false, mishap
			}
			told.Claims = told.Claims[count:]
		}
		if whole = whole && told.Whole; told.Done || !whole {
			return whole, nil
		}
		after = told.Last
	}
}
