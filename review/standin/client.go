package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// host is the host of all routes of the configuration.
	host = "desk.example"
	// clientKey is the key of the configuration's tenant.
	clientKey = "Token key-of-alder"
)

// task is one try of a client.
type task struct {
	method   string
	path     string
	id       string
	body     []byte
	deadline time.Duration
}

// outcome is what a client saw of a try: a status, or an error in its place.
type outcome struct {
	status int
	err    error
	sealed bool
	body   []byte
	took   time.Duration
}

// send sends a try on a connection of its own to a proxy.
func send(proxy string, task *task) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), task.deadline)
	defer cancel()
	begin := time.Now()
	request, err := http.NewRequestWithContext(ctx, task.method, "http://"+proxy+task.path, bytes.NewReader(task.body))
	if err != nil {
		return outcome{err: err}
	}
	request.Host = host
	request.Header.Set("Authorization", clientKey)
	request.Header.Set(headers.Attempt, task.id)
	request.Header.Set(headers.Deadline, strconv.FormatInt(task.deadline.Milliseconds(), 10))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return outcome{err: err, took: time.Since(begin)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return outcome{
		status: response.StatusCode,
		err:    err,
		sealed: response.Header.Get(headers.Seal) != "",
		body:   body,
		took:   time.Since(begin),
	}
}

// newID returns an attempt id.
func newID() string {
	id := make([]byte, 8)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// tally counts how requests ended, by what was sent.
type tally struct {
	mutex sync.Mutex
	ends  map[string]int
}

func (tally *tally) add(key string) {
	tally.mutex.Lock()
	tally.ends[key]++
	tally.mutex.Unlock()
}
