package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// platform serves the list of backends and takes usage reports.
type platform struct {
	mutex    sync.Mutex
	backends []*backend
	leaving  map[string]bool // by the backend's ID
	server   *http.Server
}

// listEntry is a backend in the list.
type listEntry struct {
	Address, ID string
	Leaving     bool
}

func (provider *platform) add(server *backend) {
	provider.mutex.Lock()
	defer provider.mutex.Unlock()
	provider.backends = append(provider.backends, server)
}

func (provider *platform) start(address string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /backends", func(writer http.ResponseWriter, request *http.Request) {
		asked, entries := request.URL.Query().Get("zone"), []listEntry{}
		provider.mutex.Lock()
		for _, server := range provider.backends {
			if asked == "" || asked == zone {
				entries = append(entries, listEntry{Address: server.address, ID: server.id, Leaving: provider.leaving[server.id]})
			}
		}
		provider.mutex.Unlock()
		writer.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(writer, render("list.json.tmpl", entries)) // the caller tries again
	})
	mux.HandleFunc("POST /usage", func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body) // the content does not matter here
	})
	server, err := serve(address, mux)
	provider.server = server
	return err
}

// drain lists a backend as leaving from now on.
func (provider *platform) drain(id string) {
	provider.mutex.Lock()
	defer provider.mutex.Unlock()
	provider.leaving = map[string]bool{id: true}
}

func serve(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }() // it ends with this process or when it is closed
	return server, nil
}

// run is a request that a backend has run.
type run struct {
	id, method, path, body, backend string
	at                              time.Time
}

// backend runs each request that is meant for it once it has read the whole of it.
type backend struct {
	id      string
	address string
	record  *recorder
	work    time.Duration
	// unframed makes answers end with their connection: they have no length and no chunks.
	unframed bool
}

func (server *backend) start() error {
	_, err := serve(server.address, server)
	return err
}

func (server *backend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	if request.URL.Path == "/healthz" {
		header.Set(names.Backend, server.id)
		return
	}
	id := request.Header.Get(names.Attempt)
	header.Set(names.Attempt, id)
	if target := request.Header.Get(names.Target); target != "" && target != server.id {
		header.Set(names.Backend, server.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		header.Set(names.NotExecuted, "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // cut off on the way: it is not run
	}
	server.record.ran(run{
		id: id, method: request.Method, path: request.RequestURI, body: string(body),
		backend: server.id, at: time.Now(),
	})
	server.answer(writer, id)
}

// answer sends the head and the first part of an answer after half of the work, and the rest after
// all of it. The answer has its length, unless the backend is unframed, and its connection closes.
func (server *backend) answer(writer http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	body, length := answerBody(id), ""
	if !server.unframed {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	time.Sleep(server.work / 2)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Type: text/plain\r\n%sConnection: close\r\n\r\n%s",
		names.Attempt, id, names.Seal, id, length, body[:len(body)/2]) // an error shows below
	time.Sleep(server.work / 2)
	if callerLeft(conn) {
		server.record.note("backend %s: %s was broken off by its caller while at work", server.id, id)
	}
	_, _ = io.WriteString(conn, body[len(body)/2:]) // the caller may have gone
	if half, ok := conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()                                 // the caller may have gone
		_ = half.SetReadDeadline(time.Now().Add(time.Second)) // as above
		_, _ = io.Copy(io.Discard, half)                      // until the caller closes
	}
}

// callerLeft reports whether the caller has closed the connection.
func callerLeft(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond)) // fails only on a closed connection
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// answerBody returns the body of the answer to a request.
func answerBody(id string) string { return "done " + id }

// recorder writes what was sent, answered and run to a file, and keeps the runs.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	begin time.Time
	runs  []run
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, begin: time.Now()}, err
}

func (record *recorder) note(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	text := fmt.Sprintf(format, values...)
	_, _ = fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.begin).Seconds(), text) // the result counts
}

func (record *recorder) ran(one run) {
	record.note("backend %s runs %s: %s %s with a body of %d bytes", one.backend, one.id, one.method, one.path, len(one.body))
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.runs = append(record.runs, one)
}

// all returns all runs.
func (record *recorder) all() []run {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return append([]run{}, record.runs...)
}

// runsOf returns the runs of a request.
func (record *recorder) runsOf(id string) []run {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	found := []run{}
	for _, one := range record.runs {
		if one.id == id {
			found = append(found, one)
		}
	}
	return found
}
