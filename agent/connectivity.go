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
	// coreSilenceTimeout is the time without core contact after which proxies are queried.
	coreSilenceTimeout = 600 * time.Millisecond
	// partitionTimeout is the time without contact to a core or to half of the proxies after
	// which the daemon considers itself partitioned.
	partitionTimeout = 2 * time.Second
)

// connectivity records the last contact with a core that follows a leader, and with at least
// half of the proxies in the table. Contact times are those at which the requests were sent,
// so that late responses do not count as recent contact. It is safe for concurrent use.
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

// isPartitioned reports whether both contacts are older than partitionTimeout.
func (connectivity *connectivity) isPartitioned() bool {
	connectivity.mutex.Lock()
	defer connectivity.mutex.Unlock()
	return time.Since(connectivity.lastCoreContact) > partitionTimeout && time.Since(connectivity.lastPeerContact) > partitionTimeout
}

// coresUnreachable reports whether the last core contact is older than coreSilenceTimeout.
func (connectivity *connectivity) coresUnreachable() bool {
	connectivity.mutex.Lock()
	defer connectivity.mutex.Unlock()
	return time.Since(connectivity.lastCoreContact) > coreSilenceTimeout
}

// coreContactAge returns the time since sending the newest heartbeat that was answered by a
// core that follows a leader.
func (connectivity *connectivity) coreContactAge() time.Duration {
	connectivity.mutex.Lock()
	defer connectivity.mutex.Unlock()
	return time.Since(connectivity.lastCoreContact)
}

// partitionChanged returns whether the daemon is partitioned, and whether that has changed
// since the last call.
func (connectivity *connectivity) partitionChanged() (isPartitioned, changed bool) {
	isPartitioned = connectivity.isPartitioned()
	connectivity.mutex.Lock()
	defer connectivity.mutex.Unlock()
	changed = isPartitioned != connectivity.wasPartitioned
	connectivity.wasPartitioned = isPartitioned
	return isPartitioned, changed
}

// checkReachability queries the other proxies while no core is reachable. After a partition
// the daemon serves again only with a newly confirmed serial: the leader's or, while no core
// is reachable, the newest that half of the proxies know.
func (daemon *Daemon) checkReachability() {
	if isPartitioned, changed := daemon.connectivity.partitionChanged(); changed {
		klog.Infof("%s: partitioned from cores and proxies: %v", daemon.config.Name, isPartitioned)
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

// queryHalfOfProxies queries the other proxies in random order until half of all proxies have
// responded, counting this daemon if it is one. It returns the newest serial, the address of
// a proxy that has it (empty if this daemon's is the newest), and whether half responded.
func (daemon *Daemon) queryHalfOfProxies() (newest uint64, source string, reachedHalf bool) {
	proxies, others := daemon.proxies()
	shuffleMembers(others)
	newest = daemon.Version().Serial
	reached, half := proxies-len(others), (proxies+1)/2
	for next := 0; next < len(others) && reached < half; {
		batch := others[next:min(next+half-reached, len(others))]
		next += len(batch)
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

// proxies returns the number of proxies in the table, and the proxies other than this daemon.
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

// queryLeaders queries daemons for the leader and returns the responses by index in members.
func (daemon *Daemon) queryLeaders(members []message.Member) map[int]*message.LeaderResponse {
	responses, _ := concurrent.Gather(daemon.goroutines, len(members), func(index int) (*message.LeaderResponse, error) {
		return rpc.Call(daemon.client, members[index].InternalAddress, message.MethodLeader, peerTimeout, &message.LeaderRequest{})
	}, func(map[int]*message.LeaderResponse, map[int]error) bool { return false })
	return responses
}

func shuffleMembers(members []message.Member) {
	rand.Shuffle(len(members), func(left, right int) { members[left], members[right] = members[right], members[left] })
}
