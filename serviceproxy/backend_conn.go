package serviceproxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// countingConn counts the bytes written, to tell whether a request surely did not run.
type countingConn struct {
	net.Conn
	mutex         sync.Mutex
	written       int64
	writesBlocked bool
}

func (conn *countingConn) Write(body []byte) (int, error) {
	conn.mutex.Lock()
	if conn.writesBlocked {
		conn.mutex.Unlock()
		return 0, net.ErrClosed
	}
	conn.written += int64(len(body))
	conn.mutex.Unlock()
	return conn.Conn.Write(body)
}

func (conn *countingConn) bytesWritten() int64 {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.written
}

// blockWrites makes further writes fail and returns the bytes written so far.
func (conn *countingConn) blockWrites() int64 {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.writesBlocked = true
	return conn.written
}

// BackendConn is one HTTP/1.1 connection to one incarnation of a backend.
type BackendConn struct {
	conn     *countingConn
	client   *http.ClientConn
	lastUsed time.Time
}

// Dialer opens a connection; the simulator supplies its own.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// dialBackend opens a connection and verifies the backend's identity before net/http uses it.
func dialBackend(dial Dialer, backend message.Backend, deadline time.Time) (*BackendConn, *Identity, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	conn, err := dial(ctx, "tcp", backend.Address)
	if err != nil {
		return nil, nil, rpc.Errorf(rpc.ConnectFailed, "%v", err)
	}
	identity := &Identity{}
	err = identity.query(conn, backend.Address, deadline)
	if err == nil {
		err = identity.verify(backend)
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	counting := &countingConn{Conn: conn}
	transport := &http.Transport{
		DialContext:            func(context.Context, string, string) (net.Conn, error) { return counting, nil },
		DisableCompression:     true,
		MaxResponseHeaderBytes: 64 << 10,
	}
	client, err := transport.NewClientConn(ctx, "http", backend.Address)
	if err != nil {
		conn.Close()
		return nil, nil, rpc.Errorf(rpc.ConnectionBroken, "%v", err)
	}
	return &BackendConn{conn: counting, client: client, lastUsed: time.Now()}, identity, nil
}

// send sends the request on this connection only. maybeRan is false if no byte of it was or will
// be written. A success is returned only once the whole request was written: net/http closes a
// connection whose response was read earlier, and drops the rest.
func (connection *BackendConn) send(request *http.Request) (response *http.Response, maybeRan bool, err error) {
	before := connection.conn.bytesWritten()
	written := make(chan error, 1)
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		select {
		case written <- info.Err:
		default: // already reported
		}
	}}
	response, err = connection.client.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, connection.conn.blockWrites() > before, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return response, true, nil
	}
	select {
	case err = <-written:
	case <-request.Context().Done():
		err = request.Context().Err()
	}
	if err != nil {
		response.Body.Close()
		connection.conn.blockWrites()
		return nil, true, fmt.Errorf("response arrived before the whole request was sent: %w", err)
	}
	return response, true, nil
}

func (connection *BackendConn) reusable() bool {
	return connection.client.Err() == nil && connection.client.Available() == 1
}

func (connection *BackendConn) close() { _ = connection.client.Close() } // the connection is discarded in any case
