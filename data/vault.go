package data

import (
	"sync"
	"time"

	"orchidjunction/run"
	"orchidjunction/wire"
)

const (
	vaultLimit = 200 * time.Millisecond
	vaultRing  = 16_384
	vaultGroup = 256
	vaultPace  = 200 * time.Millisecond
	awaySpan   = time.Second
)

// Vault is the client of the cores' store of idempotency keys, which outlasts a
// loss of all proxies.
type Vault struct {
	proxy *Proxy
	ring  *run.Ring[owed]

	mutex sync.Mutex
	away  time.Time
	owing int
}

// owed is what the cores are yet to be told: a claim granted without them, or
// what became of one.
type owed struct {
	retold *wire.Claimed
	settle *wire.Settle
}

func newVault(proxy *Proxy) *Vault {
	return &Vault{proxy: proxy, ring: run.NewRing[owed](vaultRing)}
}

// Away reports whether no majority of cores recorded a claim within the last
// second.
func (vault *Vault) Away() bool {
	vault.mutex.Lock()
	defer vault.mutex.Unlock()
	return time.Since(vault.away) < awaySpan
}

func (vault *Vault) found(there bool) {
	vault.mutex.Lock()
	defer vault.mutex.Unlock()
	vault.away = time.Time{}
	if !there {
		vault.away = time.Now()
	}
}

func (vault *Vault) ask(address string, message *wire.Keep, limit time.Duration) (*wire.KeepTold, error) {
	return wire.Ask[wire.Keep, wire.KeepTold](vault.proxy.daemon.Line(), address, "keep", limit, message)
}

// owe puts something into the ring for the telling thread.
func (vault *Vault) owe(one owed) {
	if !vault.ring.Put(one) {
		vault.proxy.counts.Add("claims_not_owed", 1)
		return
	}
	vault.mutex.Lock()
	vault.owing++
	vault.mutex.Unlock()
}

// finish waits until the cores were told all, before a planned end.
func (vault *Vault) finish(rest time.Duration) {
	for until := time.Now().Add(rest); time.Now().Before(until); {
		vault.mutex.Lock()
		owing := vault.owing
		vault.mutex.Unlock()
		if owing <= 0 || !vault.proxy.threads.Rest(vaultPace/10) {
			return
		}
	}
	vault.proxy.counts.Add("claims_untold_at_end", 1)
}

// tell is the duty of the thread that tells the cores, in order, until a
// majority has it.
func (vault *Vault) tell() {
	threads := vault.proxy.threads
	for {
		batch := vault.ring.Take(vaultGroup)
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
		for !vault.push(message) {
			vault.proxy.counts.Add("claims_told_late", 1)
			if !threads.Rest(vaultPace) {
				return
			}
		}
		vault.mutex.Lock()
		vault.owing -= len(batch)
		vault.mutex.Unlock()
	}
}

func (vault *Vault) push(message *wire.Keep) bool {
	cores := vault.proxy.daemon.Finder.Cores()
	got, _ := run.Gather(vault.proxy.threads, len(cores), func(index int) (*wire.KeepTold, error) {
		return vault.ask(cores[index], message, settleLimit)
	}, func(got map[int]*wire.KeepTold, _ map[int]error) bool { return majority(got) })
	return majority(got)
}

func majority(got map[int]*wire.KeepTold) bool {
	for _, told := range got {
		return len(got) > told.Cores/2
	}
	return false
}

// recall reads back from the cores what a memory that is not whole lacks; only
// a majority of whole cores makes it so.
func (vault *Vault) recall(take func([]wire.Claimed)) bool {
	cores := vault.proxy.daemon.Finder.Cores()
	got, _ := run.Gather(vault.proxy.threads, len(cores), func(index int) (*wire.PullTold, error) {
		return pullAll(vault.proxy.daemon.Line(), cores[index], take)
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

// pullAll takes every page that a keeper or a core has; the last one is given.
func pullAll(line *wire.Line, address string, take func([]wire.Claimed)) (*wire.PullTold, error) {
	for after, whole := uint64(0), true; ; {
		told, fault := wire.Ask[wire.Pull, wire.PullTold](line, address, "pull", pullLimit, &wire.Pull{After: after})
		if fault != nil {
			return nil, fault
		}
		take(told.Claims)
		whole = whole && told.Whole
		if told.Whole = whole; told.Done {
			return told, nil
		}
		after = told.Last
	}
}
