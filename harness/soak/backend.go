package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	backendCapacity = 4
	// maxQueued is how many requests wait for a place; more are refused.
	maxQueued   = 4
	minWork     = 10 * time.Millisecond
	workSpread  = 40 * time.Millisecond
	headTimeout = 5 * time.Second
)

// arrival is one request that began to run at a backend.
type arrival struct {
	id       string
	backend  *backend
	at       time.Time
	method   string
	path     string
	body     string // its digest
	wasBad   bool   // answered with a failure of the version
	complete bool   // the whole body came
}

// backend is an entry of the platform's list and a stand-in of a backend at its address. It
// answers each request with its seal and the request's attempt id.
type backend struct {
	ID       string // these stand in the platform's list
	Service  string
	Address  string
	Zone     string
	Revision string
	Capacity int

	badShare float64 // of its answers that are failures
	log      *evidence
	server   *http.Server
	slots    chan struct{}

	mutex     sync.Mutex
	leavingAt time.Time // since when the list says that it leaves
	warmAt    time.Time
	queued    int
	running   int
}

// newBackend starts a backend on an address of its own.
func newBackend(id, service, zone, revision string, badShare float64, log *evidence) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.3.1:0")
	if err != nil {
		return nil, err
	}
	backend := &backend{
		ID:       id,
		Service:  service,
		Address:  listener.Addr().String(),
		Zone:     zone,
		Revision: revision,
		Capacity: backendCapacity,
		badShare: badShare,
		log:      log,
		slots:    make(chan struct{}, backendCapacity),
	}
	backend.server = &http.Server{Handler: backend, ReadHeaderTimeout: headTimeout}
	go func() { _ = backend.server.Serve(listener) }() // ends when the server is closed
	return backend, nil
}

// Leaving is whether the list says that the backend leaves.
func (backend *backend) Leaving() bool { return !backend.left().IsZero() }

// WarmupLeft is how long the backend warms up yet.
func (backend *backend) WarmupLeft() time.Duration {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return max(0, time.Until(backend.warmAt))
}

func (backend *backend) left() time.Time {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return backend.leavingAt
}

// leave makes the list say that the backend leaves, from now on.
func (backend *backend) leave() {
	backend.mutex.Lock()
	backend.leavingAt = time.Now()
	backend.mutex.Unlock()
}

// close ends the backend at once.
func (backend *backend) close() { _ = backend.server.Close() }

// isIdle reports whether no request is under way here.
func (backend *backend) isIdle() bool {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return backend.running == 0 && backend.queued == 0
}

// enter takes a place in the queue.
func (backend *backend) enter() bool {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	if backend.queued >= maxQueued+backendCapacity {
		return false
	}
	backend.queued++
	return true
}

func (backend *backend) exit() {
	backend.mutex.Lock()
	backend.queued--
	backend.mutex.Unlock()
}

func (backend *backend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	id := request.Header.Get(headers.Attempt)
	header.Set(headers.Attempt, id)
	if request.URL.Path == "/healthz" {
		header.Set(headers.Backend, backend.ID)
		return
	}
	if target := request.Header.Get(headers.Target); target != "" && target != backend.ID {
		header.Set(headers.NotExecuted, "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !backend.enter() {
		header.Set(headers.NotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer backend.exit()
	seen := &arrival{id: id, backend: backend, at: time.Now(), method: request.Method, path: request.URL.RequestURI()}
	hash := sha256.New()
	_, err := io.Copy(hash, request.Body)
	seen.complete, seen.body = err == nil, hex.EncodeToString(hash.Sum(nil))
	seen.wasBad = rand.Float64() < backend.badShare
	backend.slots <- struct{}{}
	backend.log.arrived(seen)
	time.Sleep(minWork + time.Duration(rand.Int64N(int64(workSpread))))
	<-backend.slots
	header.Set(headers.Seal, backend.ID)
	header.Set(headers.Load, fmt.Sprintf("%d,0,%d", len(backend.slots), backendCapacity))
	if backend.Leaving() {
		header.Set("Connection", "close")
	}
	if seen.wasBad {
		writer.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = writer.Write([]byte(answerBody(backend.ID, id)))
}

// answerBody is what a backend answers to a request.
func answerBody(backend, id string) string { return backend + " ran " + id + "\n" }
