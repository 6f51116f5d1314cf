package hostproxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Dialer opens a connection to a backend; tests bring their own.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

const (
	maxIdle          = 8 * time.Second
	connectionBuffer = 4 << 10
	maxHead          = 256 << 10
)

// connection carries one request at a time to one backend. answeredEarly is set when an
// answer came before its request was sent whole: no other request can follow it.
type connection struct {
	conn          net.Conn
	head          *io.LimitedReader
	reader        *bufio.Reader
	usedAt        time.Time
	idleTimeout   time.Duration
	upload        *upload
	answeredEarly bool
	watch         *peerWatch
}

func newConnection(conn net.Conn) *connection {
	head := &io.LimitedReader{R: conn, N: maxHead}
	return &connection{
		conn:        conn,
		head:        head,
		reader:      bufio.NewReaderSize(head, connectionBuffer),
		usedAt:      time.Now(),
		idleTimeout: maxIdle,
	}
}

// answer reads the head of an answer; one that does not end is cut off.
func (connection *connection) answer(to *http.Request) (*http.Response, error) {
	connection.head.N = maxHead
	response, err := http.ReadResponse(connection.reader, to)
	connection.head.N = math.MaxInt64
	return response, err
}

// isReusable is whether an idle connection may carry another request: not too old, not
// closed by the other side, and with no byte that nobody asked for.
func (connection *connection) isReusable(now time.Time) bool {
	if now.Sub(connection.usedAt) >= connection.idleTimeout || connection.reader.Buffered() > 0 {
		return false
	}
	able, found := connection.conn.(syscall.Conn)
	if !found {
		return true
	}
	raw, err := able.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, err := syscall.Read(int(descriptor), one[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// observeKeepAlive takes the idle timeout that a response's Keep-Alive field names.
func (connection *connection) observeKeepAlive(keepAlive string) {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			connection.idleTimeout = min(maxIdle, time.Duration(min(seconds, 3600))*time.Second*3/4)
		}
	}
}

func (connection *connection) close() {
	_ = connection.unwatchPeer() // the connection goes anyway
	connection.conn.Close()
}

// interrupt ends what reads from the connection or writes to it.
func (connection *connection) interrupt() {
	_ = connection.conn.SetDeadline(time.Unix(1, 0)) // fails where the connection is closed, and nobody waits at it
}

// halfCloser is a connection whose sending side can be closed by itself, as TCP's can.
type halfCloser interface{ CloseWrite() error }

// closeWrite tells the backend that nothing more comes.
func (connection *connection) closeWrite() {
	if half, able := connection.conn.(halfCloser); able {
		_ = half.CloseWrite() // fails where the connection is closed already
	}
}
