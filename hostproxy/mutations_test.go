package hostproxy

import (
	"fmt"
	"strings"
	"testing"
)

// responseCase is a valid response of a backend, whether the request was executed, and the
// status that a client may get.
type responseCase struct {
	name     string
	response func(id string) string
	executed bool
	status   int
}

var responseCases = []responseCase{
	{"success", func(id string) string { return sealedResponse(id, "200 OK", "Date: Monday\r\n", successBody(id)) }, true, 200},
	{"backend error", func(id string) string { return sealedResponse(id, "500 Internal Server Error", "", "failure") }, true, 500},
	{"backend 503", func(id string) string { return sealedResponse(id, "503 Service Unavailable", "", "failure") }, true, 503},
	{"refusal", func(id string) string {
		return unsealedResponse(id, "503 Service Unavailable", "Not-Executed: full\r\n", "full")
	}, false, 503},
	{"misdirected", func(id string) string {
		return unsealedResponse(id, "421 Misdirected Request", "Not-Executed: 1\r\n", "")
	}, false, 421},
	{"backend error, chunked", func(id string) string {
		return "HTTP/1.1 500 Internal Server Error\r\nAttempt: " + id + "\r\nSeal: s-" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nfailure\r\n0\r\n\r\n"
	}, true, 500},
	{"chunked", func(id string) string {
		return "HTTP/1.1 200 OK\r\nAttempt: " + id + "\r\nSeal: s-" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf(
			"%x\r\n%s\r\n0\r\n\r\n",
			len(successBody(id)),
			successBody(id),
		)
	}, true, 200},
}

// check fails the test unless the client got the complete response, or an error that does not
// claim more than the proxy knows.
func (testCase *responseCase) check(test *testing.T, label string, result *scriptResult) {
	test.Helper()
	want := successBody(result.id)
	if testCase.status != 200 {
		want = "failure"
	}
	testCase.checkBody(test, label, result, want)
}

// checkBody is check for a response with the given body.
func (testCase *responseCase) checkBody(test *testing.T, label string, result *scriptResult, want string) {
	test.Helper()
	reply := &result.reply
	if result.requests != 1 {
		test.Errorf("%s: %d arrivals", label, result.requests)
	}
	switch {
	case reply.err != nil:
		test.Errorf("%s: incomplete reply: %v", label, reply.err)
	case reply.header.Get("Seal") != "":
		if !testCase.executed || reply.status != testCase.status || reply.header.Get("Seal") != "s-"+result.id ||
			reply.header.Get("Attempt") != result.id ||
			reply.body != want ||
			len(reply.header["Seal"]) != 1 {
			test.Errorf("%s: got %d %q %v", label, reply.status, reply.body, reply.header)
		}
	case reply.status < 400:
		test.Errorf("%s: %d without a seal: %q", label, reply.status, reply.body)
	case isNotExecutedStatus(reply.status) && testCase.executed:
		test.Errorf("%s: status %d for an executed request", label, reply.status)
	}
	if reply := &result.next; reply.status == 200 &&
		(reply.body != successBody(result.nextID) || reply.header.Get("Attempt") != result.nextID) {
		test.Errorf("%s: the next request got %q", label, reply.body)
	}
}

// A response truncated at any byte is not passed on, nor mixed with the next one.
func TestResponseTruncatedAfterEachByte(test *testing.T) {
	for _, testCase := range responseCases {
		size := len(testCase.response("id2"))
		for cut := range size {
			result := runScript(
				test,
				"GET",
				"/once/a",
				func(id string) responseScript { return writeAndClose(testCase.response(id)[:cut]) },
			)
			testCase.check(test, fmt.Sprintf("%s truncated after %d bytes", testCase.name, cut), &result)
		}
	}
}

// Any part of another request's response before the right one, as a faulty backend may send
// late, is never mixed with it.
func TestPartOfAnotherResponseFirst(test *testing.T) {
	for _, other := range []string{
		sealedResponse("other", "200 OK", "Date: Monday\r\nServer: x\r\n", "another body"), "HTTP/1.1 200 OK\r\nDate: Monday\r\nSeal: other\r\nContent-Length: 3\r\n\r\nbad",
		"HTTP/1.1 200 OK\r\nTrailer: one, two\r\nConnection: close\r\nKeep-Alive: x\r\nPragma: no-cache\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		unsealedResponse("other", "503 Service Unavailable", "Date: Monday\r\nNot-Executed: full\r\n", ""), "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, testCase := range responseCases {
			for cut := 1; cut <= len(other); cut++ {
				result := runScript(
					test,
					"GET",
					"/once/a",
					func(id string) responseScript { return writeAndClose(other[:cut] + testCase.response(id)) },
				)
				testCase.check(test, fmt.Sprintf("%s after %q", testCase.name, other[:cut]), &result)
			}
		}
	}
}

// Each line of a response's head is removed, duplicated, or changed in turn. Mutations that
// yield another valid response (a changed field value, or a duplicated empty line, which is
// part of the body) cannot be detected and are skipped.
func TestResponseLinesMutated(test *testing.T) {
	for _, testCase := range responseCases {
		count := strings.Count(testCase.response("id2"), "\r\n")
		for line := range count {
			for name, mutate := range map[string]func(text string) string{
				"removed":     func(string) string { return "" },
				"duplicated":  func(text string) string { return text + text },
				"not a field": func(string) string { return "nonsense\r\n" },
				"split":       func(text string) string { return text[:len(text)/2] + "\r\n" + text[len(text)/2:] },
				"folded":      func(text string) string { return strings.TrimSuffix(text, "\r\n") + "\r\n more\r\n" },
				"bare return": func(text string) string { return strings.TrimSuffix(text, "\r\n") + "\rX: y\r\n" },
				"null":        func(text string) string { return strings.TrimSuffix(text, "\r\n") + "\x00\r\n" },
				"other ID":    func(text string) string { return strings.ReplaceAll(text, "id2", "id1") },
			} {
				mutated := strings.SplitAfter(testCase.response("id2"), "\r\n")[line]
				if mutated == "\r\n" && name == "duplicated" {
					continue
				}
				result := runScript(test, "GET", "/once/a", func(id string) responseScript {
					lines := strings.SplitAfter(testCase.response(id), "\r\n")
					lines[line] = mutate(lines[line])
					return writeAndClose(strings.Join(lines, ""))
				})
				label := fmt.Sprintf("%s, line %d %s", testCase.name, line, name)
				changesValue := name == "folded" || name == "null" || name == "bare return" || name == "other ID"
				if changesValue && !strings.HasPrefix(mutated, "Attempt:") && result.reply.status == testCase.status {
					continue
				}
				if name == "removed" && strings.HasPrefix(mutated, "Transfer-Encoding:") {
					// What remains is complete: all that follows the head, up to the close.
					_, rest, _ := strings.Cut(testCase.response(result.id), "\r\n\r\n")
					testCase.checkBody(test, label, &result, rest)
					continue
				}
				testCase.check(test, label, &result)
			}
		}
	}
}
