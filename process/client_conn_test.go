package process

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

type pipeListener struct {
	conns chan net.Conn
	ended chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), ended: make(chan struct{})}
}

func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.ended:
		return nil, net.ErrClosed
	}
}

func (listener *pipeListener) Close() error {
	listener.once.Do(func() { close(listener.ended) })
	return nil
}

func (listener *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (listener *pipeListener) dial() *testClient {
	clientSide, serverSide := net.Pipe()
	listener.conns <- serverSide
	return &testClient{conn: clientSide, reader: bufio.NewReader(clientSide), opened: time.Now()}
}

type testClient struct {
	conn   net.Conn
	reader *bufio.Reader
	opened time.Time
}

const plainRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// requestWithHead returns a request whose head has size bytes.
func requestWithHead(size int) string {
	const start, end = "GET / HTTP/1.1\r\nHost:a\r\nX:", "\r\n\r\n"
	return start + strings.Repeat("x", size-len(start)-len(end)) + end
}

// send writes text, ignoring errors.
func (client *testClient) send(text string) { _, _ = io.WriteString(client.conn, text) }

// trickle writes text byte by byte, with a pause after each.
func (client *testClient) trickle(text string, pause time.Duration) {
	for index := range len(text) {
		if _, err := io.WriteString(client.conn, text[index:index+1]); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// status returns the status of the next response, 0 if the connection closes without one.
func (client *testClient) status() int {
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body) // the body does not matter
	return response.StatusCode
}

// closedAfter returns the time from since until the server closes the connection, -1 if it does not.
func (client *testClient) closedAfter(since time.Time) time.Duration {
	if _, err := client.reader.ReadByte(); !errors.Is(err, io.EOF) {
		return -1
	}
	return time.Since(since)
}

// limitedServer is a server with connection limits, on the virtual clock of synctest.
type limitedServer struct {
	*pipeListener
	listener     *Listener
	counters     *metrics.Counters
	mutex        sync.Mutex
	requestCount int
}

func withLimitedServer(test *testing.T, options ListenOptions, play func(server *limitedServer)) {
	synctest.Test(test, func(*testing.T) {
		server := &limitedServer{pipeListener: newPipeListener(), counters: metrics.NewCounters()}
		options.Counters = server.counters
		handler := http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			server.mutex.Lock()
			server.requestCount++
			server.mutex.Unlock()
			_, _ = io.Copy(io.Discard, request.Body) // fails if the client disconnects
		})
		server.listener = NewListener(server.pipeListener, handler, options)
		goroutines := concurrent.NewGroup()
		server.listener.Serve(goroutines)
		play(server)
		server.listener.Close()
		goroutines.Stop()
		goroutines.Wait()
		time.Sleep(time.Minute)
	})
}

func (server *limitedServer) requests() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.requestCount
}

var testLimits = ConnLimits{HeaderBytes: 4096, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second}

// A head of exactly the limit must reach the handler, one byte more must not.
func TestHeadLimitIsExact(test *testing.T) {
	for size, want := range map[int]int{60: 200, 4095: 200, 4096: 200, 4097: 431, 4200: 431, 20_000: 431, 200_000: 431} {
		withLimitedServer(test, ListenOptions{Limits: testLimits}, func(server *limitedServer) {
			client := server.dial()
			go client.send(requestWithHead(size))
			if got := client.status(); got != want || (server.requests() == 1) != (want == 200) {
				test.Errorf("head of %d bytes: status %d, want %d; %d requests handled", size, got, want, server.requests())
			}
			client.conn.Close()
		})
	}
}

// The configured header timeout, not the default one, must end slow heads and silent connections.
func TestSlowHeadsTimeOut(test *testing.T) {
	withLimitedServer(test, ListenOptions{Limits: testLimits}, func(server *limitedServer) {
		client := server.dial()
		client.send("GET / HTT")
		begin := time.Now()
		response, err := http.ReadResponse(client.reader, nil)
		if err != nil || response.StatusCode != http.StatusRequestTimeout || time.Since(begin) != time.Second {
			test.Fatalf("response %v, %v after %v, want 408 after 1 s", response, err, time.Since(begin))
		}
		refusal := rpc.Error{}
		err = json.NewDecoder(response.Body).Decode(&refusal)
		if err != nil || refusal.Code != rpc.RequestTimeout || refusal.Outcome != rpc.NotRun {
			test.Errorf("unexpected error body: %+v %v", refusal, err)
		}
		trickled := server.dial()
		begin = time.Now()
		go trickled.trickle(plainRequest, 100*time.Millisecond)
		if status, took := trickled.status(), time.Since(begin); status != 408 || took != time.Second {
			test.Errorf("one byte per 100 ms: status %d after %v", status, took)
		}
		silent := server.dial()
		if took := silent.closedAfter(silent.opened); took != time.Second {
			test.Errorf("silent connection closed after %v, want 1 s", took)
		}
		if server.requests() != 0 || server.counters.Get("heads_late") != 2 || server.counters.Get("connections_closed_silent") != 1 {
			test.Errorf("%d requests handled, counters %v", server.requests(), server.counters.All())
		}
	})
}

// The configured idle timeout, not the default one, must close idle connections.
func TestIdleConnectionsTimeOut(test *testing.T) {
	withLimitedServer(test, ListenOptions{Limits: testLimits}, func(server *limitedServer) {
		client := server.dial()
		for range 3 {
			client.send(plainRequest)
			if status := client.status(); status != 200 {
				test.Fatalf("status %d, want 200", status)
			}
			time.Sleep(1900 * time.Millisecond)
		}
		client.send(plainRequest)
		if status := client.status(); status != 200 {
			test.Fatalf("status %d, want 200", status)
		}
		if took := client.closedAfter(time.Now()); took != 2*time.Second {
			test.Errorf("idle connection closed after %v, want 2 s", took)
		}
		if count := server.counters.Get("connections_closed_idle"); count != 1 {
			test.Errorf("connections_closed_idle is %d, want 1", count)
		}
	})
}

// The idle timeout must not apply to a request whose first part arrived together with the
// previous request, nor to a slow head or body.
func TestPartialRequestIsNotIdle(test *testing.T) {
	limits := ConnLimits{HeaderBytes: 4096, HeaderTimeout: 9 * time.Second, IdleTimeout: time.Second}
	withLimitedServer(test, ListenOptions{Limits: limits}, func(server *limitedServer) {
		client := server.dial()
		client.send(plainRequest + plainRequest[:8])
		if status := client.status(); status != 200 {
			test.Fatalf("status %d, want 200", status)
		}
		time.Sleep(5 * time.Second)
		client.send(plainRequest[8:])
		if status := client.status(); status != 200 {
			test.Errorf("head begun together with the previous request: status %d", status)
		}
		go client.trickle(plainRequest, 200*time.Millisecond)
		if status := client.status(); status != 200 {
			test.Errorf("one byte per 200 ms: status %d", status)
		}
		body := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n"
		client.send(body)
		time.Sleep(20 * time.Second)
		client.send("later")
		if status := client.status(); status != 200 {
			test.Errorf("body 20 s after its head: status %d", status)
		}
	})
}

// Guards against changed limits that apply to new connections only, or not at all.
func TestChangedLimitsApplyToOpenConnections(test *testing.T) {
	wide := ConnLimits{HeaderBytes: 64 << 10, HeaderTimeout: 9 * time.Second, IdleTimeout: 90 * time.Second}
	withLimitedServer(test, ListenOptions{Limits: wide}, func(server *limitedServer) {
		idle, other := server.dial(), server.dial()
		for _, client := range []*testClient{idle, other} {
			client.send(plainRequest)
			if status := client.status(); status != 200 {
				test.Fatalf("status %d, want 200", status)
			}
		}
		slow, late := server.dial(), server.dial()
		go slow.trickle(plainRequest, 200*time.Millisecond) // 5.4 s
		time.Sleep(1500 * time.Millisecond)
		late.send("GET")
		server.listener.SetLimits(testLimits)
		changed := time.Now()
		go other.send(requestWithHead(4097))
		if status := other.status(); status != 431 {
			test.Errorf("head over the new limit on an open connection: status %d", status)
		}
		if took := idle.closedAfter(changed); took != 500*time.Millisecond {
			test.Errorf("lowered idle timeout: closed %v after the change, want 500 ms", took)
		}
		if status := slow.status(); status != 200 {
			test.Errorf("head begun before the change: status %d", status)
		}
		if status := server.dial(); status.closedAfter(time.Now()) != time.Second {
			test.Error("new connection has the old limits")
		}
		kept := server.dial()
		kept.send(plainRequest)
		if status := kept.status(); status != 200 {
			test.Fatalf("status %d, want 200", status)
		}
		time.Sleep(1900 * time.Millisecond)
		server.listener.SetLimits(wide)
		time.Sleep(60 * time.Second)
		go kept.send(requestWithHead(60 << 10))
		if status := kept.status(); status != 200 {
			test.Errorf("head within the raised limit: status %d", status)
		}
		if took := kept.closedAfter(time.Now()); took != 90*time.Second {
			test.Errorf("raised idle timeout: closed after %v, want 90 s", took)
		}
		late.conn.Close()
	})
}

// Guards against request heads that take unbounded memory.
func TestLongHeadsStayWithinMemoryBudget(test *testing.T) {
	memory := &testMemory{left: 200 << 10}
	unbounded := ConnLimits{HeaderBytes: 1<<63 - 1, HeaderTimeout: 1<<63 - 1, IdleTimeout: 1<<63 - 1}
	withLimitedServer(test, ListenOptions{Limits: unbounded, Memory: memory}, func(server *limitedServer) {
		for _, testCase := range []struct{ size, status int }{{8 << 10, 200}, {60 << 10, 200}, {1 << 20, 503}, {60 << 10, 200}} {
			client := server.dial()
			go client.send(requestWithHead(testCase.size))
			if status := client.status(); status != testCase.status {
				test.Errorf("head of %d bytes: status %d, want %d", testCase.size, status, testCase.status)
			}
			client.conn.Close()
			time.Sleep(time.Second)
		}
		if left := memory.available(); left != 200<<10 {
			test.Errorf("%d bytes available at the end, want all", left)
		}
	})
}

type testMemory struct {
	mutex sync.Mutex
	left  int64
}

func (memory *testMemory) Reserve(_, bytes int64) bool {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if bytes > memory.left {
		return false
	}
	memory.left -= bytes
	return true
}

func (memory *testMemory) available() int64 {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return memory.left
}

func (memory *testMemory) Release(bytes int64) { memory.Reserve(0, -bytes) }

// Guards against client connections that take all file descriptors, so that the process cannot
// open connections of its own.
func TestConnectionsOverBudgetAreRefused(test *testing.T) {
	budget := NewConnBudget(reservedDescriptors + 16) // 12 served, 13 open
	withLimitedServer(test, ListenOptions{Budget: budget}, func(server *limitedServer) {
		clients := []*testClient{}
		for range 12 {
			clients = append(clients, server.dial())
		}
		over := server.dial()
		closed := server.dial()
		if _, err := closed.reader.ReadByte(); !errors.Is(err, io.EOF) {
			test.Errorf("14th connection is not closed: %v", err)
		}
		over.send(plainRequest)
		response, err := http.ReadResponse(over.reader, nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			test.Fatalf("13th connection: got %+v %v, want 503", response, err)
		}
		if response.Header.Get("Retry-After") == "" || !response.Close {
			test.Errorf("13th connection: unexpected header %+v", response.Header)
		}
		if server.requests() != 0 {
			test.Error("request over the budget reached the handler")
		}
		over.conn.Close()
		clients[0].conn.Close()
		synctest.Wait()
		next := server.dial()
		next.send(plainRequest)
		if status := next.status(); status != 200 {
			test.Errorf("connection after another one closed: status %d", status)
		}
	})
	if budget.Open() != 0 {
		test.Errorf("%d connections counted at the end, want 0", budget.Open())
	}
}

// stalledConn simulates a process that is too slow to read: each read waits for a receive from
// reads.
type stalledConn struct {
	*net.TCPConn
	reads <-chan struct{}
}

func (conn *stalledConn) Read(buffer []byte) (int, error) {
	<-conn.reads
	return conn.TCPConn.Read(buffer)
}

type stalledListener struct {
	net.Listener
	reads <-chan struct{}
}

func (listener stalledListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stalledConn{TCPConn: conn.(*net.TCPConn), reads: listener.reads}, nil
}

// A request that arrives in time must be served even if the process was frozen until after the
// read deadline.
func TestRequestReceivedBeforeDeadlineIsServed(test *testing.T) {
	netListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		test.Fatal(err)
	}
	reads := make(chan struct{})
	limits := ConnLimits{HeaderTimeout: time.Nanosecond, IdleTimeout: time.Nanosecond}
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	listener := NewListener(stalledListener{netListener, reads}, handler, ListenOptions{Limits: limits})
	goroutines := concurrent.NewGroup()
	listener.Serve(goroutines)
	defer goroutines.Wait()
	defer listener.Close()
	conn, err := net.Dial("tcp", netListener.Addr().String())
	if err != nil {
		test.Fatal(err)
	}
	client := &testClient{conn: conn, reader: bufio.NewReader(conn)}
	defer conn.Close()
	for range 3 {
		client.send(plainRequest)
		reads <- struct{}{}
		reads <- struct{}{} // net/http's background read after the request
		if status := client.status(); status != 200 {
			test.Fatalf("status %d", status)
		}
	}
}

// Guards against a race: a connection that became idle, or was opened, while limits changed kept
// the old limits.
func TestConcurrentLimitChangesAreApplied(test *testing.T) {
	tracker := newConnTracker(ListenOptions{})
	clientSide, serverSide := net.Pipe()
	defer clientSide.Close()
	defer serverSide.Close()
	conn := tracker.add(serverSide)
	const rounds = 40_000
	missed, missedOpen := 0, 0
	for round := range rounds {
		next := ConnLimits{HeaderBytes: int64(round + 1), HeaderTimeout: time.Hour, IdleTimeout: time.Hour}
		conn.stateChanged(http.StateActive)
		start, group := make(chan struct{}), sync.WaitGroup{}
		var added *clientConn
		group.Go(func() {
			<-start
			conn.stateChanged(http.StateIdle)
			added = tracker.add(serverSide)
		})
		group.Go(func() {
			<-start
			tracker.setLimits(next)
		})
		close(start)
		group.Wait()
		if conn.headerLimit() != next.HeaderBytes {
			missed++
		}
		if added.headerLimit() != next.HeaderBytes {
			missedOpen++
		}
		tracker.remove(added)
	}
	if missed+missedOpen > 0 {
		test.Errorf("of %d connections each, %d that became idle and %d new ones have the old limits", rounds, missed, missedOpen)
	}
}

// After a 408, the rest of the request must not be read and served: the response says that it
// was not executed.
func TestNothingIsReadAfterRefusal(test *testing.T) {
	netListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		test.Fatal(err)
	}
	defer netListener.Close()
	client, err := net.Dial("tcp", netListener.Addr().String())
	if err != nil {
		test.Fatal(err)
	}
	defer client.Close()
	accepted, err := netListener.Accept()
	if err != nil {
		test.Fatal(err)
	}
	defer accepted.Close()
	send(test, client, "GET / HT")
	conn := newConnTracker(ListenOptions{Limits: ConnLimits{HeaderTimeout: time.Nanosecond}}).add(accepted)
	buffer := make([]byte, 100)
	if count, err := conn.Read(buffer); count != 8 || err != nil {
		test.Fatalf("start of the head: read %d bytes, %v", count, err)
	}
	if count, err := conn.Read(buffer); count != 0 || err == nil {
		test.Fatalf("late head: read %d bytes, %v", count, err)
	}
	send(test, client, "TP/1.1\r\nHost: a\r\n\r\n")
	if count, err := conn.Read(buffer); count != 0 || err == nil {
		test.Errorf("read after the refusal: %q", buffer[:count])
	}
}
