package serviceproxy

import (
	"slices"
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// replicaSet is a set of replicas and its table version. Once replaced, it must still grant until
// usedUntil.
type replicaSet struct {
	replicas  *KeyReplicas
	version   message.TableVersion
	appliedAt time.Time
	usedUntil time.Time
}

// lostReplicas is how many replicas left in one change of the set, and when.
type lostReplicas struct {
	count int
	at    time.Time
}

// currentReplicas drops expired sets and returns the newest.
func (claims *Claims) currentReplicas() *replicaSet {
	kept := claims.recentReplicas[:0]
	for index, set := range claims.recentReplicas {
		if index == len(claims.recentReplicas)-1 || time.Now().Before(set.usedUntil) {
			kept = append(kept, set)
		}
	}
	claims.recentReplicas = kept
	return &claims.recentReplicas[len(claims.recentReplicas)-1]
}

// outdated reports whether a claim comes from a proxy that does not know the current set, though
// its predecessor is out of use.
func (claims *Claims) outdated(claim *message.ClaimRequest) bool {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	set := claims.currentReplicas()
	return claim.Table.Less(set.version) && time.Since(set.appliedAt) > replicaSetTTL
}

// apply applies a new set and sends new replicas the keys that they lack. The previous set stays
// in use for replicaSetTTL.
func (claims *Claims) apply(next *KeyReplicas, version message.TableVersion) {
	claims.mutex.Lock()
	before := claims.currentReplicas()
	former := before.replicas
	if sameMembers(former.members, next.members) {
		claims.mutex.Unlock()
		return
	}
	now := time.Now()
	before.usedUntil = now.Add(replicaSetTTL)
	if len(former.members) == 0 {
		before.usedUntil = now
	}
	claims.recordLost(former.members, next.members, now)
	claims.recentReplicas = append(claims.recentReplicas, replicaSet{replicas: next, version: version, appliedAt: now})
	claims.mutex.Unlock()
	claims.proxy.goroutines.Start(func() { claims.sendMissingClaims(former, next) })
}

// recordLost marks the local keys as incomplete when so many replicas left within lostReplicaTTL
// that they may include all that granted a key.
func (claims *Claims) recordLost(former, next []message.Member, now time.Time) {
	lost := lostReplicas{at: now}
	for _, member := range former {
		if !slices.ContainsFunc(next, func(other message.Member) bool { return holderName(other) == holderName(member) }) {
			lost.count++
		}
	}
	claims.lostReplicas = append(claims.lostReplicas, lost)
	total := 0
	for _, loss := range claims.lostReplicas {
		if now.Sub(loss.at) < lostReplicaTTL {
			total += loss.count
		}
	}
	for now.Sub(claims.lostReplicas[0].at) > lostReplicaTTL {
		claims.lostReplicas = claims.lostReplicas[1:]
	}
	if total >= quorum(min(maxKeyReplicas, len(former)+total-lost.count)) && claims.complete {
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

func (claims *Claims) sendMissingClaims(before, next *KeyReplicas) {
	batches := map[string][]message.ClaimRecord{}
	for cursor, done := uint64(0), false; !done; {
		var page []message.ClaimRecord
		page, cursor, done = claims.store.Page(cursor, claimsPageSize)
		for _, record := range page {
			former := before.forKey(record.Key)
			for _, replica := range next.forKey(record.Key) {
				if !containsMember(former, replica.Name) && replica.Name != claims.proxy.daemon.Name() {
					batches[replica.InternalAddress] = append(batches[replica.InternalAddress], record)
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

// activeReplicas returns the replicas of a key in every set in use, the union of these, and the
// current table version.
func (claims *Claims) activeReplicas(key message.ClaimKey) ([][]message.Member, []message.Member, message.TableVersion) {
	claims.mutex.Lock()
	version := claims.currentReplicas().version
	recent := append([]replicaSet{}, claims.recentReplicas...)
	claims.mutex.Unlock()
	sets, all := [][]message.Member{}, []message.Member{}
	for _, set := range recent {
		replicas := set.replicas.forKey(key)
		sets = append(sets, replicas)
		for _, replica := range replicas {
			if !containsMember(all, replica.Name) {
				all = append(all, replica)
			}
		}
	}
	return sets, all, version
}
