package serviceproxy

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/concurrent"
	"orchidjunction/idempotency"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	claimTimeout       = 250 * time.Millisecond
	completeTimeout    = time.Second
	fetchClaimsTimeout = 2 * time.Second
	replicaSetTTL      = 2 * time.Second
	lostReplicaTTL     = 5 * time.Second
	joinInterval       = 100 * time.Millisecond
	claimsPageSize     = 2000
	replayBytes        = 4 << 10
)

// Claims makes a request with an idempotency key run at most once in the whole fleet: sending it
// needs grants by a quorum of the key's replicas, and is recorded by a majority of cores while
// they are reachable.
type Claims struct {
	proxy     *Proxy
	store     *idempotency.Store
	coreStore *coreStore

	mutex          sync.Mutex
	joined         bool
	complete       bool
	lostReplicas   []lostReplicas
	recentReplicas []replicaSet
	running        map[message.ClaimKey]string
}

func newClaims(proxy *Proxy) *Claims {
	return &Claims{
		proxy:          proxy,
		store:          idempotency.NewStore(),
		coreStore:      newCoreStore(proxy),
		recentReplicas: []replicaSet{{replicas: &KeyReplicas{}}},
		running:        map[message.ClaimKey]string{},
	}
}

// Complete reports whether this proxy holds every key that it should, so that its grant counts
// even without the cores.
func (claims *Claims) Complete() bool {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	return claims.complete
}

// holder identifies this process by name and incarnation.
func (claims *Claims) holder() string {
	return claims.proxy.daemon.Name() + "/" + claims.proxy.daemon.Incarnation()
}

// Joined reports whether this proxy has joined the replicas of the keys and may grant
// claims.
func (claims *Claims) Joined() bool {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	return claims.joined
}

// join makes this proxy a replica once it has the keys of the others (of several, one may fail),
// or if there are none. An incomplete replica restores its keys from the cores.
func (claims *Claims) join() {
	if claims.Joined() && !claims.Complete() && claims.coreStore.restore(claims.store.Merge) {
		claims.mutex.Lock()
		claims.complete = true
		claims.mutex.Unlock()
		claims.proxy.counters.Add("claims_recalled", 1)
		klog.Infof("%s: %d idempotency keys restored from the cores", claims.proxy.daemon.Name(), claims.store.Count())
	}
	if claims.Joined() || claims.proxy.lending != nil || !claims.proxy.daemon.Ready() {
		return
	}
	version := claims.proxy.daemon.Version()
	otherReplicas, listed, nonReplicas := []message.Member{}, false, []message.Member{}
	for _, member := range version.Table.Members {
		switch {
		case member.Name == claims.proxy.daemon.Name():
			listed = member.Incarnation == claims.proxy.daemon.Incarnation()
		case member.Kind == message.ProxyKind && member.KeyReplica:
			otherReplicas = append(otherReplicas, member)
		case member.Kind == message.ProxyKind:
			nonReplicas = append(nonReplicas, member)
		}
	}
	if !listed {
		return
	}
	sources := append(append([]message.Member{}, otherReplicas...), nonReplicas...)
	responses, _ := concurrent.Gather(claims.proxy.goroutines, len(sources), func(index int) (*message.FetchClaimsResponse, error) {
		return fetchAllClaims(claims.proxy.daemon.Client(), sources[index].InternalAddress, message.AcceptedValue{}, claims.store.Merge)
	}, func(map[int]*message.FetchClaimsResponse, map[int]error) bool { return false })
	joined, complete := 0, 0
	for index, response := range responses {
		if response.Joined && index < len(otherReplicas) {
			joined++
			if response.Complete {
				complete++
			}
		}
	}
	if joined < len(otherReplicas)-1 || len(otherReplicas) == 1 && joined == 0 {
		claims.proxy.counters.Add("claims_not_grown", 1)
		return
	}
	claims.mutex.Lock()
	claims.joined, claims.complete = true, joined > 0 && complete == joined
	claims.mutex.Unlock()
	klog.Infof("%s: joined the replicas of idempotency keys with the state of %d others", claims.proxy.daemon.Name(), joined)
	claims.proxy.counters.Add("claims_grown", 1)
}

// claim claims the key at a quorum. If the key is already claimed, it returns that claim with its
// outcome.
func (claims *Claims) claim(record message.ClaimRecord) (*message.ClaimRecord, error) {
	claims.mutex.Lock()
	if claims.running[record.Key] != "" {
		claims.mutex.Unlock()
		return nil, keyInFlight()
	}
	claims.running[record.Key] = record.ID
	claims.mutex.Unlock()
	replaces := ""
	for range 3 {
		sets, replicas, version := claims.activeReplicas(record.Key)
		refusal, granted := claims.requestClaim(sets, replicas, &message.ClaimRequest{Record: record, Replaces: replaces, Table: version})
		if granted {
			return nil, nil
		}
		if refusal == nil {
			claims.release(replicas, record)
			claims.proxy.counters.Add("claims_short", 1)
			return nil, &rpc.Error{
				Code:         rpc.OutcomeUnknown,
				Message:      "too few replicas of idempotency keys answered; retry with the same key",
				RetryAfterMs: retryAfterMs,
				Outcome:      rpc.MayHaveRun,
			}
		}
		if refusal.Digest != record.Digest {
			claims.release(replicas, record)
			return nil, &rpc.Error{Code: rpc.KeyReused, Message: "the idempotency key was used for a different request"}
		}
		if refusal.Stage != message.ClaimRunning {
			claims.release(replicas, record)
			return refusal, nil
		}
		latest, known := claims.queryHolder(refusal)
		if !known && latest == nil {
			claims.release(replicas, record)
			refusal.Stage = message.ClaimUnknown
			return refusal, nil
		}
		if known && latest.Stage != message.ClaimRunning {
			claims.release(replicas, record)
			return latest, nil
		}
		if known {
			claims.release(replicas, record)
			return nil, keyInFlight()
		}
		replaces = refusal.ID
	}
	_, replicas, _ := claims.activeReplicas(record.Key)
	claims.release(replicas, record)
	return nil, keyInFlight()
}

func keyInFlight() error {
	return &rpc.Error{
		Code:         rpc.KeyInFlight,
		Message:      "a request with this idempotency key is in progress; retry for its outcome",
		RetryAfterMs: retryAfterMs,
		Outcome:      rpc.MayHaveRun,
	}
}

func holderName(member message.Member) string { return member.Name + "/" + member.Incarnation }

// release releases the key at every replica; the request did not run.
func (claims *Claims) release(replicas []message.Member, record message.ClaimRecord) {
	claims.mutex.Lock()
	if claims.running[record.Key] == record.ID {
		delete(claims.running, record.Key)
	}
	claims.mutex.Unlock()
	claims.notifyReplicas(replicas, &message.CompleteClaimRequest{Record: record, Release: true})
}

// finish records the outcome of the request here and at the key's replicas.
func (claims *Claims) finish(record message.ClaimRecord, response *Response, err error) {
	_, replicas, _ := claims.activeReplicas(record.Key)
	if err != nil && rpc.AsError(err).Outcome == rpc.NotRun {
		claims.release(replicas, record)
		return
	}
	record.Stage = message.ClaimUnknown
	if response != nil {
		record.Stage, record.Status = message.ClaimCompleted, response.status
		record.Header = response.recordedHeader()
		if len(response.body) <= replayBytes {
			record.Body = response.body
		} else {
			record.Status = 0
		}
	}
	claims.store.Complete(&message.CompleteClaimRequest{Record: record})
	claims.mutex.Lock()
	delete(claims.running, record.Key)
	claims.mutex.Unlock()
	claims.notifyReplicas(replicas, &message.CompleteClaimRequest{Record: record})
}
