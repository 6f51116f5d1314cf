package serviceproxy

import (
	"hash/fnv"
	"sort"

	"orchidjunction/message"
)

const maxKeyReplicas = 5

// KeyReplicas is the set of proxies that store idempotency keys in one version of the table.
type KeyReplicas struct {
	members []message.Member
	regions map[string]string
}

func newKeyReplicas(table *message.Table, regions map[string]string) *KeyReplicas {
	replicas := &KeyReplicas{regions: regions}
	for _, member := range table.Members {
		if member.Kind == message.ProxyKind && member.KeyReplica {
			replicas.members = append(replicas.members, member)
		}
	}
	return replicas
}

// forKey returns the replicas of a key: it ranks the proxies by rendezvous hashing and picks from
// the regions in turn.
func (replicas *KeyReplicas) forKey(key message.ClaimKey) []message.Member {
	type ranked struct {
		member message.Member
		score  uint64
	}
	ranking := make([]ranked, len(replicas.members))
	for index, member := range replicas.members {
		ranking[index] = ranked{member, Rank(key.Tenant+"\x00"+key.Service+"\x00"+key.Key, member.Name)}
	}
	sort.Slice(ranking, func(left, right int) bool { return ranking[left].score > ranking[right].score })
	perRegion, chosen := map[string]int{}, []message.Member{}
	for round := 0; len(chosen) < min(maxKeyReplicas, len(ranking)); round++ {
		for _, candidate := range ranking {
			region := replicas.regions[candidate.member.Zone]
			if perRegion[region] == round && len(chosen) < maxKeyReplicas && !containsMember(chosen, candidate.member.Name) {
				perRegion[region]++
				chosen = append(chosen, candidate.member)
			}
		}
	}
	return chosen
}

// Rank returns the rendezvous-hashing weight of a name for a subject, the same in every process.
func Rank(subject, name string) uint64 {
	hasher := fnv.New64a()
	hasher.Write([]byte(subject + "\x00" + name))
	hash := hasher.Sum64()
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	return hash ^ hash>>33
}

func containsMember(members []message.Member, name string) bool {
	for _, member := range members {
		if member.Name == name {
			return true
		}
	}
	return false
}

// quorum is so large that quorums of two sets of five that differ in two members intersect.
func quorum(count int) int { return min((count+3)/2, count) }
