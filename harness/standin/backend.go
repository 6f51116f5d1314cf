// Package standin holds stand-ins for what is outside the system, for the simulator
// and for real processes: backends (Backend), the platform (Platform) and callers
// (Origin). Each follows its side of the interface, can be told to misbehave, and
// records what it saw for package checker.
package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// BackendConfig is the identity and behaviour of a Backend. WorkMs is the time that
// a request takes, ColdMs how long the backend is slow after its start, both in
// milliseconds; GentleRate is the requests a second that it takes meanwhile, Room
// the requests that it takes at once. Journal, if set, is the file that records are
// appended to.
type BackendConfig struct {
	Service     string
	Instance    string
	Incarnation string
	WorkMs      int
	ColdMs      int
	GentleRate  float64
	Room        int
	Journal     string
}

// Backend is an HTTP handler that behaves as a backend and records each request.
type Backend struct {
	place BackendConfig
	since time.Time

	mutex    sync.Mutex
	seen     BackendRecord
	serial   uint64
	inFlight int
	leaving  time.Time
	fault    string
	faults   int
	journal  *os.File
}

// NewBackend returns a backend that starts now. The error is that of opening its
// journal.
func NewBackend(place BackendConfig) (*Backend, error) {
	backend := &Backend{
		place: place,
		since: time.Now(),
		seen:  BackendRecord{Instance: place.Instance, Service: place.Service, Gentle: place.GentleRate},
	}
	if place.Journal == "" {
		return backend, nil
	}
	journal, err := os.OpenFile(place.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	backend.journal = journal
	if err == nil {
		backend.write(journalLine{Begin: &backend.seen})
	}
	return backend, err
}

func (backend *Backend) write(line journalLine) {
	if backend.journal != nil {
		body, _ := json.Marshal(line)
		if _, err := backend.journal.Write(append(body, '\n')); err != nil {
			klog.Errorf("journal: %v", err)
		}
	}
}

// Place returns the identity and behaviour that the backend was made with.
func (backend *Backend) Place() BackendConfig { return backend.place }

func (backend *Backend) cold() bool {
	return time.Since(backend.since) < time.Duration(backend.place.ColdMs)*time.Millisecond
}

// Leave marks the backend as leaving, as a machine does that was told to stop.
func (backend *Backend) Leave() {
	backend.mutex.Lock()
	if backend.leaving.IsZero() {
		backend.leaving = time.Now()
	}
	backend.mutex.Unlock()
}

// Misbehave makes the next count requests end with the named fault.
func (backend *Backend) Misbehave(err string, count int) {
	backend.mutex.Lock()
	backend.fault, backend.faults = err, count
	backend.mutex.Unlock()
}

// Seen returns what this incarnation has recorded so far.
func (backend *Backend) Seen() BackendRecord {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	seen := backend.seen
	seen.Arrivals = append([]Arrival{}, backend.seen.Arrivals...)
	return seen
}

// ServeHTTP answers identity requests, the commands under /stand/ and requests of
// callers.
func (backend *Backend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/oj/identity":
		backend.identity(writer)
	case "/stand/leave":
		backend.Leave()
	case "/stand/fault":
		count, _ := strconv.Atoi(request.URL.Query().Get("count"))
		backend.Misbehave(request.URL.Query().Get("mode"), count)
	default:
		backend.work(writer, request)
	}
}

func (backend *Backend) identity(writer http.ResponseWriter) {
	backend.mutex.Lock()
	document := map[string]any{
		"service":     backend.place.Service,
		"instance":    backend.place.Instance,
		"incarnation": backend.place.Incarnation,
		"usage":       backend.usage(),
		"cold":        backend.cold(),
		"gentle_rate": backend.place.GentleRate,
		"leaving":     !backend.leaving.IsZero(),
		"serial":      backend.serial,
	}
	backend.mutex.Unlock()
	body, _ := json.Marshal(document)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.Write(body)
}

func (backend *Backend) usage() float64 {
	return float64(backend.inFlight) / float64(max(backend.place.Room, 1))
}

// take notes a task's arrival and gives its number and the misbehaviour due to it.
func (backend *Backend) take(request *http.Request) (int, string) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	now, header := time.Now(), request.Header
	arrival := Arrival{
		AtMs:    now.UnixMilli(),
		Try:     header.Get("Stand-Try"),
		Task:    header.Get("Oj-Task"),
		Tenant:  header.Get("Oj-Tenant"),
		Service: header.Get("Oj-Service"),
		Method:  request.Method,
		Path:    request.URL.Path,
		Key:     header.Get("Idempotency-Key"),
		Cold:    backend.cold(),
	}
	arrival.Serial, _ = strconv.ParseUint(header.Get("Oj-Serial"), 10, 64)
	backend.serial = max(backend.serial, arrival.Serial)
	if !backend.leaving.IsZero() {
		arrival.LeavingMs = now.Sub(backend.leaving).Milliseconds()
	}
	number := len(backend.seen.Arrivals)
	backend.seen.Arrivals = append(backend.seen.Arrivals, arrival)
	backend.write(journalLine{Arrival: &arrival, Number: number})
	if backend.faults == 0 {
		return number, ""
	}
	backend.faults--
	return number, backend.fault
}

// ran notes that a task was run; money is charged by then.
func (backend *Backend) ran(number int) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	arrival := &backend.seen.Arrivals[number]
	arrival.RanMs = time.Now().UnixMilli()
	if arrival.Key != "" {
		arrival.ChargedMs = arrival.RanMs
	}
	backend.write(journalLine{Arrival: arrival, Number: number})
}

// work runs one task. Money is charged before the answer, as a backend that
// loses its answer would have done.
func (backend *Backend) work(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, 64<<20))
	if err != nil {
		return
	}
	number, misbehaviour := backend.take(request)
	header := writer.Header()
	header.Set("Oj-Task", request.Header.Get("Oj-Task"))
	if misbehaviour == "busy" {
		header.Set("Oj-Not-Run", "true")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if misbehaviour == "vanish" {
		hijack(writer, "")
		return
	}
	backend.mutex.Lock()
	backend.inFlight++
	crowd := max(1, float64(backend.inFlight)/float64(max(backend.place.Room, 1)))
	backend.mutex.Unlock()
	time.Sleep(time.Duration(crowd * float64(backend.workMs(request)) * float64(time.Millisecond)))
	backend.ran(number)
	backend.mutex.Lock()
	backend.inFlight--
	header.Set("Oj-Usage", strconv.FormatFloat(backend.usage(), 'f', 4, 64))
	header.Set("Oj-Serial", strconv.FormatUint(backend.serial, 10))
	header.Set("Oj-Leaving", strconv.FormatBool(!backend.leaving.IsZero()))
	header.Set("Oj-Cold", strconv.FormatBool(backend.cold()))
	backend.mutex.Unlock()
	answer := backend.answer(request, body)
	sum := sha256.Sum256(answer)
	header.Set("Stand-Sum", hex.EncodeToString(sum[:]))
	header.Set("Stand-For", request.Header.Get("Oj-Tenant")+" "+request.URL.Path)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	switch misbehaviour {
	case "lose":
		hijack(writer, "")
	case "garbage":
		hijack(writer, "\x00\x01 this is no answer\r\n\r\n")
	case "truncate":
		hijack(
			writer,
			fmt.Sprintf(
				"HTTP/1.1 200 OK\r\nOj-Task: %s\r\nContent-Length: %d\r\n\r\n%s",
				request.Header.Get("Oj-Task"),
				len(answer),
				answer[:len(answer)/2],
			),
		)
	case "foreign":
		header.Set("Oj-Task", "someone-else")
		header.Set("Stand-For", "someone else")
		writer.Write(answer)
	case "overlong":
		hijack(
			writer,
			fmt.Sprintf("HTTP/1.1 200 OK\r\nOj-Task: %s\r\nContent-Length: %d\r\n\r\n", request.Header.Get("Oj-Task"), int64(1)<<40),
		)
	case "stall":
		time.Sleep(30 * time.Second)
	default:
		writer.Write(answer)
	}
}

// workMs is longer where the caller says so.
func (backend *Backend) workMs(request *http.Request) int {
	if asked, err := strconv.Atoi(request.URL.Query().Get("work")); err == nil {
		return min(max(asked, 0), 30_000)
	}
	return backend.place.WorkMs
}

func (backend *Backend) answer(request *http.Request, body []byte) []byte {
	size, _ := strconv.Atoi(request.URL.Query().Get("bytes"))
	text := fmt.Sprintf(
		"{\"from\":%q,\"tenant\":%q,\"path\":%q,\"took\":%d,\"fill\":\"",
		backend.place.Instance,
		request.Header.Get("Oj-Tenant"),
		request.URL.Path,
		len(body),
	)
	if fill := size - len(text) - 2; fill > 0 {
		text += strings.Repeat("x", fill)
	}
	return []byte(text + "\"}")
}

// hijack writes raw bytes and breaks the connection.
func hijack(writer http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(conn, text) // the caller is gone
	conn.Close()
}
