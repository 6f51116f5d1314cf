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
	callTimeout   = time.Second
	retryInterval = 100 * time.Millisecond
)

// operator sends orders to random cores.
type operator struct {
	random *rand.Rand
	cores  []*machine
	client *http.Client
	wire   *wireFormat
}

func newOperator(random *rand.Rand, cores []*machine, wire *wireFormat) *operator {
	return &operator{random: random, cores: cores, wire: wire, client: &http.Client{Timeout: callTimeout}}
}

// call sends a request to a random core; a status of 0 means no response.
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

// sendUntilAnswered retries an order until ctx ends or the status, which it returns, is final:
// not 0, 408, 429 or 5xx.
func (operator *operator) sendUntilAnswered(ctx context.Context, method, path string, body []byte) int {
	status := 0
	for ctx.Err() == nil {
		status, _ = operator.call(ctx, method, path, body)
		if status == http.StatusOK || status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
			status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status
		}
		sleep(ctx, retryInterval)
	}
	return status
}

// configure sends a configuration until it gets a final answer.
func (operator *operator) configure(ctx context.Context, values configuration) (int, error) {
	body, err := operator.wire.render("configuration.json.tmpl", values)
	if err != nil {
		return 0, err
	}
	return operator.sendUntilAnswered(ctx, http.MethodPut, "/config", body), nil
}

// rolloutStatus is the part of a rollout's status that the soak uses.
type rolloutStatus struct {
	State string `json:"state"`
}

// Final states of a rollout.
const (
	stateComplete = "complete"
	stateReverted = "reverted"
)

// rolloutState reads the state of a service's rollout, empty if there is no answer.
func (operator *operator) rolloutState(ctx context.Context, service string) string {
	status, body := operator.call(ctx, http.MethodGet, "/rollouts/"+service, nil)
	rollout := rolloutStatus{}
	if status != http.StatusOK || json.Unmarshal(body, &rollout) != nil {
		return ""
	}
	return rollout.State
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
