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

// Claims runs a request with an idempotency key at most once in the whole fleet:
// its send needs grants by a quorum of proxies that keep the key, and is recorded
// by a majority of cores while they can be reached.
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

// Complete reports whether this proxy holds every key that it should, so that its
// grant counts without the cores.
func (claims *Claims) Complete() bool {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	return claims.complete
}

// holder is this process, not only its name.
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

// join makes this proxy a replica once it knows what the others keep, or when
// no replica is known to anybody.
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
	others, listed, peers := []message.Member{}, false, []message.Member{}
	for _, member := range version.Table.Members {
		switch {
		case member.Name == claims.proxy.daemon.Name():
			listed = member.Incarnation == claims.proxy.daemon.Incarnation()
		case member.Kind == message.ProxyKind && member.KeyReplica:
			others = append(others, member)
		case member.Kind == message.ProxyKind:
			peers = append(peers, member)
		}
	}
	if !listed {
		return
	}
	sources := append(append([]message.Member{}, others...), peers...)
	responses, _ := concurrent.Gather(claims.proxy.goroutines, len(sources), func(index int) (*message.FetchClaimsResponse, error) {
		return fetchAllClaims(claims.proxy.daemon.Client(), sources[index].InternalAddress, message.AcceptedValue{}, claims.store.Merge)
	}, func(map[int]*message.FetchClaimsResponse, map[int]error) bool { return false })
	joined, complete := 0, 0
	for index, response := range responses {
		if response.Joined && index < len(others) {
			joined++
			if response.Complete {
				complete++
			}
		}
	}
	if joined < len(others)-1 || len(others) == 1 && joined == 0 {
		claims.proxy.counters.Add("claims_not_grown", 1)
		return
	}
	claims.mutex.Lock()
	claims.joined, claims.complete = true, joined > 0 && complete == joined
	claims.mutex.Unlock()
	klog.Infof("%s: replica of idempotency keys, state from %d other replicas", claims.proxy.daemon.Name(), joined)
	claims.proxy.counters.Add("claims_grown", 1)
}

// claim claims the key at a quorum; when the key is taken, it gives what became of it.
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
				Message:      "too few keepers of money keys answer; send the same key again",
				RetryAfterMs: retryAfterMs,
				Outcome:      rpc.MayHaveRun,
			}
		}
		if refusal.Digest != record.Digest {
			claims.release(replicas, record)
			return nil, &rpc.Error{Code: rpc.KeyReused, Message: "the key came with another task"}
		}
		if refusal.Stage != message.ClaimRunning {
			claims.release(replicas, record)
			return refusal, nil
		}
		latest, known := claims.askHolder(refusal)
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
		Message:      "another send of this key runs; ask again for its outcome",
		RetryAfterMs: retryAfterMs,
		Outcome:      rpc.MayHaveRun,
	}
}

func holderName(member message.Member) string { return member.Name + "/" + member.Incarnation }

// release gives the key back at every replica: this claim's task was never sent.
func (claims *Claims) release(replicas []message.Member, record message.ClaimRecord) {
	claims.mutex.Lock()
	if claims.running[record.Key] == record.ID {
		delete(claims.running, record.Key)
	}
	claims.mutex.Unlock()
	claims.notifyReplicas(replicas, &message.CompleteClaimRequest{Record: record, Release: true})
}

// finish keeps how the task ended here and at its replicas.
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
