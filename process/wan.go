package process

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// WANTransport returns a Transport that drops a connection if sent data stays unacknowledged for
// userTimeout: a peer without power or behind a network partition sends no reset.
func WANTransport(userTimeout time.Duration) *http.Transport {
	transport := Transport()
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: 5 * time.Second, Control: SetUserTimeout(userTimeout)}
	transport.DialContext = dialer.DialContext
	return transport
}

// SocketControl sets options of a socket before it is connected. It is a net.Dialer's Control.
type SocketControl func(network, address string, conn syscall.RawConn) error

// SetUserTimeout returns a SocketControl that sets TCP_USER_TIMEOUT.
func SetUserTimeout(span time.Duration) SocketControl {
	return setSocketOption(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(span.Milliseconds()))
}

// SetReceiveBuffer returns a SocketControl that limits the bytes that a peer may have in flight.
func SetReceiveBuffer(bytes int) SocketControl {
	return setSocketOption(unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
}

// Controls returns a SocketControl that calls the given ones in order.
func Controls(controls ...SocketControl) SocketControl {
	return func(network, address string, conn syscall.RawConn) error {
		for _, control := range controls {
			if err := control(network, address, conn); err != nil {
				return err
			}
		}
		return nil
	}
}

func setSocketOption(level, option, value int) SocketControl {
	return func(_, _ string, conn syscall.RawConn) error {
		var err error
		if controlErr := conn.Control(func(handle uintptr) {
			err = unix.SetsockoptInt(int(handle), level, option, value)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}
}
