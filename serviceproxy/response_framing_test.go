package serviceproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"orchidjunction/config"
	"orchidjunction/harness/standin"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// Body sizes in bytes: one that the proxy buffers, and one of which it streams half.
const (
	halvedBytes   = 40
	streamedBytes = 4 * maxBufferedBytes
)

const (
	// endingPause is how long a backend waits in the middle of a response, so that the proxy has
	// read the first half.
	endingPause    = 50 * time.Millisecond
	framingTimeout = 10 * time.Second
	silenceTimeout = time.Second
)

// testIdentity is what the backends of these tests say of themselves.
const testIdentity = `{"service":"plain","instance":"b1","incarnation":"b1"}`

// framedBackend responds to one task on a socket.
type framedBackend struct {
	response standin.FramedResponse
	listener net.Listener
	tasks    atomic.Int64
}

func (backend *framedBackend) serve() {
	for {
		conn, err := backend.listener.Accept()
		if err != nil {
			return
		}
		go backend.serveConn(conn)
	}
}

func (backend *framedBackend) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(testIdentity), testIdentity); err != nil {
		return
	}
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	backend.tasks.Add(1)
	response := backend.response
	response.Fields = "Oj-Task: " + request.Header.Get("Oj-Task") + "\r\n"
	if response.Begin(conn) != nil {
		return
	}
	time.Sleep(endingPause)
	if staysOpen, err := response.End(conn); staysOpen && err == nil {
		_, _ = reader.ReadByte() // until the proxy closes the connection
	}
}

// A response without a length ends with its connection: an orderly close completes it, a reset
// does not. Whatever the framing, what is incomplete never looks complete to the caller, and a
// task that may have run is not reported as not run.
func TestResponseFramings(test *testing.T) {
	for _, framing := range standin.Framings {
		for _, ending := range standin.Endings {
			for _, size := range []int{0, halvedBytes, streamedBytes} {
				for _, recorded := range []bool{false, true} {
					if !isPossible(framing, ending, size) {
						continue
					}
					name := fmt.Sprintf("%s/%s/%d bytes/recorded %v", framing, ending, size, recorded)
					test.Run(name, func(test *testing.T) {
						test.Parallel()
						listener, err := net.Listen("tcp", "127.0.0.1:0")
						if err != nil {
							test.Fatal(err)
						}
						defer listener.Close()
						backend := &framedBackend{listener: listener, response: standin.FramedResponse{
							Framing: framing,
							Ending:  ending,
							Body:    strings.Repeat("x", size),
							Surplus: "HTTP/1.1 200 OK\r\nOj-Task: other\r\nContent-Length: 0\r\n\r\n",
						}}
						go backend.serve()
						backend.check(test, recorded)
					})
				}
			}
		}
	}
}

// isPossible reports whether a response of this size can be framed and end like this.
func isPossible(framing standin.Framing, ending standin.Ending, size int) bool {
	switch {
	case framing == standin.FramedWithoutBody:
		return size == 0 && ending != standin.EndsInsideChunk
	case ending == standin.EndsInsideChunk:
		return framing == standin.FramedByChunks && size > 0
	case ending == standin.EndsWithSurplus:
		return !framing.EndsWithConnection()
	}
	return size > 0 || ending == standin.EndsInOrder
}

// check sends a task and checks what its caller gets. The responses of recorded tasks are kept
// in full for replays.
func (backend *framedBackend) check(test *testing.T, recorded bool) {
	timeout := framingTimeout
	if backend.response.Ending == standin.EndsWithSilence {
		timeout = silenceTimeout
	}
	task, _ := newTask((&net.Dialer{}).DialContext, backend.listener.Addr().String(), http.MethodPost, timeout)
	task.route.KeyRequired = recorded
	defer func() { task.cleanup() }()
	err := task.sendWithRetries()
	if count := backend.tasks.Load(); count != 1 {
		test.Errorf("%d tasks at the backend, want 1", count)
	}
	if err != nil {
		if backend.response.IsComplete() || rpc.AsError(err).Outcome != rpc.MayHaveRun {
			test.Errorf("error %v, outcome %q", err, rpc.AsError(err).Outcome)
		}
		return
	}
	reply, body, err := deliverOverHTTP(test, task)
	if isDelivered := err == nil; isDelivered != backend.response.IsComplete() {
		test.Errorf("%d bytes delivered with error %v, complete: %v", len(body), err, backend.response.IsComplete())
	}
	if err == nil && (reply.StatusCode >= 300 || body != backend.response.SentBody()) {
		test.Errorf("status %d, %d bytes, want %d", reply.StatusCode, len(body), len(backend.response.SentBody()))
	}
}

// deliverOverHTTP delivers a task's response to a caller, and returns what the caller reads.
func deliverOverHTTP(test *testing.T, task *task) (*http.Response, string, error) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { task.deliver(writer) }))
	defer server.Close()
	request, err := http.NewRequest(task.request.Method, server.URL, http.NoBody)
	if err != nil {
		test.Fatal(err)
	}
	reply, err := server.Client().Do(request)
	if err != nil {
		return nil, "", err
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	return reply, string(body), err
}

// The response to a HEAD request, which has no body, was passed on with a Content-Length of 0 in
// place of the backend's, and refused if that was above the limit of the route.
func TestHeadResponseKeepsLength(test *testing.T) {
	for _, length := range []string{"77", "987654321"} {
		backend := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.Method != http.MethodHead {
				_, _ = io.WriteString(writer, testIdentity) // if this fails, so does the task
				return
			}
			writer.Header().Set("Oj-Task", request.Header.Get("Oj-Task"))
			writer.Header().Set("Content-Length", length)
		}))
		defer backend.Close()
		task, _ := newTask((&net.Dialer{}).DialContext, backend.Listener.Addr().String(), http.MethodHead, framingTimeout)
		if err := task.sendWithRetries(); err != nil {
			test.Fatal(err)
		}
		reply, body, err := deliverOverHTTP(test, task)
		if err != nil || body != "" || reply.Header.Get("Content-Length") != length {
			test.Errorf("Content-Length %q, body %q, error %v, want %s", reply.Header.Get("Content-Length"), body, err, length)
		}
	}
}

// newTask returns a task for a backend at an address, and the target that it is sent to.
func newTask(dial Dialer, address, method string, timeout time.Duration) (*task, *Target) {
	proxy := &Proxy{counters: metrics.NewCounters(), budget: newRetryBudget(), usage: metrics.NewCounters(), dial: dial}
	target := newTarget(message.Backend{Name: "b1", Service: "plain", Address: address}, dial)
	target.identity, target.identityKnown = Identity{Incarnation: "b1"}, true
	proxy.plan.Store(&plan{
		routes: NewRoutes(1, &config.Settings{}, nil), services: map[string][]*Target{"plain": {target}},
	})
	result := &task{
		proxy: proxy, plan: proxy.plan.Load(), state: newStateMachine(proxy.counters), id: "task-1",
		request:  httptest.NewRequest(method, "/charge", nil),
		route:    &config.FlatRoute{Service: "plain", Attempts: 1, ResponseBytes: 2 * streamedBytes},
		path:     "/charge",
		deadline: time.Now().Add(timeout), tried: map[*Target]bool{}, cleanup: func() {},
	}
	result.plan.routes.tenants = []tenantEntry{{name: "tenant"}}
	return result, target
}
