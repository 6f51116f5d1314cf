package data

import (
	"context"

	"orchidjunction/wire"
)

// Register adds the messages between proxies about idempotency keys to the server.
func (proxy *Proxy) Register(server *wire.Door) {
	claims := proxy.claims
	wire.Take(server, "claim", func(_ context.Context, claim *wire.Claim) (*wire.ClaimTold, error) {
		if !claims.Grown() {
			return nil, wire.New(wire.NotReady, "not a keeper yet")
		}
		if claims.outdated(claim) {
			claims.proxy.counts.Add("claims_outdated", 1)
			return nil, wire.New(wire.OldSerial, "the ring of keepers changed")
		}
		return claims.grant(claim), nil
	})
	wire.Take(server, "settle", func(_ context.Context, settle *wire.Settle) (*wire.SettleTold, error) {
		claims.keeper.Settle(settle)
		return &wire.SettleTold{}, nil
	})
	wire.Take(server, "holds", func(_ context.Context, holds *wire.Holds) (*wire.HoldsTold, error) {
		if holds.Holder != claims.holder() {
			return nil, wire.New(wire.WrongIdentity, "%s is gone", holds.Holder)
		}
		return claims.onHolds(holds), nil
	})
	wire.Take(server, "retell", func(_ context.Context, retell *wire.Retell) (*wire.RetellTold, error) {
		claims.keeper.Retell(retell.Claims)
		return &wire.RetellTold{}, nil
	})
	wire.Take(server, "pull", func(_ context.Context, pull *wire.Pull) (*wire.PullTold, error) {
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

// askHolder asks the proxy that claimed a key; nil and not known when it is silent or gone.
func (claims *Claims) askHolder(claimed *wire.Claimed) (*wire.Claimed, bool) {
	for _, known := range claims.proxy.daemon.Version().Table.Members {
		if holderName(known) != claimed.Holder {
			continue
		}
		told, err := wire.Ask[wire.Holds, wire.HoldsTold](claims.proxy.daemon.Line(), known.Wire, "holds", claimLimit, &wire.Holds{Holder: claimed.Holder, Key: claimed.Key, ID: claimed.ID})
		if err != nil {
			return nil, false
		}
		return &told.Held, told.Known
	}
	return nil, false
}

func (claims *Claims) tell(ring []wire.Member, settle *wire.Settle) {
	claims.coreStore.enqueue(pendingUpdate{settle: settle})
	for _, keeper := range ring {
		if keeper.Name == claims.proxy.daemon.Name() {
			claims.keeper.Settle(settle)
			continue
		}
		claims.proxy.threads.Start(func() {
			if _, err := wire.Ask[wire.Settle, wire.SettleTold](claims.proxy.daemon.Line(), keeper.Wire, "settle", settleLimit, settle); err != nil {
				claims.proxy.counts.Add("claims_not_settled", 1)
			}
		})
	}
}
