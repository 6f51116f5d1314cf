package serviceproxy

import (
	"slices"
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// replicaSet is a ring and, once another replaced it, how long a quorum of it is still asked for.
type replicaSet struct {
	replicas *KeyReplicas
	mark     message.TableVersion
	at       time.Time
	until    time.Time
}

// lostReplicas is how many left a ring at once, and when.
type lostReplicas struct {
	count int
	at    time.Time
}

// current drops the rings that are out of use and gives the newest.
func (claims *Claims) current() *replicaSet {
	kept := claims.recentReplicas[:0]
	for index, ring := range claims.recentReplicas {
		if index == len(claims.recentReplicas)-1 || time.Now().Before(ring.until) {
			kept = append(kept, ring)
		}
	}
	claims.recentReplicas = kept
	return &claims.recentReplicas[len(claims.recentReplicas)-1]
}

// outdated is whether a claim comes from a proxy that does not know this ring
// though it stands for longer than the former one is still asked.
func (claims *Claims) outdated(claim *message.ClaimRequest) bool {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	ring := claims.current()
	return claim.Table.Less(ring.mark) && time.Since(ring.at) > replicaSetTTL
}

// apply takes a new ring and tells new replicas what they lack; the former ring
// is asked too for a while.
func (claims *Claims) apply(next *KeyReplicas, version message.TableVersion) {
	claims.mutex.Lock()
	before := claims.current()
	former := before.replicas
	if sameMembers(former.members, next.members) {
		claims.mutex.Unlock()
		return
	}
	now := time.Now()
	before.until = now.Add(replicaSetTTL)
	if len(former.members) == 0 {
		before.until = now
	}
	claims.left(former.members, next.members, now)
	claims.recentReplicas = append(claims.recentReplicas, replicaSet{replicas: next, mark: version, at: now})
	claims.mutex.Unlock()
	claims.proxy.goroutines.Start(func() { claims.sendMissing(former, next) })
}

// left doubts this memory when so many replicas are gone within a short time
// that all who granted a key may be among them.
func (claims *Claims) left(former, next []message.Member, now time.Time) {
	gone := lostReplicas{at: now}
	for _, member := range former {
		if !slices.ContainsFunc(next, func(other message.Member) bool { return holderName(other) == holderName(member) }) {
			gone.count++
		}
	}
	claims.lostReplicas = append(claims.lostReplicas, gone)
	lost := 0
	for _, one := range claims.lostReplicas {
		if now.Sub(one.at) < lostReplicaTTL {
			lost += one.count
		}
	}
	for now.Sub(claims.lostReplicas[0].at) > lostReplicaTTL {
		claims.lostReplicas = claims.lostReplicas[1:]
	}
	if lost >= quorum(min(maxKeyReplicas, len(former)+lost-gone.count)) && claims.complete {
		claims.complete = false
		claims.proxy.counters.Add("claims_doubted", 1)
	}
}

func sameMembers(left, right []message.Member) bool {
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

func (claims *Claims) sendMissing(before, next *KeyReplicas) {
	batches := map[string][]message.ClaimRecord{}
	for after, done := uint64(0), false; !done; {
		var page []message.ClaimRecord
		page, after, done = claims.store.Page(after, claimsPageSize)
		for _, held := range page {
			former := before.of(held.Key)
			for _, keeper := range next.of(held.Key) {
				if !among(former, keeper.Name) && keeper.Name != claims.proxy.daemon.Name() {
					batches[keeper.InternalAddress] = append(batches[keeper.InternalAddress], held)
				}
			}
		}
	}
	for address, batch := range batches {
		for len(batch) > 0 {
			count := min(len(batch), 2000)
			request := &message.MergeClaimsRequest{Claims: batch[:count]}
			_, err := rpc.Call(claims.proxy.daemon.Client(), address, message.MethodMergeClaims, fetchClaimsTimeout, request)
			if err != nil {
				claims.proxy.counters.Add("claims_not_retold", uint64(count))
			}
			batch = batch[count:]
		}
	}
}

// askable gives every ring in use for a key, and all their members once.
func (claims *Claims) askable(key message.ClaimKey) ([][]message.Member, []message.Member, message.TableVersion) {
	claims.mutex.Lock()
	version := claims.current().mark
	held := append([]replicaSet{}, claims.recentReplicas...)
	claims.mutex.Unlock()
	rings, all := [][]message.Member{}, []message.Member{}
	for _, one := range held {
		ring := one.replicas.of(key)
		rings = append(rings, ring)
		for _, keeper := range ring {
			if !among(all, keeper.Name) {
				all = append(all, keeper)
			}
		}
	}
	return rings, all, version
}
