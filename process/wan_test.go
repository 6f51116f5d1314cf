package process

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Connections of a WANTransport must have the requested TCP_USER_TIMEOUT.
func TestWANTransportSetsUserTimeout(test *testing.T) {
	netListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		test.Fatal(err)
	}
	defer netListener.Close()
	conn, err := WANTransport(1500*time.Millisecond).DialContext(test.Context(), "tcp", netListener.Addr().String())
	if err != nil {
		test.Fatal(err)
	}
	defer conn.Close()
	if value := socketOption(test, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); value != 1500 {
		test.Errorf("user timeout %d ms, want 1500", value)
	}
}

// Controls must set the options of all its controls. The kernel doubles the size of a receive
// buffer for its own overhead.
func TestControlsSetAllOptions(test *testing.T) {
	netListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		test.Fatal(err)
	}
	defer netListener.Close()
	dialer := &net.Dialer{Control: Controls(SetUserTimeout(700*time.Millisecond), SetReceiveBuffer(16<<10))}
	conn, err := dialer.DialContext(test.Context(), "tcp", netListener.Addr().String())
	if err != nil {
		test.Fatal(err)
	}
	defer conn.Close()
	if value := socketOption(test, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); value != 700 {
		test.Errorf("user timeout %d ms, want 700", value)
	}
	if value := socketOption(test, conn, unix.SOL_SOCKET, unix.SO_RCVBUF); value > 32<<10 {
		test.Errorf("receive buffer of %d bytes, want at most 32 KiB", value)
	}
}

func socketOption(test *testing.T, conn net.Conn, level, option int) int {
	test.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		test.Fatal(err)
	}
	value := 0
	controlErr := raw.Control(func(handle uintptr) {
		value, err = unix.GetsockoptInt(int(handle), level, option)
	})
	if controlErr != nil || err != nil {
		test.Fatal(controlErr, err)
	}
	return value
}
