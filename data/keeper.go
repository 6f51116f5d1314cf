package data

import (
	"sync"
	"time"

	"orchidjunction/wire"
)

const (
	claimSpan  = 10 * time.Minute
	claimCount = 400_000
)

// Keeper remembers claims, its own proxy's and those of others.
type Keeper struct {
	mutex  sync.Mutex
	claims map[wire.ClaimKey]keptClaim
	order  []wire.ClaimKey
}

type keptClaim struct {
	wire.Claimed
	at time.Time
}

func NewKeeper() *Keeper { return &Keeper{claims: map[wire.ClaimKey]keptClaim{}} }

// forget drops what is older than the span, oldest first.
func (keeper *Keeper) forget() {
	for len(keeper.order) > 0 {
		held, found := keeper.claims[keeper.order[0]]
		if found && time.Since(held.at) < claimSpan {
			return
		}
		delete(keeper.claims, keeper.order[0])
		keeper.order = keeper.order[1:]
	}
}

func (keeper *Keeper) put(claimed wire.Claimed) {
	if _, found := keeper.claims[claimed.Key]; !found {
		keeper.order = append(keeper.order, claimed.Key)
	}
	keeper.claims[claimed.Key] = keptClaim{Claimed: claimed, at: time.Now().Add(-time.Duration(claimed.AgeMs) * time.Millisecond)}
}

// Claim holds the key for the first that asks; the same claim again is granted again.
func (keeper *Keeper) Claim(claim *wire.Claim) *wire.ClaimTold {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.forget()
	held, found := keeper.claims[claim.Claimed.Key]
	if found && held.ID != claim.Claimed.ID && (claim.Instead == "" || held.ID != claim.Instead || held.Stage != wire.ClaimRunning) {
		return &wire.ClaimTold{Held: held.Claimed}
	}
	if !found && len(keeper.claims) >= claimCount {
		return &wire.ClaimTold{}
	}
	if !found || held.ID != claim.Claimed.ID {
		keeper.put(claim.Claimed)
	}
	return &wire.ClaimTold{Granted: true, Held: claim.Claimed}
}

// Settle keeps how the task ended, or frees the key of a task that surely did
// not run. Who settles was granted a quorum, so a claim of somebody else here
// is one that will be given back, and gives way.
func (keeper *Keeper) Settle(settle *wire.Settle) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if settle.Free {
		if keeper.claims[settle.Claimed.Key].ID == settle.Claimed.ID {
			delete(keeper.claims, settle.Claimed.Key)
		}
		return
	}
	keeper.put(settle.Claimed)
}

func (keeper *Keeper) Held(key wire.ClaimKey) (wire.Claimed, bool) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	held, found := keeper.claims[key]
	return held.Claimed, found
}

// Retell takes claims that others remember; what is settled wins over what runs.
func (keeper *Keeper) Retell(claims []wire.Claimed) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	for _, claimed := range claims {
		held, found := keeper.claims[claimed.Key]
		if !found || held.ID == claimed.ID && held.Stage == wire.ClaimRunning && claimed.Stage != wire.ClaimRunning {
			keeper.put(claimed)
		}
	}
}

// All is every claim with its age, for those who lost theirs.
func (keeper *Keeper) All() []wire.Claimed {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.forget()
	all := make([]wire.Claimed, 0, len(keeper.claims))
	for _, held := range keeper.claims {
		held.AgeMs = time.Since(held.at).Milliseconds()
		all = append(all, held.Claimed)
	}
	return all
}
