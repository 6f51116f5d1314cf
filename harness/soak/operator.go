package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	callTimeout = time.Second
	orderPause  = 100 * time.Millisecond
)

// operator sends orders to the cores, each until it is answered, at any core.
type operator struct {
	random *rand.Rand
	cores  []*machine
	client *http.Client
	wire   *wire
}

func newOperator(random *rand.Rand, cores []*machine, wire *wire) *operator {
	return &operator{random: random, cores: cores, wire: wire, client: &http.Client{Timeout: callTimeout}}
}

// call sends a request to a random core; a status of 0 is no answer.
func (operator *operator) call(ctx context.Context, method, path string, body []byte) (int, []byte) {
	core := operator.cores[operator.random.IntN(len(operator.cores))]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+core.operatorsAddress()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := operator.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// order sends an order until it is answered for good or ctx ends, and returns the status of
// the last answer.
func (operator *operator) order(ctx context.Context, method, path string, body []byte) int {
	status := 0
	for ctx.Err() == nil {
		status, _ = operator.call(ctx, method, path, body)
		if status == http.StatusOK || status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
			status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status
		}
		sleep(ctx, orderPause)
	}
	return status
}

// configure sends a configuration until it is answered for good.
func (operator *operator) configure(ctx context.Context, values configuration) (int, error) {
	body, err := operator.wire.render("configuration.json.tmpl", values)
	if err != nil {
		return 0, err
	}
	return operator.order(ctx, http.MethodPut, "/config", body), nil
}

// rolloutStatus is where a roll-out stands, as the operator reads it.
type rolloutStatus struct {
	State string `json:"state"`
}

// States of a roll-out.
const (
	stateComplete = "complete"
	stateReverted = "reverted"
)

// rolloutState reads where a service's roll-out stands, empty if there is no answer.
func (operator *operator) rolloutState(ctx context.Context, service string) string {
	status, body := operator.call(ctx, http.MethodGet, "/rollouts/"+service, nil)
	read := rolloutStatus{}
	if status != http.StatusOK || json.Unmarshal(body, &read) != nil {
		return ""
	}
	return read.State
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
