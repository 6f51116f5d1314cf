package main

import (
	"math"
	"net/http"
	"time"
)

const (
	earlyTries  = 5
	earlyBody   = 16 << 20
	uploadLimit = 4 * time.Second
)

// runEarlyAnswer has clients post long bodies on a route whose requests may not be repeated. In the
// trouble the backend answers as soon as it has read the head, keeps the connection and reads on at
// full speed; else it reads the body first. The rule is broken if a client gets a success and the
// backend never gets the whole body.
func runEarlyAnswer(deployment *deployment, trouble bool) (bool, error) {
	listed, raw, err := newRawBackend("i-early", zones[0], func(exchange *rawExchange) {
		if !trouble {
			exchange.readBody(math.MaxInt64)
		}
		if err := exchange.answer(); err != nil {
			deployment.record.printf("backend: answer to %s: %v", exchange.id, err)
		}
		exchange.readBody(math.MaxInt64)
	})
	if err != nil {
		return false, err
	}
	deployment.backends = []*backend{listed}
	if err := deployment.begin(1); err != nil {
		return false, err
	}
	proxy := deployment.clientsAddress(deployment.proxies()[0])
	broken := 0
	for range earlyTries {
		task := &task{method: http.MethodPost, path: "/credit/early", id: newID(), body: make([]byte, earlyBody), deadline: uploadLimit}
		seen := send(proxy, task)
		deployment.record.printf("client: %s, %d bytes sent: status %d, sealed %v, error %v, after %v",
			task.id, len(task.body), seen.status, seen.sealed, seen.err, seen.took.Round(time.Millisecond))
		exchange := raw.exchange(task.id)
		if exchange == nil {
			deployment.record.printf("backend: %s never came", task.id)
			continue
		}
		read, err := exchange.await(uploadLimit)
		deployment.record.printf("backend: %s ran; %d of %d bytes of its body came, error %v", task.id, read, exchange.size, err)
		if seen.status == http.StatusOK && seen.sealed && read < exchange.size {
			broken++
		}
	}
	deployment.record.printf("%d of %d requests were acknowledged, and ran with a body that was cut", broken, earlyTries)
	return broken > 0, nil
}
