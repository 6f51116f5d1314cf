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
		target.leave()
		return nil, false, errWithdrawn
	}
	if err != nil {
		target.leave()
		return nil, false, err
	}
	// The caller's going away does not cut a send short: what it did must be known.
	ctx, cancel := context.WithDeadline(context.Background(), task.deadline)
	sending := &attempt{task: task, target: target, connection: connection, incarnation: incarnation, cancel: cancel}
	request, err := task.outgoing(ctx, target.backend().Address)
	if err != nil {
		sending.giveBack(nil)
		return nil, false, rpc.Errorf(rpc.BadRequest, "%v", err)
	}
	task.state.advance(Sent)
	response, ran, err := connection.send(request)
	if err != nil {
		sending.discard()
		return nil, ran, sending.failure(ran, err)
	}
	return sending.receive(response)
}

// isWithdrawn is whether a target may be sent nothing by what is in force now, which may be
// newer than the task's plan.
func (task *task) isWithdrawn(target *Target) bool {
	routes, backend := task.proxy.plan.Load().routes, target.backend()
	return target.isWithdrawn() || routes.drained[backend.Zone] || routes.gone[backend.Name]
}

// giveBack ends the attempt and keeps its connection for another. It closes the rest of a
// response that was streamed, if there is one.
func (sending *attempt) giveBack(rest io.ReadCloser) {
	sending.cancel()
	sending.target.leave()
	if rest != nil {
		rest.Close()
	}
	sending.target.giveBack(sending.connection, sending.incarnation, sending.task.route.IdleConnections)
}

// discard ends the attempt and closes its connection.
func (sending *attempt) discard() {
	sending.cancel()
	sending.target.leave()
	sending.connection.close()
}

// failure is the error of a send that broke off. One before the deadline counts against
// the target.
func (sending *attempt) failure(ran bool, cause error) error {
	if !time.Now().Before(sending.task.deadline) {
		return rpc.Errorf(rpc.DeadlineExceeded, "no answer within the limit")
	}
	code := rpc.ConnectionBroken
	if ran {
		code = rpc.BadResponse
	}
	err := rpc.Errorf(code, "%v", cause)
	sending.target.failed(err)
	return err
}

// receive reads the response as far as it is kept in memory. The attempt of one that is
// still streaming ends with the task.
func (sending *attempt) receive(response *http.Response) (*Response, bool, error) {
	task := sending.task
	task.state.advance(Receiving)
	sending.target.learnFromResponse(sending.incarnation, func(identity *Identity) { identity.fromResponse(response.Header) })
	if serial, err := strconv.ParseUint(response.Header.Get("Oj-Serial"), 10, 64); err == nil {
		task.proxy.daemon.ObserveSerial(serial)
	}
	receipt, err := readResponse(response, task.id, task.route.ResponseBytes, task.route.KeyRequired)
	if err != nil {
		sending.discard()
		if !time.Now().Before(task.deadline) {
			err = rpc.Errorf(rpc.DeadlineExceeded, "%s", rpc.AsError(err).Message)
		}
		return nil, true, err
	}
	if receipt.rest != nil {
		task.finish = func() { sending.giveBack(receipt.rest) }
		return receipt, true, nil
	}
	if receipt.status == http.StatusServiceUnavailable || receipt.status == http.StatusTooManyRequests {
		sending.giveBack(nil)
		return nil, receipt.header.Get("Oj-Not-Run") != "true", busyError(receipt)
	}
	response.Body.Close()
	sending.giveBack(nil)
	return receipt, true, nil
}

// busyError is the error of a backend's response that it is busy.
func busyError(receipt *Response) error {
	if receipt.header.Get("Oj-Not-Run") == "true" {
		return &rpc.Error{Code: rpc.Overloaded, Message: "the backend is busy", RetryAfterMs: retryAfterMs}
	}
	return &rpc.Error{Code: rpc.OutcomeUnknown, Message: fmt.Sprintf("the backend said %d and not whether it ran", receipt.status)}
}

// outgoing is the request that a backend gets for the task.
func (task *task) outgoing(ctx context.Context, address string) (*http.Request, error) {
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
	for _, name := range append(hopHeaders, "Authorization", "Accept-Encoding", limitHeader) {
		request.Header.Del(name)
	}
	for name, value := range map[string]string{
		"Oj-Task": task.id, "Oj-Tenant": task.plan.routes.TenantName(task.tenant), "Oj-Class": task.route.Class,
		"Oj-Service": task.route.Service, "Oj-Serial": strconv.FormatUint(task.plan.routes.Serial, 10),
		limitHeader: strconv.FormatInt(max(time.Until(task.deadline).Milliseconds(), 1), 10),
	} {
		request.Header.Set(name, value)
	}
	return request, nil
}
