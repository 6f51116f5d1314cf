package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const clientDeadline = 4 * time.Second

// answer is what a client got for a request: a status with the backend's seal, or an error.
type answer struct {
	id     string
	status int
	seal   string
	body   string
	err    error
}

func (answer answer) String() string {
	if answer.err != nil {
		return fmt.Sprintf("no complete answer: %v", answer.err)
	}
	return fmt.Sprintf("%d with seal %q and body %q", answer.status, answer.seal, answer.body)
}

// isOf reports whether the answer is the backend's.
func (answer answer) isOf(id string) bool {
	return answer.err == nil && answer.status == http.StatusOK && answer.seal == "seal-"+id && answer.body == answerBody(id)
}

// post sends a request on the route whose requests run at most once to a proxy, on a connection of its own.
func (system *deployment) post(proxy *machine) answer {
	result := answer{id: fmt.Sprintf("%016x", rand.Uint64())}
	system.record.note("client: %s is sent to %s", result.id, proxy.name)
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	url := "http://" + system.port(proxy.address, portClients) + "/pufi791/2f"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("credit "+result.id))
	if err != nil {
		result.err = err
		return result
	}
	request.Host = host
	request.Header.Set(names.Attempt, result.id)
	request.Header.Set(names.Deadline, fmt.Sprint(clientDeadline.Milliseconds()))
	request.Header.Set("Authorization", "Token "+apiKey)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		result.err = err
		return result
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	result.status, result.body, result.err = response.StatusCode, string(body), err
	result.seal = response.Header.Get(names.Seal)
	return result
}
