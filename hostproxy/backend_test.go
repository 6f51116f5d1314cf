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

// arrival is one request as it reached a backend, byte for byte.
type arrival struct {
	backend    string
	at         time.Time
	connection int
	line       string
	fields     []string
	body       []byte
	chunked    bool
}

func (arrival *arrival) all(name string) []string {
	values := []string{}
	for _, field := range arrival.fields {
		if is, value, _ := strings.Cut(field, ": "); strings.EqualFold(is, name) {
			values = append(values, value)
		}
	}
	return values
}

func (arrival *arrival) get(name string) string {
	if values := arrival.all(name); len(values) > 0 {
		return values[0]
	}
	return ""
}

// exchange is one request at a backend and the connection to answer on.
type exchange struct {
	*arrival
	backend *backend
	pipe    *pipe
}

// act answers one exchange; false ends the connection.
type act func(*exchange) bool

// backend speaks raw HTTP/1.1 and does to each request what its script says; after
// the script's end it answers well. Greets meet connections before they are read.
type backend struct {
	name       string
	address    string
	goroutines *concurrent.Group

	mutex    sync.Mutex
	script   []act
	always   act
	greets   []func(*pipe)
	arrivals []*arrival
	opened   int
	pipes    []*pipe
	ending   bool
}

func newBackend(name, address string, goroutines *concurrent.Group) *backend {
	return &backend{name: name, address: address, goroutines: goroutines}
}

func (backend *backend) then(acts ...act) *backend {
	backend.mutex.Lock()
	backend.script = append(backend.script, acts...)
	backend.mutex.Unlock()
	return backend
}

func (backend *backend) ever(always act) *backend {
	backend.mutex.Lock()
	backend.always = always
	backend.mutex.Unlock()
	return backend
}

func (backend *backend) greet(greets ...func(*pipe)) *backend {
	backend.mutex.Lock()
	backend.greets = append(backend.greets, greets...)
	backend.mutex.Unlock()
	return backend
}

func (backend *backend) accept(pipe *pipe) {
	backend.mutex.Lock()
	backend.opened++
	number := backend.opened
	backend.pipes = append(backend.pipes, pipe)
	var greet func(*backendPipe)
	if len(backend.greets) > 0 {
		greet, backend.greets = backend.greets[0], backend.greets[1:]
	}
	ending := backend.ending
	backend.mutex.Unlock()
	if ending {
		pipe.reset()
		return
	}
	backend.goroutines.Start(func() {
		defer func() { _ = pipe.Close() }() // never fails
		if greet != nil {
			greet(pipe)
		}
		backend.serve(pipe, number)
	})
}

type backendPipe = pipe

func (backend *backend) serve(pipe *pipe, number int) {
	reader := bufio.NewReader(pipe)
	for {
		arrived, err := readArrival(reader)
		if err != nil {
			return
		}
		arrived.backend, arrived.connection, arrived.at = backend.name, number, time.Now()
		backend.mutex.Lock()
		backend.arrivals = append(backend.arrivals, arrived)
		does := backend.always
		if len(backend.script) > 0 {
			does, backend.script = backend.script[0], backend.script[1:]
		}
		backend.mutex.Unlock()
		if does == nil {
			does = well
		}
		if !does(&exchange{arrival: arrived, backend: backend, pipe: pipe}) {
			return
		}
	}
}

func readArrival(reader *bufio.Reader) (*arrival, error) {
	arrived, length := &arrival{}, 0
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimSuffix(line, "\r\n")
		if arrived.line == "" {
			arrived.line = line
			continue
		}
		if line == "" {
			break
		}
		arrived.fields = append(arrived.fields, line)
		switch name, value, _ := strings.Cut(line, ": "); strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.Atoi(value); err != nil {
				return nil, err
			}
		case "transfer-encoding":
			arrived.chunked = true
		}
	}
	var err error
	if arrived.chunked {
		arrived.body, err = io.ReadAll(httputil.NewChunkedReader(reader))
		return arrived, err
	}
	arrived.body = make([]byte, length)
	_, err = io.ReadFull(reader, arrived.body)
	return arrived, err
}

// stop closes all connections, as a backend does that ends.
func (backend *backend) stop() {
	backend.mutex.Lock()
	backend.ending = true
	pipes := backend.pipes
	backend.pipes = nil
	backend.mutex.Unlock()
	for _, pipe := range pipes {
		pipe.reset()
	}
}

// hang closes the connections but takes new ones.
func (backend *backend) hang() {
	backend.mutex.Lock()
	pipes := backend.pipes
	backend.pipes = nil
	backend.mutex.Unlock()
	for _, pipe := range pipes {
		_ = pipe.Close() // never fails
	}
}

func (backend *backend) seen() []*arrival {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return append([]*arrival{}, backend.arrivals...)
}

func (backend *backend) connections() int {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return backend.opened
}

func (exchange *exchange) say(format string, values ...any) {
	_, _ = fmt.Fprintf(exchange.pipe, format, values...) // the proxy may have left
}

// text is what a backend's good answer to an id says.
func text(id string) string { return "answer to " + id }

func whole(id, status, fields, body string) string {
	return "HTTP/1.1 " + status + "\r\nAttempt: " + id + "\r\nSeal: s-" + id + "\r\n" + fields + "Content-Length: " + strconv.Itoa(
		len(body),
	) + "\r\n\r\n" + body
}

func bare(id, status, fields, body string) string {
	return "HTTP/1.1 " + status + "\r\nAttempt: " + id + "\r\n" + fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func well(exchange *exchange) bool {
	id := exchange.get("Attempt")
	exchange.say("%s", whole(id, "200 OK", "", text(id)))
	return true
}

func withFields(fields string) act {
	return func(exchange *exchange) bool {
		id := exchange.get("Attempt")
		exchange.say("%s", whole(id, "200 OK", fields, text(id)))
		return true
	}
}

func after(span time.Duration, does act) act {
	return func(exchange *exchange) bool {
		exchange.backend.goroutines.Sleep(span)
		return does(exchange)
	}
}

func status(line string) act {
	return func(exchange *exchange) bool {
		exchange.say("%s", whole(exchange.get("Attempt"), line, "", "of the backend"))
		return true
	}
}

func shed(exchange *exchange) bool {
	exchange.say("%s", bare(exchange.get("Attempt"), "503 Service Unavailable", "Not-Executed: full\r\n", "full"))
	return true
}

func misdirected(exchange *exchange) bool {
	exchange.say("%s", bare(exchange.get("Attempt"), "421 Misdirected Request", "", ""))
	return true
}

func resetAfterReading(exchange *exchange) bool {
	exchange.pipe.reset()
	return false
}

func closeAfterReading(exchange *exchange) bool { return false }

func half(exchange *exchange) bool {
	all := whole(exchange.get("Attempt"), "200 OK", "", text(exchange.get("Attempt")))
	exchange.say("%s", all[:len(all)-5])
	return false
}

func halfHead(exchange *exchange) bool {
	exchange.say("HTTP/1.1 200 OK\r\nAttempt: %s\r\nSe", exchange.get("Attempt"))
	return false
}

func garbage(exchange *exchange) bool {
	exchange.say("\x16\x03\x01 these are no words of the protocol\r\n\r\n")
	return true
}

func withoutSeal(exchange *exchange) bool {
	id := exchange.get("Attempt")
	exchange.say("%s", bare(id, "200 OK", "", text(id)))
	return true
}

func withoutID(exchange *exchange) bool {
	exchange.say("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody")
	return true
}

func untilClose(exchange *exchange) bool {
	id := exchange.get("Attempt")
	exchange.say("HTTP/1.1 200 OK\r\nAttempt: %s\r\nSeal: s\r\nConnection: close\r\n\r\n%s", id, text(id))
	return false
}

func chunked(exchange *exchange) bool {
	id := exchange.get("Attempt")
	exchange.say(
		"HTTP/1.1 200 OK\r\nAttempt: %s\r\nSeal: s-%s\r\nTransfer-Encoding: chunked\r\n\r\na\r\nanswer to \r\n%x\r\n%s\r\n0\r\n\r\n",
		id,
		id,
		len(id),
		id,
	)
	return true
}

func chunkedHalf(exchange *exchange) bool {
	id := exchange.get("Attempt")
	exchange.say("HTTP/1.1 200 OK\r\nAttempt: %s\r\nSeal: s-%s\r\nTransfer-Encoding: chunked\r\n\r\na\r\nanswer to \r\n", id, id)
	return false
}

// surplusNow answers twice in one go.
func surplusNow(exchange *exchange) bool {
	id := exchange.get("Attempt")
	exchange.say("%s%s", whole(id, "200 OK", "", text(id)), whole(id, "200 OK", "", "surplus"))
	return true
}

// surplusLate answers twice; the second answer comes some time after the first.
func surplusLate(span time.Duration) act {
	return func(exchange *exchange) bool {
		id := exchange.get("Attempt")
		exchange.say("%s", whole(id, "200 OK", "", text(id)))
		exchange.backend.goroutines.Sleep(span)
		exchange.say("%s", whole(id, "200 OK", "", "surplus"))
		return true
	}
}

func silent(exchange *exchange) bool {
	var one [1]byte
	_, _ = exchange.pipe.Read(one[:]) // until the proxy leaves
	return false
}

// large streams a body of letters, of which only so many come.
func large(size, comes int, inChunks bool) act {
	return func(exchange *exchange) bool {
		id := exchange.get("Attempt")
		exchange.say("HTTP/1.1 200 OK\r\nAttempt: %s\r\nSeal: s-%s\r\n", id, id)
		if inChunks {
			exchange.say("Transfer-Encoding: chunked\r\n\r\n")
		} else {
			exchange.say("Content-Length: %d\r\n\r\n", size)
		}
		for sent := 0; sent < comes; {
			part := letters(sent, min(16<<10, comes-sent))
			if inChunks {
				exchange.say("%x\r\n%s\r\n", len(part), part)
			} else if _, err := exchange.pipe.Write(part); err != nil {
				return false
			}
			sent += len(part)
		}
		if comes < size {
			return false
		}
		if inChunks {
			exchange.say("0\r\n\r\n")
		}
		return true
	}
}

func letters(from, count int) []byte {
	part := make([]byte, count)
	for index := range part {
		part[index] = 'a' + byte((from+index)%23)
	}
	return part
}
