package process

import (
	"net"
	"sync"
	"time"

	"orchidjunction/metrics"
)

// newConnGrace is how long a drain waits for the first byte of a new connection.
const newConnGrace = 300 * time.Millisecond

// connTracker holds a listener's open connections and their limits.
type connTracker struct {
	counters *metrics.Counters
	memory   HeadMemory
	budget   *ConnBudget
	base     ConnLimits

	mutex  sync.Mutex
	limits ConnLimits
	conns  map[*clientConn]bool
}

func newConnTracker(options ListenOptions) *connTracker {
	counters := options.Counters
	if counters == nil {
		counters = metrics.NewCounters()
	}
	own := options.Limits.withDefaults(defaultLimits)
	return &connTracker{
		counters: counters,
		memory:   options.Memory,
		budget:   options.Budget,
		base:     own,
		limits:   own,
		conns:    map[*clientConn]bool{},
	}
}

// add tracks an accepted connection. It returns nil if the connection was closed instead.
func (tracker *connTracker) add(accepted net.Conn) *clientConn {
	admitted := tracker.budget.acquire()
	if admitted == admitClosed {
		tracker.counters.Add("connections_closed_full", 1)
		accepted.Close()
		return nil
	}
	conn := &clientConn{Conn: accepted, tracker: tracker, overBudget: admitted == admitRefused}
	tracker.mutex.Lock()
	tracker.conns[conn] = true
	tracker.mutex.Unlock()
	conn.beginWait(phaseNew)
	return conn
}

// remove stops tracking a closed connection.
func (tracker *connTracker) remove(conn *clientConn) {
	tracker.mutex.Lock()
	known := tracker.conns[conn]
	delete(tracker.conns, conn)
	tracker.mutex.Unlock()
	if known {
		tracker.budget.release()
	}
}

func (tracker *connTracker) current() ConnLimits {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.limits
}

// setLimits changes the limits, also of open connections. Zero limits fall back to the
// listener's own.
func (tracker *connTracker) setLimits(limits ConnLimits) {
	limits = limits.withDefaults(tracker.base)
	tracker.mutex.Lock()
	changed := tracker.limits != limits
	tracker.limits = limits
	tracker.mutex.Unlock()
	if !changed {
		return
	}
	for _, conn := range tracker.snapshot() {
		conn.limitsChanged(limits)
	}
}

// closeIdle closes connections that wait for a request, new ones after newConnGrace, and returns
// the number of tracked connections.
func (tracker *connTracker) closeIdle() int {
	conns := tracker.snapshot()
	for _, conn := range conns {
		conn.endIfIdle(newConnGrace)
	}
	return len(conns)
}

func (tracker *connTracker) snapshot() []*clientConn {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	conns := make([]*clientConn, 0, len(tracker.conns))
	for conn := range tracker.conns {
		conns = append(conns, conn)
	}
	return conns
}
