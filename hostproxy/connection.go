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

// Dialer opens a connection to a backend.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

const (
	maxIdleTimeout       = 8 * time.Second
	readBufferBytes      = 4 << 10
	maxResponseHeadBytes = 256 << 10
)

// connection carries one request at a time to a backend. respondedEarly is set if a response
// arrived before the request was sent in full; the connection can't be reused then.
type connection struct {
	conn           net.Conn
	headLimit      *io.LimitedReader
	reader         *bufio.Reader
	usedAt         time.Time
	idleTimeout    time.Duration
	upload         *upload
	respondedEarly bool
	watch          *peerWatch
}

func newConnection(conn net.Conn) *connection {
	headLimit := &io.LimitedReader{R: conn, N: maxResponseHeadBytes}
	return &connection{
		conn:        conn,
		headLimit:   headLimit,
		reader:      bufio.NewReaderSize(headLimit, readBufferBytes),
		usedAt:      time.Now(),
		idleTimeout: maxIdleTimeout,
	}
}

// readHead reads a response head of at most maxResponseHeadBytes.
func (connection *connection) readHead(request *http.Request) (*http.Response, error) {
	connection.headLimit.N = maxResponseHeadBytes
	head, err := http.ReadResponse(connection.reader, request)
	connection.headLimit.N = math.MaxInt64
	return head, err
}

// isReusable reports whether an idle connection can carry another request: it hasn't exceeded
// its idle timeout, the peer hasn't closed it, and no unexpected bytes have arrived.
func (connection *connection) isReusable(now time.Time) bool {
	if now.Sub(connection.usedAt) >= connection.idleTimeout || connection.reader.Buffered() > 0 {
		return false
	}
	syscallConn, supported := connection.conn.(syscall.Conn)
	if !supported {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	var buffer [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, err := syscall.Read(int(descriptor), buffer[:])
		wouldBlock = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}

// observeKeepAlive applies the idle timeout from a response's Keep-Alive header.
func (connection *connection) observeKeepAlive(keepAlive string) {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			connection.idleTimeout = min(maxIdleTimeout, time.Duration(min(seconds, 3600))*time.Second*3/4)
		}
	}
}

func (connection *connection) close() {
	_ = connection.unwatchPeer() // the connection is closed anyway
	connection.conn.Close()
}

// interrupt makes all pending reads and writes on the connection fail.
func (connection *connection) interrupt() {
	_ = connection.conn.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// halfCloser is a connection whose write side can be closed separately, such as a TCP
// connection.
type halfCloser interface{ CloseWrite() error }

// closeWrite tells the backend that no more bytes will be sent.
func (connection *connection) closeWrite() {
	if closer, supported := connection.conn.(halfCloser); supported {
		_ = closer.CloseWrite() // fails only on a closed connection
	}
}
