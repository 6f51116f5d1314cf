package hostproxy

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"orchidjunction/message"
)

// Penalties that evaluate adds to a target's cost.
const (
	openPenaltyMs     = 20.0 // if a connection must be opened
	utilizationWeight = 0.4  // share of the service time, at full utilization
	failurePenalty    = 4.0  // times the route's mean time, at a failure rate of 1
)

// Weights of the newest value in exponentially weighted means.
const (
	slownessWeight = 0.1
	failureWeight  = 0.15
	othersWeight   = 0.2
)

// othersDecay is the time constant with which a reported load decays to its mean.
const othersDecay = 400 * time.Millisecond

// The ejection time doubles with each failure.
const (
	minEjection     = 500 * time.Millisecond
	maxEjection     = 4 * time.Second
	failuresToEject = 2
)

// target is this process's state of one incarnation of a backend; it outlives views.
type target struct {
	backend     message.Backend
	id          uint32       // unique among this process's targets
	eligibility *eligibility // nil while no view has the target as a candidate

	mutex           sync.Mutex
	idle            []*connection
	openConnections int // connections, including idle ones
	running         int // this process's requests in flight
	retired         bool
	othersLoadMean  float64 // requests from other processes
	othersLoad      float64 // the same as last reported by the backend
	othersLoadAt    time.Time
	slowness        float64 // response time relative to the mean of the route
	failureRate     float64 // moving average of failed requests
	failures        int     // consecutive
	ejectedUntil    time.Time
	backoff         time.Duration
	probing         bool          // whether a dial is testing if it has recovered
	replaced        bool          // another incarnation has its address
	roundTrip       time.Duration // shortest dial time
	warmup          warmupLimiter
	suspectedUntil  time.Time
}

func newTarget(backend message.Backend) *target {
	return &target{backend: backend, slowness: 1}
}

// load estimates the backend's requests, from this process and others.
func (target *target) load(now time.Time) float64 {
	others := target.othersLoadMean
	if !target.othersLoadAt.IsZero() {
		others += (target.othersLoad - target.othersLoadMean) * math.Exp(-now.Sub(target.othersLoadAt).Seconds()/othersDecay.Seconds())
	}
	return float64(target.running) + max(0, others)
}

// observeLoad parses a load report of the form "running,waiting,slots".
func (target *target) observeLoad(text string, now time.Time) {
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return
	}
	running, runningErr := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, waitingErr := strconv.Atoi(strings.TrimSpace(fields[1]))
	if runningErr != nil || waitingErr != nil || running < 0 || waiting < 0 {
		return
	}
	target.mutex.Lock()
	target.othersLoad = float64(max(0, running+waiting-target.running))
	target.othersLoadAt = now
	target.othersLoadMean += othersWeight * (target.othersLoad - target.othersLoadMean)
	target.mutex.Unlock()
}

// evaluate returns the cost of choosing this target in milliseconds: the expected response
// time with penalties for distance, utilization and failures. mean is the route's mean time
// and distanceMs the distance penalty, in milliseconds; full reports that the queue limit
// is reached.
func (target *target) evaluate(now time.Time, mean float64, distanceMs float64) (cost float64, full, ejected bool) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	slots := float64(max(target.backend.Capacity, 1))
	load, service := target.load(now), mean*target.slowness
	utilization := min(1, load/slots)
	roundTrip := float64(target.roundTrip.Milliseconds())
	cost = service + distanceMs + roundTrip + utilizationWeight*service*utilization + failurePenalty*mean*target.failureRate
	if len(target.idle) == 0 {
		cost += openPenaltyMs + roundTrip
	}
	if load >= slots {
		cost += (load - slots + 1) / slots * service
	}
	return cost, load >= slots*(1+maxQueuePerSlot), now.Before(target.ejectedUntil)
}

// startRequest counts a request in flight at the target.
func (target *target) startRequest() {
	target.mutex.Lock()
	target.running++
	target.mutex.Unlock()
}

// endRequest undoes startRequest.
func (target *target) endRequest() {
	target.mutex.Lock()
	target.running--
	target.mutex.Unlock()
}

// inFlight returns this process's requests in flight at the target.
func (target *target) inFlight() int {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.running
}

// takeIdle returns an idle connection that is still usable, or nil.
func (target *target) takeIdle(now time.Time) *connection {
	for {
		target.mutex.Lock()
		last := len(target.idle) - 1
		if last < 0 {
			target.mutex.Unlock()
			return nil
		}
		connection := target.idle[last]
		target.idle = target.idle[:last]
		target.mutex.Unlock()
		if connection.isReusable(now) {
			return connection
		}
		target.discardConnection(connection)
	}
}

// reserveConnection reports whether another connection may be opened, and counts it.
func (target *target) reserveConnection(limit int) bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if target.openConnections >= limit || target.retired {
		return false
	}
	target.openConnections++
	return true
}

func (target *target) unreserveConnection() {
	target.mutex.Lock()
	target.openConnections--
	target.mutex.Unlock()
}

func (target *target) discardConnection(connection *connection) {
	connection.close()
	target.unreserveConnection()
}

// releaseConnection returns a connection to the idle pool.
func (target *target) releaseConnection(connection *connection) {
	connection.usedAt = time.Now()
	target.mutex.Lock()
	if !target.retired {
		target.idle = append(target.idle, connection)
		target.mutex.Unlock()
		return
	}
	target.mutex.Unlock()
	target.discardConnection(connection)
}

// retire closes idle connections; those in use are closed when released.
func (target *target) retire() {
	target.mutex.Lock()
	target.retired = true
	idle := target.idle
	target.idle = nil
	target.mutex.Unlock()
	for _, connection := range idle {
		target.discardConnection(connection)
	}
}

// closeExpired closes connections that have exceeded their idle timeout.
func (target *target) closeExpired(now time.Time) {
	target.mutex.Lock()
	kept, expired := target.idle[:0:0], []*connection{}
	for _, connection := range target.idle {
		if now.Sub(connection.usedAt) >= connection.idleTimeout {
			expired = append(expired, connection)
		} else {
			kept = append(kept, connection)
		}
	}
	if len(expired) > 0 {
		target.idle = kept
	}
	target.mutex.Unlock()
	for _, connection := range expired {
		target.discardConnection(connection)
	}
}

// recordResponse records the time of a response, relative to the route's mean.
func (target *target) recordResponse(elapsed time.Duration, mean float64, succeeded bool) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.failures, target.backoff = 0, 0
	target.ejectedUntil, target.replaced = time.Time{}, false
	if !succeeded {
		target.failureRate += failureWeight * (1 - target.failureRate)
		return
	}
	target.failureRate -= failureWeight * target.failureRate
	if mean > 0 {
		ratio := min(4, max(0.25, float64(elapsed.Milliseconds()-target.roundTrip.Milliseconds())/mean))
		target.slowness += slownessWeight * (ratio - target.slowness)
		target.slowness = min(2, max(0.5, target.slowness))
	}
}

// recordFailure records a broken connection, or a failed dial.
func (target *target) recordFailure(now time.Time, dialFailed bool) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.failures++
	target.failureRate += failureWeight * (1 - target.failureRate)
	if dialFailed || target.failures >= failuresToEject {
		target.backoff = min(maxEjection, max(minEjection, 2*target.backoff))
		target.ejectedUntil = now.Add(target.backoff)
	}
}

// recordReplacement ejects the target for maxEjection: another incarnation has its address,
// so that a successful dial would not show recovery.
func (target *target) recordReplacement(now time.Time) {
	target.mutex.Lock()
	target.replaced, target.backoff, target.ejectedUntil = true, maxEjection, now.Add(maxEjection)
	target.mutex.Unlock()
}

// startProbe reports whether to dial an ejected target again; there is one probe at a time.
func (target *target) startProbe(now time.Time) bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if target.ejectedUntil.IsZero() || target.retired || target.replaced || target.probing ||
		now.Before(target.ejectedUntil.Add(-minEjection/2)) {
		return false
	}
	target.probing = true
	return true
}

// endProbe records whether a probe reached the target.
func (target *target) endProbe(now time.Time, recovered bool) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.probing = false
	if recovered {
		target.ejectedUntil, target.backoff = time.Time{}, 0
		target.failures = 0
		return
	}
	target.backoff = min(maxEjection, max(minEjection, 2*target.backoff))
	target.ejectedUntil = now.Add(target.backoff)
}

// isEjected reports whether the target is ejected because of failures.
func (target *target) isEjected(now time.Time) bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return now.Before(target.ejectedUntil)
}

// suspectUntil treats the target as cold until the given time.
func (target *target) suspectUntil(until time.Time) {
	target.mutex.Lock()
	if target.suspectedUntil.Before(until) {
		target.suspectedUntil = until
	}
	target.mutex.Unlock()
}

func (target *target) isSuspect(now time.Time) bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return now.Before(target.suspectedUntil)
}

// takeWarmupToken reports whether a cold target may get a request now.
func (target *target) takeWarmupToken(now time.Time, rate float64) bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.warmup.allow(now, rate)
}

// recordDial updates the round-trip time with the duration of a dial.
func (target *target) recordDial(elapsed time.Duration) {
	target.mutex.Lock()
	if target.roundTrip == 0 || elapsed < target.roundTrip {
		target.roundTrip = elapsed
	}
	target.mutex.Unlock()
}
