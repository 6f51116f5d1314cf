package process

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// connPhase is the state of a client's connection.
type connPhase uint8

const (
	phaseNew     connPhase = iota // opened, nothing received
	phaseIdle                     // answered, nothing of the next request received
	phaseHead                     // part of a request's head received
	phaseServing                  // a handler or the server is answering
)

// clientConn is a client's connection that enforces ConnLimits, since the limits of a net/http
// server cannot change while it runs. It sets its own read deadlines while it waits for a
// request, and passes on the server's while one is served. A head over a limit is refused here;
// the server sees a read timeout.
//
// Changed limits apply immediately to a waiting connection. A head that has begun keeps the
// higher of the old and the new limits.
type clientConn struct {
	net.Conn
	tracker    *connTracker
	overBudget bool
	// answering is set while a handler answers. Only what net/http writes at other times can
	// be one of its own error responses.
	answering atomic.Bool
	refused   atomic.Bool // no more reads

	mutex       sync.Mutex
	phase       connPhase
	phaseStart  time.Time // when the phase began
	limits      ConnLimits
	headBytes   int64 // received bytes of the head
	reserved    int64 // bytes reserved in the tracker's memory
	armed       bool  // whether the read deadline is the connection's own
	waitStarted bool  // whether the server has begun to wait for the next request
	ending      bool  // whether the wait must end now
}

// beginWait starts the wait for a request, in phaseNew or phaseIdle. It reads the limits under
// the mutex, so that a concurrent change follows by limitsChanged.
func (conn *clientConn) beginWait(phase connPhase) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.releaseMemory()
	conn.limits = conn.tracker.current()
	conn.setPhase(phase)
	conn.arm()
}

// setPhase begins a phase. The caller holds the mutex.
func (conn *clientConn) setPhase(phase connPhase) {
	conn.phase, conn.phaseStart = phase, time.Now()
	conn.headBytes, conn.waitStarted, conn.ending = 0, false, false
}

// deadline returns the end of the wait for bytes. The caller holds the mutex.
func (conn *clientConn) deadline() time.Time {
	switch {
	case conn.ending:
		return conn.phaseStart
	case conn.phase == phaseIdle:
		return conn.phaseStart.Add(conn.limits.IdleTimeout)
	}
	return conn.phaseStart.Add(conn.limits.HeaderTimeout)
}

// arm sets the phase's read deadline. The caller holds the mutex.
func (conn *clientConn) arm() {
	conn.armed = true
	_ = conn.Conn.SetReadDeadline(conn.deadline()) // fails only if the connection is closed; reads fail too
}

// disarm clears the deadline. The caller holds the mutex.
func (conn *clientConn) disarm() {
	if conn.armed {
		conn.armed = false
		_ = conn.Conn.SetReadDeadline(time.Time{}) // as in arm
	}
}

// SetReadDeadline applies the server's deadlines while a request is served. While waiting, a call
// only shows the server's progress: it sets a deadline when it begins to wait, and another one
// when it has bytes, which it may have read together with the previous request.
func (conn *clientConn) SetReadDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	switch {
	case conn.phase == phaseServing:
		return conn.Conn.SetReadDeadline(deadline)
	case conn.phase == phaseIdle && !conn.waitStarted:
		conn.waitStarted = true
	case conn.phase == phaseIdle:
		conn.setPhase(phaseHead)
		conn.arm()
	}
	return nil
}

// Read implements net.Conn with the limits.
func (conn *clientConn) Read(buffer []byte) (int, error) {
	if conn.refused.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	if refusal := conn.checkHead(); refusal != nil {
		return 0, conn.refuse(refusal)
	}
	for {
		count, err := conn.Conn.Read(buffer)
		if errors.Is(err, os.ErrDeadlineExceeded) && conn.extendDeadline() {
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			count, err = conn.readAtDeadline(buffer, err)
		}
		if count > 0 {
			conn.received(count)
		}
		return count, err
	}
}

// checkHead returns a refusal if the head may not grow further, and else sets the read deadline.
func (conn *clientConn) checkHead() *headRefusal {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase != phaseHead {
		return nil
	}
	if conn.headBytes >= conn.limits.HeaderBytes {
		return headTooLarge
	}
	if conn.tracker.memory != nil && conn.headBytes > freeHeaderBytes+conn.reserved {
		if !conn.tracker.memory.Reserve(conn.reserved, conn.headBytes) {
			return headWithoutMemory
		}
		conn.reserved += conn.headBytes
	}
	conn.arm()
	return nil
}

// received counts bytes; the first ones begin a head.
func (conn *clientConn) received(count int) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	switch conn.phase {
	case phaseNew, phaseIdle:
		conn.setPhase(phaseHead)
		conn.headBytes = int64(count)
	case phaseHead:
		conn.headBytes += int64(count)
	case phaseServing:
	}
}

// extendDeadline reports whether the wait continues after its deadline because limits were raised.
func (conn *clientConn) extendDeadline() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase == phaseServing || !time.Now().Before(conn.deadline()) {
		return false
	}
	conn.arm()
	return true
}

// readAtDeadline ends a wait at its deadline. It returns bytes that have already arrived, since
// this process may have been too slow to read them in time.
func (conn *clientConn) readAtDeadline(buffer []byte, err error) (int, error) {
	conn.mutex.Lock()
	phase, ending := conn.phase, conn.ending
	if phase == phaseServing {
		conn.mutex.Unlock()
		return 0, err
	}
	conn.disarm()
	conn.mutex.Unlock()
	if count := readAvailable(conn.Conn, buffer); count > 0 {
		return count, nil
	}
	switch {
	case phase == phaseHead:
		return 0, conn.refuse(headTimeout)
	case ending:
	case phase == phaseIdle:
		conn.tracker.counters.Add("connections_closed_idle", 1)
	default:
		conn.tracker.counters.Add("connections_closed_silent", 1)
	}
	return 0, err
}

// readAvailable reads what has already arrived, without blocking.
func readAvailable(from net.Conn, buffer []byte) int {
	source, ok := from.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	_ = raw.Read(func(descriptor uintptr) bool { // fails only if the connection is closed; count stays 0
		count, err = syscall.Read(int(descriptor), buffer)
		return true
	})
	if err != nil {
		return 0
	}
	return max(count, 0)
}

// stateChanged handles the server's ConnState callback.
func (conn *clientConn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateActive:
		conn.mutex.Lock()
		conn.disarm()
		conn.phase, conn.ending = phaseServing, false
		conn.mutex.Unlock()
	case http.StateIdle:
		conn.answering.Store(false)
		conn.beginWait(phaseIdle)
	case http.StateClosed, http.StateHijacked:
		conn.tracker.remove(conn)
		conn.mutex.Lock()
		conn.releaseMemory()
		conn.mutex.Unlock()
	case http.StateNew:
	}
}

// releaseMemory releases the head's reserved memory. The caller holds the mutex.
func (conn *clientConn) releaseMemory() {
	if conn.reserved > 0 {
		conn.tracker.memory.Release(conn.reserved)
		conn.reserved = 0
	}
}

func (conn *clientConn) limitsChanged(limits ConnLimits) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	switch conn.phase {
	case phaseServing:
		return
	case phaseHead:
		conn.limits = conn.limits.maxOf(limits)
	case phaseNew, phaseIdle:
		conn.limits = limits
	}
	if conn.armed {
		conn.arm()
	}
}

// endIfIdle ends the wait for a request, on a new connection once it has waited longer than fresh.
func (conn *clientConn) endIfIdle(fresh time.Duration) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase == phaseIdle || conn.phase == phaseNew && time.Since(conn.phaseStart) > fresh {
		conn.ending = true
		conn.arm()
	}
}

func (conn *clientConn) headerLimit() int64 {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.limits.HeaderBytes
}

// CloseWrite lets net/http half-close the connection after a response.
func (conn *clientConn) CloseWrite() error {
	if halfCloser, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}
