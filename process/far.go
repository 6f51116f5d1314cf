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

// SocketControl sets options of a socket before it is connected, as net.Dialer's Control.
type SocketControl func(network, address string, conn syscall.RawConn) error

// SetUserTimeout is a SocketControl that sets TCP_USER_TIMEOUT.
func SetUserTimeout(span time.Duration) SocketControl {
	return setOption(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(span.Milliseconds()))
}

// SetReceiveBuffer is a SocketControl that bounds the bytes which a peer may have under way.
func SetReceiveBuffer(bytes int) SocketControl {
	return setOption(unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
}

// Controls is the SocketControl that does what all the given ones do, in their order.
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

func setOption(level, option, value int) SocketControl {
	return func(_, _ string, conn syscall.RawConn) error {
		var err error
		if opened := conn.Control(func(handle uintptr) {
			err = unix.SetsockoptInt(int(handle), level, option, value)
		}); opened != nil {
			return opened
		}
		return err
	}
}
