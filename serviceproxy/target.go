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
	probeTimeout       = 600 * time.Millisecond
	minProbeInterval   = 500 * time.Millisecond
	maxProbeInterval   = 2 * time.Second
	probersPerInterval = 8
	unhealthyFailures  = 2
	idleConnTimeout    = 20 * time.Second
	warmupDelay        = time.Second
	maxWarmupProxies   = 2
)

// Target is one backend as this proxy sees it: its listing, its health according to probes and
// responses, and idle connections to its current incarnation.
type Target struct {
	listing        atomic.Pointer[message.Backend]
	dial           Dialer
	firstProbeDone atomic.Bool
	probeHint      *concurrent.Condition

	mutex         sync.Mutex
	identity      Identity
	identityKnown bool
	failures      int
	ejected       bool
	closed        bool // no longer listed
	inFlight      int
	idle          []*BackendConn
	warmupLimiter *rate.Limiter
	warmupProxies int
	warmupSince   time.Time
}

func newTarget(backend message.Backend, dial Dialer) *Target {
	target := &Target{dial: dial, probeHint: concurrent.NewCondition()}
	target.listing.Store(&backend)
	return target
}

func (target *Target) backend() message.Backend { return *target.listing.Load() }

// updateListing applies a listing with the same address and service, and keeps the other state.
// While the backend is warming up, only warmupProxies proxies send to it; 0 means that this one
// does not.
func (target *Target) updateListing(backend message.Backend, warmupProxies int) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if backend.ProbeHint > target.backend().ProbeHint {
		target.probeHint.Notify()
	}
	target.listing.Store(&backend)
	if target.warmupProxies != warmupProxies {
		if target.warmupProxies == 0 {
			target.warmupSince = time.Now()
		}
		target.warmupProxies, target.warmupLimiter = warmupProxies, nil
		target.updateWarmup()
	}
}

// updateWarmup sets this proxy's share of the warm-up rate. A new limiter starts without a token.
func (target *Target) updateWarmup() {
	if !target.identity.WarmingUp || target.identity.WarmupRate <= 0 || target.warmupProxies == 0 {
		target.warmupLimiter = nil
		return
	}
	share := rate.Limit(target.identity.WarmupRate / float64(target.warmupProxies))
	if target.warmupLimiter == nil {
		target.warmupLimiter = rate.NewLimiter(share, 1)
		target.warmupLimiter.Allow()
		return
	}
	if target.warmupLimiter.Limit() != share {
		target.warmupLimiter.SetLimit(share)
	}
}

// updateIdentity records an identity and closes idle connections to another incarnation.
func (target *Target) updateIdentity(identity Identity) {
	target.mutex.Lock()
	stale := []*BackendConn{}
	if target.identityKnown && target.identity.Incarnation != identity.Incarnation {
		stale, target.idle = target.idle, nil
	}
	target.identity, target.identityKnown, target.failures, target.ejected = identity, true, 0, false
	target.updateWarmup()
	target.mutex.Unlock()
	for _, connection := range stale {
		connection.close()
	}
}

func (target *Target) updateFromResponse(incarnation string, update func(*Identity)) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if target.identity.Incarnation == incarnation {
		update(&target.identity)
		target.updateWarmup()
	}
}

// recordFailure counts an error. A wrong identity ejects the target at once.
func (target *Target) recordFailure(err error) {
	target.mutex.Lock()
	stale := []*BackendConn{}
	target.failures++
	if rpc.CodeOf(err) == rpc.WrongBackend {
		target.ejected = true
	}
	if target.ejected || target.failures >= unhealthyFailures {
		stale, target.idle = target.idle, nil
	}
	target.mutex.Unlock()
	for _, connection := range stale {
		connection.close()
	}
}

func (target *Target) healthy() bool {
	return target.identityKnown && !target.ejected && target.failures < unhealthyFailures
}

// usable reports whether the target may be picked, and its load.
func (target *Target) usable() (bool, float64) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if !target.healthy() || target.isWithdrawnLocked() {
		return false, 0
	}
	return true, target.identity.Utilization + float64(target.inFlight)*0.05
}

// isWithdrawnLocked reports whether the backend or its listing says that it must get no more
// requests. The caller holds the mutex.
func (target *Target) isWithdrawnLocked() bool {
	return target.closed || target.identity.Leaving || target.backend().Leaving
}

// isWithdrawn reports whether the target must get no more requests.
func (target *Target) isWithdrawn() bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.isWithdrawnLocked()
}

// acquire takes an in-flight slot. A target that is warming up has only this proxy's share of the
// warm-up rate.
func (target *Target) acquire() bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if target.identity.WarmingUp && target.identity.WarmupRate > 0 &&
		(target.warmupProxies == 0 || time.Since(target.warmupSince) < warmupDelay || !target.warmupLimiter.Allow()) {
		return false
	}
	target.inFlight++
	return true
}

func (target *Target) release() {
	target.mutex.Lock()
	target.inFlight--
	target.mutex.Unlock()
}

// connection returns an idle connection to the current incarnation or opens a new one.
func (target *Target) connection(deadline time.Time) (*BackendConn, string, error) {
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
		if connection.reusable() && time.Since(connection.lastUsed) < idleConnTimeout {
			return connection, incarnation, nil
		}
		connection.close()
	}
	dialDeadline := time.Now().Add(probeTimeout)
	if deadline.Before(dialDeadline) {
		dialDeadline = deadline
	}
	connection, identity, err := dialBackend(target.dial, target.backend(), dialDeadline)
	if err != nil {
		target.recordFailure(err)
		return nil, "", err
	}
	target.updateIdentity(*identity)
	if identity.Leaving {
		connection.close()
		return nil, "", rpc.Errorf(rpc.NoBackend, "backend %s is leaving", target.backend().Name)
	}
	return connection, identity.Incarnation, nil
}

// returnConnection keeps a connection that is reusable and to the current incarnation.
func (target *Target) returnConnection(connection *BackendConn, incarnation string, maxIdle int) {
	connection.lastUsed = time.Now()
	target.mutex.Lock()
	keep := connection.reusable() && target.identity.Incarnation == incarnation && target.healthy() && len(target.idle) < maxIdle
	if keep {
		target.idle = append(target.idle, connection)
	}
	target.mutex.Unlock()
	if !keep {
		connection.close()
	}
}

// probeInterval returns the time between probes of a backend by one proxy, which grows with the
// number of proxies. A change that one of them finds makes the others probe, too.
func probeInterval(proxies int) time.Duration {
	return min(max(minProbeInterval, minProbeInterval*time.Duration(proxies)/probersPerInterval), maxProbeInterval)
}

// probe opens a new connection, so that it checks the process that listens now.
func (target *Target) probe() (uint64, error) {
	defer target.firstProbeDone.Store(true)
	connection, identity, err := dialBackend(target.dial, target.backend(), time.Now().Add(probeTimeout))
	if err != nil {
		target.recordFailure(err)
		return 0, err
	}
	target.updateIdentity(*identity)
	target.returnConnection(connection, identity.Incarnation, 4)
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
	target.idle, target.ejected, target.closed = nil, true, true
	target.mutex.Unlock()
	for _, connection := range stale {
		connection.close()
	}
}
