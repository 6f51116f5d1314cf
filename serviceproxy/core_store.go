package serviceproxy

import (
	"slices"
	"sync"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	coreClaimTimeout  = 200 * time.Millisecond
	coreQueueSize     = 16_384
	coreBatchSize     = 256
	coreRetryInterval = 200 * time.Millisecond
	unavailableTTL    = time.Second
)

// coreStore is the client of the cores' store of idempotency keys, which survives the loss of all
// proxies.
type coreStore struct {
	proxy *Proxy
	queue *concurrent.Queue[pendingUpdate]

	mutex      sync.Mutex
	failedAt   time.Time
	pending    int
	membership coreMembership
}

// pendingUpdate is an update that the cores don't have yet: a claim granted without them or a
// completed one.
type pendingUpdate struct {
	merged    *message.ClaimRecord
	completed *message.CompleteClaimRequest
}

func newCoreStore(proxy *Proxy) *coreStore {
	return &coreStore{proxy: proxy, queue: concurrent.NewQueue[pendingUpdate](coreQueueSize)}
}

// unavailable reports whether the last attempt, within a second, reached no majority of cores.
func (store *coreStore) unavailable() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return time.Since(store.failedAt) < unavailableTTL
}

// recordContact records whether a majority of cores answered.
func (store *coreStore) recordContact(reached bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.failedAt = time.Time{}
	if !reached {
		store.failedAt = time.Now()
	}
}

// coresToQuery returns the membership to count votes by and the addresses to query: its voters,
// and all known cores if there is a newer membership or none is known.
func (store *coreStore) coresToQuery() (coreMembership, []string) {
	store.mutex.Lock()
	membership := store.membership
	store.mutex.Unlock()
	known, cores := store.proxy.daemon.LeaderFinder.Membership(), store.proxy.daemon.LeaderFinder.Cores()
	if membership.voters == nil {
		return membership, cores
	}
	addresses := membership.voters.Addresses()
	for _, core := range cores {
		if membership.accepted.Version().Less(known) && !slices.Contains(addresses, core) {
			addresses = append(addresses, core)
		}
	}
	return membership, addresses
}

// updateMembership records a membership reported by cores, if it is newer.
func (store *coreStore) updateMembership(membership coreMembership) {
	store.mutex.Lock()
	store.membership = store.membership.newer(membership)
	store.mutex.Unlock()
}

func (store *coreStore) recordClaims(
	address string,
	request *message.RecordClaimsRequest,
	limit time.Duration,
) (*message.RecordClaimsResponse, error) {
	return rpc.Call(store.proxy.daemon.Client(), address, message.MethodRecordClaims, limit, request)
}

// enqueue queues an update for deliver. If the queue is full, the update is dropped and counted.
func (store *coreStore) enqueue(update pendingUpdate) {
	if !store.queue.Put(update) {
		store.proxy.counters.Add("claims_not_owed", 1)
		return
	}
	store.mutex.Lock()
	store.pending++
	store.mutex.Unlock()
}

// flush waits until all updates are delivered before a planned stop, at most for limit.
func (store *coreStore) flush(limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); {
		store.mutex.Lock()
		pending := store.pending
		store.mutex.Unlock()
		if pending <= 0 || !store.proxy.goroutines.Sleep(coreRetryInterval/10) {
			return
		}
	}
	store.proxy.counters.Add("claims_untold_at_end", 1)
}

// deliver sends queued updates in order and repeats each batch until a majority of cores has it.
func (store *coreStore) deliver() {
	goroutines := store.proxy.goroutines
	for {
		batch := store.queue.Take(coreBatchSize)
		if len(batch) == 0 {
			return
		}
		request := &message.RecordClaimsRequest{}
		for _, update := range batch {
			if update.merged != nil {
				request.Merged = append(request.Merged, *update.merged)
			} else {
				request.Completed = append(request.Completed, *update.completed)
			}
		}
		for !store.sendToMajority(request) {
			store.proxy.counters.Add("claims_told_late", 1)
			if !goroutines.Sleep(coreRetryInterval) {
				return
			}
		}
		store.mutex.Lock()
		store.pending -= len(batch)
		store.mutex.Unlock()
	}
}

// sendToMajority sends an update to the cores and reports whether a majority of the voters has it.
func (store *coreStore) sendToMajority(request *message.RecordClaimsRequest) bool {
	membership, cores := store.coresToQuery()
	request.Membership = membership.accepted
	responses, _ := concurrent.Gather(store.proxy.goroutines, len(cores), func(index int) (*message.RecordClaimsResponse, error) {
		return store.recordClaims(cores[index], request, completeTimeout)
	}, func(responses map[int]*message.RecordClaimsResponse, _ map[int]error) bool {
		return countVotes(membership, responses).durable()
	})
	votes := countVotes(membership, responses)
	store.updateMembership(votes.newest)
	return votes.durable()
}

// countVotes returns the votes of the cores that answered an update.
func countVotes(membership coreMembership, responses map[int]*message.RecordClaimsResponse) *coreVotes {
	votes := newCoreVotes(membership)
	for _, response := range responses {
		votes.add(response.Membership, response.Core, !response.Refused, response.Complete)
	}
	return votes
}

// restore passes every claim that the cores hold to merge. It reports whether a majority of the
// voters answered and holds all claims.
func (store *coreStore) restore(merge func([]message.ClaimRecord)) bool {
	membership, cores := store.coresToQuery()
	responses, _ := concurrent.Gather(store.proxy.goroutines, len(cores), func(index int) (*message.FetchClaimsResponse, error) {
		return fetchAllClaims(store.proxy.daemon.Client(), cores[index], membership.accepted, merge)
	}, func(map[int]*message.FetchClaimsResponse, map[int]error) bool { return false })
	votes := newCoreVotes(membership)
	for _, response := range responses {
		votes.add(response.Membership, response.Core, true, response.Complete)
	}
	store.updateMembership(votes.newest)
	return votes.complete()
}

// fetchAllClaims passes every page of claims of a proxy or core to merge. It returns the last page
// with the membership of the first one.
func fetchAllClaims(
	client *rpc.Client,
	address string,
	membership message.AcceptedValue,
	merge func([]message.ClaimRecord),
) (*message.FetchClaimsResponse, error) {
	var first *message.FetchClaimsResponse
	for cursor, complete := uint64(0), true; ; {
		response, err := rpc.Call(
			client,
			address,
			message.MethodFetchClaims,
			fetchClaimsTimeout,
			&message.FetchClaimsRequest{After: cursor, Membership: membership},
		)
		if err != nil {
			return nil, err
		}
		if first == nil {
			first = response
		}
		merge(response.Claims)
		complete = complete && response.Complete
		if response.Done {
			response.Complete, response.Membership, response.Core = complete, first.Membership, first.Core
			return response, nil
		}
		cursor = response.Last
	}
}
