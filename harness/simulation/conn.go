package simulation

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// stream is one direction of a connection. Bytes arrive after the network's delay, and
// not while the link is blocked.
type stream struct {
	mutex  sync.Mutex
	wake   *sync.Cond
	chunks []chunk
	closed bool
	// reset says that the writer has reset the connection, which loses the bytes under way.
	reset bool
	// readerGone says that written bytes are discarded: the reading process has vanished.
	readerGone   bool
	readDeadline time.Time
	// busyUntil is when the link will have transmitted all bytes written so far.
	busyUntil time.Time
	blocked   func() bool
}

type chunk struct {
	data    []byte
	arrival time.Time
}

func newStream(blocked func() bool) *stream {
	stream := &stream{blocked: blocked}
	stream.wake = sync.NewCond(&stream.mutex)
	return stream
}

func (stream *stream) wakeReader() {
	stream.mutex.Lock()
	stream.wake.Broadcast()
	stream.mutex.Unlock()
}

// write queues bytes that take transmission to send and arrive delay after that.
func (stream *stream) write(body []byte, delay, transmission time.Duration) (int, error) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	if stream.readerGone {
		return len(body), nil
	}
	if stream.closed {
		return 0, io.ErrClosedPipe
	}
	if now := time.Now(); stream.busyUntil.Before(now) {
		stream.busyUntil = now
	}
	stream.busyUntil = stream.busyUntil.Add(transmission)
	arrival := stream.busyUntil.Add(delay)
	stream.chunks = append(stream.chunks, chunk{data: append([]byte{}, body...), arrival: arrival})
	time.AfterFunc(time.Until(arrival), stream.wakeReader)
	return len(body), nil
}

func (stream *stream) read(buffer []byte) (int, error) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	for {
		if !stream.readDeadline.IsZero() && !time.Now().Before(stream.readDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(stream.chunks) > 0 && !time.Now().Before(stream.chunks[0].arrival) && !stream.blocked() {
			count := copy(buffer, stream.chunks[0].data)
			if stream.chunks[0].data = stream.chunks[0].data[count:]; len(stream.chunks[0].data) == 0 {
				stream.chunks = stream.chunks[1:]
			}
			return count, nil
		}
		if stream.reset {
			return 0, syscall.ECONNRESET
		}
		if stream.closed && len(stream.chunks) == 0 {
			return 0, io.EOF
		}
		stream.wake.Wait()
	}
}

func (stream *stream) close(discard bool) {
	stream.mutex.Lock()
	stream.closed = true
	if discard {
		stream.chunks = nil
	}
	stream.wake.Broadcast()
	stream.mutex.Unlock()
}

// abort closes the stream so that its reader gets an error. It discards the bytes under way.
func (stream *stream) abort() {
	stream.mutex.Lock()
	stream.reset = true
	stream.mutex.Unlock()
	stream.close(true)
}

// closeReader ends the reader; writes still succeed, but their bytes are discarded.
func (stream *stream) closeReader() {
	stream.mutex.Lock()
	stream.readerGone = true
	stream.mutex.Unlock()
	stream.close(true)
}

func (stream *stream) setReadDeadline(deadline time.Time) {
	stream.mutex.Lock()
	stream.readDeadline = deadline
	stream.wake.Broadcast()
	stream.mutex.Unlock()
	if remaining := time.Until(deadline); !deadline.IsZero() && remaining > 0 {
		time.AfterFunc(remaining, stream.wakeReader)
	}
}

// conn is one end of a connection.
type conn struct {
	in, out       *stream
	local, remote address
	network       *Network
	abandoned     atomic.Bool
	resetsOnClose atomic.Bool
}

func (conn *conn) hasEndpoint(name string) bool {
	return host(string(conn.local)) == name || host(string(conn.remote)) == name
}

// abandon closes this end without notifying the other one.
func (conn *conn) abandon() {
	conn.abandoned.Store(true)
	conn.in.closeReader()
}

type address string

func (address address) Network() string { return "tcp" }
func (address address) String() string  { return string(address) }

func (conn *conn) Read(buffer []byte) (int, error) { return conn.in.read(buffer) }
func (conn *conn) Write(body []byte) (int, error) {
	if conn.abandoned.Load() {
		return 0, io.ErrClosedPipe
	}
	return conn.out.write(
		body,
		conn.network.delay(host(string(conn.local)), host(string(conn.remote))),
		conn.network.transmissionTime(len(body)),
	)
}

func (conn *conn) Close() error {
	if conn.abandoned.Load() {
		return nil
	}
	conn.in.close(true)
	if conn.resetsOnClose.Load() {
		conn.out.abort()
		return nil
	}
	conn.out.close(false)
	return nil
}

// SetLinger is as for a TCP connection: after SetLinger(0), Close resets the connection.
func (conn *conn) SetLinger(seconds int) error {
	conn.resetsOnClose.Store(seconds == 0)
	return nil
}
func (conn *conn) LocalAddr() net.Addr  { return conn.local }
func (conn *conn) RemoteAddr() net.Addr { return conn.remote }
func (conn *conn) SetDeadline(deadline time.Time) error {
	conn.in.setReadDeadline(deadline)
	return nil
}
func (conn *conn) SetReadDeadline(deadline time.Time) error { return conn.SetDeadline(deadline) }
func (conn *conn) SetWriteDeadline(time.Time) error         { return nil }
