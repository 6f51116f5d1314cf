package serviceproxy

import (
	"errors"
	"net/http"
	"time"

	"orchidjunction/rpc"
)

// minRetryTime is the minimum time left before a task's deadline for a retry.
const minRetryTime = 5 * time.Millisecond

// send admits the task and sends it to a backend.
func (task *task) send() error {
	if err := task.checkDraining(); err != nil {
		return err
	}
	if limit := task.proxy.lending; limit != nil {
		if err := limit.Acquire(); err != nil {
			return err
		}
		defer limit.Release()
	}
	if err := task.proxy.admission.Admit(task.route.Class, task.plan.utilization(task.route.Service)); err != nil {
		return err
	}
	if task.proxy.retries.isRetry(task.fingerprint) && !task.proxy.budget.allow() {
		task.proxy.counters.Add("quick_retries_refused", 1)
		return &rpc.Error{
			Code:         rpc.Overloaded,
			Message:      "this request failed here within the last second and the retry budget is exhausted",
			RetryAfterMs: retryAfterMs,
			Outcome:      rpc.NotRun,
		}
	}
	return task.sendWithRetries()
}

// sendWithRetries sends the task to backends until a response is complete, or a retry is unsafe,
// over budget or too late. If a backend is withdrawn before the send, another one gets the task
// without a further attempt or retry token.
func (task *task) sendWithRetries() error {
	var lastErr error = &rpc.Error{Code: rpc.NoBackend, Message: "no backend is available", RetryAfterMs: retryAfterMs, Outcome: rpc.NotRun}
	mayHaveRun := false
	for attempts, charged := 0, false; attempts < task.route.Attempts; {
		target, found := task.pickTarget(attempts > 0, charged)
		if !found {
			break
		}
		response, maybeRan, err := task.sendTo(target)
		if charged = errors.Is(err, errWithdrawn); charged {
			task.proxy.counters.Add("sends_taken_back", 1)
			continue
		}
		attempts++
		task.maybeRan = task.maybeRan || maybeRan
		if maybeRan && !mayHaveRun {
			task.proxy.usage.Add(task.plan.routes.TenantName(task.tenant), 1)
		}
		if err == nil {
			task.response = response
			return nil
		}
		task.proxy.counters.Add("sends_"+string(rpc.CodeOf(err)), 1)
		lastErr, mayHaveRun = err, mayHaveRun || maybeRan
		if !task.canRetry(maybeRan) {
			break
		}
	}
	return task.finalError(lastErr, mayHaveRun)
}

// pickTarget picks a backend that was not tried yet. A retry takes a token of the retry budget,
// unless the attempt was charged already.
func (task *task) pickTarget(retry, charged bool) (*Target, bool) {
	if retry && !charged && !task.proxy.budget.allow() {
		task.proxy.counters.Add("resends_refused", 1)
		return nil, false
	}
	target, found := task.plan.pickBackend(task.route, task.tenant, task.tried)
	if !found {
		return nil, false
	}
	task.tried[target] = true
	task.state.advance(Assigned)
	if charged {
		return target, true
	}
	if retry {
		task.proxy.counters.Add("resends", 1)
	} else {
		task.proxy.budget.recordSend()
	}
	return target, true
}

// canRetry reports whether a failed send can be retried safely and in time. maybeRan says that the
// task may have run at the backend.
func (task *task) canRetry(maybeRan bool) bool {
	method := task.request.Method
	readsOnly := method == http.MethodGet || method == http.MethodHead
	if maybeRan && (task.route.KeyRequired || !readsOnly) {
		return false
	}
	return time.Until(task.deadline) >= minRetryTime && task.request.Context().Err() == nil
}

// finalError returns the error for the caller. It is never 503 for a task that may have run.
func (task *task) finalError(lastErr error, mayHaveRun bool) error {
	result := *rpc.AsError(lastErr)
	result.Outcome = rpc.NotRun
	if mayHaveRun {
		result.Outcome = rpc.MayHaveRun
		if result.Code.Status() == http.StatusServiceUnavailable {
			result.Code, result.RetryAfterMs = rpc.OutcomeUnknown, 0
		}
		return &result
	}
	if result.Code != rpc.DeadlineExceeded {
		result.Message = string(result.Code) + ": " + result.Message
		result.Code, result.RetryAfterMs = rpc.NoBackend, retryAfterMs
	}
	return &result
}
