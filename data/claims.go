package data

import (
	"sync"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/idempotency"
	"orchidjunction/message"
	"orchidjunction/rpc"

	"k8s.io/klog/v2"
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

// Claims runs a request with an idempotency key at most once in the whole fleet:
// its send needs grants by a quorum of proxies that keep the key, and is recorded
// by a majority of cores while they can be reached.
type Claims struct {
	proxy     *Proxy
	keeper    *idempotency.Store
	coreStore *coreStore

	mutex   sync.Mutex
	grown   bool
	whole   bool
	gone    []goneKeepers
	rings   []heldRing
	running map[message.ClaimKey]string
}

func newClaims(proxy *Proxy) *Claims {
	return &Claims{proxy: proxy, keeper: idempotency.NewStore(), coreStore: newCoreStore(proxy), rings: []heldRing{{keepers: &Keepers{}}}, running: map[message.ClaimKey]string{}}
}

// Whole reports whether this proxy holds every key that it should, so that its
// grant counts without the cores.
func (claims *Claims) Whole() bool {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	return claims.whole
}

// holder is this process, not only its name.
func (claims *Claims) holder() string {
	return claims.proxy.daemon.Name() + "/" + claims.proxy.daemon.Incarnation()
}

// Grown reports whether this proxy has joined the keepers of keys and may grant
// claims.
func (claims *Claims) Grown() bool {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	return claims.grown
}

// grow makes this proxy a keeper once it knows what the others keep, or when
// no keeper is known to anybody.
func (claims *Claims) grow() {
	if claims.Grown() && !claims.Whole() && claims.coreStore.restore(claims.keeper.Merge) {
		claims.mutex.Lock()
		claims.whole = true
		claims.mutex.Unlock()
		claims.proxy.counters.Add("claims_recalled", 1)
		klog.Infof("%s: %d claims read back from the cores", claims.proxy.daemon.Name(), claims.keeper.Count())
	}
	if claims.Grown() || claims.proxy.lend != nil || !claims.proxy.daemon.Ready() {
		return
	}
	version := claims.proxy.daemon.Version()
	others, listed, peers := []message.Member{}, false, []message.Member{}
	for _, known := range version.Table.Members {
		switch {
		case known.Name == claims.proxy.daemon.Name():
			listed = known.Incarnation == claims.proxy.daemon.Incarnation()
		case known.Kind == "proxy" && known.KeyReplica:
			others = append(others, known)
		case known.Kind == "proxy":
			peers = append(peers, known)
		}
	}
	if !listed {
		return
	}
	asked := append(append([]message.Member{}, others...), peers...)
	got, _ := concurrent.Gather(claims.proxy.goroutines, len(asked), func(index int) (*message.FetchClaimsResponse, error) {
		return pullAll(claims.proxy.daemon.Client(), asked[index].InternalAddress, message.AcceptedValue{}, claims.keeper.Merge)
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
	claims.grown, claims.whole = true, grown > 0 && wholes == grown
	claims.mutex.Unlock()
	klog.Infof("%s: keeps claims, told by %d keepers", claims.proxy.daemon.Name(), grown)
	claims.proxy.counters.Add("claims_grown", 1)
}

// take claims the key at a quorum; when the key is taken, it gives what became of it.
func (claims *Claims) take(claimed message.ClaimRecord) (*message.ClaimRecord, error) {
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
			claims.free(ring, claimed)
			claims.proxy.counters.Add("claims_short", 1)
			return nil, &rpc.Error{Code: rpc.OutcomeUnknown, Message: "too few keepers of money keys answer; send the same key again", RetryAfterMs: comeBack, Outcome: rpc.MayHaveRun}
		}
		if refusal.Digest != claimed.Digest {
			claims.free(ring, claimed)
			return nil, &rpc.Error{Code: rpc.KeyReused, Message: "the key came with another task"}
		}
		if refusal.Stage != message.ClaimRunning {
			claims.free(ring, claimed)
			return refusal, nil
		}
		held, known := claims.askHolder(refusal)
		if !known && held == nil {
			claims.free(ring, claimed)
			refusal.Stage = message.ClaimUnknown
			return refusal, nil
		}
		if known && held.Stage != message.ClaimRunning {
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

func keyBusy() error {
	return &rpc.Error{Code: rpc.KeyInFlight, Message: "another send of this key runs; ask again for its outcome", RetryAfterMs: comeBack, Outcome: rpc.MayHaveRun}
}

func holderName(member message.Member) string { return member.Name + "/" + member.Incarnation }

// free gives the key back at every keeper: this claim's task was never sent.
func (claims *Claims) free(ring []message.Member, claimed message.ClaimRecord) {
	claims.mutex.Lock()
	if claims.running[claimed.Key] == claimed.ID {
		delete(claims.running, claimed.Key)
	}
	claims.mutex.Unlock()
	claims.tell(ring, &message.CompleteClaimRequest{Record: claimed, Release: true})
}

// settle keeps how the task ended here and at its keepers.
func (claims *Claims) settle(claimed message.ClaimRecord, receipt *Receipt, err error) {
	_, ring, _ := claims.askable(claimed.Key)
	if err != nil && rpc.AsError(err).Outcome == rpc.NotRun {
		claims.free(ring, claimed)
		return
	}
	claimed.Stage = message.ClaimUnknown
	if receipt != nil {
		claimed.Stage, claimed.Status = message.ClaimCompleted, receipt.status
		claimed.Header = receipt.kept()
		if len(receipt.body) <= replayBytes {
			claimed.Body = receipt.body
		} else {
			claimed.Status = 0
		}
	}
	claims.keeper.Complete(&message.CompleteClaimRequest{Record: claimed})
	claims.mutex.Lock()
	delete(claims.running, claimed.Key)
	claims.mutex.Unlock()
	claims.tell(ring, &message.CompleteClaimRequest{Record: claimed})
}
