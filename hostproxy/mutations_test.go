package hostproxy

import (
	"fmt"
	"strings"
	"testing"
)

// truth is what a backend truly answers to an id, and what a client may be told
// of it when bytes were added to it or are missing.
type truth struct {
	name   string
	answer func(id string) string
	ran    bool
	status int
}

var truths = []truth{
	{"success", func(id string) string { return sealedResponse(id, "200 OK", "Date: Monday\r\n", successBody(id)) }, true, 200},
	{"own failure", func(id string) string { return sealedResponse(id, "500 Internal Server Error", "", "failure") }, true, 500},
	{"own promise", func(id string) string { return sealedResponse(id, "503 Service Unavailable", "", "failure") }, true, 503},
	{"refusal", func(id string) string {
		return unsealedResponse(id, "503 Service Unavailable", "Not-Executed: full\r\n", "full")
	}, false, 503},
	{"misdirected", func(id string) string {
		return unsealedResponse(id, "421 Misdirected Request", "Not-Executed: 1\r\n", "")
	}, false, 421},
	{"own failure, in chunks", func(id string) string {
		return "HTTP/1.1 500 Internal Server Error\r\nAttempt: " + id + "\r\nSeal: s-" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nfailure\r\n0\r\n\r\n"
	}, true, 500},
	{"chunks", func(id string) string {
		return "HTTP/1.1 200 OK\r\nAttempt: " + id + "\r\nSeal: s-" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf(
			"%x\r\n%s\r\n0\r\n\r\n",
			len(successBody(id)),
			successBody(id),
		)
	}, true, 200},
}

// hold fails the test unless the client got the true answer, whole, or was told
// of a failure that claims no more than is known.
func (truth *truth) hold(test *testing.T, what string, result *scriptResult) {
	test.Helper()
	reply := &result.reply
	if result.requests != 1 {
		test.Errorf("%s: %d arrivals", what, result.requests)
	}
	switch {
	case reply.err != nil:
		test.Errorf("%s: broken: %v", what, reply.err)
	case reply.header.Get("Seal") != "":
		want := successBody(result.id)
		if truth.status != 200 {
			want = "failure"
		}
		if !truth.ran || reply.status != truth.status || reply.header.Get("Seal") != "s-"+result.id ||
			reply.header.Get("Attempt") != result.id ||
			reply.body != want ||
			len(reply.header["Seal"]) != 1 {
			test.Errorf("%s: got %d %q %v", what, reply.status, reply.body, reply.header)
		}
	case reply.status < 400:
		test.Errorf("%s: %d without a seal: %q", what, reply.status, reply.body)
	case isNotExecutedStatus(reply.status) && truth.ran:
		test.Errorf("%s: told %d of what ran", what, reply.status)
	}
	if reply := &result.next; reply.status == 200 &&
		(reply.body != successBody(result.nextID) || reply.header.Get("Attempt") != result.nextID) {
		test.Errorf("%s: the next one got %q", what, reply.body)
	}
}

// An answer that is cut off after any of its bytes is no answer, and none of the
// next one's.
func TestAnswerCutAfterEachByte(test *testing.T) {
	for _, truth := range truths {
		size := len(truth.answer("id2"))
		for cut := range size {
			result := runScript(test, "GET", "/once/a", func(id string) responseScript { return writeAndClose(truth.answer(id)[:cut]) })
			truth.hold(test, fmt.Sprintf("%s cut after %d", truth.name, cut), &result)
		}
	}
}

// Any part of another's answer before the true one, as a backend in trouble sends
// it late, never mixes with it.
func TestPartOfAnotherAnswerBefore(test *testing.T) {
	for _, other := range []string{
		sealedResponse("other", "200 OK", "Date: Monday\r\nServer: x\r\n", "another body"), "HTTP/1.1 200 OK\r\nDate: Monday\r\nSeal: other\r\nContent-Length: 3\r\n\r\nbad",
		"HTTP/1.1 200 OK\r\nTrailer: one, two\r\nConnection: close\r\nKeep-Alive: x\r\nPragma: no-cache\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		unsealedResponse("other", "503 Service Unavailable", "Date: Monday\r\nNot-Executed: full\r\n", ""), "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, truth := range truths {
			for cut := 1; cut <= len(other); cut++ {
				result := runScript(
					test,
					"GET",
					"/once/a",
					func(id string) responseScript { return writeAndClose(other[:cut] + truth.answer(id)) },
				)
				truth.hold(test, fmt.Sprintf("%s after %q", truth.name, other[:cut]), &result)
			}
		}
	}
}

// Each line of an answer's head is left out, doubled, or written over once. Where
// a mutation makes another answer that is as good (a field's value, or an empty line
// that begins the body), no reader could tell.
func TestAnswerLinesMutated(test *testing.T) {
	for _, truth := range truths {
		count := strings.Count(truth.answer("id2"), "\r\n")
		for line := range count {
			for name, mutate := range map[string]func(text string) string{
				"left out":    func(string) string { return "" },
				"doubled":     func(text string) string { return text + text },
				"of no field": func(string) string { return "nonsense\r\n" },
				"in two":      func(text string) string { return text[:len(text)/2] + "\r\n" + text[len(text)/2:] },
				"folded":      func(text string) string { return strings.TrimSuffix(text, "\r\n") + "\r\n more\r\n" },
				"bare return": func(text string) string { return strings.TrimSuffix(text, "\r\n") + "\rX: y\r\n" },
				"null":        func(text string) string { return strings.TrimSuffix(text, "\r\n") + "\x00\r\n" },
				"of another":  func(text string) string { return strings.ReplaceAll(text, "id2", "id1") },
			} {
				mutated := strings.SplitAfter(truth.answer("id2"), "\r\n")[line]
				if mutated == "\r\n" && name == "doubled" {
					continue
				}
				result := runScript(test, "GET", "/once/a", func(id string) responseScript {
					queues := strings.SplitAfter(truth.answer(id), "\r\n")
					queues[line] = mutate(queues[line])
					return writeAndClose(strings.Join(queues, ""))
				})
				what := fmt.Sprintf("%s, line %d %s", truth.name, line, name)
				value := name == "folded" || name == "null" || name == "bare return" || name == "of another"
				if value && !strings.HasPrefix(mutated, "Attempt:") && result.reply.status == truth.status {
					continue
				}
				truth.hold(test, what, &result)
			}
		}
	}
}
