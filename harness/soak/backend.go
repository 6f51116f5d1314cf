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
	// maxQueued is how many requests may wait for a slot; further ones are refused.
	maxQueued         = 4
	minServiceTime    = 10 * time.Millisecond
	serviceTimeRange  = 40 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
)

// arrival is one request whose execution began at a backend.
type arrival struct {
	id           string
	backend      *backend
	at           time.Time
	method       string
	path         string
	bodyDigest   string // SHA-256, in hex
	failed       bool   // answered with a simulated failure of the version
	bodyComplete bool   // the whole body was received
	brokenOff    bool   // the backend doesn't complete its response
}

// backend is an entry of the platform's backend list and the stand-in that serves at its
// address. It answers each request with its seal and the request's attempt ID.
type backend struct {
	ID       string // the exported fields are rendered into the platform's list
	Service  string
	Address  string
	Zone     string
	Revision string
	Capacity int

	failureShare float64 // fraction of its responses
	recorder     *recorder
	server       *http.Server
	slots        chan struct{}

	mutex     sync.Mutex
	leavingAt time.Time // when the list began to mark it as leaving, zero before
	warmAt    time.Time
	queued    int
	running   int
}

// newBackend starts a backend on a port of its own.
func newBackend(id, service, zone, revision string, failureShare float64, recorder *recorder) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.3.1:0")
	if err != nil {
		return nil, err
	}
	backend := &backend{
		ID:           id,
		Service:      service,
		Address:      listener.Addr().String(),
		Zone:         zone,
		Revision:     revision,
		Capacity:     backendCapacity,
		failureShare: failureShare,
		recorder:     recorder,
		slots:        make(chan struct{}, backendCapacity),
	}
	backend.server = &http.Server{Handler: backend, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = backend.server.Serve(listener) }() // ends when the server is closed
	return backend, nil
}

// Leaving reports whether the list marks the backend as leaving.
func (backend *backend) Leaving() bool { return !backend.leavingSince().IsZero() }

// WarmupLeft returns the rest of the backend's warm-up time.
func (backend *backend) WarmupLeft() time.Duration {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return max(0, time.Until(backend.warmAt))
}

func (backend *backend) leavingSince() time.Time {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return backend.leavingAt
}

// markLeaving makes the list mark the backend as leaving.
func (backend *backend) markLeaving() {
	backend.mutex.Lock()
	backend.leavingAt = time.Now()
	backend.mutex.Unlock()
}

// close closes the listener and all connections immediately.
func (backend *backend) close() { _ = backend.server.Close() }

// isIdle reports whether no request is queued or running.
func (backend *backend) isIdle() bool {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return backend.running == 0 && backend.queued == 0
}

// admit counts a request in, unless the queue is full.
func (backend *backend) admit() bool {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	if backend.queued >= maxQueued+backendCapacity {
		return false
	}
	backend.queued++
	return true
}

func (backend *backend) release() {
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
	if !backend.admit() {
		header.Set(headers.NotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer backend.release()
	received := &arrival{id: id, backend: backend, at: time.Now(), method: request.Method, path: request.URL.RequestURI()}
	hash := sha256.New()
	_, err := io.Copy(hash, request.Body)
	received.bodyComplete, received.bodyDigest = err == nil, hex.EncodeToString(hash.Sum(nil))
	received.failed = rand.Float64() < backend.failureShare
	plan := planResponse(id)
	received.brokenOff = !received.failed && plan.breaksOff()
	backend.slots <- struct{}{}
	defer func() { <-backend.slots }()
	backend.recorder.addArrival(received)
	serviceTime := minServiceTime + time.Duration(rand.Int64N(int64(serviceTimeRange)))
	time.Sleep(serviceTime / 2)
	header.Set(headers.Seal, backend.ID)
	header.Set(headers.Load, fmt.Sprintf("%d,0,%d", len(backend.slots)-1, backendCapacity))
	if backend.Leaving() {
		header.Set("Connection", "close")
	}
	body := responseBody(backend.ID, id)
	if received.failed {
		time.Sleep(serviceTime / 2)
		writer.WriteHeader(http.StatusInternalServerError)
		writer.Write([]byte(body))
	} else {
		plan.writeResponse(writer, body, serviceTime/2)
	}
}

// responseBody is the body with which a backend answers a request.
func responseBody(backend, id string) string { return backend + " ran " + id + "\n" }
