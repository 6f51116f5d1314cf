package process

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A connection of the far transport has the user timeout that was asked for.
func TestFarTransportSetsUserTimeout(test *testing.T) {
	open, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		test.Fatal(err)
	}
	defer open.Close()
	conn, err := WANTransport(1500*time.Millisecond).DialContext(test.Context(), "tcp", open.Addr().String())
	if err != nil {
		test.Fatal(err)
	}
	defer conn.Close()
	if set := socketOption(test, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); set != 1500 {
		test.Errorf("%d ms", set)
	}
}

// A dialer with several controls sets each of their options; the kernel doubles a receive
// buffer for its own use.
func TestControlsSetAllOptions(test *testing.T) {
	open, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		test.Fatal(err)
	}
	defer open.Close()
	dialer := &net.Dialer{Control: Controls(SetUserTimeout(700*time.Millisecond), SetReceiveBuffer(16<<10))}
	conn, err := dialer.DialContext(test.Context(), "tcp", open.Addr().String())
	if err != nil {
		test.Fatal(err)
	}
	defer conn.Close()
	if set := socketOption(test, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); set != 700 {
		test.Errorf("user timeout %d ms", set)
	}
	if set := socketOption(test, conn, unix.SOL_SOCKET, unix.SO_RCVBUF); set > 32<<10 {
		test.Errorf("receive buffer of %d bytes", set)
	}
}

func socketOption(test *testing.T, conn net.Conn, level, option int) int {
	test.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		test.Fatal(err)
	}
	set := 0
	opened := raw.Control(func(handle uintptr) {
		set, err = unix.GetsockoptInt(int(handle), level, option)
	})
	if opened != nil || err != nil {
		test.Fatal(opened, err)
	}
	return set
}
