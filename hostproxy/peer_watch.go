package hostproxy

import (
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// peerCheckInterval is the interval between checks of a connection with a large body.
	peerCheckInterval = 100 * time.Millisecond
	// minLostPackets is the number of consecutive unacknowledged packets after which a
	// backend may count as dead.
	minLostPackets = 2
)

// socketState is the kernel's view of a connection's peer.
type socketState struct {
	// lost is the number of consecutive retransmissions or zero-window probes without an
	// acknowledgement.
	lost int
	// sinceAck is the time since the last acknowledgement.
	sinceAck time.Duration
}

// isDead reports whether the peer has been silent for too long. One that acknowledges
// packets but keeps its window closed is alive: its process is just not reading.
func (state socketState) isDead(limit time.Duration) bool {
	return state.lost >= minLostPackets && state.sinceAck >= limit
}

// peerWatch interrupts a connection whose backend's machine dies during a large upload. The
// kernel's own timeout does not distinguish that from a backend that reads late.
type peerWatch struct {
	stopped atomic.Bool
	timeout time.Duration
}

// watchPeer replaces the kernel's timeout on a connection. If the socket state is not
// available, only the request's deadline ends a request to a dead machine.
func (proxy *Proxy) watchPeer(connection *connection) {
	timeout := proxy.config.UserTimeout
	if timeout == 0 || connection.setUserTimeout(0) != nil {
		return
	}
	watch := &peerWatch{timeout: timeout}
	connection.watch = watch
	if _, ok := connection.socketState(); !ok {
		proxy.counters.Add("uploads_unwatched", 1)
		return
	}
	proxy.goroutines.Start(func() {
		for proxy.goroutines.Sleep(peerCheckInterval) && !watch.stopped.Load() {
			state, ok := connection.socketState()
			if !ok {
				return
			}
			if state.isDead(timeout) {
				proxy.counters.Add("backends_silent", 1)
				connection.interrupt()
				return
			}
		}
	})
}

// unwatchPeer restores the kernel's timeout on a connection.
func (connection *connection) unwatchPeer() error {
	if connection.watch == nil {
		return nil
	}
	watch := connection.watch
	connection.watch = nil
	watch.stopped.Store(true)
	return connection.setUserTimeout(watch.timeout)
}

// socketState returns the kernel's state of a TCP connection, or false for any other kind.
func (connection *connection) socketState() (socketState, bool) {
	info := &unix.TCPInfo{}
	err := connection.control(func(descriptor int) (err error) {
		info, err = unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	if err != nil {
		return socketState{}, false
	}
	return socketState{
		lost:     int(max(info.Retransmits, info.Probes)),
		sinceAck: time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, true
}

// setUserTimeout sets how long sent bytes may stay unacknowledged, or unsent because of a
// zero window, until the kernel closes the connection; 0 is its default.
func (connection *connection) setUserTimeout(timeout time.Duration) error {
	return connection.control(func(descriptor int) error {
		return unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

// control runs an operation on the connection's socket.
func (connection *connection) control(operation func(descriptor int) error) error {
	socket, ok := connection.conn.(syscall.Conn)
	if !ok {
		return syscall.ENOTSOCK
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var operationErr error
	if err := raw.Control(func(descriptor uintptr) { operationErr = operation(int(descriptor)) }); err != nil {
		return err
	}
	return operationErr
}
