// Package standin simulates the systems around this one, for the simulator and for real
// processes: backends (Backend), the platform (Platform) and callers (LoadGenerator). Backend
// and Platform can inject faults; all of them record what package checker needs.
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

// framedPause is the time between the halves of a response that is sent in raw bytes.
const framedPause = 5 * time.Millisecond

// BackendConfig is the identity and behaviour of a Backend. WorkMs is the time per request
// and ColdMs the warm-up time after the start, both in milliseconds. GentleRate is the number
// of requests per second that it reports for the warm-up, Room the number of concurrent
// requests at which its usage is 1 and above which it slows down. Journal, if set, is the file
// for its records.
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

// Backend is an HTTP handler that simulates a backend and records each request.
type Backend struct {
	config  BackendConfig
	started time.Time

	mutex        sync.Mutex
	record       BackendRecord
	serial       uint64
	inFlight     int
	leavingSince time.Time
	faultMode    string
	faultsLeft   int
	journal      *os.File
}

// NewBackend returns a backend that starts now. It fails if its journal can't be opened.
func NewBackend(config BackendConfig) (*Backend, error) {
	backend := &Backend{
		config:  config,
		started: time.Now(),
		record:  BackendRecord{Instance: config.Instance, Service: config.Service, Gentle: config.GentleRate},
	}
	if config.Journal == "" {
		return backend, nil
	}
	journal, err := os.OpenFile(config.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	backend.journal = journal
	if err == nil {
		backend.appendJournal(journalLine{Begin: &backend.record})
	}
	return backend, err
}

func (backend *Backend) appendJournal(line journalLine) {
	if backend.journal != nil {
		body, _ := json.Marshal(line)
		if _, err := backend.journal.Write(append(body, '\n')); err != nil {
			klog.Errorf("writing the journal of the backend: %v", err)
		}
	}
}

// Place returns the configuration of the backend.
func (backend *Backend) Place() BackendConfig { return backend.config }

func (backend *Backend) cold() bool {
	return time.Since(backend.started) < time.Duration(backend.config.ColdMs)*time.Millisecond
}

// Leave makes the backend report that it is leaving, as one that was told to stop.
func (backend *Backend) Leave() {
	backend.mutex.Lock()
	if backend.leavingSince.IsZero() {
		backend.leavingSince = time.Now()
	}
	backend.mutex.Unlock()
}

// FaultModes are the modes of Misbehave that a proxy must survive without a stall. In the last
// three, the response is valid: its body is chunked, or ends with the connection.
var FaultModes = []string{
	"lose", "garbage", "truncate", "foreign", "overlong", "vanish", "busy", "reset", "chunks", "close", "announced-close",
}

// framedModes are the modes that send the response of a task that has run in raw bytes.
var framedModes = map[string]FramedResponse{
	"chunks":          {Framing: FramedByChunks},
	"close":           {Framing: FramedByClose},
	"announced-close": {Framing: FramedByAnnouncedClose},
	"reset":           {Framing: FramedByClose, Ending: EndsWithReset},
}

// Misbehave injects a fault into the next count requests.
func (backend *Backend) Misbehave(mode string, count int) {
	backend.mutex.Lock()
	backend.faultMode, backend.faultsLeft = mode, count
	backend.mutex.Unlock()
}

// Seen returns the record of this incarnation so far.
func (backend *Backend) Seen() BackendRecord {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	record := backend.record
	record.Arrivals = append([]Arrival{}, backend.record.Arrivals...)
	return record
}

// ServeHTTP serves the identity, the commands under /stand/ and requests of callers.
func (backend *Backend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/oj/identity":
		backend.serveIdentity(writer)
	case "/stand/leave":
		backend.Leave()
	case "/stand/fault":
		count, _ := strconv.Atoi(request.URL.Query().Get("count"))
		backend.Misbehave(request.URL.Query().Get("mode"), count)
	default:
		backend.runTask(writer, request)
	}
}

func (backend *Backend) serveIdentity(writer http.ResponseWriter) {
	backend.mutex.Lock()
	identity := map[string]any{
		"service":     backend.config.Service,
		"instance":    backend.config.Instance,
		"incarnation": backend.config.Incarnation,
		"usage":       backend.usage(),
		"cold":        backend.cold(),
		"gentle_rate": backend.config.GentleRate,
		"leaving":     !backend.leavingSince.IsZero(),
		"serial":      backend.serial,
	}
	backend.mutex.Unlock()
	body, _ := json.Marshal(identity)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.Write(body)
}

func (backend *Backend) usage() float64 {
	return float64(backend.inFlight) / float64(max(backend.config.Room, 1))
}

// recordArrival records a request and returns its number and the fault to inject, if any.
func (backend *Backend) recordArrival(request *http.Request) (int, string) {
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
	if !backend.leavingSince.IsZero() {
		arrival.LeavingMs = now.Sub(backend.leavingSince).Milliseconds()
	}
	number := len(backend.record.Arrivals)
	backend.record.Arrivals = append(backend.record.Arrivals, arrival)
	backend.appendJournal(journalLine{Arrival: &arrival, Number: number})
	if backend.faultsLeft == 0 {
		return number, ""
	}
	backend.faultsLeft--
	return number, backend.faultMode
}

// recordRun records that a task has run and, if it has an idempotency key, was charged.
func (backend *Backend) recordRun(number int) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	arrival := &backend.record.Arrivals[number]
	arrival.RanMs = time.Now().UnixMilli()
	if arrival.Key != "" {
		arrival.ChargedMs = arrival.RanMs
	}
	backend.appendJournal(journalLine{Arrival: arrival, Number: number})
}

// runTask runs one task. It charges before it responds, as a backend whose response is lost
// has charged too.
func (backend *Backend) runTask(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, 64<<20))
	if err != nil {
		return
	}
	number, fault := backend.recordArrival(request)
	header := writer.Header()
	header.Set("Oj-Task", request.Header.Get("Oj-Task"))
	if fault == "busy" {
		header.Set("Oj-Not-Run", "true")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fault == "vanish" {
		hijack(writer, "")
		return
	}
	backend.mutex.Lock()
	backend.inFlight++
	slowdown := max(1, float64(backend.inFlight)/float64(max(backend.config.Room, 1)))
	backend.mutex.Unlock()
	time.Sleep(time.Duration(slowdown * float64(backend.workMs(request)) * float64(time.Millisecond)))
	backend.recordRun(number)
	backend.endTask(header)
	response := backend.responseBody(request, body)
	sum := sha256.Sum256(response)
	header.Set("Stand-Sum", hex.EncodeToString(sum[:]))
	header.Set("Stand-For", request.Header.Get("Oj-Tenant")+" "+request.URL.Path)
	header.Set("Content-Type", "application/json")
	if framed, found := framedModes[fault]; found {
		framed.Body = string(response)
		sendFramed(writer, &framed)
		return
	}
	header.Set("Content-Length", strconv.Itoa(len(response)))
	switch fault {
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
				len(response),
				response[:len(response)/2],
			),
		)
	case "foreign":
		header.Set("Oj-Task", "someone-else")
		header.Set("Stand-For", "someone else")
		writer.Write(response)
	case "overlong":
		hijack(
			writer,
			fmt.Sprintf("HTTP/1.1 200 OK\r\nOj-Task: %s\r\nContent-Length: %d\r\n\r\n", request.Header.Get("Oj-Task"), int64(1)<<40),
		)
	case "stall":
		time.Sleep(30 * time.Second)
	default:
		writer.Write(response)
	}
}

// endTask counts a task out and sets the header fields of the backend's state.
func (backend *Backend) endTask(header http.Header) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	backend.inFlight--
	header.Set("Oj-Usage", strconv.FormatFloat(backend.usage(), 'f', 4, 64))
	header.Set("Oj-Serial", strconv.FormatUint(backend.serial, 10))
	header.Set("Oj-Leaving", strconv.FormatBool(!backend.leavingSince.IsZero()))
	header.Set("Oj-Cold", strconv.FormatBool(backend.cold()))
}

// workMs returns the time of the task, which the query parameter work overrides, up to 30 s.
func (backend *Backend) workMs(request *http.Request) int {
	if requested, err := strconv.Atoi(request.URL.Query().Get("work")); err == nil {
		return min(max(requested, 0), 30_000)
	}
	return backend.config.WorkMs
}

func (backend *Backend) responseBody(request *http.Request, body []byte) []byte {
	size, _ := strconv.Atoi(request.URL.Query().Get("bytes"))
	text := fmt.Sprintf(
		"{\"from\":%q,\"tenant\":%q,\"path\":%q,\"took\":%d,\"fill\":\"",
		backend.config.Instance,
		request.Header.Get("Oj-Tenant"),
		request.URL.Path,
		len(body),
	)
	if fill := size - len(text) - 2; fill > 0 {
		text += strings.Repeat("x", fill)
	}
	return []byte(text + "\"}")
}

// sendFramed sends a response with the header fields set so far, and closes the connection.
func sendFramed(writer http.ResponseWriter, response *FramedResponse) {
	fields := strings.Builder{}
	_ = writer.Header().Write(&fields) // a Builder never fails
	response.Fields = fields.String()
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	if response.Begin(conn) != nil {
		return // the caller is gone
	}
	time.Sleep(framedPause)
	_, _ = response.End(conn) // the caller may be gone
}

// hijack writes raw bytes and closes the connection.
func hijack(writer http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(conn, text) // the caller is gone
	conn.Close()
}
