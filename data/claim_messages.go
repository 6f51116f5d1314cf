package data

import (
	"context"

	"orchidjunction/wire"
)

// Register adds the messages between proxies about idempotency keys to the server.
func (proxy *Proxy) Register(server *wire.Server) {
	claims := proxy.claims
	wire.Handle(server, "claim", func(_ context.Context, claim *wire.ClaimRequest) (*wire.ClaimResponse, error) {
		if !claims.Grown() {
			return nil, wire.Errorf(wire.NotReady, "not a keeper yet")
		}
		if claims.outdated(claim) {
			claims.proxy.counts.Add("claims_outdated", 1)
			return nil, wire.Errorf(wire.StaleSerial, "the ring of keepers changed")
		}
		return claims.grant(claim), nil
	})
	wire.Handle(server, "settle", func(_ context.Context, settle *wire.CompleteClaimRequest) (*wire.CompleteClaimResponse, error) {
		claims.keeper.Settle(settle)
		return &wire.CompleteClaimResponse{}, nil
	})
	wire.Handle(server, "holds", func(_ context.Context, holds *wire.QueryHolderRequest) (*wire.QueryHolderResponse, error) {
		if holds.Holder != claims.holder() {
			return nil, wire.Errorf(wire.WrongBackend, "%s is gone", holds.Holder)
		}
		return claims.onHolds(holds), nil
	})
	wire.Handle(server, "retell", func(_ context.Context, retell *wire.MergeClaimsRequest) (*wire.MergeClaimsResponse, error) {
		claims.keeper.Retell(retell.Claims)
		return &wire.MergeClaimsResponse{}, nil
	})
	wire.Handle(server, "pull", func(_ context.Context, pull *wire.FetchClaimsRequest) (*wire.FetchClaimsResponse, error) {
		told := &wire.FetchClaimsResponse{Joined: claims.Grown(), Complete: claims.Whole()}
		told.Claims, told.Last, told.Done = claims.keeper.Page(pull.After, pullPage)
		return told, nil
	})
}

// grant is this proxy's own answer as a keeper.
func (claims *Claims) grant(claim *wire.ClaimRequest) *wire.ClaimResponse {
	whole := claims.Whole()
	told := claims.keeper.Claim(claim)
	told.Complete = whole
	return told
}

// onHolds is the holder's word: a claim that neither runs nor was settled here was given back.
func (claims *Claims) onHolds(holds *wire.QueryHolderRequest) *wire.QueryHolderResponse {
	claims.mutex.Lock()
	runs := claims.running[holds.Key] == holds.ID
	claims.mutex.Unlock()
	if held, found := claims.keeper.Held(holds.Key); found && held.ID == holds.ID && held.Stage != wire.ClaimRunning {
		return &wire.QueryHolderResponse{Known: true, Record: held}
	}
	return &wire.QueryHolderResponse{Known: runs, Record: wire.ClaimRecord{Key: holds.Key, ID: holds.ID, Stage: wire.ClaimRunning}}
}

// askHolder asks the proxy that claimed a key; nil and not known when it is silent or gone.
func (claims *Claims) askHolder(claimed *wire.ClaimRecord) (*wire.ClaimRecord, bool) {
	for _, known := range claims.proxy.daemon.Version().Table.Members {
		if holderName(known) != claimed.Holder {
			continue
		}
		told, err := wire.Call[wire.QueryHolderRequest, wire.QueryHolderResponse](claims.proxy.daemon.Line(), known.InternalAddress, "holds", claimLimit, &wire.QueryHolderRequest{Holder: claimed.Holder, Key: claimed.Key, ID: claimed.ID})
		if err != nil {
			return nil, false
		}
		return &told.Record, told.Known
	}
	return nil, false
}

func (claims *Claims) tell(ring []wire.Member, settle *wire.CompleteClaimRequest) {
	claims.coreStore.enqueue(pendingUpdate{settle: settle})
	for _, keeper := range ring {
		if keeper.Name == claims.proxy.daemon.Name() {
			claims.keeper.Settle(settle)
			continue
		}
		claims.proxy.threads.Start(func() {
			if _, err := wire.Call[wire.CompleteClaimRequest, wire.CompleteClaimResponse](claims.proxy.daemon.Line(), keeper.InternalAddress, "settle", settleLimit, settle); err != nil {
				claims.proxy.counts.Add("claims_not_settled", 1)
			}
		})
	}
}
