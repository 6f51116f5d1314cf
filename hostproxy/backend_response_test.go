package hostproxy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// fragment is a piece of a response, written after a delay.
type fragment struct {
	delay time.Duration
	bytes string
}

// responseScript is what a backend writes in response to a request, and whether it closes the
// connection afterwards.
type responseScript struct {
	fragments []fragment
	closes    bool
}

func writeOnce(bytes string) responseScript {
	return responseScript{fragments: []fragment{{bytes: bytes}}}
}

func writeAndClose(bytes string) responseScript {
	return responseScript{fragments: []fragment{{bytes: bytes}}, closes: true}
}

func (script responseScript) run(exchange *exchange) bool {
	for _, fragment := range script.fragments {
		if fragment.delay > 0 {
			exchange.backend.goroutines.Sleep(fragment.delay)
		}
		if _, err := exchange.pipe.Write([]byte(fragment.bytes)); err != nil {
			return false
		}
	}
	return !script.closes
}

// scriptResult is the outcome of a request whose backend ran a script, and of the next request.
type scriptResult struct {
	reply    reply
	id       string
	requests int
	next     reply
	nextID   string
}

// runScript sends a request over a reused backend connection, lets the backend run a script,
// and then sends another request.
func runScript(test *testing.T, method, path string, scriptOf func(id string) responseScript) scriptResult {
	test.Helper()
	result := scriptResult{}
	withTestEnv(test, func(env *testEnv) {
		backend := env.addBackend("b1")
		reply, id := env.get("/once/first")
		env.expectSuccess(reply, id)
		backend.handleNext(func(exchange *exchange) bool { return scriptOf(exchange.get("Attempt")).run(exchange) })
		result.id = env.newID()
		client := env.client()
		defer client.conn.Close()
		result.reply = client.roundTrip(method, rawRequest(method, path, result.id, "", ""))
		result.requests = len(backend.requests()) - 1
		result.next, result.nextID = env.get("/once/next")
		if result.next.status != 502 && result.next.status != 503 {
			env.expectSuccess(result.next, result.nextID)
		}
	})
	return result
}

// summary returns the status of the reply, marked as sealed if the reply is the backend's.
func (result *scriptResult) summary() string {
	switch reply := &result.reply; {
	case reply.err != nil:
		return "incomplete"
	case reply.header.Get("Seal") == "s-"+result.id:
		return fmt.Sprint(reply.status, " sealed")
	default:
		return fmt.Sprint(reply.status)
	}
}

// Responses that a backend may send to a non-repeatable request, and what the client receives.
func TestBackendResponseScripts(test *testing.T) {
	sealed := func(id, status, fields string) string { return sealedResponse(id, status, fields, successBody(id)) }
	for name, testCase := range map[string]struct {
		script func(id string) responseScript
		want   string
	}{
		"complete": {func(id string) responseScript { return writeOnce(sealed(id, "200 OK", "")) }, "200 sealed"},
		"byte by byte": {func(id string) responseScript {
			pieces := responseScript{}
			for _, testCase := range sealed(id, "200 OK", "") {
				pieces.fragments = append(pieces.fragments, fragment{time.Millisecond, string(testCase)})
			}
			return pieces
		}, "200 sealed"},
		"interim responses": {func(id string) responseScript {
			return writeOnce("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nAttempt: other\r\n\r\n" + sealed(id, "200 OK", ""))
		}, "200 sealed"},
		"too many interim responses": {func(id string) responseScript {
			return writeOnce(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 200) + sealed(id, "200 OK", ""))
		}, "502"},
		"status below 100": {func(id string) responseScript { return writeOnce("HTTP/1.1 099 X\r\n\r\n" + sealed(id, "200 OK", "")) }, "502"},
		"only interim responses, then silence": {func(string) responseScript {
			return writeOnce("HTTP/1.1 100 Continue\r\n\r\n")
		}, "504"},
		"response to another request first": {func(id string) responseScript {
			return writeOnce(sealed("other", "200 OK", "") + sealed(id, "200 OK", ""))
		}, "200 sealed"},
		"refusal of another request first": {func(id string) responseScript {
			return writeOnce(unsealedResponse("other", "503 Service Unavailable", "Not-Executed: full\r\n", "") + sealed(id, "200 OK", ""))
		}, "200 sealed"},
		"only a refusal of another request": {func(string) responseScript {
			return writeOnce(unsealedResponse("other", "503 Service Unavailable", "Not-Executed: full\r\n", ""))
		}, "504"},
		"refusal without an ID": {func(string) responseScript {
			return writeOnce("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n")
		}, "502"},
		"misdirected without an ID": {func(string) responseScript {
			return writeOnce("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		}, "502"},
		"refusal with two IDs": {func(id string) responseScript {
			return writeOnce(unsealedResponse(id, "503 X", "Attempt: other\r\nNot-Executed: full\r\n", ""))
		}, "502"},
		"response with two IDs": {func(id string) responseScript { return writeOnce(sealed(id, "200 OK", "Attempt: other\r\n")) }, "502"},
		"two seals":             {func(id string) responseScript { return writeOnce(sealed(id, "200 OK", "Seal: other\r\n")) }, "502"},
		"refused and served":    {func(id string) responseScript { return writeOnce(sealed(id, "200 OK", "Not-Executed: full\r\n")) }, "502"},
		"refusal": {func(id string) responseScript {
			return writeOnce(unsealedResponse(id, "429 X", "Not-Executed: full\r\n", ""))
		}, "503"},
		"refusal, then garbage": {func(id string) responseScript {
			return writeOnce(unsealedResponse(id, "503 X", "Not-Executed: full\r\n", "") + "\x00garbage\r\n\r\n")
		}, "503"},
		"truncated refusal": {func(id string) responseScript {
			return writeAndClose("HTTP/1.1 503 X\r\nAttempt: " + id + "\r\nNot-Executed: full\r\nContent-Length: 50\r\n\r\nhalf")
		}, "503"},
		"truncated head of a refusal": {func(id string) responseScript {
			return writeAndClose("HTTP/1.1 503 X\r\nAttempt: " + id + "\r\nNot-Executed: full\r\n")
		}, "502"},
		"503 without Not-Executed": {func(id string) responseScript { return writeOnce(sealed(id, "503 X", "")) }, "502"},
		"body shorter than its length": {func(id string) responseScript {
			return writeAndClose(strings.Replace(sealed(id, "200 OK", ""), "Content-Length: ", "Content-Length: 1", 1))
		}, "502"},
		"two lengths": {func(id string) responseScript { return writeOnce(sealed(id, "200 OK", "Content-Length: 3\r\n")) }, "502"},
		"truncated chunks": {func(id string) responseScript {
			return writeAndClose("HTTP/1.1 200 OK\r\nAttempt: " + id + "\r\nSeal: s-" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		}, "502"},
		"chunks without the final line": {func(id string) responseScript {
			return writeAndClose("HTTP/1.1 200 OK\r\nAttempt: " + id + "\r\nSeal: s-" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n")
		}, "502"},
		"204 with a body": {func(id string) responseScript {
			return writeOnce("HTTP/1.1 204 No Content\r\nAttempt: " + id + "\r\nSeal: s-" + id + "\r\nContent-Length: 4\r\n\r\nbody")
		}, "204 sealed"},
		"304 with a body": {func(id string) responseScript {
			return writeOnce("HTTP/1.1 304 Not Modified\r\nAttempt: " + id + "\r\nSeal: s-" + id + "\r\nContent-Length: 4\r\n\r\nbody")
		}, "304 sealed"},
		"second response at once": {func(id string) responseScript {
			return writeOnce(sealed(id, "200 OK", "") + sealedResponse(id, "200 OK", "", "second"))
		}, "200 sealed"},
		"second response delayed": {func(id string) responseScript {
			return responseScript{fragments: []fragment{{0, sealed(id, "200 OK", "")}, {time.Millisecond, sealedResponse(id, "200 OK", "", "second")}}}
		}, "200 sealed"},
		"second response delayed and truncated": {func(id string) responseScript {
			return responseScript{fragments: []fragment{{0, sealed(id, "200 OK", "")}, {time.Millisecond, "HTTP/1.1 200 OK\r\nDate: Mo"}}}
		}, "200 sealed"},
		"seal listed in Connection": {func(id string) responseScript { return writeOnce(sealed(id, "200 OK", "Connection: Seal\r\n")) }, "200 sealed"},
		"attempt listed in Connection": {func(id string) responseScript {
			return writeOnce(sealed(id, "200 OK", "Connection: keep-alive, Attempt\r\n"))
		}, "200 sealed"},
	} {
		test.Run(name, func(test *testing.T) {
			result := runScript(test, "GET", "/once/a", testCase.script)
			if got := result.summary(); got != testCase.want || result.requests != 1 {
				test.Errorf("%s after %d requests at the backend, want %s after 1: %+v", got, result.requests, testCase.want, result.reply)
			}
			if result.reply.err == nil && result.reply.status < 300 && result.reply.header.Get("Attempt") != result.id {
				test.Errorf("response to request %q", result.reply.header.Get("Attempt"))
			}
		})
	}
}
