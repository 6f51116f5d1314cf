package serviceproxy

import (
	"context"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Register adds the messages between proxies about idempotency keys to the server.
func (proxy *Proxy) Register(server *rpc.Server) {
	claims := proxy.claims
	rpc.Handle(server, message.MethodClaim, func(_ context.Context, claim *message.ClaimRequest) (*message.ClaimResponse, error) {
		if !claims.Joined() {
			return nil, rpc.Errorf(rpc.NotReady, "not a keeper yet")
		}
		if claims.outdated(claim) {
			claims.proxy.counters.Add("claims_outdated", 1)
			return nil, rpc.Errorf(rpc.StaleSerial, "the ring of keepers changed")
		}
		return claims.grant(claim), nil
	})
	rpc.Handle(
		server,
		message.MethodCompleteClaim,
		func(_ context.Context, settle *message.CompleteClaimRequest) (*message.CompleteClaimResponse, error) {
			claims.store.Complete(settle)
			return &message.CompleteClaimResponse{}, nil
		},
	)
	rpc.Handle(
		server,
		message.MethodQueryHolder,
		func(_ context.Context, holds *message.QueryHolderRequest) (*message.QueryHolderResponse, error) {
			if holds.Holder != claims.holder() {
				return nil, rpc.Errorf(rpc.WrongBackend, "%s is gone", holds.Holder)
			}
			return claims.onQueryHolder(holds), nil
		},
	)
	rpc.Handle(
		server,
		message.MethodMergeClaims,
		func(_ context.Context, retell *message.MergeClaimsRequest) (*message.MergeClaimsResponse, error) {
			claims.store.Merge(retell.Claims)
			return &message.MergeClaimsResponse{}, nil
		},
	)
	rpc.Handle(
		server,
		message.MethodFetchClaims,
		func(_ context.Context, pull *message.FetchClaimsRequest) (*message.FetchClaimsResponse, error) {
			response := &message.FetchClaimsResponse{Joined: claims.Joined(), Complete: claims.Complete()}
			response.Claims, response.Last, response.Done = claims.store.Page(pull.After, claimsPageSize)
			return response, nil
		},
	)
}

// grant is this proxy's own answer as a replica.
func (claims *Claims) grant(claim *message.ClaimRequest) *message.ClaimResponse {
	whole := claims.Complete()
	response := claims.store.Claim(claim)
	response.Complete = whole
	return response
}

// onQueryHolder is the holder's word: a claim that neither runs nor was settled here was given back.
func (claims *Claims) onQueryHolder(holds *message.QueryHolderRequest) *message.QueryHolderResponse {
	claims.mutex.Lock()
	runs := claims.running[holds.Key] == holds.ID
	claims.mutex.Unlock()
	if held, found := claims.store.Get(holds.Key); found && held.ID == holds.ID && held.Stage != message.ClaimRunning {
		return &message.QueryHolderResponse{Known: true, Record: held}
	}
	return &message.QueryHolderResponse{Known: runs, Record: message.ClaimRecord{Key: holds.Key, ID: holds.ID, Stage: message.ClaimRunning}}
}

// askHolder asks the proxy that claimed a key; nil and not known when it is silent or gone.
func (claims *Claims) askHolder(claimed *message.ClaimRecord) (*message.ClaimRecord, bool) {
	for _, known := range claims.proxy.daemon.Version().Table.Members {
		if holderName(known) != claimed.Holder {
			continue
		}
		response, err := rpc.Call(
			claims.proxy.daemon.Client(),
			known.InternalAddress,
			message.MethodQueryHolder,
			claimTimeout,
			&message.QueryHolderRequest{Holder: claimed.Holder, Key: claimed.Key, ID: claimed.ID},
		)
		if err != nil {
			return nil, false
		}
		return &response.Record, response.Known
	}
	return nil, false
}

func (claims *Claims) notifyReplicas(ring []message.Member, settle *message.CompleteClaimRequest) {
	claims.coreStore.enqueue(pendingUpdate{settle: settle})
	for _, keeper := range ring {
		if keeper.Name == claims.proxy.daemon.Name() {
			claims.store.Complete(settle)
			continue
		}
		claims.proxy.goroutines.Start(func() {
			client := claims.proxy.daemon.Client()
			_, err := rpc.Call(client, keeper.InternalAddress, message.MethodCompleteClaim, completeTimeout, settle)
			if err != nil {
				claims.proxy.counters.Add("claims_not_settled", 1)
			}
		})
	}
}
