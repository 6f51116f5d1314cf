package serviceproxy

import (
	"context"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Register adds the handlers for messages between proxies about idempotency keys.
func (proxy *Proxy) Register(server *rpc.Server) {
	claims := proxy.claims
	rpc.Handle(server, message.MethodClaim, func(_ context.Context, claim *message.ClaimRequest) (*message.ClaimResponse, error) {
		if !claims.Joined() {
			return nil, rpc.Errorf(rpc.NotReady, "not yet a replica of idempotency keys")
		}
		if claims.outdated(claim) {
			claims.proxy.counters.Add("claims_outdated", 1)
			return nil, rpc.Errorf(rpc.StaleSerial, "the replicas of idempotency keys changed")
		}
		return claims.grant(claim), nil
	})
	rpc.Handle(
		server,
		message.MethodCompleteClaim,
		func(_ context.Context, completion *message.CompleteClaimRequest) (*message.CompleteClaimResponse, error) {
			claims.store.Complete(completion)
			return &message.CompleteClaimResponse{}, nil
		},
	)
	rpc.Handle(
		server,
		message.MethodQueryHolder,
		func(_ context.Context, query *message.QueryHolderRequest) (*message.QueryHolderResponse, error) {
			if query.Holder != claims.holder() {
				return nil, rpc.Errorf(rpc.WrongBackend, "claim holder %s no longer runs here", query.Holder)
			}
			return claims.onQueryHolder(query), nil
		},
	)
	rpc.Handle(
		server,
		message.MethodMergeClaims,
		func(_ context.Context, merge *message.MergeClaimsRequest) (*message.MergeClaimsResponse, error) {
			claims.store.Merge(merge.Claims)
			return &message.MergeClaimsResponse{}, nil
		},
	)
	rpc.Handle(
		server,
		message.MethodFetchClaims,
		func(_ context.Context, fetch *message.FetchClaimsRequest) (*message.FetchClaimsResponse, error) {
			response := &message.FetchClaimsResponse{Joined: claims.Joined(), Complete: claims.Complete()}
			response.Claims, response.Last, response.Done = claims.store.Page(fetch.After, claimsPageSize)
			return response, nil
		},
	)
}

// grant answers a claim as a replica.
func (claims *Claims) grant(claim *message.ClaimRequest) *message.ClaimResponse {
	complete := claims.Complete()
	response := claims.store.Claim(claim)
	response.Complete = complete
	return response
}

// onQueryHolder answers as the holder of a claim. One that is neither running nor completed here
// was released.
func (claims *Claims) onQueryHolder(query *message.QueryHolderRequest) *message.QueryHolderResponse {
	claims.mutex.Lock()
	running := claims.running[query.Key] == query.ID
	claims.mutex.Unlock()
	if record, found := claims.store.Get(query.Key); found && record.ID == query.ID && record.Stage != message.ClaimRunning {
		return &message.QueryHolderResponse{Known: true, Record: record}
	}
	return &message.QueryHolderResponse{
		Known:  running,
		Record: message.ClaimRecord{Key: query.Key, ID: query.ID, Stage: message.ClaimRunning},
	}
}

// queryHolder asks the proxy that claimed a key. It returns nil and false if that process does not
// answer or is not listed.
func (claims *Claims) queryHolder(record *message.ClaimRecord) (*message.ClaimRecord, bool) {
	for _, member := range claims.proxy.daemon.Version().Table.Members {
		if holderName(member) != record.Holder {
			continue
		}
		response, err := rpc.Call(
			claims.proxy.daemon.Client(),
			member.InternalAddress,
			message.MethodQueryHolder,
			claimTimeout,
			&message.QueryHolderRequest{Holder: record.Holder, Key: record.Key, ID: record.ID},
		)
		if err != nil {
			return nil, false
		}
		return &response.Record, response.Known
	}
	return nil, false
}

func (claims *Claims) notifyReplicas(replicas []message.Member, completion *message.CompleteClaimRequest) {
	claims.coreStore.enqueue(pendingUpdate{completed: completion})
	for _, replica := range replicas {
		if replica.Name == claims.proxy.daemon.Name() {
			claims.store.Complete(completion)
			continue
		}
		claims.proxy.goroutines.Start(func() {
			client := claims.proxy.daemon.Client()
			_, err := rpc.Call(client, replica.InternalAddress, message.MethodCompleteClaim, completeTimeout, completion)
			if err != nil {
				claims.proxy.counters.Add("claims_not_settled", 1)
			}
		})
	}
}
