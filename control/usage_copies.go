package control

import (
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"
	"orchidjunction/usage"
)

const (
	// journalInterval is how often counts are written to the own disk, and copyInterval how
	// often the leader copies them to other cores.
	journalInterval = 200 * time.Millisecond
	copyInterval    = 250 * time.Millisecond
	// fetchCountsInterval is how often a new leader asks the cores that have not given it
	// their counts yet.
	fetchCountsInterval = 250 * time.Millisecond
)

// usageCopies keeps the counts of windows that are not sealed yet on this core's disk and
// in the memory of enough others that they outlive the loss of as many cores as a quorum
// does. It is safe for concurrent use.
type usageCopies struct {
	core *Core

	// logLock is held over a write to the disk.
	logLock *concurrent.Lock
	log     *usage.WindowLog

	mutex    sync.Mutex
	copied   map[string]copiedCounts // by the cores' addresses
	failedAt map[string]time.Time    // when a copy failed last, by the cores' addresses
	term     message.Term            // of the leadership that fetches
	fetched  map[string]bool         // cores that gave it their counts, by addresses
}

// copiedCounts is which changes of the counts a core's process has got.
type copiedCounts struct{ process, change uint64 }

func newUsageCopies(core *Core) *usageCopies {
	return &usageCopies{
		core:     core,
		logLock:  concurrent.NewLock(),
		copied:   map[string]copiedCounts{},
		failedAt: map[string]time.Time{},
		fetched:  map[string]bool{},
	}
}

// open reads the counts that a former process of this core had on its disk.
func (copies *usageCopies) open(log *usage.WindowLog, err error) {
	if err != nil {
		copies.core.counters.Add("usage_log_unreadable", 1)
		klog.Warningf("core: counts of usage on disk are left behind: %v", err)
	}
	copies.log = log
}

// close closes the log, after the goroutines have ended.
func (copies *usageCopies) close() {
	if copies.log != nil {
		copies.log.Close()
	}
}

// journal writes to the disk what was counted since the last time. Those that call it while
// the disk is busy share the next write.
func (copies *usageCopies) journal() error {
	copies.logLock.Lock()
	defer copies.logLock.Unlock()
	err := copies.log.Append()
	if err != nil {
		copies.core.counters.Add("usage_log_refused", 1)
	}
	return err
}

// journalUsage is the task of each core to keep the counts that it holds on its disk. What
// the disk refuses is written the next time.
func (core *Core) journalUsage() { _ = core.usageCopies.journal() }

// copyUsage is the leader's task to give other cores what was counted since their last copy:
// so many that with its own there are as many as a quorum.
func (core *Core) copyUsage() {
	if _, err := core.currentLeadership(); err != nil {
		return
	}
	view := core.membership()
	missing := message.Majority(view.Voters) - 1
	for _, peer := range core.usageCopies.copyOrder(view.Peers) {
		if missing == 0 {
			return
		}
		if core.usageCopies.sendTo(peer.Address) {
			missing--
		}
	}
}

// preferred returns the cores in the order in which they are given copies: those that failed
// come last, the longest ago first.
func (copies *usageCopies) copyOrder(peers []message.Peer) []message.Peer {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	return slices.SortedStableFunc(slices.Values(peers), func(left, right message.Peer) int {
		return copies.failedAt[left.Address].Compare(copies.failedAt[right.Address])
	})
}

// sendTo copies what changed to a core and reports whether that core is up to date.
func (copies *usageCopies) sendTo(address string) bool {
	core := copies.core
	copies.mutex.Lock()
	known := copies.copied[address]
	copies.mutex.Unlock()
	counts, changes := core.windows.ChangedSince(known.change)
	if len(counts) == 0 {
		return true
	}
	body, err := message.EncodeCounts(counts)
	if err != nil {
		return false
	}
	request := &message.CopyCountsRequest{Body: body, BaseProcess: known.process}
	response, err := rpc.Call(core.client, address, message.MethodCopyCounts, core.callTimeout(), request)
	if err != nil {
		core.counters.Add("usage_copies_failed", 1)
		copies.mutex.Lock()
		copies.failedAt[address] = time.Now()
		copies.mutex.Unlock()
		return false
	}
	next := copiedCounts{process: response.Process, change: changes}
	if known.process != 0 && response.Process != known.process {
		next.change = 0
	}
	copies.mutex.Lock()
	copies.copied[address] = next
	copies.mutex.Unlock()
	core.counters.Add("usage_copies", 1)
	return true
}

// onCopyCounts takes a copy and answers once it is on the disk. A disk that refuses is no
// reason to refuse the copy: it is in the memory of two cores then.
func (core *Core) onCopyCounts(request *message.CopyCountsRequest) (*message.CopyCountsResponse, error) {
	counts, err := message.DecodeCounts(request.Body)
	if err != nil {
		return nil, err
	}
	core.windows.AddCopies(counts)
	_ = core.usageCopies.journal()
	return &message.CopyCountsResponse{Process: core.windows.Process()}, nil
}

// onFetchCounts returns all counts that this core holds.
func (core *Core) onFetchCounts(*message.FetchCountsRequest) (*message.FetchCountsResponse, error) {
	counts, _ := core.windows.ChangedSince(0)
	body, err := message.EncodeCounts(counts)
	if err != nil {
		return nil, err
	}
	return &message.FetchCountsResponse{Body: body}, nil
}

// fetchUsage is a new leader's task to fetch the counts that former leaders left at the
// others, from each core once, whenever that is back.
func (core *Core) fetchUsage() {
	leadership, err := core.currentLeadership()
	if err != nil {
		return
	}
	view := core.membership()
	callPeers(core, view, func(peer message.Peer) (*message.FetchCountsResponse, error) {
		return core.usageCopies.fetchFrom(leadership.term, peer.Address)
	}, func(*message.FetchCountsResponse) bool { return true }, waitForAll)
}

// fetchFrom fetches the counts of a core, unless that core gave them under the term already.
func (copies *usageCopies) fetchFrom(term message.Term, address string) (*message.FetchCountsResponse, error) {
	if copies.hasFetched(term, address) {
		return &message.FetchCountsResponse{}, nil
	}
	core := copies.core
	response, err := rpc.Call(core.client, address, message.MethodFetchCounts, core.callTimeout(), &message.FetchCountsRequest{})
	if err != nil {
		return nil, err
	}
	counts, err := message.DecodeCounts(response.Body)
	if err != nil {
		return nil, err
	}
	core.windows.AddCopies(counts)
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	if copies.term == term {
		copies.fetched[address] = true
	}
	return response, nil
}

// hasFetched reports whether a core gave its counts under a term; a new term begins anew.
func (copies *usageCopies) hasFetched(term message.Term, address string) bool {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	if copies.term != term {
		copies.term, copies.fetched = term, map[string]bool{}
	}
	return copies.fetched[address]
}

// hasCounts reports whether a leadership holds what former leaders left: all other voters
// gave their counts, or after a while so many that one of them got each copy.
func (copies *usageCopies) hasFormerCounts(leadership *Leadership) bool {
	view := copies.core.membership()
	missing := 0
	for _, peer := range view.Peers {
		if !copies.hasFetched(leadership.term, peer.Address) {
			missing++
		}
	}
	maxMissing := 0
	if time.Since(leadership.startedAt) >= takeoverDelay {
		maxMissing = len(view.Voters) - message.Majority(view.Voters)
	}
	return missing <= maxMissing
}
