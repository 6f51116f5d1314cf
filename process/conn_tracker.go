package process

import (
	"net"
	"sync"
	"time"

	"orchidjunction/metrics"
)

// freshConnection is how long a drain leaves a new connection for its first byte.
const freshConnection = 300 * time.Millisecond

// connTracker are a listener's open connections and the limits in force on them.
type connTracker struct {
	counters *metrics.Counters
	memory   HeadMemory
	budget   *ConnBudget
	own      ConnLimits

	mutex  sync.Mutex
	limits ConnLimits
	conns  map[*clientConn]bool
}

func newConnTracker(options ListenOptions) *connTracker {
	counters := options.Counters
	if counters == nil {
		counters = metrics.NewCounters()
	}
	own := options.Limits.orElse(defaultLimits)
	return &connTracker{
		counters: counters,
		memory:   options.Memory,
		budget:   options.Budget,
		own:      own,
		limits:   own,
		conns:    map[*clientConn]bool{},
	}
}

// open begins to follow an accepted connection; nil where it was closed instead.
func (tracker *connTracker) open(accepted net.Conn) *clientConn {
	admitted := tracker.budget.enter()
	if admitted == admitClosed {
		tracker.counters.Add("connections_closed_full", 1)
		accepted.Close()
		return nil
	}
	conn := &clientConn{Conn: accepted, tracker: tracker, overBudget: admitted == admitRefused}
	tracker.mutex.Lock()
	tracker.conns[conn] = true
	tracker.mutex.Unlock()
	conn.await(phaseNew)
	return conn
}

// forget ends the following of a connection that is closed.
func (tracker *connTracker) forget(conn *clientConn) {
	tracker.mutex.Lock()
	known := tracker.conns[conn]
	delete(tracker.conns, conn)
	tracker.mutex.Unlock()
	if known {
		tracker.budget.leave()
	}
}

// current returns the limits in force.
func (tracker *connTracker) current() ConnLimits {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.limits
}

// setLimits puts limits in force, on open connections too. Those that are not given are the
// listener's own.
func (tracker *connTracker) setLimits(limits ConnLimits) {
	limits = limits.orElse(tracker.own)
	tracker.mutex.Lock()
	changed := tracker.limits != limits
	tracker.limits = limits
	tracker.mutex.Unlock()
	if !changed {
		return
	}
	for _, conn := range tracker.all() {
		conn.limitsChanged(limits)
	}
}

// closeIdle ends the connections that wait for a request, new ones a little later, and
// returns how many are still open.
func (tracker *connTracker) closeIdle() int {
	conns := tracker.all()
	for _, conn := range conns {
		conn.endIfIdle(freshConnection)
	}
	return len(conns)
}

func (tracker *connTracker) all() []*clientConn {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	conns := make([]*clientConn, 0, len(tracker.conns))
	for conn := range tracker.conns {
		conns = append(conns, conn)
	}
	return conns
}
