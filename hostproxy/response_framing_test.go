package hostproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/harness/standin"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/process"
	"orchidjunction/routing"
)

// Body sizes in bytes: one that the proxy buffers, and one of which it streams half.
const (
	halvedBodyBytes   = 40
	streamedBodyBytes = 4 * maxBufferedBodyBytes
)

const (
	// endingPause is how long a backend waits before it closes or resets a connection, so that
	// the proxy has read what was sent before.
	endingPause = 50 * time.Millisecond
	// silentDeadline and framingDeadline are the deadlines of requests whose backends fall
	// silent, and of all others.
	silentDeadline  = time.Second
	framingDeadline = 20 * time.Second
)

// framingCase is a response of a backend and the state in which the proxy receives it.
type framingCase struct {
	framing    standin.Framing
	ending     standin.Ending
	size       int
	draining   bool // the proxy is told to stop when it has received half of the body
	repeatable bool
	retried    bool // another backend refuses the request first
}

func (testCase framingCase) String() string {
	return fmt.Sprintf("%s/%s/%d bytes/draining %v/repeatable %v/retried %v", testCase.framing,
		testCase.ending, testCase.size, testCase.draining, testCase.repeatable, testCase.retried)
}

// applies reports whether the case can occur.
func (testCase framingCase) applies() bool {
	switch {
	case testCase.framing == standin.FramedWithoutBody:
		return testCase.size == 0 && testCase.ending != standin.EndsInsideChunk
	case testCase.ending == standin.EndsInsideChunk:
		return testCase.framing == standin.FramedByChunks && testCase.size > 0
	case testCase.ending == standin.EndsWithSurplus:
		return !testCase.framing.EndsWithConnection()
	case testCase.retried && testCase.size == streamedBodyBytes:
		return false // a retry does not depend on the size
	}
	return testCase.size > 0 || testCase.ending == standin.EndsInOrder
}

// response returns the response to the request of the case.
func (testCase framingCase) response() *standin.FramedResponse {
	return &standin.FramedResponse{
		Framing: testCase.framing,
		Ending:  testCase.ending,
		Fields:  "Attempt: case\r\nSeal: s-case\r\n",
		Body:    string(letters(0, testCase.size)),
		Surplus: sealedResponse("other", "200 OK", "", "surplus"),
	}
}

// isComplete reports whether the client must get the response. Backends speak HTTP/1.1 only.
func (testCase framingCase) isComplete() bool {
	return testCase.framing != standin.FramedByHTTP10Close && testCase.response().IsComplete()
}

// allowsReuse reports whether another request may be sent on the connection afterwards. Surplus
// bytes prevent it, unless the response was already complete before they were sent.
func (testCase framingCase) allowsReuse() bool {
	hasOnlyHead := testCase.size == 0 && testCase.framing != standin.FramedByChunks
	return testCase.isComplete() && !testCase.framing.EndsWithConnection() && (testCase.ending != standin.EndsWithSurplus || hasOnlyHead)
}

// framingBackend is a backend on a socket. All backends of a framingEnv share its script.
type framingBackend struct {
	env      *framingEnv
	name     string
	listener net.Listener
}

// framingEnv is a proxy on a socket with three backends.
type framingEnv struct {
	testCase   framingCase
	goroutines *concurrent.Group
	proxy      *Proxy
	server     *process.Listener
	address    string
	backends   []*framingBackend
	halfSent   chan struct{}
	proceed    chan struct{}

	mutex            sync.Mutex
	arrivals         int
	executions       map[string]int
	reusedConnection bool // a request came on the connection that had carried the response of the case
}

func newFramingEnv(test *testing.T, testCase framingCase) *framingEnv {
	env := &framingEnv{
		testCase:   testCase,
		goroutines: concurrent.NewGroup(),
		halfSent:   make(chan struct{}),
		proceed:    make(chan struct{}),
		executions: map[string]int{},
	}
	table := &message.Table{Version: leaderVersion, Complete: true, Members: proxyMembers([]string{"p1"}, []string{"e1"})}
	for _, name := range []string{"b1", "b2", "b3"} {
		backend := &framingBackend{env: env, name: name, listener: listenOnLoopback(test)}
		env.backends = append(env.backends, backend)
		table.Backends = append(table.Backends, message.Backend{
			Name: name, Service: "plain", Address: backend.listener.Addr().String(), Zone: "e1", Capacity: 8,
		})
		env.goroutines.Start(backend.serve)
	}
	config := testRoutingConfig()
	for index := range config.Routes {
		config.Routes[index].TimeoutMs = int(framingDeadline.Milliseconds())
	}
	counters := metrics.NewCounters()
	env.proxy = NewProxy(testConfig("p1", "e1"), (&net.Dialer{}).DialContext,
		func() int64 { return time.Now().UnixMilli() }, env.goroutines, counters)
	env.proxy.Apply(&routing.State{Config: config}, table, nil)
	for _, budget := range env.proxy.view.Load().budgets {
		budget.tokens = budget.limit
	}
	socket := listenOnLoopback(test)
	env.address = socket.Addr().String()
	env.server = process.NewListener(socket, env.proxy, process.ListenOptions{
		Limits:   process.ConnLimits{HeaderBytes: http.DefaultMaxHeaderBytes},
		Counters: counters,
		Memory:   env.proxy.RequestMemory(),
	})
	env.server.Serve(env.goroutines)
	return env
}

func listenOnLoopback(test *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		test.Fatal(err)
	}
	return listener
}

func (env *framingEnv) close() {
	env.server.Close()
	for _, backend := range env.backends {
		backend.listener.Close()
	}
	env.goroutines.Stop()
}

func (backend *framingBackend) serve() {
	for {
		conn, err := backend.listener.Accept()
		if err != nil {
			return
		}
		backend.env.goroutines.Start(func() { backend.serveConn(conn) })
	}
}

func (backend *framingBackend) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	carriedCase := false
	for {
		received, err := readRequest(reader)
		if err != nil {
			return
		}
		id := received.get("Attempt")
		switch backend.env.countArrival(id, carriedCase) {
		case refusedArrival:
			_, err = io.WriteString(conn, unsealedResponse(id, "503 Service Unavailable", "Not-Executed: full\r\n", "full"))
		case scriptedArrival:
			carriedCase = true
			if !backend.env.respond(conn) {
				return
			}
		default:
			_, err = io.WriteString(conn, sealedResponse(id, "200 OK", "", successBody(id)))
		}
		if err != nil {
			return
		}
	}
}

// arrivalKind says how a backend responds to a request.
type arrivalKind uint8

const (
	ordinaryArrival arrivalKind = iota
	refusedArrival
	scriptedArrival
)

// countArrival records a request and returns how it is answered.
func (env *framingEnv) countArrival(id string, carriedCase bool) arrivalKind {
	env.mutex.Lock()
	defer env.mutex.Unlock()
	env.reusedConnection = env.reusedConnection || carriedCase
	env.arrivals++
	scripted := 1
	if env.testCase.retried {
		scripted = 2
	}
	if env.arrivals < scripted {
		return refusedArrival
	}
	env.executions[id]++
	if env.arrivals == scripted {
		return scriptedArrival
	}
	return ordinaryArrival
}

// respond sends the response of the case. It returns false if the connection must be closed.
func (env *framingEnv) respond(conn net.Conn) bool {
	response := env.testCase.response()
	err := response.Begin(conn)
	close(env.halfSent)
	<-env.proceed
	if err != nil {
		return false // the proxy has closed the connection
	}
	if env.testCase.ending != standin.EndsInOrder && env.testCase.ending != standin.EndsWithSurplus {
		time.Sleep(endingPause)
	}
	staysOpen, err := response.End(conn)
	return staysOpen && err == nil
}

// get sends a request on a new connection to the proxy.
func (env *framingEnv) get(test *testing.T, path, id string, deadline time.Duration) reply {
	conn, err := net.Dial("tcp", env.address)
	if err != nil {
		test.Fatal(err)
	}
	defer conn.Close()
	client := &client{conn: conn, reader: bufio.NewReader(conn)}
	fields := fmt.Sprintf("Deadline: %d\r\n", deadline.Milliseconds())
	return client.roundTrip(http.MethodGet, rawRequest(http.MethodGet, path, id, fields, ""))
}

// run lets the proxy forward one request to a backend that responds as the case says.
func (env *framingEnv) run(test *testing.T) reply {
	path, deadline := "/once/a", framingDeadline
	if env.testCase.repeatable {
		path = "/again/a"
	}
	if env.testCase.ending == standin.EndsWithSilence {
		deadline = silentDeadline
	}
	drained := make(chan bool, 1)
	env.goroutines.Start(func() {
		<-env.halfSent
		if env.testCase.draining {
			env.proxy.StartDrain()
			env.goroutines.Start(func() { drained <- env.server.Drain(framingDeadline) })
		}
		close(env.proceed)
	})
	result := env.get(test, path, "case", deadline)
	if env.testCase.draining && !<-drained {
		test.Error("the proxy stopped with a request in flight")
	}
	return result
}

// check checks the client's reply: what is complete arrives complete, and what is not never
// looks complete.
func (env *framingEnv) check(test *testing.T, got *reply) {
	isBackends := got.err == nil && got.status < 300 && got.header.Get("Seal") == "s-case" && got.header.Get("Attempt") == "case"
	switch testCase := env.testCase; {
	case testCase.isComplete():
		if want := testCase.response().SentBody(); !isBackends || got.body != want {
			test.Errorf("status %d, %d bytes, error %v, want the backend's response of %d bytes",
				got.status, len(got.body), got.err, len(want))
		}
	case isBackends:
		if !testCase.repeatable || got.body != successBody("case") {
			test.Errorf("an incomplete response looks complete, with %d bytes", len(got.body))
		}
	case testCase.size == streamedBodyBytes && got.err != nil: // the client was told by a connection that breaks off
	case got.err != nil || got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout:
		test.Errorf("status %d, error %v, want 502 or 504", got.status, got.err)
	case testCase.repeatable && testCase.ending != standin.EndsWithSilence:
		test.Errorf("status %d, want the response of the other backend", got.status)
	}
	env.mutex.Lock()
	defer env.mutex.Unlock()
	if count := env.executions["case"]; count > 1 && (!env.testCase.repeatable || env.testCase.isComplete()) {
		test.Errorf("executed %d times", count)
	}
}

// checkNext checks the request after the case: it gets its own response, and does not reuse the
// connection unless the case allows it.
func (env *framingEnv) checkNext(test *testing.T) {
	if next := env.get(test, "/again/b", "next", framingDeadline); next.err != nil || next.body != successBody("next") {
		test.Errorf("next request: status %d, body %q, error %v", next.status, next.body, next.err)
	}
	env.mutex.Lock()
	defer env.mutex.Unlock()
	if env.reusedConnection && !env.testCase.allowsReuse() {
		test.Error("the connection was reused")
	}
}

// Responses without a length, which end with their connection, were answered 502 while their
// backend was still sending them. For each framing of a response and each way in which it ends,
// the client gets it complete or can tell that it is not.
func TestResponseFramings(test *testing.T) {
	bools := []bool{false, true}
	for _, framing := range standin.Framings {
		for _, ending := range standin.Endings {
			for _, size := range []int{0, halvedBodyBytes, streamedBodyBytes} {
				for _, draining := range bools {
					for _, repeatable := range bools {
						for _, retried := range bools {
							testCase := framingCase{framing, ending, size, draining, repeatable, retried}
							if testCase.applies() {
								test.Run(testCase.String(), testCase.test)
							}
						}
					}
				}
			}
		}
	}
}

func (testCase framingCase) test(test *testing.T) {
	test.Parallel()
	env := newFramingEnv(test, testCase)
	defer env.close()
	result := env.run(test)
	env.check(test, &result)
	if !testCase.draining {
		env.checkNext(test)
	}
}

// closeDelimited responds without a length: the body ends with the connection, in order or with
// a reset. The second half of the body follows after a pause.
func closeDelimited(size int, pause time.Duration, resets bool) handler {
	return func(exchange *exchange) bool {
		id, body := exchange.get("Attempt"), string(letters(0, size))
		exchange.writef("HTTP/1.1 200 OK\r\nAttempt: %s\r\nSeal: s-%s\r\n\r\n%s", id, id, body[:size/2])
		exchange.backend.goroutines.Sleep(pause)
		if resets {
			exchange.pipe.reset()
			return false
		}
		exchange.writef("%s", body[size/2:])
		return false
	}
}

// A response without a length may take until the request's deadline; after that, the proxy ends
// the request.
func TestCloseDelimitedResponseNearDeadline(test *testing.T) {
	for pause, wantComplete := range map[time.Duration]bool{1400 * time.Millisecond: true, 1700 * time.Millisecond: false} {
		for _, size := range []int{halvedBodyBytes, streamedBodyBytes} {
			withTestEnv(test, func(env *testEnv) {
				env.addBackend("b1").handleNext(closeDelimited(size, pause, false))
				got, _ := env.get("/once/a")
				isComplete := got.err == nil && got.status == http.StatusOK && got.body == string(letters(0, size))
				if isComplete != wantComplete || got.elapsed > 1600*time.Millisecond {
					test.Errorf("%d bytes, second half after %s: status %d, %d bytes, error %v, after %s",
						size, pause, got.status, len(got.body), got.err, got.elapsed)
				}
				if !wantComplete && size == halvedBodyBytes && got.status != http.StatusGatewayTimeout {
					test.Errorf("status %d, want 504", got.status)
				}
			})
		}
	}
}

// When the client of a request disconnects, the proxy closes the connection on which a response
// without a length is being sent, so that the backend can stop.
func TestCloseDelimitedResponseWithoutClient(test *testing.T) {
	for _, size := range []int{halvedBodyBytes, streamedBodyBytes} {
		withTestEnv(test, func(env *testEnv) {
			closedAt := time.Time{}
			env.addBackend("b1").handleNext(func(exchange *exchange) bool {
				closeDelimited(size, 0, false)(exchange)
				neverRespond(exchange)
				closedAt = time.Now()
				return false
			})
			client := env.client()
			client.send(rawRequest("GET", "/load/a", "id", "", ""))
			env.goroutines.Sleep(100 * time.Millisecond)
			client.conn.Close()
			leftAt := time.Now()
			env.goroutines.Sleep(time.Second)
			if closedAfter := closedAt.Sub(leftAt); closedAfter < 0 || closedAfter > 200*time.Millisecond {
				test.Errorf("%d bytes: connection to the backend closed after %s", size, closedAfter)
			}
			if open, running := env.targetLoad("b1"); open != 0 || running != 0 {
				test.Errorf("%d connections, %d requests running", open, running)
			}
		})
	}
}

// A response without a length that comes before the whole request body was sent does not cut
// that body short.
func TestCloseDelimitedResponseBeforeBodyWasSent(test *testing.T) {
	body := string(letters(0, 900<<10))
	withTestEnv(test, func(env *testEnv) {
		responder := &earlyResponder{
			env: env,
			response: func(id string) string {
				return strings.Replace(sealedResponse(id, "200 OK", "", successBody(id)), "Content-Length", "Unused", 1)
			},
			readInterval: 10 * time.Millisecond,
			halfCloses:   true,
		}
		env.addBackend("b1").onConnect(responder.serve)
		client := env.client()
		defer client.conn.Close()
		env.expectSuccess(client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "", body)), "id")
		env.goroutines.Sleep(time.Second)
		if got, _ := responder.received(); got != body {
			test.Errorf("%d of %d bytes received", len(got), len(body))
		}
	})
}
