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
	coreStoreLimit  = 200 * time.Millisecond
	coreStoreRing   = 16_384
	coreStoreGroup  = 256
	coreStorePace   = 200 * time.Millisecond
	unavailableSpan = time.Second
)

// coreStore is the client of the cores' store of idempotency keys, which outlasts a
// loss of all proxies.
type coreStore struct {
	proxy *Proxy
	queue *concurrent.Queue[pendingUpdate]

	mutex      sync.Mutex
	failedAt   time.Time
	pending    int
	membership coreMembership
}

// pendingUpdate is an update that the cores don't have yet: a claim granted without
// them, or how one ended.
type pendingUpdate struct {
	retold *message.ClaimRecord
	settle *message.CompleteClaimRequest
}

func newCoreStore(proxy *Proxy) *coreStore {
	return &coreStore{proxy: proxy, queue: concurrent.NewQueue[pendingUpdate](coreStoreRing)}
}

// unavailable reports whether the last attempt, within a second, found no majority of
// cores.
func (store *coreStore) unavailable() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return time.Since(store.failedAt) < unavailableSpan
}

// recordContact notes whether a majority of cores answered.
func (store *coreStore) recordContact(there bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.failedAt = time.Time{}
	if !there {
		store.failedAt = time.Now()
	}
}

// coresToAsk returns the membership to count by and the addresses to ask: those of its
// voters, and of all known cores while a newer membership was heard of.
func (store *coreStore) coresToAsk() (coreMembership, []string) {
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

// learn records a membership that cores answered with, if it is newer.
func (store *coreStore) learn(membership coreMembership) {
	store.mutex.Lock()
	store.membership = store.membership.newer(membership)
	store.mutex.Unlock()
}

func (store *coreStore) ask(
	address string,
	request *message.RecordClaimsRequest,
	limit time.Duration,
) (*message.RecordClaimsResponse, error) {
	return rpc.Call(store.proxy.daemon.Client(), address, message.MethodRecordClaims, limit, request)
}

// enqueue queues an update for deliver; if the queue is full the update is lost and
// counted.
func (store *coreStore) enqueue(one pendingUpdate) {
	if !store.queue.Put(one) {
		store.proxy.counters.Add("claims_not_owed", 1)
		return
	}
	store.mutex.Lock()
	store.pending++
	store.mutex.Unlock()
}

// flush waits until all updates are delivered, at most for rest, before a planned stop.
func (store *coreStore) flush(rest time.Duration) {
	for until := time.Now().Add(rest); time.Now().Before(until); {
		store.mutex.Lock()
		pending := store.pending
		store.mutex.Unlock()
		if pending <= 0 || !store.proxy.goroutines.Sleep(coreStorePace/10) {
			return
		}
	}
	store.proxy.counters.Add("claims_untold_at_end", 1)
}

// deliver sends queued updates in order, each until a majority of cores has it.
func (store *coreStore) deliver() {
	goroutines := store.proxy.goroutines
	for {
		batch := store.queue.Take(coreStoreGroup)
		if len(batch) == 0 {
			return
		}
		request := &message.RecordClaimsRequest{}
		for _, one := range batch {
			if one.retold != nil {
				request.Merged = append(request.Merged, *one.retold)
			} else {
				request.Completed = append(request.Completed, *one.settle)
			}
		}
		for !store.sendToMajority(request) {
			store.proxy.counters.Add("claims_told_late", 1)
			if !goroutines.Sleep(coreStorePace) {
				return
			}
		}
		store.mutex.Lock()
		store.pending -= len(batch)
		store.mutex.Unlock()
	}
}

// sendToMajority sends an update to the cores. It returns whether a majority of the
// cores that vote has it.
func (store *coreStore) sendToMajority(request *message.RecordClaimsRequest) bool {
	membership, cores := store.coresToAsk()
	request.Membership = membership.accepted
	got, _ := concurrent.Gather(store.proxy.goroutines, len(cores), func(index int) (*message.RecordClaimsResponse, error) {
		return store.ask(cores[index], request, completeTimeout)
	}, func(got map[int]*message.RecordClaimsResponse, _ map[int]error) bool {
		return recordedBy(membership, got).durable()
	})
	votes := recordedBy(membership, got)
	store.learn(votes.newest)
	return votes.durable()
}

// recordedBy returns the votes of the cores that answered an update.
func recordedBy(membership coreMembership, got map[int]*message.RecordClaimsResponse) *coreVotes {
	votes := newCoreVotes(membership)
	for _, response := range got {
		votes.add(response.Membership, response.Core, !response.Refused, response.Complete)
	}
	return votes
}

// restore passes every claim that the cores hold to take. It returns whether a
// majority of the cores that vote answered and hold all claims.
func (store *coreStore) restore(take func([]message.ClaimRecord)) bool {
	membership, cores := store.coresToAsk()
	got, _ := concurrent.Gather(store.proxy.goroutines, len(cores), func(index int) (*message.FetchClaimsResponse, error) {
		return fetchAllClaims(store.proxy.daemon.Client(), cores[index], membership.accepted, take)
	}, func(map[int]*message.FetchClaimsResponse, map[int]error) bool { return false })
	votes := newCoreVotes(membership)
	for _, response := range got {
		votes.add(response.Membership, response.Core, true, response.Complete)
	}
	store.learn(votes.newest)
	return votes.complete()
}

// fetchAllClaims passes every page of claims of a proxy or core to take. It returns the last
// page, with the membership under which the first one was given.
func fetchAllClaims(
	client *rpc.Client,
	address string,
	members message.AcceptedValue,
	take func([]message.ClaimRecord),
) (*message.FetchClaimsResponse, error) {
	var first *message.FetchClaimsResponse
	for after, whole := uint64(0), true; ; {
		response, err := rpc.Call(
			client,
			address,
			message.MethodFetchClaims,
			fetchClaimsTimeout,
			&message.FetchClaimsRequest{After: after, Membership: members},
		)
		if err != nil {
			return nil, err
		}
		if first == nil {
			first = response
		}
		take(response.Claims)
		whole = whole && response.Complete
		if response.Done {
			response.Complete, response.Membership, response.Core = whole, first.Membership, first.Core
			return response, nil
		}
		after = response.Last
	}
}
