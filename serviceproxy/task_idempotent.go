package serviceproxy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// maxKeyLength is the maximum length of an idempotency key in bytes.
const maxKeyLength = 200

// sendOnce sends at most one request per idempotency key and replays its response to later ones.
func (task *task) sendOnce() error {
	key := task.request.Header.Get(keyHeader)
	if key == "" || len(key) > maxKeyLength {
		return rpc.Errorf(rpc.KeyRequired, "%s must have 1 to %d bytes", keyHeader, maxKeyLength)
	}
	digest := sha256.Sum256(
		append([]byte(fmt.Sprintf("%s %s?%s\n", task.request.Method, task.path, task.request.URL.RawQuery)), task.body...),
	)
	record := message.ClaimRecord{
		Key: message.ClaimKey{Tenant: task.plan.routes.TenantName(task.tenant), Service: task.route.Service, Key: key},
		ID:  task.id, Digest: hex.EncodeToString(digest[:]), Holder: task.proxy.claims.holder(), Stage: message.ClaimRunning,
	}
	existing, err := task.proxy.claims.claim(record)
	if err != nil {
		return err
	}
	task.state.advance(KeyClaimed)
	if existing != nil {
		return task.replay(existing)
	}
	err = task.send()
	task.proxy.claims.finish(record, task.response, err)
	return err
}

// replay answers with the response recorded for the key.
func (task *task) replay(existing *message.ClaimRecord) error {
	if existing.Stage != message.ClaimCompleted || existing.Status == 0 {
		return &rpc.Error{
			Code:    rpc.OutcomeUnknown,
			Message: "a request with this key was sent before, but its response is not recorded",
			Outcome: rpc.MayHaveRun,
		}
	}
	task.response, task.replayed = &Response{
		status: existing.Status,
		header: http.Header{},
		body:   existing.Body,
		length: int64(len(existing.Body)),
	}, true
	for name, value := range existing.Header {
		task.response.header.Set(name, value)
	}
	task.proxy.counters.Add("replays", 1)
	task.state.advance(Replayed)
	return nil
}
