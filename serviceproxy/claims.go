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
	for _, known := range version.Table.Members {
		switch {
		case known.Name == claims.proxy.daemon.Name():
			listed = known.Incarnation == claims.proxy.daemon.Incarnation()
		case known.Kind == message.ProxyKind && known.KeyReplica:
			others = append(others, known)
		case known.Kind == message.ProxyKind:
			peers = append(peers, known)
		}
	}
	if !listed {
		return
	}
	request := append(append([]message.Member{}, others...), peers...)
	got, _ := concurrent.Gather(claims.proxy.goroutines, len(request), func(index int) (*message.FetchClaimsResponse, error) {
		return fetchAllClaims(claims.proxy.daemon.Client(), request[index].InternalAddress, message.AcceptedValue{}, claims.store.Merge)
	}, func(map[int]*message.FetchClaimsResponse, map[int]error) bool { return false })
	grown, wholes := 0, 0
	for index, response := range got {
		if response.Joined && index < len(others) {
			grown++
			if response.Complete {
				wholes++
			}
		}
	}
	if grown < len(others)-1 || len(others) == 1 && grown == 0 {
		claims.proxy.counters.Add("claims_not_grown", 1)
		return
	}
	claims.mutex.Lock()
	claims.joined, claims.complete = true, grown > 0 && wholes == grown
	claims.mutex.Unlock()
	klog.Infof("%s: replica of idempotency keys, state from %d other replicas", claims.proxy.daemon.Name(), grown)
	claims.proxy.counters.Add("claims_grown", 1)
}

// claim claims the key at a quorum; when the key is taken, it gives what became of it.
func (claims *Claims) claim(claimed message.ClaimRecord) (*message.ClaimRecord, error) {
	claims.mutex.Lock()
	if claims.running[claimed.Key] != "" {
		claims.mutex.Unlock()
		return nil, keyBusy()
	}
	claims.running[claimed.Key] = claimed.ID
	claims.mutex.Unlock()
	instead := ""
	for range 3 {
		rings, ring, version := claims.askable(claimed.Key)
		refusal, granted := claims.ask(rings, ring, &message.ClaimRequest{Record: claimed, Replaces: instead, Table: version})
		if granted {
			return nil, nil
		}
		if refusal == nil {
			claims.release(ring, claimed)
			claims.proxy.counters.Add("claims_short", 1)
			return nil, &rpc.Error{
				Code:         rpc.OutcomeUnknown,
				Message:      "too few keepers of money keys answer; send the same key again",
				RetryAfterMs: retryAfterMs,
				Outcome:      rpc.MayHaveRun,
			}
		}
		if refusal.Digest != claimed.Digest {
			claims.release(ring, claimed)
			return nil, &rpc.Error{Code: rpc.KeyReused, Message: "the key came with another task"}
		}
		if refusal.Stage != message.ClaimRunning {
			claims.release(ring, claimed)
			return refusal, nil
		}
		held, known := claims.askHolder(refusal)
		if !known && held == nil {
			claims.release(ring, claimed)
			refusal.Stage = message.ClaimUnknown
			return refusal, nil
		}
		if known && held.Stage != message.ClaimRunning {
			claims.release(ring, claimed)
			return held, nil
		}
		if known {
			claims.release(ring, claimed)
			return nil, keyBusy()
		}
		instead = refusal.ID
	}
	_, ring, _ := claims.askable(claimed.Key)
	claims.release(ring, claimed)
	return nil, keyBusy()
}

func keyBusy() error {
	return &rpc.Error{
		Code:         rpc.KeyInFlight,
		Message:      "another send of this key runs; ask again for its outcome",
		RetryAfterMs: retryAfterMs,
		Outcome:      rpc.MayHaveRun,
	}
}

func holderName(member message.Member) string { return member.Name + "/" + member.Incarnation }

// release gives the key back at every replica: this claim's task was never sent.
func (claims *Claims) release(ring []message.Member, claimed message.ClaimRecord) {
	claims.mutex.Lock()
	if claims.running[claimed.Key] == claimed.ID {
		delete(claims.running, claimed.Key)
	}
	claims.mutex.Unlock()
	claims.notifyReplicas(ring, &message.CompleteClaimRequest{Record: claimed, Release: true})
}

// finish keeps how the task ended here and at its replicas.
func (claims *Claims) finish(claimed message.ClaimRecord, receipt *Response, err error) {
	_, ring, _ := claims.askable(claimed.Key)
	if err != nil && rpc.AsError(err).Outcome == rpc.NotRun {
		claims.release(ring, claimed)
		return
	}
	claimed.Stage = message.ClaimUnknown
	if receipt != nil {
		claimed.Stage, claimed.Status = message.ClaimCompleted, receipt.status
		claimed.Header = receipt.recordedHeader()
		if len(receipt.body) <= replayBytes {
			claimed.Body = receipt.body
		} else {
			claimed.Status = 0
		}
	}
	claims.store.Complete(&message.CompleteClaimRequest{Record: claimed})
	claims.mutex.Lock()
	delete(claims.running, claimed.Key)
	claims.mutex.Unlock()
	claims.notifyReplicas(ring, &message.CompleteClaimRequest{Record: claimed})
}
