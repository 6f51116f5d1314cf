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

// attempt is one send of a task over one connection. Its end gives back, once, what it
// took: the place at the target and the time limit.
type attempt struct {
	task        *task
	target      *Target
	connection  *BackendConn
	incarnation string
	cancel      context.CancelFunc
}

// errWithdrawn is why a task was not sent to a target that was withdrawn since it was picked.
var errWithdrawn = errors.New("the backend was withdrawn before the task was sent")

// sendTo sends the task to one target. It returns the target's response and whether the
// task may have run there; errWithdrawn if the target may get nothing any more.
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
	// The caller's going away does not cut a send short: what it did must be known.
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

// isWithdrawn is whether a target may be sent nothing by what is in force now, which may be
// newer than the task's plan.
func (task *task) isWithdrawn(target *Target) bool {
	routes, backend := task.proxy.plan.Load().routes, target.backend()
	return target.isWithdrawn() || routes.drainedZones[backend.Zone] || routes.drainedBackends[backend.Name]
}

// giveBack ends the attempt and keeps its connection for another. It closes the rest of a
// response that was streamed, if there is one.
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

// failure is the error of a send that broke off. One before the deadline counts against
// the target.
func (attempt *attempt) sendError(maybeRan bool, cause error) error {
	if !time.Now().Before(attempt.task.deadline) {
		return rpc.Errorf(rpc.DeadlineExceeded, "no answer within the limit")
	}
	code := rpc.ConnectionBroken
	if maybeRan {
		code = rpc.BadResponse
	}
	err := rpc.Errorf(code, "%v", cause)
	attempt.target.recordFailure(err)
	return err
}

// receive reads the response as far as it is kept in memory. The attempt of one that is
// still streaming ends with the task.
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
		task.finish = func() { attempt.release(result.rest) }
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

// busyError is the error of a backend's response that it is busy.
func busyError(response *Response) error {
	if response.header.Get("Oj-Not-Run") == "true" {
		return &rpc.Error{Code: rpc.Overloaded, Message: "the backend is busy", RetryAfterMs: retryAfterMs}
	}
	return &rpc.Error{Code: rpc.OutcomeUnknown, Message: fmt.Sprintf("the backend said %d and not whether it ran", response.status)}
}

// outgoing is the request that a backend gets for the task.
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
