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
	// Counts are written to this core's disk every journalInterval, and copied from the leader to
	// other cores every copyInterval.
	journalInterval = 200 * time.Millisecond
	copyInterval    = 250 * time.Millisecond
	// fetchCountsInterval is how often a new leader asks the cores whose counts it does not have
	// yet.
	fetchCountsInterval = 250 * time.Millisecond
)

// usageCopies keeps the counts of unsealed windows on this core's disk and in the memory of other
// cores, so that they survive the loss of a minority of the cores. It is safe for concurrent use.
type usageCopies struct {
	core *Core

	// logLock is held during a disk write.
	logLock *concurrent.Lock
	log     *usage.WindowLog

	mutex    sync.Mutex
	copied   map[string]copiedCounts // by the cores' addresses
	failedAt map[string]time.Time    // when a copy failed last, by the cores' addresses
	term     message.Term            // of the leadership that fetches
	fetched  map[string]bool         // cores that gave it their counts, by addresses
}

// copiedCounts is the newest change of the counts that a core's process has received.
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

// open uses a log opened by OpenWindowLog, which has read the counts of former processes of this
// core.
func (copies *usageCopies) open(log *usage.WindowLog, err error) {
	if err != nil {
		copies.core.counters.Add("usage_log_unreadable", 1)
		klog.Warningf("core: usage log unreadable; skipping the remaining usage counts on disk: %v", err)
	}
	copies.log = log
}

// close closes the log. It is called after the goroutines have ended.
func (copies *usageCopies) close() {
	if copies.log != nil {
		copies.log.Close()
	}
}

// journal writes the counts since the last call to the disk. Concurrent calls share the next
// write.
func (copies *usageCopies) journal() error {
	copies.logLock.Lock()
	defer copies.logLock.Unlock()
	err := copies.log.Append()
	if err != nil {
		copies.core.counters.Add("usage_log_refused", 1)
	}
	return err
}

// journalUsage writes this core's counts to its disk. After an error, the next call retries.
func (core *Core) journalUsage() { _ = core.usageCopies.journal() }

// copyUsage sends the leader's counts since the last copy to so many other cores that, with the
// leader, a quorum has them.
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

// copyOrder returns the cores in the order in which they are sent copies: cores to which a copy
// has failed come last, least recent failure first.
func (copies *usageCopies) copyOrder(peers []message.Peer) []message.Peer {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	return slices.SortedStableFunc(slices.Values(peers), func(left, right message.Peer) int {
		return copies.failedAt[left.Address].Compare(copies.failedAt[right.Address])
	})
}

// sendTo sends the changed counts to a core and reports whether that core is up to date.
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

// onCopyCounts records a copy and responds after the disk write. A failed write is no reason to
// refuse the copy, which is then in the memory of two cores.
func (core *Core) onCopyCounts(request *message.CopyCountsRequest) (*message.CopyCountsResponse, error) {
	counts, err := message.DecodeCounts(request.Body)
	if err != nil {
		return nil, err
	}
	core.windows.MergeCounts(counts)
	_ = core.usageCopies.journal()
	return &message.CopyCountsResponse{Process: core.windows.Process()}, nil
}

func (core *Core) onFetchCounts(*message.FetchCountsRequest) (*message.FetchCountsResponse, error) {
	counts, _ := core.windows.ChangedSince(0)
	body, err := message.EncodeCounts(counts)
	if err != nil {
		return nil, err
	}
	return &message.FetchCountsResponse{Body: body}, nil
}

// fetchUsage fetches the counts of former leaders for a new leader: from each other core once, as
// soon as that core is reachable.
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

// fetchFrom fetches the counts of a core, unless they have been fetched under the term.
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
	core.windows.MergeCounts(counts)
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	if copies.term == term {
		copies.fetched[address] = true
	}
	return response, nil
}

// hasFetched reports whether a core's counts have been fetched under a term. A new term resets
// this.
func (copies *usageCopies) hasFetched(term message.Term, address string) bool {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	if copies.term != term {
		copies.term, copies.fetched = term, map[string]bool{}
	}
	return copies.fetched[address]
}

// hasFormerCounts reports whether a leadership has the counts of former leaders: all other voters
// have sent theirs or, after takeoverDelay, so many that each copy was on one of them.
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
