package hostproxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"time"

	"orchidjunction/concurrent"
)

// receivedRequest is a request as a backend received it, with its header fields unparsed.
type receivedRequest struct {
	backend     string
	receivedAt  time.Time
	connection  int
	requestLine string
	fields      []string
	body        []byte
	chunked     bool
}

func (received *receivedRequest) values(name string) []string {
	values := []string{}
	for _, field := range received.fields {
		if fieldName, value, _ := strings.Cut(field, ": "); strings.EqualFold(fieldName, name) {
			values = append(values, value)
		}
	}
	return values
}

func (received *receivedRequest) get(name string) string {
	if values := received.values(name); len(values) > 0 {
		return values[0]
	}
	return ""
}

// exchange is a request at a backend and the connection for its response.
type exchange struct {
	*receivedRequest
	backend *fakeBackend
	pipe    *pipe
}

// handler responds to an exchange. It returns false to close the connection.
type handler func(*exchange) bool

// fakeBackend is a raw HTTP/1.1 server. A request is handled by the next handler in the queue, else
// by defaultHandler, else by succeed. A connection first runs the next connect hook.
type fakeBackend struct {
	name       string
	address    string
	goroutines *concurrent.Group

	mutex          sync.Mutex
	queued         []handler
	defaultHandler handler
	connectHooks   []func(*pipe)
	received       []*receivedRequest
	opened         int
	pipes          []*pipe
	stopped        bool
}

func newFakeBackend(name, address string, goroutines *concurrent.Group) *fakeBackend {
	return &fakeBackend{name: name, address: address, goroutines: goroutines}
}

func (backend *fakeBackend) handleNext(handlers ...handler) *fakeBackend {
	backend.mutex.Lock()
	backend.queued = append(backend.queued, handlers...)
	backend.mutex.Unlock()
	return backend
}

func (backend *fakeBackend) handleByDefault(handle handler) *fakeBackend {
	backend.mutex.Lock()
	backend.defaultHandler = handle
	backend.mutex.Unlock()
	return backend
}

func (backend *fakeBackend) onConnect(hooks ...func(*pipe)) *fakeBackend {
	backend.mutex.Lock()
	backend.connectHooks = append(backend.connectHooks, hooks...)
	backend.mutex.Unlock()
	return backend
}

func (backend *fakeBackend) accept(pipe *pipe) {
	backend.mutex.Lock()
	backend.opened++
	number := backend.opened
	backend.pipes = append(backend.pipes, pipe)
	var hook func(*backendPipe)
	if len(backend.connectHooks) > 0 {
		hook, backend.connectHooks = backend.connectHooks[0], backend.connectHooks[1:]
	}
	stopped := backend.stopped
	backend.mutex.Unlock()
	if stopped {
		pipe.reset()
		return
	}
	backend.goroutines.Start(func() {
		defer func() { _ = pipe.Close() }() // never fails
		if hook != nil {
			hook(pipe)
		}
		backend.serve(pipe, number)
	})
}

type backendPipe = pipe

func (backend *fakeBackend) serve(pipe *pipe, number int) {
	reader := bufio.NewReader(pipe)
	for {
		received, err := readRequest(reader)
		if err != nil {
			return
		}
		received.backend, received.connection, received.receivedAt = backend.name, number, time.Now()
		backend.mutex.Lock()
		backend.received = append(backend.received, received)
		handle := backend.defaultHandler
		if len(backend.queued) > 0 {
			handle, backend.queued = backend.queued[0], backend.queued[1:]
		}
		backend.mutex.Unlock()
		if handle == nil {
			handle = succeed
		}
		if !handle(&exchange{receivedRequest: received, backend: backend, pipe: pipe}) {
			return
		}
	}
}

func readRequest(reader *bufio.Reader) (*receivedRequest, error) {
	received, length := &receivedRequest{}, 0
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimSuffix(line, "\r\n")
		if received.requestLine == "" {
			received.requestLine = line
			continue
		}
		if line == "" {
			break
		}
		received.fields = append(received.fields, line)
		switch name, value, _ := strings.Cut(line, ": "); strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.Atoi(value); err != nil {
				return nil, err
			}
		case "transfer-encoding":
			received.chunked = true
		}
	}
	var err error
	if received.chunked {
		received.body, err = io.ReadAll(httputil.NewChunkedReader(reader))
		return received, err
	}
	received.body = make([]byte, length)
	_, err = io.ReadFull(reader, received.body)
	return received, err
}

// stop resets all connections, like a backend that exits.
func (backend *fakeBackend) stop() {
	backend.mutex.Lock()
	backend.stopped = true
	pipes := backend.pipes
	backend.pipes = nil
	backend.mutex.Unlock()
	for _, pipe := range pipes {
		pipe.reset()
	}
}

// closeConnections closes all connections; new ones are still accepted.
func (backend *fakeBackend) closeConnections() {
	backend.mutex.Lock()
	pipes := backend.pipes
	backend.pipes = nil
	backend.mutex.Unlock()
	for _, pipe := range pipes {
		_ = pipe.Close() // never fails
	}
}

func (backend *fakeBackend) requests() []*receivedRequest {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return append([]*receivedRequest{}, backend.received...)
}

func (backend *fakeBackend) connections() int {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return backend.opened
}

func (exchange *exchange) writef(format string, values ...any) {
	_, _ = fmt.Fprintf(exchange.pipe, format, values...) // the proxy may have closed the connection
}

// successBody is the body of a successful response to the request with an ID.
func successBody(id string) string { return "answer to " + id }

func sealedResponse(id, status, fields, body string) string {
	return "HTTP/1.1 " + status + "\r\nAttempt: " + id + "\r\nSeal: s-" + id + "\r\n" + fields + "Content-Length: " + strconv.Itoa(
		len(body),
	) + "\r\n\r\n" + body
}

func unsealedResponse(id, status, fields, body string) string {
	return "HTTP/1.1 " + status + "\r\nAttempt: " + id + "\r\n" + fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func succeed(exchange *exchange) bool {
	id := exchange.get("Attempt")
	exchange.writef("%s", sealedResponse(id, "200 OK", "", successBody(id)))
	return true
}

func succeedWithFields(fields string) handler {
	return func(exchange *exchange) bool {
		id := exchange.get("Attempt")
		exchange.writef("%s", sealedResponse(id, "200 OK", fields, successBody(id)))
		return true
	}
}

func delayed(duration time.Duration, handle handler) handler {
	return func(exchange *exchange) bool {
		exchange.backend.goroutines.Sleep(duration)
		return handle(exchange)
	}
}

func respondStatus(line string) handler {
	return func(exchange *exchange) bool {
		exchange.writef("%s", sealedResponse(exchange.get("Attempt"), line, "", "backend error"))
		return true
	}
}

func shed(exchange *exchange) bool {
	exchange.writef("%s", unsealedResponse(exchange.get("Attempt"), "503 Service Unavailable", "Not-Executed: full\r\n", "full"))
	return true
}

func misdirected(exchange *exchange) bool {
	exchange.writef("%s", unsealedResponse(exchange.get("Attempt"), "421 Misdirected Request", "", ""))
	return true
}

func resetAfterReading(exchange *exchange) bool {
	exchange.pipe.reset()
	return false
}

func closeAfterReading(exchange *exchange) bool { return false }

func truncatedBody(exchange *exchange) bool {
	all := sealedResponse(exchange.get("Attempt"), "200 OK", "", successBody(exchange.get("Attempt")))
	exchange.writef("%s", all[:len(all)-5])
	return false
}

func truncatedHead(exchange *exchange) bool {
	exchange.writef("HTTP/1.1 200 OK\r\nAttempt: %s\r\nSe", exchange.get("Attempt"))
	return false
}

func garbage(exchange *exchange) bool {
	exchange.writef("\x16\x03\x01 this is not HTTP\r\n\r\n")
	return true
}

func withoutSeal(exchange *exchange) bool {
	id := exchange.get("Attempt")
	exchange.writef("%s", unsealedResponse(id, "200 OK", "", successBody(id)))
	return true
}

func withoutID(exchange *exchange) bool {
	exchange.writef("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody")
	return true
}

func chunked(exchange *exchange) bool {
	id := exchange.get("Attempt")
	exchange.writef(
		"HTTP/1.1 200 OK\r\nAttempt: %s\r\nSeal: s-%s\r\nTransfer-Encoding: chunked\r\n\r\na\r\nanswer to \r\n%x\r\n%s\r\n0\r\n\r\n",
		id,
		id,
		len(id),
		id,
	)
	return true
}

func truncatedChunks(exchange *exchange) bool {
	id := exchange.get("Attempt")
	exchange.writef("HTTP/1.1 200 OK\r\nAttempt: %s\r\nSeal: s-%s\r\nTransfer-Encoding: chunked\r\n\r\na\r\nanswer to \r\n", id, id)
	return false
}

// surplusAtOnce sends a response and a surplus one without delay.
func surplusAtOnce(exchange *exchange) bool {
	id := exchange.get("Attempt")
	exchange.writef("%s%s", sealedResponse(id, "200 OK", "", successBody(id)), sealedResponse(id, "200 OK", "", "surplus"))
	return true
}

// surplusDelayed sends a response and, after a delay, a surplus one.
func surplusDelayed(duration time.Duration) handler {
	return func(exchange *exchange) bool {
		id := exchange.get("Attempt")
		exchange.writef("%s", sealedResponse(id, "200 OK", "", successBody(id)))
		exchange.backend.goroutines.Sleep(duration)
		exchange.writef("%s", sealedResponse(id, "200 OK", "", "surplus"))
		return true
	}
}

func neverRespond(exchange *exchange) bool {
	var one [1]byte
	_, _ = exchange.pipe.Read(one[:]) // until the proxy closes the connection
	return false
}

// respondLarge streams a response whose body should have size bytes, but ends after limit bytes.
func respondLarge(size, limit int, inChunks bool) handler {
	return func(exchange *exchange) bool {
		id := exchange.get("Attempt")
		exchange.writef("HTTP/1.1 200 OK\r\nAttempt: %s\r\nSeal: s-%s\r\n", id, id)
		if inChunks {
			exchange.writef("Transfer-Encoding: chunked\r\n\r\n")
		} else {
			exchange.writef("Content-Length: %d\r\n\r\n", size)
		}
		for sent := 0; sent < limit; {
			part := letters(sent, min(16<<10, limit-sent))
			if inChunks {
				exchange.writef("%x\r\n%s\r\n", len(part), part)
			} else if _, err := exchange.pipe.Write(part); err != nil {
				return false
			}
			sent += len(part)
		}
		if limit < size {
			return false
		}
		if inChunks {
			exchange.writef("0\r\n\r\n")
		}
		return true
	}
}

func letters(offset, count int) []byte {
	part := make([]byte, count)
	for index := range part {
		part[index] = 'a' + byte((offset+index)%23)
	}
	return part
}
