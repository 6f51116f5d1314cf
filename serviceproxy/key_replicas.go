package serviceproxy

import (
	"hash/fnv"
	"sort"

	"orchidjunction/message"
)

const maxKeyReplicas = 5

// KeyReplicas is the set of proxies that keep idempotency keys, as one version of the
// table names them.
type KeyReplicas struct {
	members []message.Member
	regions map[string]string
}

func newKeyReplicas(table *message.Table, regions map[string]string) *KeyReplicas {
	keepers := &KeyReplicas{regions: regions}
	for _, member := range table.Members {
		if member.Kind == message.ProxyKind && member.KeyReplica {
			keepers.members = append(keepers.members, member)
		}
	}
	return keepers
}

// of ranks the ring for a key and takes the first of each region in turn.
func (keepers *KeyReplicas) of(key message.ClaimKey) []message.Member {
	type ranked struct {
		member message.Member
		score  uint64
	}
	ranks := make([]ranked, len(keepers.members))
	for index, member := range keepers.members {
		ranks[index] = ranked{member, Rank(key.Tenant+"\x00"+key.Service+"\x00"+key.Key, member.Name)}
	}
	sort.Slice(ranks, func(left, right int) bool { return ranks[left].score > ranks[right].score })
	taken, chosen := map[string]int{}, []message.Member{}
	for round := 0; len(chosen) < min(maxKeyReplicas, len(ranks)); round++ {
		for _, one := range ranks {
			region := keepers.regions[one.member.Zone]
			if taken[region] == round && len(chosen) < maxKeyReplicas && !among(chosen, one.member.Name) {
				taken[region]++
				chosen = append(chosen, one.member)
			}
		}
	}
	return chosen
}

// Rank returns the weight of a name for a subject for rendezvous hashing, the same
// in every process.
func Rank(subject, name string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(subject + "\x00" + name))
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return mixed ^ mixed>>33
}

func among(members []message.Member, name string) bool {
	for _, member := range members {
		if member.Name == name {
			return true
		}
	}
	return false
}

// quorum is so large that quorums of two rings that differ in two members of
// five still meet.
func quorum(count int) int { return min((count+3)/2, count) }
