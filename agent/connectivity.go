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
	coreSilenceTimeout = 600 * time.Millisecond
	// cutAfter is how long neither a core nor half of the proxies are reached until this
	// daemon takes itself for cut off.
	partitionTimeout = 2 * time.Second
)

// connectivity is when this daemon last reached a core that follows a leader, and when at
// least half of its table's proxies. Times are those of the questions, so that answers to
// old ones count for nothing new. It is safe for concurrent use.
type connectivity struct {
	mutex           sync.Mutex
	lastCoreContact time.Time
	lastPeerContact time.Time
	wasPartitioned  bool
}

func (connectivity *connectivity) recordCoreContact(queriedAt time.Time) {
	connectivity.mutex.Lock()
	connectivity.lastCoreContact = queriedAt
	connectivity.mutex.Unlock()
}

func (connectivity *connectivity) recordPeerContact(queriedAt time.Time) {
	connectivity.mutex.Lock()
	connectivity.lastPeerContact = queriedAt
	connectivity.mutex.Unlock()
}

// isCut reports whether this daemon reached neither for too long.
func (connectivity *connectivity) isPartitioned() bool {
	connectivity.mutex.Lock()
	defer connectivity.mutex.Unlock()
	return time.Since(connectivity.lastCoreContact) > partitionTimeout && time.Since(connectivity.lastPeerContact) > partitionTimeout
}

// coresSilent reports whether no core was reached lately.
func (connectivity *connectivity) coresUnreachable() bool {
	connectivity.mutex.Lock()
	defer connectivity.mutex.Unlock()
	return time.Since(connectivity.lastCoreContact) > coreSilenceTimeout
}

// coreContactAge returns how long ago the newest heartbeat was sent that a core answered
// which follows a leader.
func (connectivity *connectivity) coreContactAge() time.Duration {
	connectivity.mutex.Lock()
	defer connectivity.mutex.Unlock()
	return time.Since(connectivity.lastCoreContact)
}

// cutChanged returns whether this daemon is cut off, and whether that has changed since
// the last call.
func (connectivity *connectivity) partitionChanged() (isPartitioned, changed bool) {
	isPartitioned = connectivity.isPartitioned()
	connectivity.mutex.Lock()
	defer connectivity.mutex.Unlock()
	changed = isPartitioned != connectivity.wasPartitioned
	connectivity.wasPartitioned = isPartitioned
	return isPartitioned, changed
}

// checkReach asks the other proxies while no core is reached. A daemon that was cut off
// serves again only on a newly confirmed serial: the leader's or, while no core is
// reached, the newest that half of the proxies know.
func (daemon *Daemon) checkReachability() {
	if isPartitioned, changed := daemon.connectivity.partitionChanged(); changed {
		klog.Infof("%s: partitioned from the cores: %v", daemon.config.Name, isPartitioned)
		if isPartitioned {
			daemon.counters.Add("cut_off", 1)
			daemon.requireConfirmation()
		}
	}
	if !daemon.connectivity.coresUnreachable() {
		return
	}
	queriedAt := time.Now()
	newest, source, reachedHalf := daemon.queryHalfOfProxies()
	if !reachedHalf {
		return
	}
	daemon.connectivity.recordPeerContact(queriedAt)
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
func (daemon *Daemon) queryHalfOfProxies() (newest uint64, source string, reachedHalf bool) {
	proxies, others := daemon.proxies()
	shuffle(others)
	newest = daemon.Version().Serial
	reached, half := proxies-len(others), (proxies+1)/2
	for first := 0; first < len(others) && reached < half; {
		batch := others[first:min(first+half-reached, len(others))]
		first += len(batch)
		responses := daemon.queryLeaders(batch)
		reached += len(responses)
		for index, response := range responses {
			if response.Serial > newest {
				newest, source = response.Serial, batch[index].InternalAddress
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
func (daemon *Daemon) queryLeaders(members []message.Member) map[int]*message.LeaderResponse {
	responses, _ := concurrent.Gather(daemon.goroutines, len(members), func(index int) (*message.LeaderResponse, error) {
		return rpc.Call(daemon.client, members[index].InternalAddress, message.MethodLeader, peerTimeout, &message.LeaderRequest{})
	}, func(map[int]*message.LeaderResponse, map[int]error) bool { return false })
	return responses
}

func shuffle(members []message.Member) {
	rand.Shuffle(len(members), func(left, right int) { members[left], members[right] = members[right], members[left] })
}
