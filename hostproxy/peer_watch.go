package hostproxy

import (
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// watchInterval is the time between looks at a connection with a large body.
	watchInterval = 100 * time.Millisecond
	// minLostPackets is how many packets in a row a backend must leave without an
	// acknowledgement to count as dead.
	minLostPackets = 2
)

// socketState is what the kernel knows of the other end of a connection.
type socketState struct {
	// lost are the packets in a row, retransmissions or probes of a closed window, that were
	// sent in vain.
	lost int
	// sinceAck is the time since the last acknowledgement.
	sinceAck time.Duration
}

// isDead reports whether the other machine has been silent for too long. One that
// acknowledges what it gets and keeps its window closed is not dead: its process rests.
func (state socketState) isDead(limit time.Duration) bool {
	return state.lost >= minLostPackets && state.sinceAck >= limit
}

// peerWatch ends a connection whose backend's machine is dead while a large body is on its way.
// The kernel's own time-out does not tell that from a backend that reads later.
type peerWatch struct {
	stopped atomic.Bool
	timeout time.Duration
}

// watchPeer takes the place of the kernel's time-out on a connection. Where the kernel does not
// tell what that needs, the request's deadline alone ends a request to a dead machine.
func (proxy *Proxy) watchPeer(connection *connection) {
	timeout := proxy.config.UserTimeout
	if timeout == 0 || connection.setUserTimeout(0) != nil {
		return
	}
	watch := &peerWatch{timeout: timeout}
	connection.watch = watch
	if _, known := connection.socketState(); !known {
		proxy.counters.Add("uploads_unwatched", 1)
		return
	}
	proxy.goroutines.Start(func() {
		for proxy.goroutines.Sleep(watchInterval) && !watch.stopped.Load() {
			state, known := connection.socketState()
			if !known {
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

// endWatch gives a connection the kernel's time-out back.
func (connection *connection) endWatch() error {
	if connection.watch == nil {
		return nil
	}
	watch := connection.watch
	connection.watch = nil
	watch.stopped.Store(true)
	return connection.setUserTimeout(watch.timeout)
}

// socketState asks the kernel about a TCP connection; false for any other.
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

// setUserTimeout sets how long sent bytes may stay without an acknowledgement, or be kept
// back by a closed window, until the kernel ends the connection; 0 is its default.
func (connection *connection) setUserTimeout(timeout time.Duration) error {
	return connection.control(func(descriptor int) error {
		return unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

// control runs an operation on the connection's socket.
func (connection *connection) control(operation func(descriptor int) error) error {
	able, found := connection.conn.(syscall.Conn)
	if !found {
		return syscall.ENOTSOCK
	}
	raw, err := able.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	if err := raw.Control(func(descriptor uintptr) { failure = operation(int(descriptor)) }); err != nil {
		return err
	}
	return failure
}
