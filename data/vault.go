package data

import (
	"slices"
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

// Vault is the cores' side of claims: what lasts when every proxy is gone.
type Vault struct {
	proxy *Proxy
	ring  *run.Ring[owed]

	mutex  sync.Mutex
	away   time.Time
	owing  int
	roster Roster
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

// Away is whether no majority of cores kept a claim lately.
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

// counts is the membership to count by, and the cores to ask: its voters, and all
// that are known while a newer one was heard of.
func (vault *Vault) counts() (Roster, []string) {
	vault.mutex.Lock()
	roster := vault.roster
	vault.mutex.Unlock()
	known, cores := vault.proxy.daemon.Finder.Members(), vault.proxy.daemon.Finder.Cores()
	if roster.voters == nil {
		return roster, cores
	}
	addresses := roster.voters.Addresses()
	for _, core := range cores {
		if roster.accepted.Mark().Less(known) && !slices.Contains(addresses, core) {
			addresses = append(addresses, core)
		}
	}
	return roster, addresses
}

// learn takes a membership that cores answered with.
func (vault *Vault) learn(roster Roster) {
	vault.mutex.Lock()
	vault.roster = vault.roster.newer(roster)
	vault.mutex.Unlock()
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

// push tells the cores something; true once it lasts at a quorum.
func (vault *Vault) push(message *wire.Keep) bool {
	roster, cores := vault.counts()
	message.Members = roster.accepted
	got, _ := run.Gather(vault.proxy.threads, len(cores), func(index int) (*wire.KeepTold, error) {
		return vault.ask(cores[index], message, settleLimit)
	}, func(got map[int]*wire.KeepTold, _ map[int]error) bool { return keptBy(roster, got).lasting() })
	votes := keptBy(roster, got)
	vault.learn(votes.newest)
	return votes.lasting()
}

func keptBy(roster Roster, got map[int]*wire.KeepTold) *coreVotes {
	votes := newCoreVotes(roster)
	for _, told := range got {
		votes.add(told.Members, told.Core, !told.Refused, told.Whole)
	}
	return votes
}

// recall reads back from the cores what a memory that is not whole lacks; only
// a majority of whole cores makes it so.
func (vault *Vault) recall(take func([]wire.Claimed)) bool {
	roster, cores := vault.counts()
	got, _ := run.Gather(vault.proxy.threads, len(cores), func(index int) (*wire.PullTold, error) {
		return pullAll(vault.proxy.daemon.Line(), cores[index], roster.accepted, take)
	}, func(map[int]*wire.PullTold, map[int]error) bool { return false })
	votes := newCoreVotes(roster)
	for _, told := range got {
		votes.add(told.Members, told.Core, true, told.Whole)
	}
	vault.learn(votes.newest)
	return votes.whole()
}

// pullAll takes every page that a keeper or a core has. The last one is given, with
// the membership under which the first one was told.
func pullAll(line *wire.Line, address string, members wire.Accepted, take func([]wire.Claimed)) (*wire.PullTold, error) {
	var first *wire.PullTold
	for after, whole := uint64(0), true; ; {
		told, fault := wire.Ask[wire.Pull, wire.PullTold](line, address, "pull", pullLimit, &wire.Pull{After: after, Members: members})
		if fault != nil {
			return nil, fault
		}
		if first == nil {
			first = told
		}
		take(told.Claims)
		whole = whole && told.Whole
		if told.Done {
			told.Whole, told.Members, told.Core = whole, first.Members, first.Core
			return told, nil
		}
		after = told.Last
	}
}
