package serviceproxy

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	probeLimit    = 600 * time.Millisecond
	probePace     = 500 * time.Millisecond
	probeMost     = 2 * time.Second
	probers       = 8
	failuresDown  = 2
	idlePipeSpan  = 20 * time.Second
	warmupSettle  = time.Second
	warmupSenders = 2
)

// Target is one backend as this proxy knows it: its listing, its health by probes
// and responses, and idle connections, which belong to the incarnation that opened
// them.
type Target struct {
	listing   atomic.Pointer[message.Backend]
	dial      Dialer
	looked    atomic.Bool
	probeHint *concurrent.Condition

	mutex         sync.Mutex
	identity      Identity
	probed        bool
	failures      int
	wrong         bool
	closed        bool // no longer listed
	inFlight      int
	idle          []*BackendConn
	warmupLimiter *rate.Limiter
	shares        int
	chosen        time.Time
}

func newTarget(backend message.Backend, dial Dialer) *Target {
	target := &Target{dial: dial, probeHint: concurrent.NewCondition()}
	target.listing.Store(&backend)
	return target
}

func (target *Target) backend() message.Backend { return *target.listing.Load() }

// relist keeps what is known of a backend whose listing changed elsewhere than
// in its address. While it is cold only shares proxies send to it; 0 means that
// this one does not.
func (target *Target) relist(backend message.Backend, shares int) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if backend.ProbeHint > target.backend().ProbeHint {
		target.probeHint.Notify()
	}
	target.listing.Store(&backend)
	if target.shares != shares {
		if target.shares == 0 {
			target.chosen = time.Now()
		}
		target.shares, target.warmupLimiter = shares, nil
		target.updateWarmup()
	}
}

// updateWarmup sets this proxy's share of the gentle rate; it begins with nothing kept.
func (target *Target) updateWarmup() {
	if !target.identity.WarmingUp || target.identity.WarmupRate <= 0 || target.shares == 0 {
		target.warmupLimiter = nil
		return
	}
	share := rate.Limit(target.identity.WarmupRate / float64(target.shares))
	if target.warmupLimiter == nil {
		target.warmupLimiter = rate.NewLimiter(share, 1)
		target.warmupLimiter.Allow()
		return
	}
	if target.warmupLimiter.Limit() != share {
		target.warmupLimiter.SetLimit(share)
	}
}

// learn takes an identity; pipes of another incarnation are closed.
func (target *Target) learn(identity Identity) {
	target.mutex.Lock()
	stale := []*BackendConn{}
	if target.probed && target.identity.Incarnation != identity.Incarnation {
		stale, target.idle = target.idle, nil
	}
	target.identity, target.probed, target.failures, target.wrong = identity, true, 0, false
	target.updateWarmup()
	target.mutex.Unlock()
	for _, connection := range stale {
		connection.close()
	}
}

func (target *Target) learnFromResponse(incarnation string, lay func(*Identity)) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if target.identity.Incarnation == incarnation {
		lay(&target.identity)
		target.updateWarmup()
	}
}

// failed counts an error; a wrong identity takes the target out at once.
func (target *Target) failed(err error) {
	target.mutex.Lock()
	stale := []*BackendConn{}
	target.failures++
	if rpc.CodeOf(err) == rpc.WrongBackend {
		target.wrong = true
	}
	if target.wrong || target.failures >= failuresDown {
		stale, target.idle = target.idle, nil
	}
	target.mutex.Unlock()
	for _, connection := range stale {
		connection.close()
	}
}

func (target *Target) healthy() bool {
	return target.probed && !target.wrong && target.failures < failuresDown
}

// usable is whether a draw may take it, and how loaded it is.
func (target *Target) usable() (bool, float64) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if !target.healthy() || target.leaves() {
		return false, 0
	}
	return true, target.identity.Utilization + float64(target.inFlight)*0.05
}

// leaves is whether the backend says or the list shows that it should get nothing more. The
// caller holds the mutex.
func (target *Target) leaves() bool {
	return target.closed || target.identity.Leaving || target.backend().Leaving
}

// isWithdrawn is whether the target may be sent nothing more.
func (target *Target) isWithdrawn() bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.leaves()
}

// admit takes one place at the target; a cold one gives only its gentle share.
func (target *Target) admit() bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if target.identity.WarmingUp && target.identity.WarmupRate > 0 &&
		(target.shares == 0 || time.Since(target.chosen) < warmupSettle || !target.warmupLimiter.Allow()) {
		return false
	}
	target.inFlight++
	return true
}

func (target *Target) leave() {
	target.mutex.Lock()
	target.inFlight--
	target.mutex.Unlock()
}

// connection gives an idle pipe of the present incarnation or opens a new one.
func (target *Target) connection(limit time.Time) (*BackendConn, string, error) {
	for {
		target.mutex.Lock()
		incarnation := target.identity.Incarnation
		if len(target.idle) == 0 {
			target.mutex.Unlock()
			break
		}
		connection := target.idle[len(target.idle)-1]
		target.idle = target.idle[:len(target.idle)-1]
		target.mutex.Unlock()
		if connection.sound() && time.Since(connection.used) < idlePipeSpan {
			return connection, incarnation, nil
		}
		connection.close()
	}
	until := time.Now().Add(probeLimit)
	if limit.Before(until) {
		until = limit
	}
	connection, identity, err := dialBackend(target.dial, target.backend(), until)
	if err != nil {
		target.failed(err)
		return nil, "", err
	}
	target.learn(*identity)
	if identity.Leaving {
		connection.close()
		return nil, "", rpc.Errorf(rpc.NoBackend, "%s is leaving", target.backend().Name)
	}
	return connection, identity.Incarnation, nil
}

// giveBack keeps the pipe when it is still sound and its incarnation still stands.
func (target *Target) giveBack(connection *BackendConn, incarnation string, most int) {
	connection.used = time.Now()
	target.mutex.Lock()
	keep := connection.sound() && target.identity.Incarnation == incarnation && target.healthy() && len(target.idle) < most
	if keep {
		target.idle = append(target.idle, connection)
	}
	target.mutex.Unlock()
	if !keep {
		connection.close()
	}
}

// probeSpan is how long a proxy waits between looks at a backend: the more
// proxies look, the seldomer each does. What one finds makes the others look too.
func probeSpan(proxies int) time.Duration {
	return min(max(probePace, probePace*time.Duration(proxies)/probers), probeMost)
}

// probe opens a fresh pipe, so that who is there now is what counts.
func (target *Target) probe() (uint64, error) {
	defer target.looked.Store(true)
	connection, identity, err := dialBackend(target.dial, target.backend(), time.Now().Add(probeLimit))
	if err != nil {
		target.failed(err)
		return 0, err
	}
	target.learn(*identity)
	target.giveBack(connection, identity.Incarnation, 4)
	return identity.Serial, nil
}

func (target *Target) report() message.Probe {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return message.Probe{
		Backend:     target.backend().Name,
		Incarnation: target.identity.Incarnation,
		Healthy:     target.healthy(),
		Leaving:     target.identity.Leaving,
		WarmingUp:   target.identity.WarmingUp,
		WarmupRate:  target.identity.WarmupRate,
		Utilization: target.identity.Utilization,
		Serial:      target.identity.Serial,
	}
}

func (target *Target) close() {
	target.mutex.Lock()
	stale := target.idle
	target.idle, target.wrong, target.closed = nil, true, true
	target.mutex.Unlock()
	for _, connection := range stale {
		connection.close()
	}
}
