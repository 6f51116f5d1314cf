package main

import (
	"math"
	"net/http"
	"syscall"
	"time"
)

const (
	slowBody = 16 << 20
	// firstPart is how much of a body the backend reads before it rests.
	firstPart = 128 << 10
	// readPause is how long it rests. It is well inside the deadline and the grace.
	readPause = 1500 * time.Millisecond
	// termDelay is from when the backend begins its work until the proxy gets SIGTERM.
	termDelay = 100 * time.Millisecond
	slowTries = 3
)

// runSlowReader stops a proxy in order while a backend works on a request with a long body that may
// not be repeated. In the trouble the backend rests for a while between two parts of the body; else
// it reads the body at once and rests before it answers. The rule is broken if the proxy, once it got
// SIGTERM, answers in the backend's place, or not at all.
func runSlowReader(deployment *deployment, trouble bool) (bool, error) {
	began := make(chan struct{}, slowTries)
	listed, raw, err := newRawBackend("i-slow", zones[0], func(exchange *rawExchange) {
		began <- struct{}{}
		exchange.readBody(firstPart)
		if !trouble {
			exchange.readBody(math.MaxInt64)
		}
		time.Sleep(readPause)
		exchange.readBody(math.MaxInt64)
		if _, err := exchange.await(0); err != nil {
			return
		}
		if err := exchange.answer(); err != nil {
			deployment.record.printf("backend: answer to %s: %v", exchange.id, err)
		}
	})
	if err != nil {
		return false, err
	}
	deployment.backends = []*backend{listed}
	if err := deployment.begin(slowTries); err != nil {
		return false, err
	}
	broken := 0
	for _, machine := range deployment.proxies() {
		task := &task{method: http.MethodPost, path: "/credit/slow", id: newID(), body: make([]byte, slowBody), deadline: uploadLimit}
		ended := make(chan outcome, 1)
		go func() { ended <- send(deployment.clientsAddress(machine), task) }()
		select {
		case <-began:
		case seen := <-ended:
			deployment.record.printf("client: %s never came to the backend: status %d, error %v", task.id, seen.status, seen.err)
			continue
		}
		time.Sleep(termDelay)
		deployment.record.printf("platform: SIGTERM to %s, %v after the backend began to work on %s", machine.name, termDelay, task.id)
		if err := machine.command.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		seen := <-ended
		deployment.record.printf("client: %s, %d bytes sent: status %d, sealed %v, error %v, %q, after %v",
			task.id, len(task.body), seen.status, seen.sealed, seen.err, seen.body, seen.took.Round(time.Millisecond))
		read, err := raw.exchange(task.id).await(uploadLimit)
		deployment.record.printf("backend: %s: %d of %d bytes of its body came, error %v", task.id, read, slowBody, err)
		if !seen.sealed {
			broken++
		}
	}
	deployment.record.printf("%d of %d requests were broken off after SIGTERM while their backend worked on them", broken, slowTries)
	return broken > 0, nil
}
