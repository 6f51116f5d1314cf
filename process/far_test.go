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
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		test.Fatal(err)
	}
	set := 0
	opened := raw.Control(func(handle uintptr) {
		set, err = unix.GetsockoptInt(int(handle), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if opened != nil || err != nil || set != 1500 {
		test.Errorf("%d ms, %v, %v", set, err, opened)
	}
}
