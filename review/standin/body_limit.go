package main

import (
	"bytes"
	"math"
	"net/http"
	"time"
)

const (
	limitTries = 5
	limitBody  = 2000
	// applyTime is apply_ms of the settings.
	applyTime = 4 * time.Second
	// shownLimit is what the pages show as the longest body, in bytes, and the first configuration has.
	shownLimit int64 = 67108864
)

// runBodyLimit changes the configuration once, while clients post short bodies before it and after
// it. In the trouble the change lets bodies be as long as a number of 64 bits says, which is how many
// languages write "no limit"; else it leaves the limit as it was. The rule is broken if a backend
// runs a request whose body is not the one that the client sent.
func runBodyLimit(deployment *deployment, trouble bool) (bool, error) {
	listed, raw, err := newRawBackend("i-limit", zones[0], func(exchange *rawExchange) {
		exchange.readBody(math.MaxInt64)
		if err := exchange.answer(); err != nil {
			deployment.record.printf("backend: answer to %s: %v", exchange.id, err)
		}
	})
	if err != nil {
		return false, err
	}
	deployment.backends = []*backend{listed}
	if err := deployment.begin(1); err != nil {
		return false, err
	}
	broken := postShortBodies(deployment, raw, "before the change")
	limit := shownLimit
	if trouble {
		limit = math.MaxInt64
	}
	change, err := deployment.wire.fill("change.json.tmpl", limit)
	if err != nil {
		return false, err
	}
	status := 0
	for until := time.Now().Add(applyTime); status != http.StatusOK && time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		var text string
		status, text = deployment.put(deployment.machines[0], string(change))
		deployment.record.printf("operator: r2 on r1, bodies of %d bytes at most: status %d %s", limit, status, text)
	}
	time.Sleep(applyTime + time.Second)
	broken += postShortBodies(deployment, raw, "after the change")
	deployment.record.printf("%d of %d requests ran with another body than the client's", broken, 2*limitTries)
	return broken > 0, nil
}

// postShortBodies posts some bodies and returns how many the backend ran with another one.
func postShortBodies(deployment *deployment, raw *rawBackend, when string) int {
	proxy := deployment.clientsAddress(deployment.proxies()[0])
	changed := 0
	for range limitTries {
		body := bytes.Repeat([]byte("credit "), limitBody/len("credit "))
		task := &task{method: http.MethodPost, path: "/credit/limit", id: newID(), body: body, deadline: uploadLimit}
		seen := send(proxy, task)
		deployment.record.printf("client: %s %s, %d bytes sent: status %d, sealed %v, error %v",
			task.id, when, len(body), seen.status, seen.sealed, seen.err)
		exchange := raw.exchange(task.id)
		if exchange == nil {
			continue
		}
		read, err := exchange.await(uploadLimit)
		deployment.record.printf("backend: %s ran with a body of %d bytes, error %v", task.id, read, err)
		if read != int64(len(body)) {
			changed++
		}
	}
	return changed
}
