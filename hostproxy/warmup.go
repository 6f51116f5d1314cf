package hostproxy

import (
	"hash/fnv"
	"time"

	"orchidjunction/message"
)

// warmupLimiter limits the request rate to one cold backend. Only its owner sends any, so
// that the proxies' rates do not add up; the rate leaves room for two more owners while
// proxies have different views.
type warmupLimiter struct {
	tokens     float64
	refilledAt time.Time
}

// maxWarmupOwners is how many proxies may consider themselves a backend's owner at once
// during a network partition.
const maxWarmupOwners = 3

func ownerWarmupRate(rate, excess, extra float64) float64 {
	return max(0, min(0.9*rate, (rate*excess+extra)/maxWarmupOwners-1))
}

func (warmup *warmupLimiter) allow(now time.Time, rate float64) bool {
	if warmup.refilledAt.IsZero() {
		warmup.refilledAt = now
	}
	warmup.tokens = min(1, warmup.tokens+now.Sub(warmup.refilledAt).Seconds()*rate)
	warmup.refilledAt = now
	if warmup.tokens < 1 {
		return false
	}
	warmup.tokens--
	return true
}

// warmupOwner returns the one proxy that may send to a cold backend, chosen by rendezvous
// hashing among those of its zone, else of its region, else all.
func warmupOwner(backend message.Backend, proxies []message.Member, regions map[string]string) string {
	best, bestRank, bestScore := "", 3, uint32(0)
	for index := range proxies {
		rank := 2
		switch {
		case proxies[index].Zone == backend.Zone:
			rank = 0
		case regions[proxies[index].Zone] == regions[backend.Zone]:
			rank = 1
		}
		if rank > bestRank {
			continue
		}
		hash := fnv.New32a()
		hash.Write([]byte(proxies[index].Name))
		hash.Write([]byte{0})
		hash.Write([]byte(backend.Name))
		score := hash.Sum32()
		if rank < bestRank || score > bestScore || score == bestScore && proxies[index].Name > best {
			best, bestRank, bestScore = proxies[index].Name, rank, score
		}
	}
	return best
}
