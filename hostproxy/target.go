package hostproxy

import (
	"math"
	"orchidjunction/message"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	openPenalty  = 20.0
	speedShare   = 0.1
	failureShare = 0.15
	othersShare  = 0.2
	othersSpan   = 400 * time.Millisecond
	ejectFirst   = 500 * time.Millisecond
	ejectMost    = 4 * time.Second
	ejectAfter   = 2
)

// target is one life of a backend as this process knows it; it outlives views.
type target struct {
	backend message.Backend

	mutex      sync.Mutex
	idle       []*connection
	open       int
	running    int
	gone       bool
	othersMean float64
	othersLast float64
	othersAt   time.Time
	speed      float64
	failing    float64
	failures   int
	ejected    time.Time
	backoff    time.Duration
	reviving   bool
	replaced   bool
	roundTrip  time.Duration
	warmup     Warmup
	suspect    time.Time
}

func newTarget(backend message.Backend) *target {
	return &target{backend: backend, speed: 1}
}

// load is how many requests the backend is thought to have, this process's and the
// others'.
func (target *target) load(now time.Time) float64 {
	others := target.othersMean
	if !target.othersAt.IsZero() {
		others += (target.othersLast - target.othersMean) * math.Exp(-now.Sub(target.othersAt).Seconds()/othersSpan.Seconds())
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
	target.othersLast = float64(max(0, running+waiting-target.running))
	target.othersAt = now
	target.othersMean += othersShare * (target.othersLast - target.othersMean)
	target.mutex.Unlock()
}

// weight is what choosing this target costs in milliseconds; full is whether its
// queue is as long as it should be.
func (target *target) setWeight(now time.Time, mean float64, far float64) (cost float64, full, ejected bool) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	slots := float64(max(target.backend.Capacity, 1))
	load, service := target.load(now), mean*target.speed
	cost = service + far + float64(target.roundTrip.Milliseconds()) + 0.4*service*min(1, load/slots) + 4*mean*target.failing
	if len(target.idle) == 0 {
		cost += openPenalty + float64(target.roundTrip.Milliseconds())
	}
	if load >= slots {
		cost += (load - slots + 1) / slots * service
	}
	return cost, load >= slots*(1+queueDepth), now.Before(target.ejected)
}

// enter takes a place at the target.
func (target *target) enter() {
	target.mutex.Lock()
	target.running++
	target.mutex.Unlock()
}

func (target *target) leave() {
	target.mutex.Lock()
	target.running--
	target.mutex.Unlock()
}

// reserveWarmup gives an idle connection that is still sound.
func (target *target) reserveWarmup(now time.Time) *connection {
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
		if taken.sound(now) {
			return taken
		}
		target.drop(taken)
	}
}

// reserve is whether one more connection may be opened.
func (target *target) reserve(most int) bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if target.open >= most || target.gone {
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

func (target *target) drop(connection *connection) {
	connection.close()
	target.unreserve()
}

// give puts a connection back for the next request.
func (target *target) give(connection *connection) {
	connection.used = time.Now()
	target.mutex.Lock()
	if !target.gone {
		target.idle = append(target.idle, connection)
		target.mutex.Unlock()
		return
	}
	target.mutex.Unlock()
	target.drop(connection)
}

// retire closes what is idle; connections in use close when they are given back.
func (target *target) retire() {
	target.mutex.Lock()
	target.gone = true
	idle := target.idle
	target.idle = nil
	target.mutex.Unlock()
	for _, connection := range idle {
		target.drop(connection)
	}
}

// expire closes connections that were idle for too long.
func (target *target) expire(now time.Time) {
	target.mutex.Lock()
	kept, old := target.idle[:0:0], []*connection{}
	for _, connection := range target.idle {
		if now.Sub(connection.used) >= connection.idle {
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
		target.drop(connection)
	}
}

// served lays in what a whole answer took, against the mean of its route.
func (target *target) served(took time.Duration, mean float64, good bool) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.failures, target.backoff = 0, 0
	target.ejected, target.replaced = time.Time{}, false
	if !good {
		target.failing += failureShare * (1 - target.failing)
		return
	}
	target.failing -= failureShare * target.failing
	if mean > 0 {
		ratio := min(4, max(0.25, float64(took.Milliseconds()-target.roundTrip.Milliseconds())/mean))
		target.speed += speedShare * (ratio - target.speed)
		target.speed = min(2, max(0.5, target.speed))
	}
}

// failed lays in a broken connection; dead is one that could not be opened.
func (target *target) failed(now time.Time, dead bool) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.failures++
	target.failing += failureShare * (1 - target.failing)
	if dead || target.failures >= ejectAfter {
		target.backoff = min(ejectMost, max(ejectFirst, 2*target.backoff))
		target.ejected = now.Add(target.backoff)
	}
}

// displace leaves the target out as long as can be: another life has its address,
// and takes dials as well.
func (target *target) displace(now time.Time) {
	target.mutex.Lock()
	target.replaced, target.backoff, target.ejected = true, ejectMost, now.Add(ejectMost)
	target.mutex.Unlock()
}

// wakes is whether an ejected target should be dialled again; only one dial goes on.
func (target *target) wakes(now time.Time) bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if target.ejected.IsZero() || target.gone || target.replaced || target.reviving || now.Before(target.ejected.Add(-ejectFirst/2)) {
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
		target.ejected, target.backoff = time.Time{}, 0
		target.failures = 0
		return
	}
	target.backoff = min(ejectMost, max(ejectFirst, 2*target.backoff))
	target.ejected = now.Add(target.backoff)
}

// suspectOnce makes the target count as cold until then.
func (target *target) suspectOnce(until time.Time) {
	target.mutex.Lock()
	if target.suspect.Before(until) {
		target.suspect = until
	}
	target.mutex.Unlock()
}

func (target *target) isSuspect(now time.Time) bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return now.Before(target.suspect)
}

// warm takes a token of a cold target.
func (target *target) warm(now time.Time, rate float64) bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.warmup.take(now, rate)
}

func (target *target) dialled(took time.Duration) {
	target.mutex.Lock()
	if target.roundTrip == 0 || took < target.roundTrip {
		target.roundTrip = took
	}
	target.mutex.Unlock()
}
