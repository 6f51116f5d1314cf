package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	// failedCoreTimeout is how long a failed core or parent is avoided. It is also how long a
	// daemon with ServesAlone waits for confirmation before it serves unconfirmed.
	failedCoreTimeout = 3 * time.Second
	// maxStaleness is how long a daemon serves after learning of newer settings.
	maxStaleness = 2 * time.Second
)

// Ready reports whether this daemon may serve. In general the version in force must have been
// confirmed by a leader, and no newer settings may have been known for longer than
// maxStaleness.
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
	isLate := daemon.newestSerial > version.Serial && time.Since(daemon.newestSerialAt) > maxStaleness
	return daemon.confirmed && !isPartitioned && !isLate && version.Serial > 0 && version.Table.Complete
}

// ObserveSerial records a serial seen by a backend or proxy. If it is newer than the one in
// force, the daemon catches up.
func (daemon *Daemon) ObserveSerial(serial uint64) {
	if daemon.recordSerial(serial) {
		daemon.counters.Add("behind_a_backend", 1)
	}
}

// recordSerial records a serial if it is newer than the one in force, and reports whether it is.
func (daemon *Daemon) recordSerial(serial uint64) bool {
	inForce := daemon.Version().Serial
	if serial <= inForce {
		return false
	}
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	if serial > daemon.newestSerial {
		if daemon.newestSerial <= inForce {
			daemon.newestSerialAt = time.Now()
		}
		daemon.newestSerial = serial
	}
	return true
}

// checkForPause detects that this process was paused. Its version may be outdated, so it serves
// again only with a newly confirmed version, as after a start.
func (daemon *Daemon) checkForPause() {
	daemon.mutex.Lock()
	wasPaused := time.Since(daemon.lastPauseCheck) > daemon.intervals.pauseThreshold()
	daemon.lastPauseCheck = time.Now()
	daemon.mutex.Unlock()
	if wasPaused {
		daemon.counters.Add("stood_still", 1)
		klog.Infof("%s: process was paused; waiting for a leader to confirm the version", daemon.config.Name)
		daemon.requireConfirmation()
	}
	if daemon.shouldQueryPeers() {
		daemon.goroutines.Start(daemon.queryPeers)
	}
}

// requireConfirmation marks the version in force as unconfirmed and starts confirming it.
func (daemon *Daemon) requireConfirmation() {
	daemon.mutex.Lock()
	daemon.confirmed, daemon.unconfirmedSince = false, time.Now()
	daemon.mutex.Unlock()
	daemon.goroutines.Start(daemon.confirmVersion)
}

// confirmVersion queries the leader until the versions that it confirms are in force here.
func (daemon *Daemon) confirmVersion() {
	for !daemon.goroutines.Stopping() {
		leader := daemon.LeaderFinder.Wait(time.Second)
		if leader.Known() && daemon.confirmWith(leader) {
			return
		}
		daemon.goroutines.Sleep(daemon.intervals.Session / 3)
	}
}

// confirmWith queries a leader once and reports whether the versions that it confirms are in
// force here.
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
	klog.Infof("%s: leader confirmed settings serial %d, routing serial %d", daemon.config.Name, response.Serial, response.Routing)
	return true
}

// ensureApplied fetches the versions that the leader confirmed unless they are in force, and
// reports whether they are now. It returns false while there are no settings or routing yet.
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
