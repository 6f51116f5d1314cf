package hostproxy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// recordedResponse is a complete response that a backend sent.
type recordedResponse struct {
	status int
	body   string
}

// oracle records what backends received and sent, by attempt ID. Replies to clients are
// checked against it.
type oracle struct {
	mutex    sync.Mutex
	attempts map[string]*attemptRecord
}

// attemptRecord is what happened to one attempt ID.
type attemptRecord struct {
	nonIdempotent       bool
	line                string
	body                string
	backends            []string
	executions          int
	sentAfterExecution  int
	responses           []recordedResponse
	reportedNotExecuted bool
}

func newOracle() *oracle { return &oracle{attempts: map[string]*attemptRecord{}} }

func (oracle *oracle) attempt(id string) *attemptRecord {
	record := oracle.attempts[id]
	if record == nil {
		record = &attemptRecord{line: "unknown"}
		oracle.attempts[id] = record
	}
	return record
}

// recordArrival records a request at a backend, and whether it is executed there.
func (oracle *oracle) recordArrival(exchange *exchange, executed bool) {
	oracle.mutex.Lock()
	defer oracle.mutex.Unlock()
	record := oracle.attempt(exchange.get("Attempt"))
	if record.line != exchange.requestLine || record.body != string(exchange.body) {
		record.line = "changed"
	}
	record.backends = append(record.backends, exchange.receivedRequest.backend)
	if record.executions > 0 {
		record.sentAfterExecution++
	}
	if executed {
		record.executions++
	}
}

func (oracle *oracle) recordResponse(id string, status int, body string) {
	oracle.mutex.Lock()
	defer oracle.mutex.Unlock()
	record := oracle.attempt(id)
	record.responses = append(record.responses, recordedResponse{status, body})
}

// behaviour is what a backend does with a request. raw are bytes from the fuzzer; they never
// contain an attempt ID.
type behaviour func(oracle *oracle, exchange *exchange, raw string) bool

func execute(status string, body func(id string) string, write func(exchange *exchange, response, raw string) bool) behaviour {
	return func(oracle *oracle, exchange *exchange, raw string) bool {
		id := exchange.get("Attempt")
		oracle.recordArrival(exchange, true)
		text := body(id)
		number := 0
		if _, err := fmt.Sscan(status, &number); err != nil {
			panic(err)
		}
		oracle.recordResponse(id, number, text)
		return write(exchange, sealedResponse(id, status, "", text), raw)
	}
}

// executeWithoutResponse executes the request without a complete response.
func executeWithoutResponse(write func(exchange *exchange, raw string) bool) behaviour {
	return func(oracle *oracle, exchange *exchange, raw string) bool {
		oracle.recordArrival(exchange, true)
		return write(exchange, raw)
	}
}

// refuse responds that the request was not executed.
func refuse(status string, write func(exchange *exchange, response, raw string) bool) behaviour {
	return func(oracle *oracle, exchange *exchange, raw string) bool {
		oracle.recordArrival(exchange, false)
		return write(exchange, unsealedResponse(exchange.get("Attempt"), status, "Not-Executed: full\r\n", "full"), raw)
	}
}

func writeResponse(exchange *exchange, response, _ string) bool {
	exchange.writef("%s", response)
	return true
}

func writeRawFirst(exchange *exchange, response, raw string) bool {
	exchange.writef("%s%s", raw, response)
	return true
}

func writeRawAfter(exchange *exchange, response, raw string) bool {
	exchange.writef("%s%s", response, raw)
	return true
}

func writeRawLater(exchange *exchange, response, raw string) bool {
	exchange.writef("%s", response)
	exchange.backend.goroutines.Sleep(3 * time.Millisecond)
	exchange.writef("%s", raw)
	return true
}

func writeInFragments(exchange *exchange, response, _ string) bool {
	for len(response) > 0 {
		size := min(7, len(response))
		exchange.writef("%s", response[:size])
		exchange.backend.goroutines.Sleep(time.Millisecond)
		response = response[size:]
	}
	return true
}

func writeRawFirstInFragments(exchange *exchange, response, raw string) bool {
	return writeInFragments(exchange, raw+response, "")
}

func writeTwo(exchange *exchange, response, _ string) bool {
	exchange.writef("%s", response)
	exchange.backend.goroutines.Sleep(3 * time.Millisecond)
	exchange.writef("%s", strings.Replace(response, "answer to", "second to", 1))
	return true
}

func sendAndClose(exchange *exchange, response, _ string) bool {
	exchange.writef("%s", strings.Replace(response, "Content-Length", "Connection: close\r\nContent-Length", 1))
	return false
}

func writeTruncated(exchange *exchange, response, raw string) bool {
	exchange.writef("%s", response[:len(raw)%len(response)])
	return false
}

// writeCloseDelimited sends the response without its length, and closes the connection.
func writeCloseDelimited(exchange *exchange, response, _ string) bool {
	exchange.writef("%s", strings.Replace(response, "Content-Length", "Unused", 1))
	return false
}

// closeDelimitedThenReset sends a part of a response without length, then resets the connection.
func closeDelimitedThenReset(exchange *exchange, _ string) bool {
	return closeDelimited(halvedBodyBytes, time.Millisecond, true)(exchange)
}

// behaviours are selected by index; fuzz corpora depend on their order.
var behaviours = []behaviour{
	execute("200 OK", successBody, writeResponse),
	execute("200 OK", successBody, writeInFragments),
	execute("200 OK", successBody, writeRawFirst),
	execute("200 OK", successBody, writeRawAfter),
	execute("200 OK", successBody, writeRawLater),
	execute("200 OK", successBody, writeRawFirstInFragments),
	execute("200 OK", successBody, writeTwo),
	execute("200 OK", successBody, sendAndClose),
	execute("500 Internal Server Error", successBody, writeResponse),
	execute("500 Internal Server Error", successBody, writeRawFirst),
	execute("503 Service Unavailable", successBody, writeRawFirst),
	execute("204 No Content", func(string) string { return "" }, writeRawAfter),
	execute("404 Not Found", successBody, writeRawLater),
	refuse("503 Service Unavailable", writeResponse),
	refuse("503 Service Unavailable", writeRawFirst),
	refuse("503 Service Unavailable", writeRawLater),
	refuse("421 Misdirected Request", writeRawAfter),
	refuse("429 Too Many Requests", writeTruncated),
	executeWithoutResponse(func(exchange *exchange, raw string) bool { exchange.writef("%s", raw); return false }),
	executeWithoutResponse(func(exchange *exchange, raw string) bool { exchange.writef("%s", raw); return neverRespond(exchange) }),
	executeWithoutResponse(func(exchange *exchange, _ string) bool { return resetAfterReading(exchange) }),
	executeWithoutResponse(func(exchange *exchange, _ string) bool { return neverRespond(exchange) }),
	executeWithoutResponse(func(exchange *exchange, raw string) bool {
		return writeTruncated(exchange, sealedResponse(exchange.get("Attempt"), "200 OK", "", successBody(exchange.get("Attempt"))), raw)
	}),
	executeWithoutResponse(func(exchange *exchange, _ string) bool { return truncatedChunks(exchange) }),
	executeWithoutResponse(func(exchange *exchange, _ string) bool {
		exchange.writef("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n")
		return true
	}),
	executeWithoutResponse(func(exchange *exchange, _ string) bool {
		exchange.writef("%s", unsealedResponse("another", "503 Service Unavailable", "Not-Executed: full\r\n", ""))
		return neverRespond(exchange)
	}),
	func(oracle *oracle, exchange *exchange, _ string) bool {
		id := exchange.get("Attempt")
		oracle.recordArrival(exchange, true)
		oracle.recordResponse(id, 200, successBody(id))
		return chunked(exchange)
	},
	func(oracle *oracle, exchange *exchange, _ string) bool {
		id := exchange.get("Attempt")
		oracle.recordArrival(exchange, true)
		oracle.recordResponse(id, 200, successBody(id))
		exchange.writef("HTTP/1.1 100 Continue\r\n\r\n%s", sealedResponse("another", "200 OK", "", "another's"))
		return succeed(exchange)
	},
	execute("200 OK", successBody, writeCloseDelimited),
	executeWithoutResponse(closeDelimitedThenReset),
}

// fuzzRun executes a program of bytes. A step is a request with the behaviour of its
// backends, a pause, or an event on the connections of a backend.
type fuzzRun struct {
	env     *testEnv
	oracle  *oracle
	program []byte
	secret  [sha256.Size]byte
	idCount int
}

// nextByte consumes a byte of the program; 0 at its end.
func (run *fuzzRun) nextByte() int {
	if len(run.program) == 0 {
		return 0
	}
	first := run.program[0]
	run.program = run.program[1:]
	return int(first)
}

// nextRaw consumes a length byte and as many bytes.
func (run *fuzzRun) nextRaw() string {
	size := min(run.nextByte(), len(run.program))
	bytes := string(run.program[:size])
	run.program = run.program[size:]
	return bytes
}

// nextID returns an ID from a hash of the program, so that the program cannot contain it.
func (run *fuzzRun) nextID() string {
	run.idCount++
	sum := sha256.Sum256(append(run.secret[:], byte(run.idCount)))
	return hex.EncodeToString(sum[:6])
}

func (run *fuzzRun) run() {
	for step := 0; step < 24 && len(run.program) > 0; step++ {
		switch kind := run.nextByte(); kind % 8 {
		case 0:
			run.request("GET", "/once/a", "", false)
		case 1:
			run.request("GET", "/again/a", "", false)
		case 2:
			run.request("POST", "/once/a?x=y", "GET /once/b HTTP/1.1\r\nHost: host.example\r\nAttempt: smuggled\r\n\r\n", false)
		case 3:
			run.request("POST", "/once/a", string(letters(0, 3*maxInlineBodyBytes)), false)
		case 4:
			run.request("HEAD", "/once/a", "", false)
		case 5:
			run.request("GET", "/once/a", "", true)
		case 6:
			run.env.goroutines.Sleep(time.Duration(run.nextByte()) * 40 * time.Millisecond)
		case 7:
			backend := run.env.backends[[]string{"b1", "b2"}[kind/8%2]]
			if kind/16%2 == 0 {
				backend.closeConnections()
			} else {
				run.env.resetConnections(backend)
			}
		}
	}
	run.env.goroutines.Sleep(3 * time.Second)
	synctest.Wait()
	run.checkArrivals()
}

// resetConnections resets a backend's connections; it still accepts new ones.
func (env *testEnv) resetConnections(backend *fakeBackend) {
	backend.mutex.Lock()
	pipes := backend.pipes
	backend.pipes = nil
	backend.mutex.Unlock()
	for _, pipe := range pipes {
		pipe.reset()
	}
}

// request sends a request; the program selects the behaviour at its first two arrivals.
func (run *fuzzRun) request(method, path, body string, cancels bool) {
	env, id := run.env, run.nextID()
	var mutex sync.Mutex
	remaining := []behaviour{behaviours[run.nextByte()%len(behaviours)], behaviours[run.nextByte()%len(behaviours)], behaviours[0]}
	bytes := run.nextRaw()
	behave := func(exchange *exchange) bool {
		mutex.Lock()
		next := remaining[0]
		if len(remaining) > 1 {
			remaining = remaining[1:]
		}
		mutex.Unlock()
		return next(run.oracle, exchange, bytes)
	}
	for _, backend := range env.backends {
		backend.handleByDefault(behave)
	}
	run.oracle.mutex.Lock()
	record := run.oracle.attempt(id)
	record.line, record.body, record.nonIdempotent = method+" "+path+" HTTP/1.1", body, !strings.HasPrefix(path, "/again/")
	run.oracle.mutex.Unlock()
	client := env.client()
	defer client.conn.Close()
	if cancels {
		client.send(rawRequest(method, path, id, "", body))
		env.goroutines.Sleep(time.Millisecond)
		return
	}
	run.checkReply(id, method, client.roundTrip(method, rawRequest(method, path, id, "", body)))
	_ = client.conn.SetReadDeadline(time.Now().Add(time.Millisecond)) // never fails
	if rest, _ := io.ReadAll(client.reader); len(rest) > 0 {
		env.test.Errorf("%s: unexpected bytes after the reply: %q", id, rest)
	}
}

// checkReply checks a reply against the oracle.
func (run *fuzzRun) checkReply(id, method string, reply reply) {
	test := run.env.test
	run.oracle.mutex.Lock()
	defer run.oracle.mutex.Unlock()
	record := run.oracle.attempt(id)
	if reply.err != nil {
		test.Errorf("%s: incomplete reply: %v", id, reply.err)
		return
	}
	if seal := reply.header.Get("Seal"); seal != "" {
		for _, response := range record.responses {
			if response.status == reply.status && seal == "s-"+id && reply.header.Get("Attempt") == id &&
				(response.body == reply.body || method == "HEAD" && reply.body == "") {
				return
			}
		}
		if method == "HEAD" && record.executions > 0 && reply.status == 200 && reply.body == "" && seal == "s-"+id &&
			reply.header.Get("Attempt") == id {
			return // a complete head is a complete response to HEAD
		}
		test.Errorf("%s: got %d %q %v, backends sent %v", id, reply.status, reply.body, reply.header, record.responses)
		return
	}
	if reply.status < 400 || reply.status == 421 {
		test.Errorf("%s: status %d without a seal", id, reply.status)
	}
	if record.reportedNotExecuted = isNotExecutedStatus(reply.status); record.reportedNotExecuted && record.executions > 0 {
		test.Errorf("%s: status %d for an executed request", id, reply.status)
	}
}

// checkArrivals checks the requests at the backends after the end of the program.
func (run *fuzzRun) checkArrivals() {
	test := run.env.test
	run.oracle.mutex.Lock()
	defer run.oracle.mutex.Unlock()
	for id, record := range run.oracle.attempts {
		if record.line == "changed" || record.line == "unknown" {
			test.Errorf("%q: request line or body is %s", id, record.line)
		}
		if record.nonIdempotent && (record.executions > 1 || record.sentAfterExecution > 0) {
			test.Errorf("%s: executed %d times, sent %d times afterwards", id, record.executions, record.sentAfterExecution)
		}
		if record.reportedNotExecuted && record.executions > 0 {
			test.Errorf("%s: executed although the client was told otherwise", id)
		}
		seen := map[string]bool{}
		for _, backend := range record.backends {
			if seen[backend] {
				test.Errorf("%s: reached %s twice", id, backend)
			}
			seen[backend] = true
		}
	}
}

// FuzzConnectionStates runs any order of requests, responses, extra bytes, resets, stalls and
// idle times over reused connections. A client gets only the complete response to its own
// request or a correct error, and a non-repeatable request is executed at most once.
func FuzzConnectionStates(fuzz *testing.F) {
	surplus := sealedResponse("another", "200 OK", "Date: Monday\r\n", "another's")
	for kind := range 6 {
		for index := range behaviours {
			fuzz.Add(append([]byte{byte(kind), byte(index), 0, byte(len(surplus))}, surplus+string([]byte{6, 1, byte(kind), 0, 0, 0})...))
		}
	}
	for _, raw := range []string{"HTTP/1.1 200 OK\r\nDate: Mo", "HTTP/1.1 200 ", "HTTP/1.1 503 X\r\nNot-Executed: f", "\r\n", "HTTP/1.1 100 C\r\nX: ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n"} {
		for _, index := range []int{2, 3, 4, 5, 9, 10, 14, 15} {
			fuzz.Add(append([]byte{0, 0, 0, 0, 0, byte(index), 0, byte(len(raw))}, raw+string([]byte{0, 0, 0, 0, 1, 0, 0, 0})...))
		}
	}
	fuzz.Add([]byte{0, 0, 0, 0, 7, 0, 0, 0, 0, 23, 1, 0, 0, 0, 15, 0, 0, 0, 0, 3, 2, 0, 0, 0, 6, 250, 0, 0, 0, 0})
	fuzz.Fuzz(func(test *testing.T, program []byte) {
		synctest.Test(test, func(test *testing.T) {
			env := newTestEnv(test)
			defer env.close()
			env.addBackend("b1")
			env.addBackend("b2")
			for _, budget := range env.proxy.view.Load().budgets {
				budget.tokens = budget.limit
			}
			(&fuzzRun{env: env, oracle: newOracle(), program: program, secret: sha256.Sum256(program)}).run()
		})
	})
}

// FuzzAnswer sends any bytes as the response to a non-repeatable request; "{id}" stands for
// its attempt ID. The client always gets one valid reply; it is a success only with the ID and
// a seal, and says that nothing was executed only if the bytes do.
func FuzzAnswer(fuzz *testing.F) {
	for _, testCase := range responseCases {
		fuzz.Add(testCase.response("{id}"), true)
		fuzz.Add(sealedResponse("another", "200 OK", "", "another's")+testCase.response("{id}"), false)
	}
	for _, head := range []string{"HTTP/1.1 999 X\r\n", "HTTP/1.1 000 X\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 304 X\r\n", "HTTP/1.1 204 X\r\n", "HTTP/1.1 205 X\r\n", "HTTP/1.1 101 X\r\n"} {
		fuzz.Add(head+"Attempt: {id}\r\nSeal: s-{id}\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n", true)
		fuzz.Add(head+"Attempt: {id}\r\nSeal: s-{id}\r\nContent-Length: 1\r\nConnection: close, Attempt\r\n\r\na", false)
	}
	fuzz.Fuzz(func(test *testing.T, bytes string, closes bool) {
		result := runScript(test, "GET", "/once/a", func(id string) responseScript {
			return responseScript{fragments: []fragment{{0, strings.ReplaceAll(bytes, "{id}", id)}}, closes: closes}
		})
		reply := &result.reply
		lower := strings.ToLower(bytes)
		switch {
		case reply.err != nil:
			test.Errorf("incomplete reply: %v", reply.err)
		case result.requests != 1:
			test.Errorf("%d arrivals", result.requests)
		case reply.status < 300 && (reply.header.Get("Seal") == "" || reply.header.Get("Attempt") != result.id || len(reply.header["Seal"]) != 1):
			test.Errorf("%d %v", reply.status, reply.header)
		case isNotExecutedStatus(reply.status) && (!strings.Contains(bytes, "{id}") || !strings.Contains(lower, "not-executed") && !strings.Contains(bytes, " 421")):
			test.Errorf("status %d says that the request was not executed", reply.status)
		}
		if next := &result.next; next.status == 200 &&
			(next.body != successBody(result.nextID) || next.header.Get("Attempt") != result.nextID) {
			test.Errorf("the next request got %q", next.body)
		}
	})
}
