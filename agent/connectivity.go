package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	peerTimeout = 250 * time.Millisecond
	// coresSilentAfter is how long no core is reached until other daemons are asked.
	coresSilentAfter = 600 * time.Millisecond
	// cutAfter is how long neither a core nor half of the proxies are reached until this
	// daemon takes itself for cut off.
	cutAfter = 2 * time.Second
)

// connectivity is when this daemon last reached a core that follows a leader, and when at
// least half of its table's proxies. Times are those of the questions, so that answers to
// old ones count for nothing new. It is safe for concurrent use.
type connectivity struct {
	mutex          sync.Mutex
	coreReachedAt  time.Time
	peersReachedAt time.Time
	wasCut         bool
}

func (connectivity *connectivity) reachedCore(askedAt time.Time) {
	connectivity.mutex.Lock()
	connectivity.coreReachedAt = askedAt
	connectivity.mutex.Unlock()
}

func (connectivity *connectivity) reachedPeers(askedAt time.Time) {
	connectivity.mutex.Lock()
	connectivity.peersReachedAt = askedAt
	connectivity.mutex.Unlock()
}

// isCut reports whether this daemon reached neither for too long.
func (connectivity *connectivity) isCut() bool {
	connectivity.mutex.Lock()
	defer connectivity.mutex.Unlock()
	return time.Since(connectivity.coreReachedAt) > cutAfter && time.Since(connectivity.peersReachedAt) > cutAfter
}

// coresSilent reports whether no core was reached lately.
func (connectivity *connectivity) coresSilent() bool {
	connectivity.mutex.Lock()
	defer connectivity.mutex.Unlock()
	return time.Since(connectivity.coreReachedAt) > coresSilentAfter
}

// coreContactAge returns how long ago the newest heartbeat was sent that a core answered
// which follows a leader.
func (connectivity *connectivity) coreContactAge() time.Duration {
	connectivity.mutex.Lock()
	defer connectivity.mutex.Unlock()
	return time.Since(connectivity.coreReachedAt)
}

// cutChanged returns whether this daemon is cut off, and whether that has changed since
// the last call.
func (connectivity *connectivity) cutChanged() (isCut, changed bool) {
	isCut = connectivity.isCut()
	connectivity.mutex.Lock()
	defer connectivity.mutex.Unlock()
	changed = isCut != connectivity.wasCut
	connectivity.wasCut = isCut
	return isCut, changed
}

// checkReach asks the other proxies while no core is reached. A daemon that was cut off
// serves again only on a newly confirmed serial: the leader's or, while no core is
// reached, the newest that half of the proxies know.
func (daemon *Daemon) checkReach() {
	if isCut, changed := daemon.connectivity.cutChanged(); changed {
		klog.Infof("%s: partitioned from the cores: %v", daemon.config.Name, isCut)
		if isCut {
			daemon.counters.Add("cut_off", 1)
			daemon.unconfirm()
		}
	}
	if !daemon.connectivity.coresSilent() {
		return
	}
	askedAt := time.Now()
	newest, source, reachedHalf := daemon.askHalfOfProxies()
	if !reachedHalf {
		return
	}
	daemon.connectivity.reachedPeers(askedAt)
	daemon.ObserveSerial(newest)
	isInForce := source == ""
	if !isInForce {
		isInForce = daemon.fetch(context.Background(), source) && daemon.Version().Serial >= newest
	}
	if isInForce {
		daemon.mutex.Lock()
		daemon.confirmed = daemon.everConfirmed
		daemon.mutex.Unlock()
	}
}

// askHalfOfProxies asks other proxies in random order until half of them, this daemon
// included if it is one, are reached. It returns the newest serial that they know, the
// address of one that holds it (empty if none is newer than here), and whether half of
// them were reached.
func (daemon *Daemon) askHalfOfProxies() (newest uint64, source string, reachedHalf bool) {
	proxies, others := daemon.proxies()
	shuffle(others)
	newest = daemon.Version().Serial
	reached, half := proxies-len(others), (proxies+1)/2
	for first := 0; first < len(others) && reached < half; {
		request := others[first:min(first+half-reached, len(others))]
		first += len(request)
		responses := daemon.askLeaders(request)
		reached += len(responses)
		for index, response := range responses {
			if response.Serial > newest {
				newest, source = response.Serial, request[index].InternalAddress
			}
		}
	}
	return newest, source, reached >= half
}

// proxies returns how many proxies the table has, and those but this daemon.
func (daemon *Daemon) proxies() (count int, others []message.Member) {
	for _, member := range daemon.Version().Table.Members {
		if member.Kind != message.ProxyKind {
			continue
		}
		count++
		if member.Name != daemon.config.Name {
			others = append(others, member)
		}
	}
	return count, others
}

// askLeaders asks daemons for the leader and returns the responses by position.
func (daemon *Daemon) askLeaders(members []message.Member) map[int]*message.LeaderResponse {
	responses, _ := concurrent.Gather(daemon.goroutines, len(members), func(index int) (*message.LeaderResponse, error) {
		return rpc.Call(daemon.client, members[index].InternalAddress, message.MethodLeader, peerTimeout, &message.LeaderRequest{})
	}, func(map[int]*message.LeaderResponse, map[int]error) bool { return false })
	return responses
}

func shuffle(members []message.Member) {
	rand.Shuffle(len(members), func(left, right int) { members[left], members[right] = members[right], members[left] })
}
