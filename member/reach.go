package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"

	"k8s.io/klog/v2"
)

const (
	reachLimit = 250 * time.Millisecond
	quietSpan  = 600 * time.Millisecond
	cutSpan    = 2 * time.Second
)

// Reach is when this daemon last reached a core that follows a leader, and when
// at least half of its last table's proxies. Times are those of the questions,
// so that answers to old ones count for nothing new.
type Reach struct {
	mutex sync.Mutex
	core  time.Time
	peers time.Time
	cut   bool
}

func (reach *Reach) heardCore(asked time.Time) {
	reach.mutex.Lock()
	reach.core = asked
	reach.mutex.Unlock()
}

func (reach *Reach) heardPeers(asked time.Time) {
	reach.mutex.Lock()
	reach.peers = asked
	reach.mutex.Unlock()
}

// Cut is whether this daemon reached neither for too long.
func (reach *Reach) Cut() bool {
	reach.mutex.Lock()
	defer reach.mutex.Unlock()
	return time.Since(reach.core) > cutSpan && time.Since(reach.peers) > cutSpan
}

// quiet is whether no core was reached lately.
func (reach *Reach) quiet() bool {
	reach.mutex.Lock()
	defer reach.mutex.Unlock()
	return time.Since(reach.core) > quietSpan
}

// turned gives whether this daemon is cut off now, and whether that is new.
func (reach *Reach) turned() (cut, fresh bool) {
	cut = reach.Cut()
	reach.mutex.Lock()
	defer reach.mutex.Unlock()
	fresh = cut != reach.cut
	reach.cut = cut
	return cut, fresh
}

// look asks the proxies while no core is reached. Cut off, this daemon serves
// again only on a newly confirmed serial: the leader's or, while no core is
// reached, the newest that half of the proxies know.
func (daemon *Daemon) look() {
	if cut, fresh := daemon.reach.turned(); fresh {
		klog.Infof("%s: cut off %v", daemon.place.Name, cut)
		if cut {
			daemon.counters.Add("cut_off", 1)
			daemon.doubt()
		}
	}
	if !daemon.reach.quiet() {
		return
	}
	asked := time.Now()
	version := daemon.Version()
	proxies, others := 0, []message.Member{}
	for _, known := range version.Table.Members {
		if known.Kind != "proxy" {
			continue
		}
		proxies++
		if known.Name != daemon.place.Name {
			others = append(others, known)
		}
	}
	rand.Shuffle(len(others), func(left, right int) { others[left], others[right] = others[right], others[left] })
	reached, newest, from := proxies-len(others), version.Serial, ""
	half := (proxies + 1) / 2
	for first := 0; first < len(others) && reached < half; {
		part := others[first:min(first+half-reached, len(others))]
		first += len(part)
		got, _ := concurrent.Gather(daemon.goroutines, len(part), func(index int) (*message.LeaderResponse, error) {
			return rpc.Call[message.LeaderRequest, message.LeaderResponse](daemon.line, part[index].InternalAddress, "who", reachLimit, &message.LeaderRequest{})
		}, func(map[int]*message.LeaderResponse, map[int]error) bool { return false })
		reached += len(got)
		for index, response := range got {
			if response.Serial > newest {
				newest, from = response.Serial, part[index].InternalAddress
			}
		}
	}
	if reached < half {
		return
	}
	daemon.reach.heardPeers(asked)
	daemon.Seen(newest)
	if from == "" || daemon.fetch(context.Background(), from) && daemon.Version().Serial >= newest {
		daemon.mutex.Lock()
		daemon.confirmed = daemon.once
		daemon.mutex.Unlock()
	}
}

// doubt makes this daemon serve again only on a newly confirmed serial.
func (daemon *Daemon) doubt() {
	daemon.mutex.Lock()
	daemon.confirmed, daemon.doubted = false, time.Now()
	daemon.mutex.Unlock()
	daemon.goroutines.Start(daemon.confirm)
}
