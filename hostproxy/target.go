package hostproxy

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"orchidjunction/message"
)

// What evaluate adds to a target's cost.
const (
	openPenalty       = 20.0 // milliseconds, for a connection that must be opened
	utilizationWeight = 0.4  // of the service time, at full utilization
	failurePenalty    = 4.0  // times the route's mean time, if all requests failed of late
)

// Weights of the newest value in exponentially weighted means.
const (
	slownessWeight = 0.1
	failureWeight  = 0.15
	othersWeight   = 0.2
)

// othersDecay is the time constant by which a reported load returns to its mean.
const othersDecay = 400 * time.Millisecond

// A target is ejected for a time that doubles with each failure.
const (
	minEjection     = 500 * time.Millisecond
	maxEjection     = 4 * time.Second
	failuresToEject = 2
)

// target is one incarnation of a backend as this process knows it; it outlives views.
type target struct {
	backend message.Backend
	number  uint32 // tells it from the other targets of this process
	offer   *offer // nil while no view has the target as a candidate

	mutex          sync.Mutex
	idle           []*connection
	open           int // connections, idle ones too
	running        int // requests that this process has there
	retired        bool
	othersLoadMean float64 // requests of other processes
	othersLoad     float64 // the same when the backend said it last
	othersLoadAt   time.Time
	slowness       float64 // times that its answers take, against the mean of their routes
	failureRate    float64 // share of requests that failed of late
	failures       int     // in a row
	ejectedUntil   time.Time
	backoff        time.Duration
	reviving       bool          // a dial that probes whether it is back goes on
	replaced       bool          // another incarnation has its address
	roundTrip      time.Duration // the shortest that a dial took
	warmup         Warmup
	suspectedUntil time.Time
}

func newTarget(backend message.Backend) *target {
	return &target{backend: backend, slowness: 1}
}

// load is how many requests the backend is thought to have, this process's and the
// others'.
func (target *target) load(now time.Time) float64 {
	others := target.othersLoadMean
	if !target.othersLoadAt.IsZero() {
		others += (target.othersLoad - target.othersLoadMean) * math.Exp(-now.Sub(target.othersLoadAt).Seconds()/othersDecay.Seconds())
	}
	return float64(target.running) + max(0, others)
}

// observeLoad takes what the backend says of its load: running, waiting and slots.
func (target *target) observeLoad(text string, now time.Time) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return
	}
	running, first := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, second := strconv.Atoi(strings.TrimSpace(parts[1]))
	if first != nil || second != nil || running < 0 || waiting < 0 {
		return
	}
	target.mutex.Lock()
	target.othersLoad = float64(max(0, running+waiting-target.running))
	target.othersLoadAt = now
	target.othersLoadMean += othersWeight * (target.othersLoad - target.othersLoadMean)
	target.mutex.Unlock()
}

// evaluate returns what choosing this target costs in milliseconds: the time that it is
// expected to take, with penalties for distance, utilization and failures. mean is the
// route's mean time and far the distance penalty, in milliseconds; full is whether its
// queue is as long as it may be.
func (target *target) evaluate(now time.Time, mean float64, far float64) (cost float64, full, ejected bool) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	slots := float64(max(target.backend.Capacity, 1))
	load, service := target.load(now), mean*target.slowness
	utilization := min(1, load/slots)
	roundTrip := float64(target.roundTrip.Milliseconds())
	cost = service + far + roundTrip + utilizationWeight*service*utilization + failurePenalty*mean*target.failureRate
	if len(target.idle) == 0 {
		cost += openPenalty + roundTrip
	}
	if load >= slots {
		cost += (load - slots + 1) / slots * service
	}
	return cost, load >= slots*(1+queueDepth), now.Before(target.ejectedUntil)
}

// begin takes a place at the target.
func (target *target) begin() {
	target.mutex.Lock()
	target.running++
	target.mutex.Unlock()
}

// end gives the place at the target back.
func (target *target) end() {
	target.mutex.Lock()
	target.running--
	target.mutex.Unlock()
}

// inFlight is how many requests this process has at the target.
func (target *target) inFlight() int {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.running
}

// takeIdle gives an idle connection that is still sound.
func (target *target) takeIdle(now time.Time) *connection {
	for {
		target.mutex.Lock()
		last := len(target.idle) - 1
		if last < 0 {
			target.mutex.Unlock()
			return nil
		}
		taken := target.idle[last]
		target.idle = target.idle[:last]
		target.mutex.Unlock()
		if taken.isReusable(now) {
			return taken
		}
		target.discard(taken)
	}
}

// reserve is whether one more connection may be opened.
func (target *target) reserve(limit int) bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if target.open >= limit || target.retired {
		return false
	}
	target.open++
	return true
}

func (target *target) unreserve() {
	target.mutex.Lock()
	target.open--
	target.mutex.Unlock()
}

func (target *target) discard(connection *connection) {
	connection.close()
	target.unreserve()
}

// release puts a connection back for the next request.
func (target *target) release(connection *connection) {
	connection.usedAt = time.Now()
	target.mutex.Lock()
	if !target.retired {
		target.idle = append(target.idle, connection)
		target.mutex.Unlock()
		return
	}
	target.mutex.Unlock()
	target.discard(connection)
}

// retire closes what is idle; connections in use close when they are given back.
func (target *target) retire() {
	target.mutex.Lock()
	target.retired = true
	idle := target.idle
	target.idle = nil
	target.mutex.Unlock()
	for _, connection := range idle {
		target.discard(connection)
	}
}

// expire closes connections that were idle for too long.
func (target *target) expire(now time.Time) {
	target.mutex.Lock()
	kept, old := target.idle[:0:0], []*connection{}
	for _, connection := range target.idle {
		if now.Sub(connection.usedAt) >= connection.idleTimeout {
			old = append(old, connection)
		} else {
			kept = append(kept, connection)
		}
	}
	if len(old) > 0 {
		target.idle = kept
	}
	target.mutex.Unlock()
	for _, connection := range old {
		target.discard(connection)
	}
}

// served records how long a whole answer took, against the mean of its route.
func (target *target) served(took time.Duration, mean float64, good bool) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.failures, target.backoff = 0, 0
	target.ejectedUntil, target.replaced = time.Time{}, false
	if !good {
		target.failureRate += failureWeight * (1 - target.failureRate)
		return
	}
	target.failureRate -= failureWeight * target.failureRate
	if mean > 0 {
		ratio := min(4, max(0.25, float64(took.Milliseconds()-target.roundTrip.Milliseconds())/mean))
		target.slowness += slownessWeight * (ratio - target.slowness)
		target.slowness = min(2, max(0.5, target.slowness))
	}
}

// failed records a broken connection; dead is one that could not be opened.
func (target *target) failed(now time.Time, dead bool) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.failures++
	target.failureRate += failureWeight * (1 - target.failureRate)
	if dead || target.failures >= failuresToEject {
		target.backoff = min(maxEjection, max(minEjection, 2*target.backoff))
		target.ejectedUntil = now.Add(target.backoff)
	}
}

// replacedByOther ejects the target for the longest time: another incarnation has its address,
// and takes dials as well.
func (target *target) replacedByOther(now time.Time) {
	target.mutex.Lock()
	target.replaced, target.backoff, target.ejectedUntil = true, maxEjection, now.Add(maxEjection)
	target.mutex.Unlock()
}

// shouldRevive is whether an ejected target should be dialled again; only one dial goes on.
func (target *target) shouldRevive(now time.Time) bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if target.ejectedUntil.IsZero() || target.retired || target.replaced || target.reviving ||
		now.Before(target.ejectedUntil.Add(-minEjection/2)) {
		return false
	}
	target.reviving = true
	return true
}

// revived ends a dial that was made to learn whether the target is back.
func (target *target) revived(now time.Time, back bool) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.reviving = false
	if back {
		target.ejectedUntil, target.backoff = time.Time{}, 0
		target.failures = 0
		return
	}
	target.backoff = min(maxEjection, max(minEjection, 2*target.backoff))
	target.ejectedUntil = now.Add(target.backoff)
}

// isEjected is whether the target is left out because it failed.
func (target *target) isEjected(now time.Time) bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return now.Before(target.ejectedUntil)
}

// suspectUntil makes the target count as warming up until a time.
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

// takeWarmup is whether a target that is warming up may get a request now.
func (target *target) takeWarmup(now time.Time, rate float64) bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.warmup.allow(now, rate)
}

// dialled records how long a dial took.
func (target *target) dialled(took time.Duration) {
	target.mutex.Lock()
	if target.roundTrip == 0 || took < target.roundTrip {
		target.roundTrip = took
	}
	target.mutex.Unlock()
}
