package data

import (
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
}

// pendingUpdate is an update that the cores don't have yet: a claim granted without
// them, or how one ended.
type pendingUpdate struct {
	retold *wire.Claimed
	settle *wire.Settle
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

func (store *coreStore) ask(address string, message *wire.Keep, limit time.Duration) (*wire.KeepTold, error) {
	return wire.Ask[wire.Keep, wire.KeepTold](store.proxy.daemon.Line(), address, "keep", limit, message)
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
		message := &wire.Keep{}
		for _, one := range batch {
			if one.retold != nil {
				message.Retold = append(message.Retold, *one.retold)
			} else {
				message.Settles = append(message.Settles, *one.settle)
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

func (store *coreStore) sendToMajority(message *wire.Keep) bool {
	cores := store.proxy.daemon.Finder.Cores()
	got, _ := run.Gather(store.proxy.threads, len(cores), func(index int) (*wire.KeepTold, error) {
		return store.ask(cores[index], message, settleLimit)
	}, func(got map[int]*wire.KeepTold, _ map[int]error) bool { return majority(got) })
	return majority(got)
}

func majority(got map[int]*wire.KeepTold) bool {
	for _, told := range got {
		return len(got) > told.Cores/2
	}
	return false
}

// restore passes every claim that the cores hold to take. It returns whether a
// majority of cores answered that hold all claims.
func (store *coreStore) restore(take func([]wire.Claimed)) bool {
	cores := store.proxy.daemon.Finder.Cores()
	got, _ := run.Gather(store.proxy.threads, len(cores), func(index int) (*wire.PullTold, error) {
		return pullAll(store.proxy.daemon.Line(), cores[index], take)
	}, func(map[int]*wire.PullTold, map[int]error) bool { return false })
	wholes, need := 0, len(cores)/2+1
	for _, told := range got {
		need = max(need, told.Cores/2+1)
		if told.Whole {
			wholes++
		}
	}
	return wholes >= need
}

// pullAll passes every page of claims of a proxy or core to take and returns the last.
func pullAll(line *wire.Line, address string, take func([]wire.Claimed)) (*wire.PullTold, error) {
	for after, whole := uint64(0), true; ; {
		told, err := wire.Ask[wire.Pull, wire.PullTold](line, address, "pull", pullLimit, &wire.Pull{After: after})
		if err != nil {
			return nil, err
		}
		take(told.Claims)
		whole = whole && told.Whole
		if told.Whole = whole; told.Done {
			return told, nil
		}
		after = told.Last
	}
}
