package program

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A connection of the far transport has the user timeout that was asked for.
func TestFarTransportSetsUserTimeout(test *testing.T) {
	open, fault := net.Listen("tcp", "127.0.0.1:0")
	if fault != nil {
		test.Fatal(fault)
	}
	defer open.Close()
	conn, fault := FarTransport(1500*time.Millisecond).DialContext(test.Context(), "tcp", open.Addr().String())
	if fault != nil {
		test.Fatal(fault)
	}
	defer conn.Close()
	raw, fault := conn.(syscall.Conn).SyscallConn()
	if fault != nil {
		test.Fatal(fault)
	}
	set := 0
	opened := raw.Control(func(handle uintptr) {
		set, fault = unix.GetsockoptInt(int(handle), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if opened != nil || fault != nil || set != 1500 {
		test.Errorf("%d ms, %v, %v", set, fault, opened)
	}
}
