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

// recordedAnswer is a whole answer that a backend gave to a request.
type recordedAnswer struct {
	status int
	body   string
}

// witness keeps what backends saw and said, by attempt id: the truth that clients'
// answers are held against.
type witness struct {
	mutex sync.Mutex
	seen  map[string]*testimony
}

// testimony is all that is true of one attempt id.
type testimony struct {
	once     bool
	line     string
	body     string
	reached  []string
	ran      int
	afterRun int
	told     []recordedAnswer
	promised bool
}

func newWitness() *witness { return &witness{seen: map[string]*testimony{}} }

func (witness *witness) of(id string) *testimony {
	held := witness.seen[id]
	if held == nil {
		held = &testimony{line: "nobody's"}
		witness.seen[id] = held
	}
	return held
}

// arrive lays down a request's arrival; ran is whether it runs there.
func (witness *witness) arrive(exchange *exchange, ran bool) {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	held := witness.of(exchange.get("Attempt"))
	if held.line != exchange.requestLine || held.body != string(exchange.body) {
		held.line = "changed"
	}
	held.reached = append(held.reached, exchange.receivedRequest.backend)
	if held.ran > 0 {
		held.afterRun++
	}
	if ran {
		held.ran++
	}
}

func (witness *witness) tell(id string, status int, body string) {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	held := witness.of(id)
	held.told = append(held.told, recordedAnswer{status, body})
}

// behaviour is one way of a backend to treat a request; raw are bytes out of the
// fuzzer's hands, which know no attempt id.
type behaviour func(witness *witness, exchange *exchange, raw string) bool

func ran(status string, body func(id string) string, write func(exchange *exchange, answer, raw string) bool) behaviour {
	return func(witness *witness, exchange *exchange, raw string) bool {
		id := exchange.get("Attempt")
		witness.arrive(exchange, true)
		text := body(id)
		number := 0
		if _, err := fmt.Sscan(status, &number); err != nil {
			panic(err)
		}
		witness.tell(id, number, text)
		return write(exchange, sealedResponse(id, status, "", text), raw)
	}
}

// lostRun runs the request and gives no whole answer to it.
func lostRun(write func(exchange *exchange, raw string) bool) behaviour {
	return func(witness *witness, exchange *exchange, raw string) bool {
		witness.arrive(exchange, true)
		return write(exchange, raw)
	}
}

// notRun refuses the request.
func notRun(status string, write func(exchange *exchange, answer, raw string) bool) behaviour {
	return func(witness *witness, exchange *exchange, raw string) bool {
		witness.arrive(exchange, false)
		return write(exchange, unsealedResponse(exchange.get("Attempt"), status, "Not-Executed: full\r\n", "full"), raw)
	}
}

func plainly(exchange *exchange, answer, _ string) bool {
	exchange.writef("%s", answer)
	return true
}

func rawBefore(exchange *exchange, answer, raw string) bool {
	exchange.writef("%s%s", raw, answer)
	return true
}

func rawBehind(exchange *exchange, answer, raw string) bool {
	exchange.writef("%s%s", answer, raw)
	return true
}

func rawLate(exchange *exchange, answer, raw string) bool {
	exchange.writef("%s", answer)
	exchange.backend.goroutines.Sleep(3 * time.Millisecond)
	exchange.writef("%s", raw)
	return true
}

func inPieces(exchange *exchange, answer, _ string) bool {
	for len(answer) > 0 {
		size := min(7, len(answer))
		exchange.writef("%s", answer[:size])
		exchange.backend.goroutines.Sleep(time.Millisecond)
		answer = answer[size:]
	}
	return true
}

func rawInPiecesBefore(exchange *exchange, answer, raw string) bool {
	return inPieces(exchange, raw+answer, "")
}

func twice(exchange *exchange, answer, _ string) bool {
	exchange.writef("%s", answer)
	exchange.backend.goroutines.Sleep(3 * time.Millisecond)
	exchange.writef("%s", strings.Replace(answer, "answer to", "second to", 1))
	return true
}

func lastOnConnection(exchange *exchange, answer, _ string) bool {
	exchange.writef("%s", strings.Replace(answer, "Content-Length", "Connection: close\r\nContent-Length", 1))
	return false
}

func cutAt(exchange *exchange, answer, raw string) bool {
	exchange.writef("%s", answer[:len(raw)%len(answer)])
	return false
}

// behaviours are what a backend may do, each by its place in the list.
var behaviours = []behaviour{
	ran("200 OK", successBody, plainly),
	ran("200 OK", successBody, inPieces),
	ran("200 OK", successBody, rawBefore),
	ran("200 OK", successBody, rawBehind),
	ran("200 OK", successBody, rawLate),
	ran("200 OK", successBody, rawInPiecesBefore),
	ran("200 OK", successBody, twice),
	ran("200 OK", successBody, lastOnConnection),
	ran("500 Internal Server Error", successBody, plainly),
	ran("500 Internal Server Error", successBody, rawBefore),
	ran("503 Service Unavailable", successBody, rawBefore),
	ran("204 No Content", func(string) string { return "" }, rawBehind),
	ran("404 Not Found", successBody, rawLate),
	notRun("503 Service Unavailable", plainly),
	notRun("503 Service Unavailable", rawBefore),
	notRun("503 Service Unavailable", rawLate),
	notRun("421 Misdirected Request", rawBehind),
	notRun("429 Too Many Requests", cutAt),
	lostRun(func(exchange *exchange, raw string) bool { exchange.writef("%s", raw); return false }),
	lostRun(func(exchange *exchange, raw string) bool { exchange.writef("%s", raw); return neverRespond(exchange) }),
	lostRun(func(exchange *exchange, _ string) bool { return resetAfterReading(exchange) }),
	lostRun(func(exchange *exchange, _ string) bool { return neverRespond(exchange) }),
	lostRun(func(exchange *exchange, raw string) bool {
		return cutAt(exchange, sealedResponse(exchange.get("Attempt"), "200 OK", "", successBody(exchange.get("Attempt"))), raw)
	}),
	lostRun(func(exchange *exchange, _ string) bool { return truncatedChunks(exchange) }),
	lostRun(func(exchange *exchange, _ string) bool {
		exchange.writef("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n")
		return true
	}),
	lostRun(func(exchange *exchange, _ string) bool {
		exchange.writef("%s", unsealedResponse("another", "503 Service Unavailable", "Not-Executed: full\r\n", ""))
		return neverRespond(exchange)
	}),
	func(witness *witness, exchange *exchange, _ string) bool {
		id := exchange.get("Attempt")
		witness.arrive(exchange, true)
		witness.tell(id, 200, successBody(id))
		return chunked(exchange)
	},
	func(witness *witness, exchange *exchange, _ string) bool {
		id := exchange.get("Attempt")
		witness.arrive(exchange, true)
		witness.tell(id, 200, successBody(id))
		exchange.writef("HTTP/1.1 100 Continue\r\n\r\n%s", sealedResponse("another", "200 OK", "", "another's"))
		return succeed(exchange)
	},
}

// fuzzed plays a program of bytes: each step is a request with what its backends do
// to it, or something that befalls idle connections.
type fuzzed struct {
	world   *testEnv
	witness *witness
	program []byte
	secret  [sha256.Size]byte
	count   int
}

// next takes a byte of the program; 0 at its end.
func (fuzzed *fuzzed) next() int {
	if len(fuzzed.program) == 0 {
		return 0
	}
	first := fuzzed.program[0]
	fuzzed.program = fuzzed.program[1:]
	return int(first)
}

// raw takes so many bytes as the next one says.
func (fuzzed *fuzzed) raw() string {
	size := min(fuzzed.next(), len(fuzzed.program))
	taken := string(fuzzed.program[:size])
	fuzzed.program = fuzzed.program[size:]
	return taken
}

// id is one that no bytes of the program can hold.
func (fuzzed *fuzzed) id() string {
	fuzzed.count++
	sum := sha256.Sum256(append(fuzzed.secret[:], byte(fuzzed.count)))
	return hex.EncodeToString(sum[:6])
}

func (fuzzed *fuzzed) play() {
	for step := 0; step < 24 && len(fuzzed.program) > 0; step++ {
		switch kind := fuzzed.next(); kind % 8 {
		case 0:
			fuzzed.ask("GET", "/once/a", "", false)
		case 1:
			fuzzed.ask("GET", "/again/a", "", false)
		case 2:
			fuzzed.ask("POST", "/once/a?x=y", "GET /once/b HTTP/1.1\r\nHost: host.example\r\nAttempt: smuggled\r\n\r\n", false)
		case 3:
			fuzzed.ask("POST", "/once/a", string(letters(0, 3*maxInlineBodyBytes)), false)
		case 4:
			fuzzed.ask("HEAD", "/once/a", "", false)
		case 5:
			fuzzed.ask("GET", "/once/a", "", true)
		case 6:
			fuzzed.world.goroutines.Sleep(time.Duration(fuzzed.next()) * 40 * time.Millisecond)
		case 7:
			backend := fuzzed.world.backends[[]string{"b1", "b2"}[kind/8%2]]
			if kind/16%2 == 0 {
				backend.closeConnections()
			} else {
				fuzzed.world.reset(backend)
			}
		}
	}
	fuzzed.world.goroutines.Sleep(3 * time.Second)
	synctest.Wait()
	fuzzed.judge()
}

// reset resets a backend's connections; it takes new ones.
func (env *testEnv) reset(backend *fakeBackend) {
	backend.mutex.Lock()
	pipes := backend.pipes
	backend.pipes = nil
	backend.mutex.Unlock()
	for _, pipe := range pipes {
		pipe.reset()
	}
}

// ask sends a request whose first two arrivals are treated as the program says.
func (fuzzed *fuzzed) ask(method, path, body string, leaves bool) {
	env, id := fuzzed.world, fuzzed.id()
	var mutex sync.Mutex
	treatments := []behaviour{behaviours[fuzzed.next()%len(behaviours)], behaviours[fuzzed.next()%len(behaviours)], behaviours[0]}
	bytes := fuzzed.raw()
	does := func(exchange *exchange) bool {
		mutex.Lock()
		treatment := treatments[0]
		if len(treatments) > 1 {
			treatments = treatments[1:]
		}
		mutex.Unlock()
		return treatment(fuzzed.witness, exchange, bytes)
	}
	for _, backend := range env.backends {
		backend.handleByDefault(does)
	}
	fuzzed.witness.mutex.Lock()
	held := fuzzed.witness.of(id)
	held.line, held.body, held.once = method+" "+path+" HTTP/1.1", body, !strings.HasPrefix(path, "/again/")
	fuzzed.witness.mutex.Unlock()
	client := env.client()
	defer client.conn.Close()
	if leaves {
		client.send(rawRequest(method, path, id, "", body))
		env.goroutines.Sleep(time.Millisecond)
		return
	}
	fuzzed.check(id, method, client.roundTrip(method, rawRequest(method, path, id, "", body)))
	_ = client.conn.SetReadDeadline(time.Now().Add(time.Millisecond)) // never fails
	if rest, _ := io.ReadAll(client.reader); len(rest) > 0 {
		env.test.Errorf("%s: bytes that nobody asked for: %q", id, rest)
	}
}

// check holds one answer against the truth.
func (fuzzed *fuzzed) check(id, method string, reply reply) {
	test := fuzzed.world.test
	fuzzed.witness.mutex.Lock()
	defer fuzzed.witness.mutex.Unlock()
	held := fuzzed.witness.of(id)
	if reply.err != nil {
		test.Errorf("%s: broken: %v", id, reply.err)
		return
	}
	if seal := reply.header.Get("Seal"); seal != "" {
		for _, response := range held.told {
			if response.status == reply.status && seal == "s-"+id && reply.header.Get("Attempt") == id &&
				(response.body == reply.body || method == "HEAD" && reply.body == "") {
				return
			}
		}
		if method == "HEAD" && held.ran > 0 && reply.status == 200 && reply.body == "" && seal == "s-"+id &&
			reply.header.Get("Attempt") == id {
			return // an answer cut off behind its head is a whole one to HEAD
		}
		test.Errorf("%s: got %d %q %v, told %v", id, reply.status, reply.body, reply.header, held.told)
		return
	}
	if reply.status < 400 || reply.status == 421 {
		test.Errorf("%s: %d of nobody's", id, reply.status)
	}
	if held.promised = isNotExecutedStatus(reply.status); held.promised && held.ran > 0 {
		test.Errorf("%s: told %d of what ran", id, reply.status)
	}
}

// judge looks at what arrived when all is over.
func (fuzzed *fuzzed) judge() {
	test := fuzzed.world.test
	fuzzed.witness.mutex.Lock()
	defer fuzzed.witness.mutex.Unlock()
	for id, held := range fuzzed.witness.seen {
		if held.line == "changed" || held.line == "nobody's" {
			test.Errorf("%q: a request that is %s", id, held.line)
		}
		if held.once && (held.ran > 1 || held.afterRun > 0) {
			test.Errorf("%s: ran %d times, sent %d times after that", id, held.ran, held.afterRun)
		}
		if held.promised && held.ran > 0 {
			test.Errorf("%s: ran after all", id)
		}
		per := map[string]bool{}
		for _, backend := range held.reached {
			if per[backend] {
				test.Errorf("%s: reached %s twice", id, backend)
			}
			per[backend] = true
		}
	}
}

// FuzzConnectionStates plays any order of requests, answers, extra bytes, resets,
// silences and idle times over reused connections. A client gets only its own whole
// answer or a truthful failure, and what may run once runs on one backend at most.
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
	fuzz.Add([]byte{0, 0, 0, 0, 7, 0, 0, 0, 0, 23, 1, 0, 0, 0, 15, 0, 0, 0, 0, 31, 2, 0, 0, 0, 6, 250, 0, 0, 0, 0})
	fuzz.Fuzz(func(test *testing.T, program []byte) {
		synctest.Test(test, func(test *testing.T) {
			env := newTestEnv(test)
			defer env.close()
			env.addBackend("b1")
			env.addBackend("b2")
			for _, budget := range env.proxy.view.Load().budgets {
				budget.tokens = budget.limit
			}
			(&fuzzed{world: env, witness: newWitness(), program: program, secret: sha256.Sum256(program)}).play()
		})
	})
}

// FuzzAnswer gives any bytes as the answer to a request that may run once; "{id}"
// stands for its attempt id. The client always gets one answer that can be read, a
// success only with the id and a seal, and a promise only where the bytes say so.
func FuzzAnswer(fuzz *testing.F) {
	for _, truth := range truths {
		fuzz.Add(truth.answer("{id}"), true)
		fuzz.Add(sealedResponse("another", "200 OK", "", "another's")+truth.answer("{id}"), false)
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
			test.Errorf("broken: %v", reply.err)
		case result.requests != 1:
			test.Errorf("%d arrivals", result.requests)
		case reply.status < 300 && (reply.header.Get("Seal") == "" || reply.header.Get("Attempt") != result.id || len(reply.header["Seal"]) != 1):
			test.Errorf("%d %v", reply.status, reply.header)
		case isNotExecutedStatus(reply.status) && (!strings.Contains(bytes, "{id}") || !strings.Contains(lower, "not-executed") && !strings.Contains(bytes, " 421")):
			test.Errorf("promised %d", reply.status)
		}
		if next := &result.next; next.status == 200 &&
			(next.body != successBody(result.nextID) || next.header.Get("Attempt") != result.nextID) {
			test.Errorf("the next one got %q", next.body)
		}
	})
}
