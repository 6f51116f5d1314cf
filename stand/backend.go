// Package stand holds the stand-ins for all that is outside: backends, the
// platform and the callers. What they saw is what verdicts are made of.
package stand

import (
	"bufio"
	"bytes"
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
)

// BackendPlace is what a backend stand-in is.
type BackendPlace struct {
	Service     string
	Instance    string
	Incarnation string
	WorkMs      int
	ColdMs      int
	GentleRate  float64
	Room        int
	Journal     string
}

// Seen is what a backend saw, for the verdicts.
type Seen struct {
	Instance      string           `json:"instance"`
	Incarnation   string           `json:"incarnation"`
	Tasks         int              `json:"tasks"`
	Charges       map[string]int   `json:"charges"`
	ChargedAt     map[string]int64 `json:"charged_at"`
	ForeignTasks  int              `json:"foreign_tasks"`
	LateTasks     int              `json:"late_tasks"`
	SlidBack      int              `json:"slid_back"`
	ColdTasks     int              `json:"cold_tasks"`
	ColdMostPerS  int              `json:"cold_most_per_s"`
	HighestSerial uint64           `json:"highest_serial"`
	ByTenant      map[string]int   `json:"by_tenant"`
	LastMs        int64            `json:"last_ms"`
	Arrivals      []Arrival        `json:"arrivals"`
}

// Arrival is one send as a backend saw it.
type Arrival struct {
	AtMs   int64  `json:"at"`
	Task   string `json:"task"`
	Tenant string `json:"tenant"`
	Serial uint64 `json:"serial"`
	Key    string `json:"key,omitempty"`
}

// Backend answers by the contract, remembers all, and can be told to misbehave.
type Backend struct {
	place BackendPlace
	since time.Time

	mutex        sync.Mutex
	seen         Seen
	inFlight     int
	leaving      time.Time
	serialSince  time.Time
	coldArrivals []time.Time
	fault        string
	faults       int
	journal      *os.File
}

const (
	lateAfter = 4 * time.Second
	slideSpan = 4 * time.Second
)

func NewBackend(place BackendPlace) (*Backend, error) {
	backend := &Backend{place: place, since: time.Now()}
	backend.seen = Seen{Instance: place.Instance, Incarnation: place.Incarnation, Charges: map[string]int{}, ChargedAt: map[string]int64{}, ByTenant: map[string]int{}}
	if place.Journal == "" {
		return backend, nil
	}
	if body, fault := os.ReadFile(place.Journal); fault == nil {
		for scanner := bufio.NewScanner(bytes.NewReader(body)); scanner.Scan(); {
			backend.seen.Charges[scanner.Text()]++
		}
	}
	journal, fault := os.OpenFile(place.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	backend.journal = journal
	return backend, fault
}

func (backend *Backend) cold() bool {
	return time.Since(backend.since) < time.Duration(backend.place.ColdMs)*time.Millisecond
}

// Leave marks the backend as leaving, as a warned machine does.
func (backend *Backend) Leave() {
	backend.mutex.Lock()
	if backend.leaving.IsZero() {
		backend.leaving = time.Now()
	}
	backend.mutex.Unlock()
}

// Misbehave makes the next count tasks end in the named way.
func (backend *Backend) Misbehave(fault string, count int) {
	backend.mutex.Lock()
	backend.fault, backend.faults = fault, count
	backend.mutex.Unlock()
}

func (backend *Backend) Seen() Seen {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	seen := backend.seen
	seen.Charges, seen.ByTenant, seen.ChargedAt = map[string]int{}, map[string]int{}, map[string]int64{}
	for key, at := range backend.seen.ChargedAt {
		seen.ChargedAt[key] = at
	}
	seen.Arrivals = append([]Arrival{}, backend.seen.Arrivals...)
	for key, count := range backend.seen.Charges {
		seen.Charges[key] = count
	}
	for tenant, count := range backend.seen.ByTenant {
		seen.ByTenant[tenant] = count
	}
	return seen
}

func (backend *Backend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path == "/oj/identity":
		backend.identity(writer)
	case request.URL.Path == "/stand/seen":
		json.NewEncoder(writer).Encode(backend.Seen())
	case request.URL.Path == "/stand/leave":
		backend.Leave()
	case request.URL.Path == "/stand/fault":
		count, _ := strconv.Atoi(request.URL.Query().Get("count"))
		backend.Misbehave(request.URL.Query().Get("mode"), count)
	default:
		backend.work(writer, request)
	}
}

func (backend *Backend) identity(writer http.ResponseWriter) {
	backend.mutex.Lock()
	document := map[string]any{"service": backend.place.Service, "instance": backend.place.Instance, "incarnation": backend.place.Incarnation,
		"usage": backend.usage(), "cold": backend.cold(), "gentle_rate": backend.place.GentleRate, "leaving": !backend.leaving.IsZero(), "serial": backend.seen.HighestSerial}
	backend.mutex.Unlock()
	body, _ := json.Marshal(document)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.Write(body)
}

func (backend *Backend) usage() float64 {
	return float64(backend.inFlight) / float64(max(backend.place.Room, 1))
}

// take notes a task's arrival and gives the misbehaviour due to it.
func (backend *Backend) take(request *http.Request) string {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	now := time.Now()
	backend.seen.Tasks++
	backend.seen.LastMs = now.UnixMilli()
	backend.seen.ByTenant[request.Header.Get("Oj-Tenant")]++
	if request.Header.Get("Oj-Service") != backend.place.Service {
		backend.seen.ForeignTasks++
	}
	if !backend.leaving.IsZero() && now.Sub(backend.leaving) > lateAfter {
		backend.seen.LateTasks++
	}
	serial, _ := strconv.ParseUint(request.Header.Get("Oj-Serial"), 10, 64)
	backend.seen.Arrivals = append(backend.seen.Arrivals, Arrival{AtMs: now.UnixMilli(), Task: request.Header.Get("Oj-Task"), Tenant: request.Header.Get("Oj-Tenant"), Serial: serial, Key: request.Header.Get("Idempotency-Key")})
	if serial > backend.seen.HighestSerial {
		backend.seen.HighestSerial, backend.serialSince = serial, now
	} else if serial < backend.seen.HighestSerial && now.Sub(backend.serialSince) > slideSpan {
		backend.seen.SlidBack++
	}
	if backend.cold() {
		backend.seen.ColdTasks++
		backend.coldArrivals = append(backend.coldArrivals, now)
		for now.Sub(backend.coldArrivals[0]) > time.Second {
			backend.coldArrivals = backend.coldArrivals[1:]
		}
		backend.seen.ColdMostPerS = max(backend.seen.ColdMostPerS, len(backend.coldArrivals))
	}
	if backend.faults == 0 {
		return ""
	}
	backend.faults--
	return backend.fault
}

// work runs one task. Money is charged before the answer, as a backend that
// loses its answer would have done.
func (backend *Backend) work(writer http.ResponseWriter, request *http.Request) {
	body, fault := io.ReadAll(io.LimitReader(request.Body, 64<<20))
	if fault != nil {
		return
	}
	misbehaviour := backend.take(request)
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
	time.Sleep(time.Duration(crowd * float64(backend.place.WorkMs) * float64(time.Millisecond)))
	if key := request.Header.Get("Idempotency-Key"); key != "" {
		backend.charge(request.Header.Get("Oj-Tenant") + "/" + key)
	}
	backend.mutex.Lock()
	backend.inFlight--
	header.Set("Oj-Usage", strconv.FormatFloat(backend.usage(), 'f', 4, 64))
	header.Set("Oj-Serial", strconv.FormatUint(backend.seen.HighestSerial, 10))
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
		hijack(writer, fmt.Sprintf("HTTP/1.1 200 OK\r\nOj-Task: %s\r\nContent-Length: %d\r\n\r\n%s", request.Header.Get("Oj-Task"), len(answer), answer[:len(answer)/2]))
	case "foreign":
		header.Set("Oj-Task", "someone-else")
		header.Set("Stand-For", "someone else")
		writer.Write(answer)
	case "overlong":
		hijack(writer, fmt.Sprintf("HTTP/1.1 200 OK\r\nOj-Task: %s\r\nContent-Length: %d\r\n\r\n", request.Header.Get("Oj-Task"), int64(1)<<40))
	case "stall":
		time.Sleep(30 * time.Second)
	default:
		writer.Write(answer)
	}
}

func (backend *Backend) charge(name string) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	backend.seen.Charges[name]++
	backend.seen.ChargedAt[name] = time.Now().UnixMilli()
	if backend.journal != nil {
		backend.journal.WriteString(name + "\n")
	}
}

func (backend *Backend) answer(request *http.Request, body []byte) []byte {
	size, _ := strconv.Atoi(request.URL.Query().Get("bytes"))
	text := fmt.Sprintf("{\"from\":%q,\"tenant\":%q,\"path\":%q,\"took\":%d,\"fill\":\"", backend.place.Instance, request.Header.Get("Oj-Tenant"), request.URL.Path, len(body))
	if fill := size - len(text) - 2; fill > 0 {
		text += strings.Repeat("x", fill)
	}
	return []byte(text + "\"}")
}

// hijack writes raw bytes and breaks the connection.
func hijack(writer http.ResponseWriter, text string) {
	conn, _, fault := http.NewResponseController(writer).Hijack()
	if fault != nil {
		panic(http.ErrAbortHandler)
	}
	io.WriteString(conn, text)
	conn.Close()
}
