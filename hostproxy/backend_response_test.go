package hostproxy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// fragment is one piece of what a backend writes, after a pause.
type fragment struct {
	delay time.Duration
	bytes string
}

// script is what a backend writes in place of one answer, and whether it closes
// the connection after that.
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

// played is what came of one request whose backend played a script.
type scriptResult struct {
	reply    reply
	id       string
	requests int
	next     reply
	nextID   string
}

// play sends a request over a connection that was used before, lets its backend
// play the script, and sends another request after it.
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

// kind sums a reply up: the backend's own answer, or the proxy's status.
func (played *scriptResult) summary() string {
	switch reply := &played.reply; {
	case reply.err != nil:
		return "broken"
	case reply.header.Get("Seal") == "s-"+played.id:
		return fmt.Sprint(reply.status, " sealed")
	default:
		return fmt.Sprint(reply.status)
	}
}

// Answers that a backend may send to a request that may run only once, and what
// the client is told.
func TestBackendResponseScripts(test *testing.T) {
	sealed := func(id, status, fields string) string { return sealedResponse(id, status, fields, successBody(id)) }
	for name, testCase := range map[string]struct {
		script func(id string) responseScript
		want   string
	}{
		"whole": {func(id string) responseScript { return writeOnce(sealed(id, "200 OK", "")) }, "200 sealed"},
		"byte by byte": {func(id string) responseScript {
			pieces := responseScript{}
			for _, testCase := range sealed(id, "200 OK", "") {
				pieces.fragments = append(pieces.fragments, fragment{time.Millisecond, string(testCase)})
			}
			return pieces
		}, "200 sealed"},
		"interim answers": {func(id string) responseScript {
			return writeOnce("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nAttempt: other\r\n\r\n" + sealed(id, "200 OK", ""))
		}, "200 sealed"},
		"endless interim answers": {func(id string) responseScript {
			return writeOnce(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 200) + sealed(id, "200 OK", ""))
		}, "502"},
		"status below 100": {func(id string) responseScript { return writeOnce("HTTP/1.1 099 X\r\n\r\n" + sealed(id, "200 OK", "")) }, "502"},
		"only interim answers, then silence": {func(string) responseScript {
			return writeOnce("HTTP/1.1 100 Continue\r\n\r\n")
		}, "504"},
		"another's answer before": {func(id string) responseScript {
			return writeOnce(sealed("other", "200 OK", "") + sealed(id, "200 OK", ""))
		}, "200 sealed"},
		"another's refusal before": {func(id string) responseScript {
			return writeOnce(unsealedResponse("other", "503 Service Unavailable", "Not-Executed: full\r\n", "") + sealed(id, "200 OK", ""))
		}, "200 sealed"},
		"another's refusal alone": {func(string) responseScript {
			return writeOnce(unsealedResponse("other", "503 Service Unavailable", "Not-Executed: full\r\n", ""))
		}, "504"},
		"a refusal of nobody's": {func(string) responseScript {
			return writeOnce("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n")
		}, "502"},
		"a misdirected of nobody's": {func(string) responseScript {
			return writeOnce("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		}, "502"},
		"a refusal of two": {func(id string) responseScript {
			return writeOnce(unsealedResponse(id, "503 X", "Attempt: other\r\nNot-Executed: full\r\n", ""))
		}, "502"},
		"an answer of two":   {func(id string) responseScript { return writeOnce(sealed(id, "200 OK", "Attempt: other\r\n")) }, "502"},
		"two seals":          {func(id string) responseScript { return writeOnce(sealed(id, "200 OK", "Seal: other\r\n")) }, "502"},
		"refused and served": {func(id string) responseScript { return writeOnce(sealed(id, "200 OK", "Not-Executed: full\r\n")) }, "502"},
		"a refusal": {func(id string) responseScript {
			return writeOnce(unsealedResponse(id, "429 X", "Not-Executed: full\r\n", ""))
		}, "503"},
		"a refusal, then garbage": {func(id string) responseScript {
			return writeOnce(unsealedResponse(id, "503 X", "Not-Executed: full\r\n", "") + "\x00garbage\r\n\r\n")
		}, "503"},
		"a refusal cut short": {func(id string) responseScript {
			return writeAndClose("HTTP/1.1 503 X\r\nAttempt: " + id + "\r\nNot-Executed: full\r\nContent-Length: 50\r\n\r\nhalf")
		}, "503"},
		"a refusal's head cut short": {func(id string) responseScript {
			return writeAndClose("HTTP/1.1 503 X\r\nAttempt: " + id + "\r\nNot-Executed: full\r\n")
		}, "502"},
		"a promise that is no refusal": {func(id string) responseScript { return writeOnce(sealed(id, "503 X", "")) }, "502"},
		"a length too large": {func(id string) responseScript {
			return writeAndClose(strings.Replace(sealed(id, "200 OK", ""), "Content-Length: ", "Content-Length: 1", 1))
		}, "502"},
		"two lengths": {func(id string) responseScript { return writeOnce(sealed(id, "200 OK", "Content-Length: 3\r\n")) }, "502"},
		"chunks cut short": {func(id string) responseScript {
			return writeAndClose("HTTP/1.1 200 OK\r\nAttempt: " + id + "\r\nSeal: s-" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		}, "502"},
		"chunks without a last line": {func(id string) responseScript {
			return writeAndClose("HTTP/1.1 200 OK\r\nAttempt: " + id + "\r\nSeal: s-" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n")
		}, "502"},
		"no content, with bytes": {func(id string) responseScript {
			return writeOnce("HTTP/1.1 204 No Content\r\nAttempt: " + id + "\r\nSeal: s-" + id + "\r\nContent-Length: 4\r\n\r\nbody")
		}, "204 sealed"},
		"not modified, with bytes": {func(id string) responseScript {
			return writeOnce("HTTP/1.1 304 Not Modified\r\nAttempt: " + id + "\r\nSeal: s-" + id + "\r\nContent-Length: 4\r\n\r\nbody")
		}, "304 sealed"},
		"second answer in one go": {func(id string) responseScript {
			return writeOnce(sealed(id, "200 OK", "") + sealedResponse(id, "200 OK", "", "second"))
		}, "200 sealed"},
		"second answer late": {func(id string) responseScript {
			return responseScript{fragments: []fragment{{0, sealed(id, "200 OK", "")}, {time.Millisecond, sealedResponse(id, "200 OK", "", "second")}}}
		}, "200 sealed"},
		"second answer late, cut short": {func(id string) responseScript {
			return responseScript{fragments: []fragment{{0, sealed(id, "200 OK", "")}, {time.Millisecond, "HTTP/1.1 200 OK\r\nDate: Mo"}}}
		}, "200 sealed"},
		"seal listed as the connection's": {func(id string) responseScript { return writeOnce(sealed(id, "200 OK", "Connection: Seal\r\n")) }, "200 sealed"},
		"attempt listed as the connection's": {func(id string) responseScript {
			return writeOnce(sealed(id, "200 OK", "Connection: keep-alive, Attempt\r\n"))
		}, "200 sealed"},
	} {
		test.Run(name, func(test *testing.T) {
			result := runScript(test, "GET", "/once/a", testCase.script)
			if got := result.summary(); got != testCase.want || result.requests != 1 {
				test.Errorf("%s after %d arrivals, want %s: %+v", got, result.requests, testCase.want, result.reply)
			}
			if result.reply.err == nil && result.reply.status < 300 && result.reply.header.Get("Attempt") != result.id {
				test.Errorf("an answer to %q", result.reply.header.Get("Attempt"))
			}
		})
	}
}
