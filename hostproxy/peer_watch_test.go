package hostproxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/routing"
)

// A machine is dead that leaves packets without an acknowledgement; one that acknowledges and
// keeps its window closed only rests, however long.
func TestRestingReaderIsNotDead(test *testing.T) {
	const limit = 700 * time.Millisecond
	for name, play := range map[string]struct {
		state socketState
		dead  bool
	}{
		"quiet, nothing sent":              {socketState{lost: 0, sinceAck: time.Minute}, false},
		"window closed, probe under way":   {socketState{lost: 1, sinceAck: 10 * time.Second}, false},
		"one packet lost":                  {socketState{lost: 1, sinceAck: limit}, false},
		"packets lost, acknowledged since": {socketState{lost: 3, sinceAck: limit - 1}, false},
		"silent":                           {socketState{lost: 2, sinceAck: limit}, true},
		"silent for long":                  {socketState{lost: 5, sinceAck: time.Minute}, true},
	} {
		if play.state.isDead(limit) != play.dead {
			test.Errorf("%s: dead %v", name, !play.dead)
		}
	}
}

// The kernel ends a connection by TCP_USER_TIMEOUT also when its peer acknowledges all and does
// not read for so long: a backend at work counted as dead, and its request was answered 502.
// While a large body is under way the kernel has no such time-out; the next request has it.
func TestLargeBodyWaitsForAReaderThatRests(test *testing.T) {
	const timeout = 700 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		test.Fatal(err)
	}
	defer listener.Close()
	config, goroutines := testConfig("p1", "e1"), concurrent.NewGroup()
	config.UserTimeout = timeout
	var dialled *net.TCPConn
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		dialer := &net.Dialer{}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		dialled = conn.(*net.TCPConn)
		return conn, newConnection(conn).setUserTimeout(timeout)
	}
	proxy := NewProxy(config, dial, func() int64 { return time.Now().UnixMilli() }, goroutines, metrics.NewCounters())
	state := &routing.State{Config: testRoutingConfig()}
	state.Config.Limits.BodyBytes = 4 << 20
	state.Config.Routes[0].TimeoutMs = 60_000
	proxy.Apply(state, &message.Table{
		Version:  leaderVersion,
		Complete: true,
		Members:  []message.Member{{Name: "p1", Kind: message.ProxyKind, Zone: "e1", Ready: true}},
		Backends: []message.Backend{{Name: "b1", Service: "plain", Address: listener.Addr().String(), Zone: "e1", Capacity: 8}},
	}, nil)
	seen := -1
	goroutines.Start(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		var first [1]byte
		if _, err := io.ReadFull(request.Body, first[:]); err != nil {
			return
		}
		seen = userTimeout(dialled)
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		_, _ = io.WriteString(conn, sealedResponse("id", "200 OK", "", "done")) // the proxy tells what became of it
		_, _ = conn.Read(first[:])                                              // until the proxy closes it
	})
	source := httptest.NewRequest(http.MethodPost, "http://host.example/once/a", strings.NewReader(string(letters(0, 3<<20))))
	source.RequestURI = "/once/a"
	source.Header.Set("Attempt", "id")
	recorder := httptest.NewRecorder()
	proxy.ServeHTTP(recorder, source)
	if recorder.Code != http.StatusOK || seen != 0 {
		test.Errorf("%d, time-out of %d ms while the body was under way", recorder.Code, seen)
	}
	proxy.targets["b1"].retire()
	goroutines.Stop()
	goroutines.Wait()
}

// A connection that is kept after a large body has the kernel's time-out again.
func TestKeptConnectionHasItsTimeoutAgain(test *testing.T) {
	const timeout = 700 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		test.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		test.Fatal(err)
	}
	defer conn.Close()
	config, goroutines := testConfig("p1", "e1"), concurrent.NewGroup()
	config.UserTimeout = timeout
	proxy := NewProxy(config, dialUnreachable, func() int64 { return 0 }, goroutines, metrics.NewCounters())
	held, kept := newTarget(ownBackend()), newConnection(conn)
	held.reserveConnection(1)
	proxy.watchPeer(kept)
	if during := userTimeout(conn.(*net.TCPConn)); during != 0 {
		test.Errorf("time-out of %d ms while watched", during)
	}
	proxy.release(held, kept, true)
	if after := userTimeout(conn.(*net.TCPConn)); after != int(timeout.Milliseconds()) || len(held.idle) != 1 {
		test.Errorf("time-out of %d ms afterwards, %d kept", after, len(held.idle))
	}
	goroutines.Stop()
	goroutines.Wait()
}

// userTimeout returns a socket's TCP_USER_TIMEOUT in milliseconds, -1 if it can't be read.
func userTimeout(conn *net.TCPConn) int {
	milliseconds := -1
	_ = newConnection(conn).control(func(descriptor int) (err error) { // the result says it all
		milliseconds, err = unix.GetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		return err
	})
	return milliseconds
}
