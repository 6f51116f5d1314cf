package simulation

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// half is one direction of a connection: bytes arrive after the net's delay,
// and not while the way is shut.
type half struct {
	mutex  sync.Mutex
	wake   *sync.Cond
	parts  []part
	closed bool
	// lost is whether what is written goes nowhere, since the reader is gone.
	lost  bool
	limit time.Time
	// busyUntil is when the link has carried all that was written.
	busyUntil time.Time
	shut      func() bool
}

type part struct {
	body []byte
	at   time.Time
}

func newHalf(shut func() bool) *half {
	half := &half{shut: shut}
	half.wake = sync.NewCond(&half.mutex)
	return half
}

func (half *half) stir() {
	half.mutex.Lock()
	half.wake.Broadcast()
	half.mutex.Unlock()
}

// write sends bytes that keep the link busy for a time and arrive after a delay.
func (half *half) write(body []byte, delay, busy time.Duration) (int, error) {
	half.mutex.Lock()
	defer half.mutex.Unlock()
	if half.lost {
		return len(body), nil
	}
	if half.closed {
		return 0, io.ErrClosedPipe
	}
	if now := time.Now(); half.busyUntil.Before(now) {
		half.busyUntil = now
	}
	half.busyUntil = half.busyUntil.Add(busy)
	at := half.busyUntil.Add(delay)
	half.parts = append(half.parts, part{body: append([]byte{}, body...), at: at})
	time.AfterFunc(time.Until(at), half.stir)
	return len(body), nil
}

func (half *half) read(into []byte) (int, error) {
	half.mutex.Lock()
	defer half.mutex.Unlock()
	for {
		if !half.limit.IsZero() && !time.Now().Before(half.limit) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(half.parts) > 0 && !time.Now().Before(half.parts[0].at) && !half.shut() {
			count := copy(into, half.parts[0].body)
			if half.parts[0].body = half.parts[0].body[count:]; len(half.parts[0].body) == 0 {
				half.parts = half.parts[1:]
			}
			return count, nil
		}
		if half.closed && len(half.parts) == 0 {
			return 0, io.EOF
		}
		half.wake.Wait()
	}
}

func (half *half) close(drop bool) {
	half.mutex.Lock()
	half.closed = true
	if drop {
		half.parts = nil
	}
	half.wake.Broadcast()
	half.mutex.Unlock()
}

// lose ends the reader, and lets writers go on as if somebody still read.
func (half *half) lose() {
	half.mutex.Lock()
	half.lost = true
	half.mutex.Unlock()
	half.close(true)
}

func (half *half) setLimit(limit time.Time) {
	half.mutex.Lock()
	half.limit = limit
	half.wake.Broadcast()
	half.mutex.Unlock()
	if span := time.Until(limit); !limit.IsZero() && span > 0 {
		time.AfterFunc(span, half.stir)
	}
}

// conn is one end.
type conn struct {
	in, out       *half
	local, remote address
	net           *Net
	abandoned     atomic.Bool
}

// joins is whether a host is at one of the ends.
func (conn *conn) joins(name string) bool {
	return host(string(conn.local)) == name || host(string(conn.remote)) == name
}

// abandon ends this end; the other one is told nothing.
func (conn *conn) abandon() {
	conn.abandoned.Store(true)
	conn.in.lose()
}

type address string

func (address address) Network() string { return "tcp" }
func (address address) String() string  { return string(address) }

func (conn *conn) Read(into []byte) (int, error) { return conn.in.read(into) }
func (conn *conn) Write(body []byte) (int, error) {
	if conn.abandoned.Load() {
		return 0, io.ErrClosedPipe
	}
	return conn.out.write(body, conn.net.delay(host(string(conn.local)), host(string(conn.remote))), conn.net.sending(len(body)))
}

func (conn *conn) Close() error {
	if conn.abandoned.Load() {
		return nil
	}
	conn.in.close(true)
	conn.out.close(false)
	return nil
}
func (conn *conn) LocalAddr() net.Addr  { return conn.local }
func (conn *conn) RemoteAddr() net.Addr { return conn.remote }
func (conn *conn) SetDeadline(limit time.Time) error {
	conn.in.setLimit(limit)
	return nil
}
func (conn *conn) SetReadDeadline(limit time.Time) error { return conn.SetDeadline(limit) }
func (conn *conn) SetWriteDeadline(time.Time) error      { return nil }
