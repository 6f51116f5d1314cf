package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	// failedCoreTimeout is how long a core or parent that failed is not chosen again. A
	// daemon that serves alone does so after that time, too.
	failedCoreTimeout = 3 * time.Second
	// maxBehind is how long a daemon serves though it has heard of newer settings.
	maxStaleness = 2 * time.Second
)

// Ready reports whether this daemon may serve: what is in force was confirmed by a
// leader, and nothing newer has been known for long.
func (daemon *Daemon) Ready() bool {
	version, isWarm, isPartitioned := daemon.Version(), daemon.callbacks.isWarm(), daemon.connectivity.isPartitioned()
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	wasPaused := time.Since(daemon.lastPauseCheck) > daemon.intervals.pauseThreshold()
	if !isWarm || wasPaused {
		return false
	}
	if daemon.config.Routed {
		mayServeAlone := daemon.config.ServesAlone && time.Since(daemon.unconfirmedSince) > failedCoreTimeout
		isPartitioned = isPartitioned && !daemon.config.ServesAlone
		return (daemon.confirmed || mayServeAlone) && !isPartitioned && version.Servable()
	}
	isLate := daemon.newestSeen > version.Serial && time.Since(daemon.newestSeenAt) > maxStaleness
	return daemon.confirmed && !isPartitioned && !isLate && version.Serial > 0 && version.Table.Complete
}

// ObserveSerial takes a serial that a backend has seen. If it is newer than the one in
// force here, the daemon catches up.
func (daemon *Daemon) ObserveSerial(serial uint64) {
	if daemon.recordSerial(serial) {
		daemon.counters.Add("behind_a_backend", 1)
	}
}

// noteSerial notes a serial if it is newer than the one in force here, and reports that.
func (daemon *Daemon) recordSerial(serial uint64) bool {
	inForce := daemon.Version().Serial
	if serial <= inForce {
		return false
	}
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	if serial > daemon.newestSeen {
		if daemon.newestSeen <= inForce {
			daemon.newestSeenAt = time.Now()
		}
		daemon.newestSeen = serial
	}
	return true
}

// checkPulse finds out that this process was paused: what it holds may be long out of
// force, so that it serves again only on a newly confirmed version, as after a start.
func (daemon *Daemon) checkForPause() {
	daemon.mutex.Lock()
	wasPaused := time.Since(daemon.lastPauseCheck) > daemon.intervals.pauseThreshold()
	daemon.lastPauseCheck = time.Now()
	daemon.mutex.Unlock()
	if wasPaused {
		daemon.counters.Add("stood_still", 1)
		klog.Infof("%s: process was paused, asks for a confirmed version", daemon.config.Name)
		daemon.requireConfirmation()
	}
	if daemon.shouldQueryPeers() {
		daemon.goroutines.Start(daemon.queryPeers)
	}
}

// unconfirm makes this daemon serve again only on a newly confirmed version.
func (daemon *Daemon) requireConfirmation() {
	daemon.mutex.Lock()
	daemon.confirmed, daemon.unconfirmedSince = false, time.Now()
	daemon.mutex.Unlock()
	daemon.goroutines.Start(daemon.confirmVersion)
}

// confirmVersion asks the leader, until what the leader proved is in force here.
func (daemon *Daemon) confirmVersion() {
	for !daemon.goroutines.Stopping() {
		leader := daemon.LeaderFinder.Wait(time.Second)
		if leader.Known() && daemon.confirmWith(leader) {
			return
		}
		daemon.goroutines.Sleep(daemon.intervals.Session / 3)
	}
}

// confirmedBy asks a leader once and reports whether what it proved is in force here.
func (daemon *Daemon) confirmWith(leader message.Leader) bool {
	response, err := rpc.Call(
		daemon.client,
		leader.Address,
		message.MethodReadIndex,
		daemon.intervals.callTimeout(),
		&message.ReadIndexRequest{},
	)
	if err != nil {
		daemon.LeaderFinder.Drop(leader, false)
		return false
	}
	if !daemon.ensureApplied(leader, response) {
		return false
	}
	daemon.mutex.Lock()
	daemon.confirmed, daemon.everConfirmed = true, true
	daemon.mutex.Unlock()
	daemon.LeaderFinder.leaderFound.Notify()
	klog.Infof("%s: serial %d, routing %d confirmed", daemon.config.Name, response.Serial, response.Routing)
	return true
}

// reaches reports whether what the leader proved is in force here, after a fetch if need
// be. Nothing proves a system that has no settings or routing yet.
func (daemon *Daemon) ensureApplied(leader message.Leader, response *message.ReadIndexResponse) bool {
	isEmpty := response.Serial == 0
	if daemon.config.Routed {
		isEmpty = response.Routing == 0
	}
	if isEmpty {
		return false
	}
	isInForce := func() bool {
		return !daemon.Version().isBehind(response.Serial, response.Routing, response.Rollouts, message.TableVersion{})
	}
	return isInForce() || daemon.fetch(context.Background(), leader.Address) && isInForce()
}
