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

// connPhase is what a client's connection is used for at a time.
type connPhase uint8

const (
	phaseNew     connPhase = iota // opened, and nothing came yet
	phaseIdle                     // answered, and nothing of another request came yet
	phaseHead                     // a part of a request's head came
	phaseServing                  // a handler answers, or the server refuses
)

// clientConn is a client's connection. net/http's server cannot change its bounds while it
// runs, so the connection keeps the time and the length of heads and the time between
// requests itself: it sets the deadlines of reads while it waits for a request, and passes
// the server's own on while one is served. A head that breaks a limit is refused here, and
// for the server the client has fallen silent.
//
// Limits that change act at once on a connection that waits. A head that has begun keeps the
// more generous of the former and the new ones.
type clientConn struct {
	net.Conn
	tracker    *connTracker
	overBudget bool
	// answering is set while a handler answers. Only what the library writes at other times
	// can be a refusal of its own.
	answering atomic.Bool
	refused   atomic.Bool // nothing is read any more

	mutex    sync.Mutex
	phase    connPhase
	since    time.Time // when the phase began
	limits   ConnLimits
	head     int64 // bytes that came of the head
	reserved int64 // bytes of the memory for heads
	armed    bool  // whether reads have a deadline of the connection's own
	awaited  bool  // whether the server has begun to wait for the next request
	ending   bool  // whether a wait is to end now
}

// await starts the wait for a request, as phaseNew or phaseIdle. The limits in force are
// read under the mutex: those that change meanwhile come by limitsChanged after it.
func (conn *clientConn) await(phase connPhase) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.release()
	conn.limits = conn.tracker.current()
	conn.enter(phase)
	conn.arm()
}

// enter begins a phase. The mutex is held.
func (conn *clientConn) enter(phase connPhase) {
	conn.phase, conn.since = phase, time.Now()
	conn.head, conn.awaited, conn.ending = 0, false, false
}

// deadline is when the wait for bytes ends. The mutex is held.
func (conn *clientConn) deadline() time.Time {
	switch {
	case conn.ending:
		return conn.since
	case conn.phase == phaseIdle:
		return conn.since.Add(conn.limits.IdleTimeout)
	}
	return conn.since.Add(conn.limits.HeaderTimeout)
}

// arm gives reads the phase's deadline. The mutex is held.
func (conn *clientConn) arm() {
	conn.armed = true
	_ = conn.Conn.SetReadDeadline(conn.deadline()) // fails where the connection is closed, and reads fail too
}

// disarm takes the deadline away. The mutex is held.
func (conn *clientConn) disarm() {
	if conn.armed {
		conn.armed = false
		_ = conn.Conn.SetReadDeadline(time.Time{}) // as in arm
	}
}

// SetReadDeadline takes the server's deadlines while a request is served. While one is
// awaited they only tell how far the server is: it sets one when it begins to wait, and one
// when it has bytes, which it may have read together with the request before.
func (conn *clientConn) SetReadDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	switch {
	case conn.phase == phaseServing:
		return conn.Conn.SetReadDeadline(deadline)
	case conn.phase == phaseIdle && !conn.awaited:
		conn.awaited = true
	case conn.phase == phaseIdle:
		conn.enter(phaseHead)
		conn.arm()
	}
	return nil
}

// Read reads a part of a request.
func (conn *clientConn) Read(buffer []byte) (int, error) {
	if conn.refused.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	if refusal := conn.checkHead(); refusal != nil {
		return 0, conn.refuse(refusal)
	}
	for {
		count, err := conn.Conn.Read(buffer)
		if errors.Is(err, os.ErrDeadlineExceeded) && conn.extended() {
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			count, err = conn.readLast(buffer, err)
		}
		if count > 0 {
			conn.received(count)
		}
		return count, err
	}
}

// checkHead finds what keeps a head from growing, and gives its next part a deadline.
func (conn *clientConn) checkHead() *headRefusal {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase != phaseHead {
		return nil
	}
	if conn.head >= conn.limits.HeaderBytes {
		return headTooLarge
	}
	if conn.tracker.memory != nil && conn.head > freeHeaderBytes+conn.reserved {
		if !conn.tracker.memory.Reserve(conn.reserved, conn.head) {
			return headWithoutMemory
		}
		conn.reserved += conn.head
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
		conn.enter(phaseHead)
		conn.head = int64(count)
	case phaseHead:
		conn.head += int64(count)
	case phaseServing:
	}
}

// extended is whether the wait goes on after its deadline, since the limits have grown.
func (conn *clientConn) extended() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase == phaseServing || !time.Now().Before(conn.deadline()) {
		return false
	}
	conn.arm()
	return true
}

// readLast ends a wait whose time is up. Bytes that came before it ended are served:
// this process may have been too slow to read them.
func (conn *clientConn) readLast(buffer []byte, err error) (int, error) {
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
		return 0, conn.refuse(headLate)
	case ending:
	case phase == phaseIdle:
		conn.tracker.counters.Add("connections_closed_idle", 1)
	default:
		conn.tracker.counters.Add("connections_closed_silent", 1)
	}
	return 0, err
}

// readAvailable reads what has come already, without a wait.
func readAvailable(from net.Conn, buffer []byte) int {
	able, found := from.(syscall.Conn)
	if !found {
		return 0
	}
	raw, err := able.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	_ = raw.Read(func(descriptor uintptr) bool { // fails where the connection is closed, and nothing is read
		count, err = syscall.Read(int(descriptor), buffer)
		return true
	})
	if err != nil {
		return 0
	}
	return max(count, 0)
}

// stateChanged takes what the server says of the connection.
func (conn *clientConn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateActive:
		conn.mutex.Lock()
		conn.disarm()
		conn.phase, conn.ending = phaseServing, false
		conn.mutex.Unlock()
	case http.StateIdle:
		conn.answering.Store(false)
		conn.await(phaseIdle)
	case http.StateClosed, http.StateHijacked:
		conn.tracker.forget(conn)
		conn.mutex.Lock()
		conn.release()
		conn.mutex.Unlock()
	case http.StateNew:
	}
}

// release gives back the memory of the head. The mutex is held.
func (conn *clientConn) release() {
	if conn.reserved > 0 {
		conn.tracker.memory.Release(conn.reserved)
		conn.reserved = 0
	}
}

// limitsChanged puts limits in force on an open connection.
func (conn *clientConn) limitsChanged(limits ConnLimits) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	switch conn.phase {
	case phaseServing:
		return
	case phaseHead:
		conn.limits = conn.limits.widest(limits)
	case phaseNew, phaseIdle:
		conn.limits = limits
	}
	if conn.armed {
		conn.arm()
	}
}

// endIfIdle ends the wait for a request, on a new connection once it has waited for a while.
func (conn *clientConn) endIfIdle(fresh time.Duration) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase == phaseIdle || conn.phase == phaseNew && time.Since(conn.since) > fresh {
		conn.ending = true
		conn.arm()
	}
}

// headerLimit is the length that the request now served may have.
func (conn *clientConn) headerLimit() int64 {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.limits.HeaderBytes
}

// CloseWrite lets the library end an answer before it closes.
func (conn *clientConn) CloseWrite() error {
	if half, able := conn.Conn.(interface{ CloseWrite() error }); able {
		return half.CloseWrite()
	}
	return nil
}
