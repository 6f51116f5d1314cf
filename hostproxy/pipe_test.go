package hostproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const streamBufferBytes = 64 << 10

// byteStream is one direction of an in-memory connection, with the buffer of a socket.
type byteStream struct {
	mutex         sync.Mutex
	wake          *sync.Cond
	bytes         []byte
	closeErr      error
	readerClosed  bool
	failsWrites   bool
	readDeadline  time.Time
	writeDeadline time.Time
}

func newByteStream() *byteStream {
	stream := &byteStream{}
	stream.wake = sync.NewCond(&stream.mutex)
	return stream
}

func (stream *byteStream) wakeAll() {
	stream.mutex.Lock()
	stream.wake.Broadcast()
	stream.mutex.Unlock()
}

func (stream *byteStream) read(into []byte) (int, error) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	for {
		if stream.readerClosed {
			return 0, net.ErrClosed
		}
		if !stream.readDeadline.IsZero() && !time.Now().Before(stream.readDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(stream.bytes) > 0 {
			count := copy(into, stream.bytes)
			stream.bytes = stream.bytes[count:]
			stream.wake.Broadcast()
			return count, nil
		}
		if stream.closeErr != nil {
			return 0, stream.closeErr
		}
		stream.wake.Wait()
	}
}

// write succeeds once after the reader has closed, as with a socket.
func (stream *byteStream) write(from []byte) (int, error) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	for count := 0; ; {
		if !stream.writeDeadline.IsZero() && !time.Now().Before(stream.writeDeadline) {
			return count, os.ErrDeadlineExceeded
		}
		if stream.closeErr != nil {
			return count, net.ErrClosed
		}
		if stream.failsWrites {
			return count, syscall.EPIPE
		}
		if stream.readerClosed {
			stream.failsWrites = true
			return len(from), nil
		}
		room := min(len(from)-count, streamBufferBytes-len(stream.bytes))
		stream.bytes = append(stream.bytes, from[count:count+room]...)
		count += room
		stream.wake.Broadcast()
		if count == len(from) {
			return count, nil
		}
		stream.wake.Wait()
	}
}

func (stream *byteStream) closeWrite(err error) {
	stream.mutex.Lock()
	if stream.closeErr == nil {
		stream.closeErr = err
	}
	if !errors.Is(err, io.EOF) {
		stream.bytes = nil
	}
	stream.wake.Broadcast()
	stream.mutex.Unlock()
}

func (stream *byteStream) closeRead(failWrites bool) {
	stream.mutex.Lock()
	stream.readerClosed, stream.failsWrites = true, stream.failsWrites || failWrites
	stream.wake.Broadcast()
	stream.mutex.Unlock()
}

func (stream *byteStream) setDeadline(deadline *time.Time, until time.Time) {
	stream.mutex.Lock()
	*deadline = until
	stream.wake.Broadcast()
	stream.mutex.Unlock()
	if span := time.Until(until); !until.IsZero() && span > 0 {
		time.AfterFunc(span, stream.wakeAll)
	}
}

// pipe is one end of an in-memory connection.
type pipe struct {
	in, out *byteStream
	peer    string
}

func newPipePair(address string) (*pipe, *pipe) {
	forward, backward := newByteStream(), newByteStream()
	return &pipe{in: backward, out: forward, peer: address}, &pipe{in: forward, out: backward, peer: "caller"}
}

func (pipe *pipe) Read(into []byte) (int, error)  { return pipe.in.read(into) }
func (pipe *pipe) Write(from []byte) (int, error) { return pipe.out.write(from) }

func (pipe *pipe) Close() error {
	pipe.in.closeRead(false)
	pipe.out.closeWrite(io.EOF)
	return nil
}

// CloseWrite closes the sending direction only.
func (pipe *pipe) CloseWrite() error {
	pipe.out.closeWrite(io.EOF)
	return nil
}

func (pipe *pipe) reset() {
	pipe.in.closeRead(true)
	pipe.out.closeWrite(syscall.ECONNRESET)
}

func (pipe *pipe) LocalAddr() net.Addr  { return pipeAddress(pipe.peer) }
func (pipe *pipe) RemoteAddr() net.Addr { return pipeAddress(pipe.peer) }

func (pipe *pipe) SetDeadline(until time.Time) error {
	pipe.in.setDeadline(&pipe.in.readDeadline, until)
	pipe.out.setDeadline(&pipe.out.writeDeadline, until)
	return nil
}

func (pipe *pipe) SetReadDeadline(until time.Time) error {
	pipe.in.setDeadline(&pipe.in.readDeadline, until)
	return nil
}

func (pipe *pipe) SetWriteDeadline(until time.Time) error {
	pipe.out.setDeadline(&pipe.out.writeDeadline, until)
	return nil
}

type pipeAddress string

func (address pipeAddress) Network() string { return "tcp" }
func (address pipeAddress) String() string  { return string(address) }

// fakeNetwork maps addresses to functions that accept connections.
type fakeNetwork struct {
	mutex        sync.Mutex
	wake         *sync.Cond
	accepting    map[string]func(*pipe)
	unresponsive map[string]bool
	dialCounts   map[string]int
}

func newFakeNetwork() *fakeNetwork {
	network := &fakeNetwork{accepting: map[string]func(*pipe){}, unresponsive: map[string]bool{}, dialCounts: map[string]int{}}
	network.wake = sync.NewCond(&network.mutex)
	return network
}

func (network *fakeNetwork) listen(address string, accept func(*pipe)) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.accepting[address] = accept; accept == nil {
		delete(network.accepting, address)
	}
}

// setUnresponsive sets whether dials to an address hang until their deadline.
func (network *fakeNetwork) setUnresponsive(address string, unresponsive bool) {
	network.mutex.Lock()
	network.unresponsive[address] = unresponsive
	network.mutex.Unlock()
}

// resume lets the hanging dials to an address succeed.
func (network *fakeNetwork) resume(address string) {
	network.setUnresponsive(address, false)
	network.wake.Broadcast()
}

func (network *fakeNetwork) dialCount(address string) int {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.dialCounts[address]
}

func (network *fakeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	stop := context.AfterFunc(ctx, func() {
		network.mutex.Lock()
		network.wake.Broadcast()
		network.mutex.Unlock()
	})
	defer stop()
	network.mutex.Lock()
	network.dialCounts[address]++
	for network.unresponsive[address] {
		if ctx.Err() != nil {
			network.mutex.Unlock()
			return nil, ctx.Err()
		}
		network.wake.Wait()
	}
	accept := network.accepting[address]
	network.mutex.Unlock()
	if accept == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := newPipePair(address)
	accept(far)
	return near, nil
}

// listener passes clients' connections to the proxy's server.
type listener struct {
	mutex   sync.Mutex
	wake    *sync.Cond
	pending []net.Conn
	closed  bool
}

func newListener() *listener {
	listener := &listener{}
	listener.wake = sync.NewCond(&listener.mutex)
	return listener
}

func (listener *listener) enqueue(conn net.Conn) {
	listener.mutex.Lock()
	listener.pending = append(listener.pending, conn)
	listener.wake.Broadcast()
	listener.mutex.Unlock()
}

func (listener *listener) Accept() (net.Conn, error) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	for len(listener.pending) == 0 {
		if listener.closed {
			return nil, net.ErrClosed
		}
		listener.wake.Wait()
	}
	first := listener.pending[0]
	listener.pending = listener.pending[1:]
	return first, nil
}

func (listener *listener) Close() error {
	listener.mutex.Lock()
	listener.closed = true
	listener.wake.Broadcast()
	listener.mutex.Unlock()
	return nil
}

func (listener *listener) Addr() net.Addr { return pipeAddress("front") }
