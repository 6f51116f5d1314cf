package serviceproxy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// maxKeyLength bounds an idempotency key, in bytes.
const maxKeyLength = 200

// sendOnce sends a request once for its idempotency key; later ones get its response.
func (task *task) sendOnce() error {
	key := task.request.Header.Get(keyHeader)
	if key == "" || len(key) > maxKeyLength {
		return rpc.Errorf(rpc.KeyRequired, "want %s of 1 to %d letters", keyHeader, maxKeyLength)
	}
	sum := sha256.Sum256(append([]byte(fmt.Sprintf("%s %s?%s\n", task.request.Method, task.path, task.request.URL.RawQuery)), task.body...))
	claimed := message.ClaimRecord{
		Key: message.ClaimKey{Tenant: task.plan.routes.TenantName(task.tenant), Service: task.route.Service, Key: key},
		ID:  task.id, Digest: hex.EncodeToString(sum[:]), Holder: task.proxy.claims.holder(), Stage: message.ClaimRunning,
	}
	held, err := task.proxy.claims.claim(claimed)
	if err != nil {
		return err
	}
	task.state.advance(KeyClaimed)
	if held != nil {
		return task.replay(held)
	}
	err = task.send()
	task.proxy.claims.finish(claimed, task.response, err)
	return err
}

// replay returns the recorded response of the key's one send.
func (task *task) replay(held *message.ClaimRecord) error {
	if held.Stage != message.ClaimCompleted || held.Status == 0 {
		return &rpc.Error{Code: rpc.OutcomeUnknown, Message: "this key was sent before and its answer is not here", Outcome: rpc.MayHaveRun}
	}
	task.response, task.replayed = &Response{
		status: held.Status,
		header: http.Header{},
		body:   held.Body,
		length: int64(len(held.Body)),
	}, true
	for name, value := range held.Header {
		task.response.header.Set(name, value)
	}
	task.proxy.counters.Add("replays", 1)
	task.state.advance(Replayed)
	return nil
}
