package serviceproxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"orchidjunction/rpc"
)

// attempt is one send of a task over one connection. It ends once, by release or discard, which
// free its in-flight slot and context.
type attempt struct {
	task        *task
	target      *Target
	connection  *BackendConn
	incarnation string
	cancel      context.CancelFunc
}

// errWithdrawn means that the target was withdrawn between its choice and the send.
var errWithdrawn = errors.New("the backend was withdrawn before the task was sent")

// sendTo sends the task to one target. It returns the target's response and whether the task may
// have run there, or errWithdrawn if the target was withdrawn.
func (task *task) sendTo(target *Target) (*Response, bool, error) {
	connection, incarnation, err := target.connection(task.deadline)
	if task.isWithdrawn(target) {
		if err == nil {
			connection.close()
		}
		target.release()
		return nil, false, errWithdrawn
	}
	if err != nil {
		target.release()
		return nil, false, err
	}
	// A caller that disconnects does not cancel the send, because its outcome must be known.
	ctx, cancel := context.WithDeadline(context.Background(), task.deadline)
	attempt := &attempt{task: task, target: target, connection: connection, incarnation: incarnation, cancel: cancel}
	request, err := task.backendRequest(ctx, target.backend().Address)
	if err != nil {
		attempt.release(nil)
		return nil, false, rpc.Errorf(rpc.BadRequest, "%v", err)
	}
	task.state.advance(Sent)
	response, maybeRan, err := connection.send(request)
	if err != nil {
		attempt.discard()
		return nil, maybeRan, attempt.sendError(maybeRan, err)
	}
	return attempt.receive(response)
}

// isWithdrawn reports whether a target must get no requests by the current plan, which may be
// newer than the task's.
func (task *task) isWithdrawn(target *Target) bool {
	routes, backend := task.proxy.plan.Load().routes, target.backend()
	return target.isWithdrawn() || routes.drainedZones[backend.Zone] || routes.drainedBackends[backend.Name]
}

// release ends the attempt and returns its connection for reuse. It closes the rest of a streamed
// response, if any.
func (attempt *attempt) release(rest io.ReadCloser) {
	attempt.cancel()
	attempt.target.release()
	if rest != nil {
		rest.Close()
	}
	attempt.target.returnConnection(attempt.connection, attempt.incarnation, attempt.task.route.IdleConnections)
}

// discard ends the attempt and closes its connection.
func (attempt *attempt) discard() {
	attempt.cancel()
	attempt.target.release()
	attempt.connection.close()
}

// sendError returns the error of a failed send. A failure before the deadline counts against the
// target.
func (attempt *attempt) sendError(maybeRan bool, cause error) error {
	if !time.Now().Before(attempt.task.deadline) {
		return rpc.Errorf(rpc.DeadlineExceeded, "no response before the deadline")
	}
	code := rpc.ConnectionBroken
	if maybeRan {
		code = rpc.BadResponse
	}
	err := rpc.Errorf(code, "%v", cause)
	attempt.target.recordFailure(err)
	return err
}

// receive reads the part of the response that is kept in memory. If the rest is streamed, the
// attempt ends with the task.
func (attempt *attempt) receive(response *http.Response) (*Response, bool, error) {
	task := attempt.task
	task.state.advance(Receiving)
	attempt.target.updateFromResponse(attempt.incarnation, func(identity *Identity) { identity.updateFromHeader(response.Header) })
	if serial, err := strconv.ParseUint(response.Header.Get("Oj-Serial"), 10, 64); err == nil {
		task.proxy.daemon.ObserveSerial(serial)
	}
	result, err := readResponse(response, task.id, task.route.ResponseBytes, task.route.KeyRequired)
	if err != nil {
		attempt.discard()
		if !time.Now().Before(task.deadline) {
			err = rpc.Errorf(rpc.DeadlineExceeded, "%s", rpc.AsError(err).Message)
		}
		return nil, true, err
	}
	if result.rest != nil {
		task.cleanup = func() { attempt.release(result.rest) }
		return result, true, nil
	}
	if result.status == http.StatusServiceUnavailable || result.status == http.StatusTooManyRequests {
		attempt.release(nil)
		return nil, result.header.Get("Oj-Not-Run") != "true", busyError(result)
	}
	response.Body.Close()
	attempt.release(nil)
	return result, true, nil
}

// busyError returns the error for a backend's 429 or 503 response.
func busyError(response *Response) error {
	if response.header.Get("Oj-Not-Run") == "true" {
		return &rpc.Error{Code: rpc.Overloaded, Message: "the backend is busy", RetryAfterMs: retryAfterMs}
	}
	return &rpc.Error{
		Code:    rpc.OutcomeUnknown,
		Message: fmt.Sprintf("the backend returned status %d without saying whether the request ran", response.status),
	}
}

// backendRequest builds the request that is sent to a backend for the task.
func (task *task) backendRequest(ctx context.Context, address string) (*http.Request, error) {
	url := "http://" + address + task.path
	if query := task.request.URL.RawQuery; query != "" {
		url += "?" + query
	}
	request, err := http.NewRequestWithContext(ctx, task.request.Method, url, bytes.NewReader(task.body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	for name, values := range task.request.Header {
		request.Header[name] = append([]string{}, values...)
	}
	for _, name := range append(hopByHopHeaders, "Authorization", "Accept-Encoding", timeoutHeader) {
		request.Header.Del(name)
	}
	for name, value := range map[string]string{
		"Oj-Task": task.id, "Oj-Tenant": task.plan.routes.TenantName(task.tenant), "Oj-Class": task.route.Class,
		"Oj-Service": task.route.Service, "Oj-Serial": strconv.FormatUint(task.plan.routes.Serial, 10),
		timeoutHeader: strconv.FormatInt(max(time.Until(task.deadline).Milliseconds(), 1), 10),
	} {
		request.Header.Set(name, value)
	}
	return request, nil
}
