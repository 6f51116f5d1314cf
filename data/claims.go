package data

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"orchidjunction/run"
	"orchidjunction/wire"
)

const (
	claimLimit  = 250 * time.Millisecond
	settleLimit = time.Second
	pullLimit   = 2 * time.Second
	jointSpan   = 2 * time.Second
	growPace    = 100 * time.Millisecond
	replayBytes = 4 << 10
)

// Claims let a money key through once in the whole fleet: a send needs the
// grant of a quorum of keepers in different regions.
type Claims struct {
	proxy  *Proxy
	keeper *Keeper

	mutex   sync.Mutex
	grown   bool
	rings   []heldRing
	running map[wire.ClaimKey]string
}

// heldRing is a ring and, once another replaced it, how long a quorum of it is still asked for.
type heldRing struct {
	keepers *Keepers
	mark    wire.TableMark
	at      time.Time
	until   time.Time
}

func newClaims(proxy *Proxy) *Claims {
	return &Claims{proxy: proxy, keeper: NewKeeper(), rings: []heldRing{{keepers: &Keepers{}}}, running: map[wire.ClaimKey]string{}}
}

// current drops the rings that are out of use and gives the newest.
func (claims *Claims) current() *heldRing {
	kept := claims.rings[:0]
	for index, ring := range claims.rings {
		if index == len(claims.rings)-1 || time.Now().Before(ring.until) {
			kept = append(kept, ring)
		}
	}
	claims.rings = kept
	return &claims.rings[len(claims.rings)-1]
}

// outdated is whether a claim comes from a proxy that does not know this ring
// though it stands for longer than the former one is still asked.
func (claims *Claims) outdated(claim *wire.Claim) bool {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	ring := claims.current()
	return claim.Table.Less(ring.mark) && time.Since(ring.at) > jointSpan
}

// Register opens the proxy's side of the wire.
func (proxy *Proxy) Register(door *wire.Door) {
	claims := proxy.claims
	wire.Take(door, "claim", func(_ context.Context, claim *wire.Claim) (*wire.ClaimTold, error) {
		if !claims.Grown() {
			return nil, wire.New(wire.NotReady, "not a keeper yet")
		}
		if claims.outdated(claim) {
			claims.proxy.counts.Add("claims_outdated", 1)
			return nil, wire.New(wire.OldSerial, "the ring of keepers changed")
		}
		return claims.keeper.Claim(claim), nil
	})
	wire.Take(door, "settle", func(_ context.Context, settle *wire.Settle) (*wire.SettleTold, error) {
		claims.keeper.Settle(settle)
		return &wire.SettleTold{}, nil
	})
	wire.Take(door, "holds", func(_ context.Context, holds *wire.Holds) (*wire.HoldsTold, error) {
		if holds.Holder != claims.holder() {
			return nil, wire.New(wire.WrongIdentity, "%s is gone", holds.Holder)
		}
		return claims.onHolds(holds), nil
	})
	wire.Take(door, "retell", func(_ context.Context, retell *wire.Retell) (*wire.RetellTold, error) {
		claims.keeper.Retell(retell.Claims)
		return &wire.RetellTold{}, nil
	})
	wire.Take(door, "pull", func(context.Context, *wire.Pull) (*wire.PullTold, error) {
		return &wire.PullTold{Grown: claims.Grown(), Claims: claims.keeper.All()}, nil
	})
}

// holder is this process, not only its name.
func (claims *Claims) holder() string {
	return claims.proxy.daemon.Name() + "/" + claims.proxy.daemon.Incarnation()
}

func (claims *Claims) Grown() bool {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	return claims.grown
}

// onHolds is the holder's word: a claim that neither runs nor was settled here was given back.
func (claims *Claims) onHolds(holds *wire.Holds) *wire.HoldsTold {
	claims.mutex.Lock()
	runs := claims.running[holds.Key] == holds.ID
	claims.mutex.Unlock()
	if held, found := claims.keeper.Held(holds.Key); found && held.ID == holds.ID && held.Stage != wire.ClaimRunning {
		return &wire.HoldsTold{Known: true, Held: held}
	}
	return &wire.HoldsTold{Known: runs, Held: wire.Claimed{Key: holds.Key, ID: holds.ID, Stage: wire.ClaimRunning}}
}

// apply takes a new ring and tells new keepers what they lack; the former ring
// is asked too for a while.
func (claims *Claims) apply(next *Keepers, mark wire.TableMark) {
	claims.mutex.Lock()
	before := claims.current()
	former := before.keepers
	if sameMembers(former.members, next.members) {
		claims.mutex.Unlock()
		return
	}
	now := time.Now()
	before.until = now.Add(jointSpan)
	if len(former.members) == 0 {
		before.until = now
	}
	claims.rings = append(claims.rings, heldRing{keepers: next, mark: mark, at: now})
	claims.mutex.Unlock()
	claims.proxy.threads.Start(func() { claims.retell(former, next) })
}

func sameMembers(left, right []wire.Member) bool {
	if len(left) != len(right) {
		return false
	}
	for index := range left {
		if left[index].Name != right[index].Name || left[index].Incarnation != right[index].Incarnation {
			return false
		}
	}
	return true
}

func (claims *Claims) retell(before, next *Keepers) {
	batches := map[string][]wire.Claimed{}
	for _, held := range claims.keeper.All() {
		former := before.of(held.Key)
		for _, keeper := range next.of(held.Key) {
			if !among(former, keeper.Name) && keeper.Name != claims.proxy.daemon.Name() {
				batches[keeper.Wire] = append(batches[keeper.Wire], held)
			}
		}
	}
	for address, batch := range batches {
		for len(batch) > 0 {
			count := min(len(batch), 2000)
			if _, fault := wire.Ask[wire.Retell, wire.RetellTold](claims.proxy.daemon.Line(), address, "retell", pullLimit, &wire.Retell{Claims: batch[:count]}); fault != nil {
				claims.proxy.counts.Add("claims_not_retold", uint64(count))
			}
			batch = batch[count:]
		}
	}
}

// grow makes this proxy a keeper once it knows what the others keep, or when
// no keeper is known to anybody.
func (claims *Claims) grow() {
	if claims.Grown() || claims.proxy.lend != nil || !claims.proxy.daemon.Ready() {
		return
	}
	version := claims.proxy.daemon.Version()
	others, listed, peers := []wire.Member{}, false, []wire.Member{}
	for _, known := range version.Table.Members {
		switch {
		case known.Name == claims.proxy.daemon.Name():
			listed = known.Incarnation == claims.proxy.daemon.Incarnation()
		case known.Kind == "proxy" && known.Keeper:
			others = append(others, known)
		case known.Kind == "proxy":
			peers = append(peers, known)
		}
	}
	if !listed {
		return
	}
	asked := append(append([]wire.Member{}, others...), peers...)
	got, _ := run.Gather(claims.proxy.threads, len(asked), func(index int) (*wire.PullTold, error) {
		return wire.Ask[wire.Pull, wire.PullTold](claims.proxy.daemon.Line(), asked[index].Wire, "pull", pullLimit, &wire.Pull{Name: claims.proxy.daemon.Name()})
	}, func(map[int]*wire.PullTold, map[int]error) bool { return false })
	grown := 0
	for index, told := range got {
		claims.keeper.Retell(told.Claims)
		if told.Grown && index < len(others) {
			grown++
		}
	}
	if grown < len(others)-1 || len(others) == 1 && grown == 0 {
		claims.proxy.counts.Add("claims_not_grown", 1)
		return
	}
	claims.mutex.Lock()
	claims.grown = true
	claims.mutex.Unlock()
	klog.Infof("%s: keeps claims, told by %d keepers", claims.proxy.daemon.Name(), grown)
	claims.proxy.counts.Add("claims_grown", 1)
}

// take claims the key at a quorum; when the key is taken, it gives what became of it.
func (claims *Claims) take(claimed wire.Claimed) (*wire.Claimed, *wire.Mishap) {
	claims.mutex.Lock()
	if claims.running[claimed.Key] != "" {
		claims.mutex.Unlock()
		return nil, keyBusy()
	}
	claims.running[claimed.Key] = claimed.ID
	claims.mutex.Unlock()
	instead := ""
	for range 3 {
		rings, ring, mark := claims.askable(claimed.Key)
		refusal, granted := claims.ask(rings, ring, &wire.Claim{Claimed: claimed, Instead: instead, Table: mark})
		if granted {
			return nil, nil
		}
		if refusal == nil {
			claims.free(ring, claimed)
			claims.proxy.counts.Add("claims_short", 1)
			return nil, &wire.Mishap{Kind: wire.OutcomeUnknown, Cause: "too few keepers of money keys answer; send the same key again", Retry: comeBack, Outcome: wire.MayHaveRun}
		}
		if refusal.Digest != claimed.Digest {
			claims.free(ring, claimed)
			return nil, &wire.Mishap{Kind: wire.KeyReused, Cause: "the key came with another task"}
		}
		if refusal.Stage != wire.ClaimRunning {
			claims.free(ring, claimed)
			return refusal, nil
		}
		held, known := claims.askHolder(refusal)
		if !known && held == nil {
			claims.free(ring, claimed)
			refusal.Stage = wire.ClaimUnknown
			return refusal, nil
		}
		if known && held.Stage != wire.ClaimRunning {
			claims.free(ring, claimed)
			return held, nil
		}
		if known {
			claims.free(ring, claimed)
			return nil, keyBusy()
		}
		instead = refusal.ID
	}
	_, ring, _ := claims.askable(claimed.Key)
	claims.free(ring, claimed)
	return nil, keyBusy()
}

// askable gives every ring in use for a key, and all their members once.
func (claims *Claims) askable(key wire.ClaimKey) ([][]wire.Member, []wire.Member, wire.TableMark) {
	claims.mutex.Lock()
	mark := claims.current().mark
	held := append([]heldRing{}, claims.rings...)
	claims.mutex.Unlock()
	rings, all := [][]wire.Member{}, []wire.Member{}
	for _, one := range held {
		ring := one.keepers.of(key)
		rings = append(rings, ring)
		for _, keeper := range ring {
			if !among(all, keeper.Name) {
				all = append(all, keeper)
			}
		}
	}
	return rings, all, mark
}

// enough is whether the granting members make a quorum of every ring.
func enough(rings [][]wire.Member, granting []wire.Member) bool {
	for _, ring := range rings {
		count := 0
		for _, keeper := range ring {
			if among(granting, keeper.Name) {
				count++
			}
		}
		if len(ring) == 0 || count < quorum(len(ring)) {
			return false
		}
	}
	return len(rings) > 0
}

func keyBusy() *wire.Mishap {
	return &wire.Mishap{Kind: wire.KeyBusy, Cause: "another send of this key runs; ask again for its outcome", Retry: comeBack, Outcome: wire.MayHaveRun}
}

// ask sends the claim to all members; one refusal is enough to stop.
func (claims *Claims) ask(rings [][]wire.Member, members []wire.Member, claim *wire.Claim) (*wire.Claimed, bool) {
	granting := func(got map[int]*wire.ClaimTold) []wire.Member {
		granted := []wire.Member{}
		for index, told := range got {
			if told.Granted {
				granted = append(granted, members[index])
			}
		}
		return granted
	}
	got, _ := run.Gather(claims.proxy.threads, len(members), func(index int) (*wire.ClaimTold, error) {
		if members[index].Name == claims.proxy.daemon.Name() {
			return claims.keeper.Claim(claim), nil
		}
		return wire.Ask[wire.Claim, wire.ClaimTold](claims.proxy.daemon.Line(), members[index].Wire, "claim", claimLimit, claim)
	}, func(got map[int]*wire.ClaimTold, _ map[int]error) bool {
		for _, told := range got {
			if !told.Granted && told.Held.ID != "" {
				return true
			}
		}
		return enough(rings, granting(got))
	})
	var refusal *wire.Claimed
	for _, told := range got {
		if !told.Granted && told.Held.ID != "" && (refusal == nil || refusal.Stage == wire.ClaimRunning) {
			refusal = &told.Held
		}
	}
	return refusal, refusal == nil && enough(rings, granting(got))
}

// askHolder asks the proxy that claimed a key; nil and not known when it is silent or gone.
func (claims *Claims) askHolder(claimed *wire.Claimed) (*wire.Claimed, bool) {
	for _, known := range claims.proxy.daemon.Version().Table.Members {
		if holderName(known) != claimed.Holder {
			continue
		}
		told, fault := wire.Ask[wire.Holds, wire.HoldsTold](claims.proxy.daemon.Line(), known.Wire, "holds", claimLimit, &wire.Holds{Holder: claimed.Holder, Key: claimed.Key, ID: claimed.ID})
		if fault != nil {
			return nil, false
		}
		return &told.Held, told.Known
	}
	return nil, false
}

func holderName(member wire.Member) string { return member.Name + "/" + member.Incarnation }

// free gives the key back at every keeper: this claim's task was never sent.
func (claims *Claims) free(ring []wire.Member, claimed wire.Claimed) {
	claims.mutex.Lock()
	if claims.running[claimed.Key] == claimed.ID {
		delete(claims.running, claimed.Key)
	}
	claims.mutex.Unlock()
	claims.tell(ring, &wire.Settle{Claimed: claimed, Free: true})
}

// settle keeps how the task ended here and at its keepers.
func (claims *Claims) settle(claimed wire.Claimed, receipt *Receipt, mishap *wire.Mishap) {
	_, ring, _ := claims.askable(claimed.Key)
	if mishap != nil && mishap.Outcome == wire.NotRun {
		claims.free(ring, claimed)
		return
	}
	claimed.Stage = wire.ClaimUnknown
	if receipt != nil {
		claimed.Stage, claimed.Status = wire.ClaimRan, receipt.status
		claimed.Header = receipt.kept()
		if len(receipt.body) <= replayBytes {
			claimed.Body = receipt.body
		} else {
			claimed.Status = 0
		}
	}
	claims.keeper.Settle(&wire.Settle{Claimed: claimed})
	claims.mutex.Lock()
	delete(claims.running, claimed.Key)
	claims.mutex.Unlock()
	claims.tell(ring, &wire.Settle{Claimed: claimed})
}

func (claims *Claims) tell(ring []wire.Member, settle *wire.Settle) {
	for _, keeper := range ring {
		if keeper.Name == claims.proxy.daemon.Name() {
			claims.keeper.Settle(settle)
			continue
		}
		claims.proxy.threads.Start(func() {
			if _, fault := wire.Ask[wire.Settle, wire.SettleTold](claims.proxy.daemon.Line(), keeper.Wire, "settle", settleLimit, settle); fault != nil {
				claims.proxy.counts.Add("claims_not_settled", 1)
			}
		})
	}
}
