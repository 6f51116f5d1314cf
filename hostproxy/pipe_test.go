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

const flowRoom = 64 << 10

// flow is one direction of a connection in memory, with as much room as a socket.
type flow struct {
	mutex  sync.Mutex
	wake   *sync.Cond
	bytes  []byte
	ended  error
	deaf   bool
	broken bool
	reads  time.Time
	writes time.Time
}

func newFlow() *flow {
	flow := &flow{}
	flow.wake = sync.NewCond(&flow.mutex)
	return flow
}

func (flow *flow) stir() {
	flow.mutex.Lock()
	flow.wake.Broadcast()
	flow.mutex.Unlock()
}

func (flow *flow) read(into []byte) (int, error) {
	flow.mutex.Lock()
	defer flow.mutex.Unlock()
	for {
		if flow.deaf {
			return 0, net.ErrClosed
		}
		if !flow.reads.IsZero() && !time.Now().Before(flow.reads) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(flow.bytes) > 0 {
			count := copy(into, flow.bytes)
			flow.bytes = flow.bytes[count:]
			flow.wake.Broadcast()
			return count, nil
		}
		if flow.ended != nil {
			return 0, flow.ended
		}
		flow.wake.Wait()
	}
}

// write takes bytes also where the reader has just gone, as a socket does once.
func (flow *flow) write(from []byte) (int, error) {
	flow.mutex.Lock()
	defer flow.mutex.Unlock()
	for count := 0; ; {
		if !flow.writes.IsZero() && !time.Now().Before(flow.writes) {
			return count, os.ErrDeadlineExceeded
		}
		if flow.ended != nil {
			return count, net.ErrClosed
		}
		if flow.broken {
			return count, syscall.EPIPE
		}
		if flow.deaf {
			flow.broken = true
			return len(from), nil
		}
		room := min(len(from)-count, flowRoom-len(flow.bytes))
		flow.bytes = append(flow.bytes, from[count:count+room]...)
		count += room
		flow.wake.Broadcast()
		if count == len(from) {
			return count, nil
		}
		flow.wake.Wait()
	}
}

func (flow *flow) end(with error) {
	flow.mutex.Lock()
	if flow.ended == nil {
		flow.ended = with
	}
	if !errors.Is(with, io.EOF) {
		flow.bytes = nil
	}
	flow.wake.Broadcast()
	flow.mutex.Unlock()
}

func (flow *flow) abandon(broken bool) {
	flow.mutex.Lock()
	flow.deaf, flow.broken = true, flow.broken || broken
	flow.wake.Broadcast()
	flow.mutex.Unlock()
}

func (flow *flow) limit(which *time.Time, until time.Time) {
	flow.mutex.Lock()
	*which = until
	flow.wake.Broadcast()
	flow.mutex.Unlock()
	if span := time.Until(until); !until.IsZero() && span > 0 {
		time.AfterFunc(span, flow.stir)
	}
}

// pipe is one end of a connection in memory.
type pipe struct {
	in, out *flow
	peer    string
}

func newPipes(address string) (*pipe, *pipe) {
	there, back := newFlow(), newFlow()
	return &pipe{in: back, out: there, peer: address}, &pipe{in: there, out: back, peer: "caller"}
}

func (pipe *pipe) Read(into []byte) (int, error)  { return pipe.in.read(into) }
func (pipe *pipe) Write(from []byte) (int, error) { return pipe.out.write(from) }

func (pipe *pipe) Close() error {
	pipe.in.abandon(false)
	pipe.out.end(io.EOF)
	return nil
}

// CloseWrite ends what this end sends; it goes on reading.
func (pipe *pipe) CloseWrite() error {
	pipe.out.end(io.EOF)
	return nil
}

func (pipe *pipe) reset() {
	pipe.in.abandon(true)
	pipe.out.end(syscall.ECONNRESET)
}

func (pipe *pipe) LocalAddr() net.Addr  { return pipeAddress(pipe.peer) }
func (pipe *pipe) RemoteAddr() net.Addr { return pipeAddress(pipe.peer) }

func (pipe *pipe) SetDeadline(until time.Time) error {
	pipe.in.limit(&pipe.in.reads, until)
	pipe.out.limit(&pipe.out.writes, until)
	return nil
}

func (pipe *pipe) SetReadDeadline(until time.Time) error {
	pipe.in.limit(&pipe.in.reads, until)
	return nil
}

func (pipe *pipe) SetWriteDeadline(until time.Time) error {
	pipe.out.limit(&pipe.out.writes, until)
	return nil
}

type pipeAddress string

func (address pipeAddress) Network() string { return "tcp" }
func (address pipeAddress) String() string  { return string(address) }

// doors are the addresses where somebody accepts connections.
type doors struct {
	mutex  sync.Mutex
	wake   *sync.Cond
	served map[string]func(*pipe)
	shut   map[string]bool
	dials  map[string]int
}

func newDoors() *doors {
	doors := &doors{served: map[string]func(*pipe){}, shut: map[string]bool{}, dials: map[string]int{}}
	doors.wake = sync.NewCond(&doors.mutex)
	return doors
}

func (doors *doors) serve(address string, accept func(*pipe)) {
	doors.mutex.Lock()
	defer doors.mutex.Unlock()
	if doors.served[address] = accept; accept == nil {
		delete(doors.served, address)
	}
}

// silence makes dials to an address hang until their deadline.
func (doors *doors) silence(address string, silent bool) {
	doors.mutex.Lock()
	doors.shut[address] = silent
	doors.mutex.Unlock()
}

// unsilence lets the dials through that hang at an address.
func (doors *doors) unsilence(address string) {
	doors.silence(address, false)
	doors.wake.Broadcast()
}

func (doors *doors) dialled(address string) int {
	doors.mutex.Lock()
	defer doors.mutex.Unlock()
	return doors.dials[address]
}

func (doors *doors) dial(ctx context.Context, _, address string) (net.Conn, error) {
	stop := context.AfterFunc(ctx, func() {
		doors.mutex.Lock()
		doors.wake.Broadcast()
		doors.mutex.Unlock()
	})
	defer stop()
	doors.mutex.Lock()
	doors.dials[address]++
	for doors.shut[address] {
		if ctx.Err() != nil {
			doors.mutex.Unlock()
			return nil, ctx.Err()
		}
		doors.wake.Wait()
	}
	accept := doors.served[address]
	doors.mutex.Unlock()
	if accept == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := newPipes(address)
	accept(far)
	return near, nil
}

// listener hands the front's connections to its server.
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

func (listener *listener) put(conn net.Conn) {
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
