package data

import (
	"slices"
	"sync"
	"time"

	"orchidjunction/run"
	"orchidjunction/wire"
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
	ring  *run.Ring[pendingUpdate]

	mutex    sync.Mutex
	failedAt time.Time
	pending  int
	roster   Roster
}

// pendingUpdate is an update that the cores don't have yet: a claim granted without
// them, or how one ended.
type pendingUpdate struct {
	retold *wire.ClaimRecord
	settle *wire.CompleteClaimRequest
}

func newCoreStore(proxy *Proxy) *coreStore {
	return &coreStore{proxy: proxy, ring: run.NewRing[pendingUpdate](coreStoreRing)}
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
func (store *coreStore) coresToAsk() (Roster, []string) {
	store.mutex.Lock()
	roster := store.roster
	store.mutex.Unlock()
	known, cores := store.proxy.daemon.Finder.Members(), store.proxy.daemon.Finder.Cores()
	if roster.voters == nil {
		return roster, cores
	}
	addresses := roster.voters.Addresses()
	for _, core := range cores {
		if roster.accepted.Version().Less(known) && !slices.Contains(addresses, core) {
			addresses = append(addresses, core)
		}
	}
	return roster, addresses
}

// learn records a membership that cores answered with, if it is newer.
func (store *coreStore) learn(roster Roster) {
	store.mutex.Lock()
	store.roster = store.roster.newer(roster)
	store.mutex.Unlock()
}

func (store *coreStore) ask(address string, message *wire.RecordClaimsRequest, limit time.Duration) (*wire.RecordClaimsResponse, error) {
	return wire.Call[wire.RecordClaimsRequest, wire.RecordClaimsResponse](store.proxy.daemon.Line(), address, "keep", limit, message)
}

// enqueue queues an update for deliver; if the queue is full the update is lost and
// counted.
func (store *coreStore) enqueue(one pendingUpdate) {
	if !store.ring.Put(one) {
		store.proxy.counts.Add("claims_not_owed", 1)
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
		if pending <= 0 || !store.proxy.threads.Rest(coreStorePace/10) {
			return
		}
	}
	store.proxy.counts.Add("claims_untold_at_end", 1)
}

// deliver sends queued updates in order, each until a majority of cores has it.
func (store *coreStore) deliver() {
	threads := store.proxy.threads
	for {
		batch := store.ring.Take(coreStoreGroup)
		if len(batch) == 0 {
			return
		}
		message := &wire.RecordClaimsRequest{}
		for _, one := range batch {
			if one.retold != nil {
				message.Merged = append(message.Merged, *one.retold)
			} else {
				message.Completed = append(message.Completed, *one.settle)
			}
		}
		for !store.sendToMajority(message) {
			store.proxy.counts.Add("claims_told_late", 1)
			if !threads.Rest(coreStorePace) {
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
func (store *coreStore) sendToMajority(message *wire.RecordClaimsRequest) bool {
	roster, cores := store.coresToAsk()
	message.Membership = roster.accepted
	got, _ := run.Gather(store.proxy.threads, len(cores), func(index int) (*wire.RecordClaimsResponse, error) {
		return store.ask(cores[index], message, settleLimit)
	}, func(got map[int]*wire.RecordClaimsResponse, _ map[int]error) bool {
		return keptBy(roster, got).lasting()
	})
	votes := keptBy(roster, got)
	store.learn(votes.newest)
	return votes.lasting()
}

// keptBy returns the votes of the cores that answered an update.
func keptBy(roster Roster, got map[int]*wire.RecordClaimsResponse) *coreVotes {
	votes := newCoreVotes(roster)
	for _, told := range got {
		votes.add(told.Membership, told.Core, !told.Refused, told.Complete)
	}
	return votes
}

// restore passes every claim that the cores hold to take. It returns whether a
// majority of the cores that vote answered and hold all claims.
func (store *coreStore) restore(take func([]wire.ClaimRecord)) bool {
	roster, cores := store.coresToAsk()
	got, _ := run.Gather(store.proxy.threads, len(cores), func(index int) (*wire.FetchClaimsResponse, error) {
		return pullAll(store.proxy.daemon.Line(), cores[index], roster.accepted, take)
	}, func(map[int]*wire.FetchClaimsResponse, map[int]error) bool { return false })
	votes := newCoreVotes(roster)
	for _, told := range got {
		votes.add(told.Membership, told.Core, true, told.Complete)
	}
	store.learn(votes.newest)
	return votes.whole()
}

// pullAll passes every page of claims of a proxy or core to take. It returns the last
// page, with the membership under which the first one was told.
func pullAll(line *wire.Client, address string, members wire.AcceptedValue, take func([]wire.ClaimRecord)) (*wire.FetchClaimsResponse, error) {
	var first *wire.FetchClaimsResponse
	for after, whole := uint64(0), true; ; {
		told, err := wire.Call[wire.FetchClaimsRequest, wire.FetchClaimsResponse](line, address, "pull", pullLimit, &wire.FetchClaimsRequest{After: after, Membership: members})
		if err != nil {
			return nil, err
		}
		if first == nil {
			first = told
		}
		take(told.Claims)
		whole = whole && told.Complete
		if told.Done {
			told.Complete, told.Membership, told.Core = whole, first.Membership, first.Core
			return told, nil
		}
		after = told.Last
	}
}
