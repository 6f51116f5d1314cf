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

// A machine that leaves packets unacknowledged is dead; one that acknowledges them but keeps its
// window closed is alive, however long.
func TestPausedReaderIsNotDead(test *testing.T) {
	const limit = 700 * time.Millisecond
	for name, testCase := range map[string]struct {
		state socketState
		dead  bool
	}{
		"quiet, nothing sent":              {socketState{lost: 0, sinceAck: time.Minute}, false},
		"window closed, probe in flight":   {socketState{lost: 1, sinceAck: 10 * time.Second}, false},
		"one packet lost":                  {socketState{lost: 1, sinceAck: limit}, false},
		"packets lost, acknowledged since": {socketState{lost: 3, sinceAck: limit - 1}, false},
		"silent":                           {socketState{lost: 2, sinceAck: limit}, true},
		"silent for long":                  {socketState{lost: 5, sinceAck: time.Minute}, true},
	} {
		if testCase.state.isDead(limit) != testCase.dead {
			test.Errorf("%s: dead %v", name, !testCase.dead)
		}
	}
}

// TCP_USER_TIMEOUT also closes connections whose peer acknowledges everything but does not read
// for that long, so that a working backend counted as dead and its client got 502. It is off
// while a large body is sent, and on again for the next request.
func TestLargeBodyWaitsForPausedReader(test *testing.T) {
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
	timeoutDuringBody := -1
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
		timeoutDuringBody = userTimeout(dialled)
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		_, _ = io.WriteString(conn, sealedResponse("id", "200 OK", "", "done")) // the proxy's response shows the result
		_, _ = conn.Read(first[:])                                              // until the proxy closes it
	})
	source := httptest.NewRequest(http.MethodPost, "http://host.example/once/a", strings.NewReader(string(letters(0, 3<<20))))
	source.RequestURI = "/once/a"
	source.Header.Set("Attempt", "id")
	recorder := httptest.NewRecorder()
	proxy.ServeHTTP(recorder, source)
	if recorder.Code != http.StatusOK || timeoutDuringBody != 0 {
		test.Errorf("%d, timeout of %d ms while the body was sent", recorder.Code, timeoutDuringBody)
	}
	proxy.targets["b1"].retire()
	goroutines.Stop()
	goroutines.Wait()
}

// A connection reused after a large body has the kernel's timeout again.
func TestReusedConnectionHasUserTimeout(test *testing.T) {
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
	target, connection := newTarget(testBackend()), newConnection(conn)
	target.reserveConnection(1)
	proxy.watchPeer(connection)
	if during := userTimeout(conn.(*net.TCPConn)); during != 0 {
		test.Errorf("timeout of %d ms while watched", during)
	}
	proxy.release(target, connection, true)
	if after := userTimeout(conn.(*net.TCPConn)); after != int(timeout.Milliseconds()) || len(target.idle) != 1 {
		test.Errorf("timeout of %d ms afterwards, %d idle", after, len(target.idle))
	}
	goroutines.Stop()
	goroutines.Wait()
}

// userTimeout returns a socket's TCP_USER_TIMEOUT in milliseconds, -1 if it can't be read.
func userTimeout(conn *net.TCPConn) int {
	milliseconds := -1
	_ = newConnection(conn).control(func(descriptor int) (err error) { // on failure, the result is -1
		milliseconds, err = unix.GetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		return err
	})
	return milliseconds
}
