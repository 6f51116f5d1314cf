package main

import (
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
}

// listEntry is a backend in the list.
type listEntry struct{ Address, ID string }

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
				entries = append(entries, listEntry{Address: server.address, ID: server.id})
			}
		}
		provider.mutex.Unlock()
		writer.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(writer, render("list.json.tmpl", entries)) // the caller tries again
	})
	mux.HandleFunc("POST /usage", func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body) // the content does not matter here
	})
	return serve(address, mux)
}

func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }() // it ends with this process
	return nil
}

// run is a request that a backend has run.
type run struct {
	id, method, path, body, backend string
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

func (server *backend) start() error { return serve(server.address, server) }

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
		backend: server.id,
	})
	time.Sleep(server.work)
	if server.unframed {
		answerUnframed(writer, id)
		return
	}
	header.Set(names.Seal, "seal-"+id)
	_, _ = io.WriteString(writer, "done "+id) // the caller may have gone
}

// answerUnframed writes an answer that ends with its connection, and closes that in order.
func answerUnframed(writer http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\ndone %s",
		names.Attempt, id, names.Seal, id, id) // the caller may have gone
	if half, ok := conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()                                 // the caller may have gone
		_ = half.SetReadDeadline(time.Now().Add(time.Second)) // as above
		_, _ = io.Copy(io.Discard, half)                      // until the caller closes
	}
}

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
