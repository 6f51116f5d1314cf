package data

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"orchidjunction/keep"
	"orchidjunction/run"
	"orchidjunction/wire"
)

const (
	claimLimit  = 250 * time.Millisecond
	settleLimit = time.Second
	pullLimit   = 2 * time.Second
	jointSpan   = 2 * time.Second
	goneSpan    = 5 * time.Second
	growPace    = 100 * time.Millisecond
	pullPage    = 2000
	replayBytes = 4 << 10
)

// Claims let a money key through once in the whole fleet: a send needs the
// grant of a quorum of keepers in different regions.
type Claims struct {
	proxy  *Proxy
	keeper *keep.Book
	vault  *Vault

	mutex   sync.Mutex
	grown   bool
	whole   bool
	gone    []goneKeepers
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

// goneKeepers is how many left a ring at once, and when.
type goneKeepers struct {
	count int
	at    time.Time
}

func newClaims(proxy *Proxy) *Claims {
	return &Claims{proxy: proxy, keeper: keep.NewBook(), vault: newVault(proxy), rings: []heldRing{{keepers: &Keepers{}}}, running: map[wire.ClaimKey]string{}}
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
		return claims.grant(claim), nil
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
	wire.Take(door, "pull", func(_ context.Context, pull *wire.Pull) (*wire.PullTold, error) {
		told := &wire.PullTold{Grown: claims.Grown(), Whole: claims.Whole()}
		told.Claims, told.Last, told.Done = claims.keeper.Page(pull.After, pullPage)
		return told, nil
	})
}

// grant is this proxy's own answer as a keeper.
func (claims *Claims) grant(claim *wire.Claim) *wire.ClaimTold {
	whole := claims.Whole()
	told := claims.keeper.Claim(claim)
	told.Whole = whole
	return told
}

// Whole is whether this proxy's memory is known to lack nothing it should hold.
func (claims *Claims) Whole() bool {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	return claims.whole
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
	claims.left(former.members, next.members, now)
	claims.rings = append(claims.rings, heldRing{keepers: next, mark: mark, at: now})
	claims.mutex.Unlock()
	claims.proxy.threads.Start(func() { claims.retell(former, next) })
}

// left doubts this memory when so many keepers are gone within a short time
// that all who granted a key may be among them.
func (claims *Claims) left(former, next []wire.Member, now time.Time) {
	gone := goneKeepers{at: now}
	for _, member := range former {
		if !slices.ContainsFunc(next, func(other wire.Member) bool { return holderName(other) == holderName(member) }) {
			gone.count++
		}
	}
	claims.gone = append(claims.gone, gone)
	lost := 0
	for _, one := range claims.gone {
		if now.Sub(one.at) < goneSpan {
			lost += one.count
		}
	}
	for now.Sub(claims.gone[0].at) > goneSpan {
		claims.gone = claims.gone[1:]
	}
	if lost >= quorum(min(keepersMost, len(former)+lost-gone.count)) && claims.whole {
		claims.whole = false
		claims.proxy.counts.Add("claims_doubted", 1)
	}
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
	for after, done := uint64(0), false; !done; {
		var page []wire.Claimed
		page, after, done = claims.keeper.Page(after, pullPage)
		for _, held := range page {
			former := before.of(held.Key)
			for _, keeper := range next.of(held.Key) {
				if !among(former, keeper.Name) && keeper.Name != claims.proxy.daemon.Name() {
					batches[keeper.Wire] = append(batches[keeper.Wire], held)
				}
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
	if claims.Grown() && !claims.Whole() && claims.vault.recall(claims.keeper.Retell) {
		claims.mutex.Lock()
		claims.whole = true
		claims.mutex.Unlock()
		claims.proxy.counts.Add("claims_recalled", 1)
		klog.Infof("%s: %d claims read back from the cores", claims.proxy.daemon.Name(), claims.keeper.Count())
	}
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
		return pullAll(claims.proxy.daemon.Line(), asked[index].Wire, wire.Accepted{}, claims.keeper.Retell)
	}, func(map[int]*wire.PullTold, map[int]error) bool { return false })
	grown, wholes := 0, 0
	for index, told := range got {
		if told.Grown && index < len(others) {
			grown++
			if told.Whole {
				wholes++
			}
		}
	}
	if grown < len(others)-1 || len(others) == 1 && grown == 0 {
		claims.proxy.counts.Add("claims_not_grown", 1)
		return
	}
	claims.mutex.Lock()
	claims.grown, claims.whole = true, grown > 0 && wholes == grown
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
	claims.vault.owe(owed{settle: settle})
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
