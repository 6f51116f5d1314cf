package hostproxy

import (
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// skipHead reads a request's head and nothing after it; false where none comes.
func skipHead(pipe *pipe) bool {
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

// readHeadOnly takes a request's head from a connection and none of its body, and
// answers at once.
func readHeadOnly(env *testEnv, answer func(id string) string) func(*pipe) {
	return func(pipe *pipe) {
		if !skipHead(pipe) {
			return
		}
		_, _ = io.WriteString(pipe, answer("id")) // the proxy may have left
		env.goroutines.Sleep(10 * time.Second)
	}
}

// A backend that answers before it has read the body is believed at once, whether it
// refuses or serves, and its connection is not used again: what is left of the body
// there would be read as a request. After a success the body is still sent, until the
// route's timeout; after anything else the connection is closed at once.
func TestAnswerBeforeTheBodyWasSent(test *testing.T) {
	body := string(letters(0, 900<<10))
	for name, play := range map[string]struct {
		answer  func(id string) string
		status  int
		reached int
		open    int
	}{
		"refusal": {func(id string) string {
			return unsealedResponse(id, "503 Service Unavailable", "Not-Executed: full\r\n", "full")
		}, 200, 1, 0},
		"success": {func(id string) string { return sealedResponse(id, "200 OK", "", successBody(id)) }, 200, 0, 1},
		"failure": {func(id string) string { return sealedResponse(id, "500 X", "", successBody(id)) }, 500, 0, 0},
		"promise": {func(id string) string { return sealedResponse(id, "503 X", "", successBody(id)) }, 502, 0, 0},
	} {
		withTestEnv(test, func(env *testEnv) {
			begin := time.Now()
			env.addBackend("b1").onConnect(readHeadOnly(env, play.answer))
			env.addBackendAt("b2", "plain", "e2", 8)
			client := env.client()
			defer client.conn.Close()
			reply := client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "", body))
			if reply.err != nil || reply.status != play.status || reply.elapsed > 100*time.Millisecond {
				test.Errorf("%s: %d %q %v after %s", name, reply.status, reply.body, reply.err, reply.elapsed)
			}
			if count := len(env.backends["b2"].requests()); count != play.reached {
				test.Errorf("%s: %d arrivals at the other", name, count)
			}
			if open, _ := env.targetLoad("b1"); open != play.open {
				test.Errorf("%s: %d connections open", name, open)
			}
			if target := env.proxy.targets["b1"]; len(target.idle) != 0 {
				test.Errorf("%s: %d connections kept", name, len(target.idle))
			}
			env.goroutines.Sleep(2*time.Second + 2*deadlineSlack - time.Since(begin))
			if open, _ := env.targetLoad("b1"); open != 0 {
				test.Errorf("%s: %d connections open after the route's timeout", name, open)
			}
		})
	}
}

// earlyReader is a backend that answers when it has read a request's head, and reads the body
// afterwards, with rests; it keeps what comes until the end of the connection.
type earlyReader struct {
	world  *testEnv
	answer func(id string) string
	rest   time.Duration

	mutex sync.Mutex
	body  []byte
	ended bool
}

// got is what came of the body, and whether the connection has ended.
func (reader *earlyReader) got() (string, bool) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return string(reader.body), reader.ended
}

func (reader *earlyReader) take(part []byte, ended bool) {
	reader.mutex.Lock()
	reader.body, reader.ended = append(reader.body, part...), ended
	reader.mutex.Unlock()
}

func (reader *earlyReader) serve(pipe *pipe) {
	if !skipHead(pipe) {
		return
	}
	_, _ = io.WriteString(pipe, reader.answer("id")) // the proxy may have left
	part := make([]byte, 64<<10)
	for {
		reader.world.goroutines.Sleep(reader.rest)
		count, err := pipe.Read(part)
		reader.take(part[:count], err != nil)
		if err != nil {
			return
		}
	}
}

// A backend that answers a post with success before it has read the body, and reads on, must
// get the whole body, and nothing else: the client was told that its data was taken.
func TestBodyArrivesWholeAfterAnEarlySuccess(test *testing.T) {
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
	for name, play := range map[string]struct {
		request string
		answer  func(id string) string
		rest    time.Duration
		leaves  bool
	}{
		"kept":           {plain, success(""), 0, false},
		"closing":        {plain, success("Connection: close\r\n"), 0, false},
		"surplus answer": {plain, surplus, 0, false},
		"no content":     {plain, func(id string) string { return "HTTP/1.1 204 No Content\r\nAttempt: id\r\nSeal: s-id\r\n\r\n" }, 0, false},
		"large answer":   {plain, func(id string) string { return sealedResponse(id, "200 OK", "", large) }, 10 * time.Millisecond, false},
		"sent in chunks": {head + chunks, success(""), 0, false},
		"expect":         {rawRequest("POST", "/once/a", "id", "Expect: 100-continue\r\n", body), success(""), 0, false},
		"back pressure":  {plain, success(""), 100 * time.Millisecond, false},
		"client leaves":  {plain, success(""), 100 * time.Millisecond, true},
	} {
		withTestEnv(test, func(env *testEnv) {
			reader := &earlyReader{world: env, answer: play.answer, rest: play.rest}
			env.addBackend("b1").onConnect(reader.serve)
			client := env.client()
			defer client.conn.Close()
			reply := client.roundTrip("POST", play.request)
			for reply.status == 100 {
				reply = client.roundTrip("POST", "")
			}
			if reply.err != nil || reply.status/100 != 2 || reply.elapsed > 200*time.Millisecond {
				test.Errorf("%s: %d %v after %s", name, reply.status, reply.err, reply.elapsed)
			}
			if play.leaves {
				client.conn.Close()
			}
			env.goroutines.Sleep(1900 * time.Millisecond)
			if got, ended := reader.got(); got != body || !ended {
				test.Errorf("%s: %d of %d bytes came, connection ended: %v", name, len(got), len(body), ended)
			}
			if open, _ := env.targetLoad("b1"); open != 0 {
				test.Errorf("%s: %d connections open", name, open)
			}
		})
	}
}

// A proxy that stops waits for bodies that are still sent after an early success, and cuts
// them only when its own time is over.
func TestStoppingProxyFinishesUploads(test *testing.T) {
	body := string(letters(0, 900<<10))
	for limit, want := range map[time.Duration]bool{1500 * time.Millisecond: true, 200 * time.Millisecond: false} {
		withTestEnv(test, func(env *testEnv) {
			reader := &earlyReader{
				world:  env,
				answer: func(id string) string { return sealedResponse(id, "200 OK", "", successBody(id)) },
				rest:   50 * time.Millisecond,
			}
			env.addBackend("b1").onConnect(reader.serve)
			client := env.client()
			defer client.conn.Close()
			env.expectSuccess(client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "", body)), "id")
			begin := time.Now()
			env.proxy.Leave()
			env.proxy.FinishUploads(limit)
			if took := time.Since(begin); took > limit {
				test.Errorf("stopped after %s, %s allowed", took, limit)
			}
			if got, _ := reader.got(); (got == body) != want {
				test.Errorf("%d of %d bytes within %s", len(got), len(body), limit)
			}
		})
	}
}

// A body that a backend reads slowly arrives whole, and the connection is kept.
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
			test.Errorf("%d connections kept", open)
		}
	})
}

// A backend that takes no more of a body and says nothing may have run it.
func TestStalledBodyMayHaveRun(test *testing.T) {
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
