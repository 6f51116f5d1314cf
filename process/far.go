package process

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// WANTransport is a Transport that gives up a connection whose bytes nobody
// took for so long: a machine without power, or behind a cut, says nothing.
func WANTransport(userTimeout time.Duration) *http.Transport {
	transport := Transport()
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: 5 * time.Second, Control: SetUserTimeout(userTimeout)}
	transport.DialContext = dialer.DialContext
	return transport
}

// SetUserTimeout is a dialer's Control that sets TCP_USER_TIMEOUT.
func SetUserTimeout(span time.Duration) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var err error
		if opened := conn.Control(func(handle uintptr) {
			err = unix.SetsockoptInt(int(handle), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(span.Milliseconds()))
		}); opened != nil {
			return opened
		}
		return err
	}
}
