package agent

import (
	"context"
	"time"
)

// behindTimeout is how long a daemon that is behind its core waits for its parent before it
// fetches from the leader.
const behindTimeout = 500 * time.Millisecond

// watchParents watches a parent in the relay tree for updates and fetches them from it.
func (daemon *Daemon) watchParents() {
	for !daemon.goroutines.Stopping() {
		parent := daemon.chooseParent()
		if parent == "" {
			daemon.LeaderFinder.Wait(time.Second)
			continue
		}
		version := daemon.Version()
		response, err := daemon.watch(context.Background(), parent, version)
		if err != nil {
			daemon.handleParentFailure(parent)
			continue
		}
		daemon.applyWatchResponse(response)
		isNewer := daemon.Version().isBehind(response.Serial, response.Routing, response.Rollouts, response.Table)
		if isNewer && !daemon.fetch(context.Background(), parent) {
			daemon.handleParentFailure(parent)
		}
	}
}

// chooseParent returns the nearest ancestor in the relay tree that has not failed recently, or
// the leader if there is none or the daemon has been behind for too long.
func (daemon *Daemon) chooseParent() string {
	parents := newRelayTree(daemon.Version().Table).parents(daemon.config.Name)
	leader := daemon.LeaderFinder.Leader()
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	chosen := leader.Address
	if !daemon.isLate() || chosen == "" {
		for _, parent := range parents {
			if time.Since(daemon.failedAt[parent.InternalAddress]) > failedCoreTimeout {
				chosen = parent.InternalAddress
				break
			}
		}
	}
	if chosen != daemon.parent {
		daemon.parent = chosen
		daemon.counters.Add("parents_changed", 1)
	}
	return chosen
}

// isLate reports whether this daemon has been behind its core, or behind the newest serial it
// knows of, for too long. The caller holds the mutex.
func (daemon *Daemon) isLate() bool {
	isBehindCore := !daemon.behindSince.IsZero() && time.Since(daemon.behindSince) > behindTimeout
	knowsNewer := daemon.newestSerial > daemon.Version().Serial && time.Since(daemon.newestSerialAt) > daemon.intervals.FindLeader
	return isBehindCore || knowsNewer
}

// handleParentFailure records the failure of a parent or core, and pauses before the next try.
func (daemon *Daemon) handleParentFailure(parent string) {
	daemon.counters.Add("parents_lost", 1)
	if leader := daemon.LeaderFinder.Leader(); leader.Address == parent {
		daemon.LeaderFinder.Drop(leader, false)
	}
	daemon.mutex.Lock()
	daemon.failedAt[parent] = time.Now()
	daemon.mutex.Unlock()
	daemon.goroutines.Sleep(daemon.intervals.FindLeader)
}
