package serviceproxy

import (
	"errors"
	"net/http"
	"time"

	"orchidjunction/rpc"
)

// minTimeToSend is the least time before a task's deadline that makes another send
// worth while.
const minRetryTime = 5 * time.Millisecond

// send admits the task and has it answered by a backend.
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
			Message:      "this task just failed here and the budget for retries is used up",
			RetryAfterMs: retryAfterMs,
			Outcome:      rpc.NotRun,
		}
	}
	return task.sendWithRetries()
}

// sendUntilAnswered picks a backend and sends until a response is whole, or another send
// is unsafe, out of budget or out of time. A task whose backend was withdrawn before it was
// sent goes to another with the attempt and the budget that it has.
func (task *task) sendWithRetries() error {
	var lastErr error = &rpc.Error{Code: rpc.NoBackend, Message: "no backend can take this now", RetryAfterMs: retryAfterMs, Outcome: rpc.NotRun}
	mayHaveRun := false
	for sends, charged := 0, false; sends < task.route.Attempts; {
		target, found := task.pickTarget(sends > 0, charged)
		if !found {
			break
		}
		response, maybeRan, err := task.sendTo(target)
		if charged = errors.Is(err, errWithdrawn); charged {
			task.proxy.counters.Add("sends_taken_back", 1)
			continue
		}
		sends++
		task.sent = task.sent || maybeRan
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

// nextTarget picks a backend that was not tried; a resend needs the retry budget, unless
// that was asked already.
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

// maySendAgain is whether another send is safe and in time after one that failed; ran is
// whether that one may have run at the backend.
func (task *task) canRetry(maybeRan bool) bool {
	method := task.request.Method
	readsOnly := method == http.MethodGet || method == http.MethodHead
	if maybeRan && (task.route.KeyRequired || !readsOnly) {
		return false
	}
	return time.Until(task.deadline) >= minRetryTime && task.request.Context().Err() == nil
}

// final never says 503 of a task that may have run.
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
