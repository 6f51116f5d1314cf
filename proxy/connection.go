package proxy

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Dialer opens a connection to a backend; tests bring their own.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

const (
	connectionIdle   = 8 * time.Second
	connectionBuffer = 4 << 10
)

// connection carries one request at a time to one backend.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	used   time.Time
	idle   time.Duration
}

func newConnection(conn net.Conn) *connection {
	return &connection{conn: conn, reader: bufio.NewReaderSize(conn, connectionBuffer), used: time.Now(), idle: connectionIdle}
}

// sound is whether an idle connection may carry another request: not too old, not
// closed by the other side, and with no byte that nobody asked for.
func (connection *connection) sound(now time.Time) bool {
	if now.Sub(connection.used) >= connection.idle || connection.reader.Buffered() > 0 {
		return false
	}
	able, is := connection.conn.(syscall.Conn)
	if !is {
		return true
	}
	raw, fault := able.SyscallConn()
	if fault != nil {
		return false
	}
	quiet := false
	var one [1]byte
	fault = raw.Read(func(descriptor uintptr) bool {
		_, fault := syscall.Read(int(descriptor), one[:])
		quiet = errors.Is(fault, syscall.EAGAIN)
		return true
	})
	return fault == nil && quiet
}

// heed lays down what an answer's Keep-Alive field says of idle time.
func (connection *connection) heed(keepAlive string) {
	for _, part := range strings.Split(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, fault := strconv.Atoi(value); fault == nil && seconds >= 0 {
			connection.idle = min(connectionIdle, time.Duration(seconds)*time.Second*3/4)
		}
	}
}

func (connection *connection) close() { connection.conn.Close() }
