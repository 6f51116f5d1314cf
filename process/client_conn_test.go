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

// pipeListener accepts connections in memory.
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

// dial opens a connection to the listener's server.
func (listener *pipeListener) dial() *testClient {
	near, far := net.Pipe()
	listener.conns <- far
	return &testClient{conn: near, reader: bufio.NewReader(near), opened: time.Now()}
}

// testClient is a client on one connection.
type testClient struct {
	conn   net.Conn
	reader *bufio.Reader
	opened time.Time
}

const plainRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// headOf is a whole request whose head has so many bytes.
func headOf(size int) string {
	const start, end = "GET / HTTP/1.1\r\nHost:a\r\nX:", "\r\n\r\n"
	return start + strings.Repeat("x", size-len(start)-len(end)) + end
}

// send sends a text; what the server does not take is lost.
func (client *testClient) send(text string) { _, _ = io.WriteString(client.conn, text) }

// trickle sends a text byte by byte, with a pause after each.
func (client *testClient) trickle(text string, pause time.Duration) {
	for index := range len(text) {
		if _, err := io.WriteString(client.conn, text[index:index+1]); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// status is the status of the next answer, 0 if the connection ends without one.
func (client *testClient) status() int {
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body) // the length is not looked at
	return response.StatusCode
}

// closedAfter is the time until the server closes the connection.
func (client *testClient) closedAfter(since time.Time) time.Duration {
	if _, err := client.reader.ReadByte(); !errors.Is(err, io.EOF) {
		return -1
	}
	return time.Since(since)
}

// limitedServer is a listener with limits in virtual time.
type limitedServer struct {
	*pipeListener
	listener *Listener
	counters *metrics.Counters
	mutex    sync.Mutex
	handled  int
}

func inLimitedServer(test *testing.T, options ListenOptions, play func(server *limitedServer)) {
	synctest.Test(test, func(*testing.T) {
		server := &limitedServer{pipeListener: newPipeListener(), counters: metrics.NewCounters()}
		options.Counters = server.counters
		handler := http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			server.mutex.Lock()
			server.handled++
			server.mutex.Unlock()
			_, _ = io.Copy(io.Discard, request.Body) // cut off where the client leaves
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
	return server.handled
}

var oneTwoFour = ConnLimits{HeaderBytes: 4096, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second}

// A head over the limit got as far as the handler, or a lawful one did not.
func TestHeadsOverTheLimitAreRefusedToTheByte(test *testing.T) {
	for size, want := range map[int]int{60: 200, 4095: 200, 4096: 200, 4097: 431, 4200: 431, 20_000: 431, 200_000: 431} {
		inLimitedServer(test, ListenOptions{Limits: oneTwoFour}, func(server *limitedServer) {
			client := server.dial()
			go client.send(headOf(size))
			if got := client.status(); got != want || (server.requests() == 1) != (want == 200) {
				test.Errorf("%d bytes: %d, want %d, %d handled", size, got, want, server.requests())
			}
			client.conn.Close()
		})
	}
}

// A head that came too slowly held its connection as long as the process's own bound said.
func TestSlowHeadsAreEndedByTheLimit(test *testing.T) {
	inLimitedServer(test, ListenOptions{Limits: oneTwoFour}, func(server *limitedServer) {
		client := server.dial()
		client.send("GET / HTT")
		begin := time.Now()
		response, err := http.ReadResponse(client.reader, nil)
		if err != nil || response.StatusCode != http.StatusRequestTimeout || time.Since(begin) != time.Second {
			test.Fatalf("%v, %v after %v", response, err, time.Since(begin))
		}
		refusal := rpc.Error{}
		err = json.NewDecoder(response.Body).Decode(&refusal)
		if err != nil || refusal.Code != rpc.RequestTimeout || refusal.Outcome != rpc.NotRun {
			test.Errorf("%+v %v", refusal, err)
		}
		trickled := server.dial()
		begin = time.Now()
		go trickled.trickle(plainRequest, 100*time.Millisecond)
		if status, took := trickled.status(), time.Since(begin); status != 408 || took != time.Second {
			test.Errorf("a byte each 100 ms: %d after %v", status, took)
		}
		silent := server.dial()
		if took := silent.closedAfter(silent.opened); took != time.Second {
			test.Errorf("nothing sent: closed after %v", took)
		}
		if server.requests() != 0 || server.counters.Get("heads_late") != 2 || server.counters.Get("connections_closed_silent") != 1 {
			test.Errorf("%d handled, counters %v", server.requests(), server.counters.All())
		}
	})
}

// A connection that rested was kept as long as the process's own bound said.
func TestRestingConnectionsAreEndedByTheLimit(test *testing.T) {
	inLimitedServer(test, ListenOptions{Limits: oneTwoFour}, func(server *limitedServer) {
		client := server.dial()
		for range 3 {
			client.send(plainRequest)
			if status := client.status(); status != 200 {
				test.Fatal(status)
			}
			time.Sleep(1900 * time.Millisecond)
		}
		client.send(plainRequest)
		if status := client.status(); status != 200 {
			test.Fatal(status)
		}
		if took := client.closedAfter(time.Now()); took != 2*time.Second {
			test.Errorf("closed after %v", took)
		}
		if count := server.counters.Get("connections_closed_idle"); count != 1 {
			test.Errorf("%d counted", count)
		}
	})
}

// A request that came in parts with the one before it was ended as if its connection rested,
// or a slow one was ended while it was still within its time.
func TestRequestUnderWayIsNotTakenForRest(test *testing.T) {
	limits := ConnLimits{HeaderBytes: 4096, HeaderTimeout: 9 * time.Second, IdleTimeout: time.Second}
	inLimitedServer(test, ListenOptions{Limits: limits}, func(server *limitedServer) {
		client := server.dial()
		client.send(plainRequest + plainRequest[:8])
		if status := client.status(); status != 200 {
			test.Fatal(status)
		}
		time.Sleep(5 * time.Second)
		client.send(plainRequest[8:])
		if status := client.status(); status != 200 {
			test.Errorf("half of the head came with the request before: %d", status)
		}
		go client.trickle(plainRequest, 200*time.Millisecond)
		if status := client.status(); status != 200 {
			test.Errorf("a byte each 200 ms: %d", status)
		}
		body := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n"
		client.send(body)
		time.Sleep(20 * time.Second)
		client.send("later")
		if status := client.status(); status != 200 {
			test.Errorf("a body 20 s after its head: %d", status)
		}
	})
}

// Limits that changed acted on new connections only, or not at all.
func TestChangedLimitsActOnOpenConnections(test *testing.T) {
	wide := ConnLimits{HeaderBytes: 64 << 10, HeaderTimeout: 9 * time.Second, IdleTimeout: 90 * time.Second}
	inLimitedServer(test, ListenOptions{Limits: wide}, func(server *limitedServer) {
		resting, other := server.dial(), server.dial()
		for _, client := range []*testClient{resting, other} {
			client.send(plainRequest)
			if status := client.status(); status != 200 {
				test.Fatal(status)
			}
		}
		slow, late := server.dial(), server.dial()
		go slow.trickle(plainRequest, 200*time.Millisecond) // 5.4 s
		time.Sleep(1500 * time.Millisecond)
		late.send("GET")
		server.listener.SetLimits(oneTwoFour)
		changed := time.Now()
		go other.send(headOf(4097))
		if status := other.status(); status != 431 {
			test.Errorf("a longer head on an open connection: %d", status)
		}
		if took := resting.closedAfter(changed); took != 500*time.Millisecond {
			test.Errorf("shrunk: closed %v after the change", took)
		}
		if status := slow.status(); status != 200 {
			test.Errorf("a head that began before the change: %d", status)
		}
		if status := server.dial(); status.closedAfter(time.Now()) != time.Second {
			test.Error("a new connection keeps the former limits")
		}
		kept := server.dial()
		kept.send(plainRequest)
		if status := kept.status(); status != 200 {
			test.Fatal(status)
		}
		time.Sleep(1900 * time.Millisecond)
		server.listener.SetLimits(wide)
		time.Sleep(60 * time.Second)
		go kept.send(headOf(60 << 10))
		if status := kept.status(); status != 200 {
			test.Errorf("grown: %d", status)
		}
		if took := kept.closedAfter(time.Now()); took != 90*time.Second {
			test.Errorf("grown: closed after %v", took)
		}
		late.conn.Close()
	})
}

// Heads took as much memory as clients sent.
func TestLongHeadsTakeNoMoreThanTheMemory(test *testing.T) {
	memory := &testMemory{left: 200 << 10}
	unbounded := ConnLimits{HeaderBytes: 1<<63 - 1, HeaderTimeout: 1<<63 - 1, IdleTimeout: 1<<63 - 1}
	inLimitedServer(test, ListenOptions{Limits: unbounded, Memory: memory}, func(server *limitedServer) {
		for _, one := range []struct{ size, status int }{{8 << 10, 200}, {60 << 10, 200}, {1 << 20, 503}, {60 << 10, 200}} {
			client := server.dial()
			go client.send(headOf(one.size))
			if status := client.status(); status != one.status {
				test.Errorf("%d bytes: %d, want %d", one.size, status, one.status)
			}
			client.conn.Close()
			time.Sleep(time.Second)
		}
		if left := memory.available(); left != 200<<10 {
			test.Errorf("%d bytes left", left)
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

// Connections took all descriptors, so that the process could call nobody any more.
func TestConnectionsOverTheBudgetAreRefusedEarly(test *testing.T) {
	budget := NewConnBudget(reservedDescriptors + 16) // 12 served, 13 open
	inLimitedServer(test, ListenOptions{Budget: budget}, func(server *limitedServer) {
		clients := []*testClient{}
		for range 12 {
			clients = append(clients, server.dial())
		}
		over := server.dial()
		closed := server.dial()
		if _, err := closed.reader.ReadByte(); !errors.Is(err, io.EOF) {
			test.Errorf("the 14th is open: %v", err)
		}
		over.send(plainRequest)
		response, err := http.ReadResponse(over.reader, nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			test.Fatalf("the 13th: %+v %v", response, err)
		}
		if response.Header.Get("Retry-After") == "" || !response.Close {
			test.Errorf("the 13th: %+v", response.Header)
		}
		if server.requests() != 0 {
			test.Error("a refused request was handled")
		}
		over.conn.Close()
		clients[0].conn.Close()
		synctest.Wait()
		next := server.dial()
		next.send(plainRequest)
		if status := next.status(); status != 200 {
			test.Errorf("after another has left: %d", status)
		}
	})
	if budget.Open() != 0 {
		test.Errorf("%d open at the end", budget.Open())
	}
}

// stalledConn is a connection of a process that is too slow to read: each read waits until
// it is let go.
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

// A request that had come in time was dropped unread, as the process had been frozen until
// after the time of its connection.
func TestRequestThatCameBeforeTheEndOfAWaitIsServed(test *testing.T) {
	open, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		test.Fatal(err)
	}
	reads := make(chan struct{})
	limits := ConnLimits{HeaderTimeout: time.Nanosecond, IdleTimeout: time.Nanosecond}
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	listener := NewListener(stalledListener{open, reads}, handler, ListenOptions{Limits: limits})
	goroutines := concurrent.NewGroup()
	listener.Serve(goroutines)
	defer goroutines.Wait()
	defer listener.Close()
	conn, err := net.Dial("tcp", open.Addr().String())
	if err != nil {
		test.Fatal(err)
	}
	client := &testClient{conn: conn, reader: bufio.NewReader(conn)}
	defer conn.Close()
	for range 3 {
		client.send(plainRequest)
		reads <- struct{}{}
		reads <- struct{}{} // the server looks for bytes after the request
		if status := client.status(); status != 200 {
			test.Fatalf("status %d", status)
		}
	}
}

// A connection that came to rest, or was opened, just while limits changed kept the former ones.
func TestLimitsThatChangeMeanwhileAreNotMissed(test *testing.T) {
	tracker := newConnTracker(ListenOptions{})
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := tracker.open(far)
	const meetings = 40_000
	missed, missedOpen := 0, 0
	for round := range meetings {
		next := ConnLimits{HeaderBytes: int64(round + 1), HeaderTimeout: time.Hour, IdleTimeout: time.Hour}
		conn.stateChanged(http.StateActive)
		start, both := make(chan struct{}), sync.WaitGroup{}
		var opened *clientConn
		both.Go(func() {
			<-start
			conn.stateChanged(http.StateIdle)
			opened = tracker.open(far)
		})
		both.Go(func() {
			<-start
			tracker.setLimits(next)
		})
		close(start)
		both.Wait()
		if conn.headerLimit() != next.HeaderBytes {
			missed++
		}
		if opened.headerLimit() != next.HeaderBytes {
			missedOpen++
		}
		tracker.forget(opened)
	}
	if missed+missedOpen > 0 {
		test.Errorf("of %d each, %d that came to rest and %d that were opened keep the former limits", meetings, missed, missedOpen)
	}
}

// A request whose head was refused as too late could be read to its end, when the rest of it
// came while the refusal was read: what 408 promises would not hold.
func TestNothingIsReadAfterARefusal(test *testing.T) {
	open, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		test.Fatal(err)
	}
	defer open.Close()
	client, err := net.Dial("tcp", open.Addr().String())
	if err != nil {
		test.Fatal(err)
	}
	defer client.Close()
	accepted, err := open.Accept()
	if err != nil {
		test.Fatal(err)
	}
	defer accepted.Close()
	say(test, client, "GET / HT")
	conn := newConnTracker(ListenOptions{Limits: ConnLimits{HeaderTimeout: time.Nanosecond}}).open(accepted)
	buffer := make([]byte, 100)
	if count, err := conn.Read(buffer); count != 8 || err != nil {
		test.Fatal(count, err)
	}
	if count, err := conn.Read(buffer); count != 0 || err == nil {
		test.Fatalf("%d bytes, %v", count, err)
	}
	say(test, client, "TP/1.1\r\nHost: a\r\n\r\n")
	if count, err := conn.Read(buffer); count != 0 || err == nil {
		test.Errorf("after the refusal: %q", buffer[:count])
	}
}
