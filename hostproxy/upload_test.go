package hostproxy

import (
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// readHead reads exactly a request's head; false if the connection ends first.
func readHead(pipe *pipe) bool {
	var got []byte
	for !strings.HasSuffix(string(got), "\r\n\r\n") {
		var one [1]byte
		if _, err := io.ReadFull(pipe, one[:]); err != nil {
			return false
		}
		got = append(got, one[0])
	}
	return true
}

// respondAfterHead reads a request's head but not its body, and responds immediately.
func respondAfterHead(env *testEnv, response func(id string) string) func(*pipe) {
	return func(pipe *pipe) {
		if !readHead(pipe) {
			return
		}
		_, _ = io.WriteString(pipe, response("id")) // the proxy may have closed the connection
		env.goroutines.Sleep(10 * time.Second)
	}
}

// A response sent before the body was read is passed on immediately, and its connection is not
// reused: the backend would read the rest of the body as a request. After a success the body is
// still sent, until the route's timeout; otherwise the connection is closed immediately.
func TestAnswerBeforeTheBodyWasSent(test *testing.T) {
	body := string(letters(0, 900<<10))
	for name, testCase := range map[string]struct {
		response func(id string) string
		status   int
		arrivals int
		open     int
	}{
		"refusal": {func(id string) string {
			return unsealedResponse(id, "503 Service Unavailable", "Not-Executed: full\r\n", "full")
		}, 200, 1, 0},
		"success": {func(id string) string { return sealedResponse(id, "200 OK", "", successBody(id)) }, 200, 0, 1},
		"error":   {func(id string) string { return sealedResponse(id, "500 X", "", successBody(id)) }, 500, 0, 0},
		"503":     {func(id string) string { return sealedResponse(id, "503 X", "", successBody(id)) }, 502, 0, 0},
	} {
		withTestEnv(test, func(env *testEnv) {
			begin := time.Now()
			env.addBackend("b1").onConnect(respondAfterHead(env, testCase.response))
			env.addBackendAt("b2", "plain", "e2", 8)
			client := env.client()
			defer client.conn.Close()
			reply := client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "", body))
			if reply.err != nil || reply.status != testCase.status || reply.elapsed > 100*time.Millisecond {
				test.Errorf("%s: %d %q %v after %s", name, reply.status, reply.body, reply.err, reply.elapsed)
			}
			if count := len(env.backends["b2"].requests()); count != testCase.arrivals {
				test.Errorf("%s: %d arrivals at the other backend", name, count)
			}
			if open, _ := env.targetLoad("b1"); open != testCase.open {
				test.Errorf("%s: %d connections open", name, open)
			}
			if target := env.proxy.targets["b1"]; len(target.idle) != 0 {
				test.Errorf("%s: %d idle connections", name, len(target.idle))
			}
			env.goroutines.Sleep(2*time.Second + 2*deadlineSlack - time.Since(begin))
			if open, _ := env.targetLoad("b1"); open != 0 {
				test.Errorf("%s: %d connections open after the route's timeout", name, open)
			}
		})
	}
}

// earlyResponder is a backend that responds after a request's head, and then reads and records
// the rest of the connection at intervals.
type earlyResponder struct {
	env          *testEnv
	response     func(id string) string
	readInterval time.Duration
	halfCloses   bool // it closes its sending direction after the response

	mutex sync.Mutex
	body  []byte
	ended bool
}

// received returns the bytes after the head, and whether the connection has ended.
func (responder *earlyResponder) received() (string, bool) {
	responder.mutex.Lock()
	defer responder.mutex.Unlock()
	return string(responder.body), responder.ended
}

func (responder *earlyResponder) record(part []byte, ended bool) {
	responder.mutex.Lock()
	responder.body, responder.ended = append(responder.body, part...), ended
	responder.mutex.Unlock()
}

func (responder *earlyResponder) serve(pipe *pipe) {
	if !readHead(pipe) {
		return
	}
	_, _ = io.WriteString(pipe, responder.response("id")) // the proxy may have closed the connection
	if responder.halfCloses {
		_ = pipe.CloseWrite() // never fails
	}
	part := make([]byte, 64<<10)
	for {
		responder.env.goroutines.Sleep(responder.readInterval)
		count, err := pipe.Read(part)
		responder.record(part[:count], err != nil)
		if err != nil {
			return
		}
	}
}

// A backend that responds with success before it has read the body must still get exactly the
// whole body: the client was told that its data was accepted. The backend pauses before its first
// read, so that the proxy reads the response while the body is still being sent.
func TestBodyIsSentAfterEarlySuccess(test *testing.T) {
	body := string(letters(0, 900<<10))
	success := func(fields string) func(string) string {
		return func(id string) string { return sealedResponse(id, "200 OK", fields, successBody(id)) }
	}
	surplus := func(id string) string {
		return success("")(id) + sealedResponse("other", "200 OK", "", successBody("other"))
	}
	large := string(letters(0, 2*maxBufferedBodyBytes))
	chunks := "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	head := "POST /once/a HTTP/1.1\r\nHost: host.example\r\nAttempt: id\r\nDeadline: 1500\r\n"
	plain := rawRequest("POST", "/once/a", "id", "", body)
	for name, testCase := range map[string]struct {
		request      string
		response     func(id string) string
		readInterval time.Duration
		cancels      bool
	}{
		"keep-alive":     {plain, success(""), time.Millisecond, false},
		"close":          {plain, success("Connection: close\r\n"), time.Millisecond, false},
		"two responses":  {plain, surplus, time.Millisecond, false},
		"no content":     {plain, func(id string) string { return "HTTP/1.1 204 No Content\r\nAttempt: id\r\nSeal: s-id\r\n\r\n" }, time.Millisecond, false},
		"large response": {plain, func(id string) string { return sealedResponse(id, "200 OK", "", large) }, 10 * time.Millisecond, false},
		"chunked":        {head + chunks, success(""), time.Millisecond, false},
		"expect":         {rawRequest("POST", "/once/a", "id", "Expect: 100-continue\r\n", body), success(""), time.Millisecond, false},
		"back pressure":  {plain, success(""), 100 * time.Millisecond, false},
		"client cancels": {plain, success(""), 100 * time.Millisecond, true},
	} {
		withTestEnv(test, func(env *testEnv) {
			responder := &earlyResponder{env: env, response: testCase.response, readInterval: testCase.readInterval}
			env.addBackend("b1").onConnect(responder.serve)
			client := env.client()
			defer client.conn.Close()
			reply := client.roundTrip("POST", testCase.request)
			for reply.status == 100 {
				reply = client.roundTrip("POST", "")
			}
			if reply.err != nil || reply.status/100 != 2 || reply.elapsed > 200*time.Millisecond {
				test.Errorf("%s: %d %v after %s", name, reply.status, reply.err, reply.elapsed)
			}
			if got, _ := responder.received(); got != "" {
				test.Errorf("%s: backend read %d bytes of the body before its response was passed on", name, len(got))
			}
			if testCase.cancels {
				client.conn.Close()
			}
			env.goroutines.Sleep(1900 * time.Millisecond)
			if got, ended := responder.received(); got != body || !ended {
				test.Errorf("%s: %d of %d bytes received, connection ended: %v", name, len(got), len(body), ended)
			}
			if open, _ := env.targetLoad("b1"); open != 0 {
				test.Errorf("%s: %d connections open", name, open)
			}
		})
	}
}

// A stopping proxy finishes bodies still being sent after an early success, and aborts them
// after its time limit.
func TestStoppingProxyFinishesUploads(test *testing.T) {
	body := string(letters(0, 900<<10))
	for limit, complete := range map[time.Duration]bool{1500 * time.Millisecond: true, 200 * time.Millisecond: false} {
		withTestEnv(test, func(env *testEnv) {
			responder := &earlyResponder{
				env:          env,
				response:     func(id string) string { return sealedResponse(id, "200 OK", "", successBody(id)) },
				readInterval: 50 * time.Millisecond,
			}
			env.addBackend("b1").onConnect(responder.serve)
			client := env.client()
			defer client.conn.Close()
			env.expectSuccess(client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "", body)), "id")
			begin := time.Now()
			env.proxy.StartDrain()
			env.proxy.FinishUploads(limit)
			if took := time.Since(begin); took > limit {
				test.Errorf("stopped after %s, limit %s", took, limit)
			}
			if got, _ := responder.received(); (got == body) != complete {
				test.Errorf("%d of %d bytes received within %s", len(got), len(body), limit)
			}
		})
	}
}

// A body that a backend reads late arrives complete, and the connection is reused.
func TestSlowlyReadBody(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").onConnect(func(*pipe) { env.goroutines.Sleep(300 * time.Millisecond) })
		client := env.client()
		defer client.conn.Close()
		body := string(letters(0, 900<<10))
		env.expectSuccess(client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "", body)), "id")
		if got := string(env.receivedRequests()[0].body); got != body {
			test.Errorf("%d bytes arrived", len(got))
		}
		if open, _ := env.targetLoad("b1"); open != 1 {
			test.Errorf("%d connections open", open)
		}
	})
}

// A backend that stops reading a body may have executed the request, so it is not retried.
func TestStalledBodyMayHaveExecuted(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").onConnect(func(*pipe) { env.goroutines.Sleep(10 * time.Second) })
		env.addBackendAt("b2", "plain", "e2", 8)
		client := env.client()
		defer client.conn.Close()
		reply := client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "", string(letters(0, 900<<10))))
		if reply.status != 504 || len(env.receivedRequests()) != 0 || reply.elapsed > 1600*time.Millisecond {
			test.Errorf("%d after %s, %d arrivals", reply.status, reply.elapsed, len(env.receivedRequests()))
		}
	})
}
