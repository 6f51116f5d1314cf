package serviceproxy

import (
	"errors"
	"net/http"
	"time"

	"orchidjunction/rpc"
)

// minTimeToSend is the least time before a task's deadline that makes another send
// worth while.
const minTimeToSend = 5 * time.Millisecond

// send admits the task and has it answered by a backend.
func (task *task) send() error {
	if err := task.checkLeaving(); err != nil {
		return err
	}
	if lend := task.proxy.lending; lend != nil {
		if err := lend.Acquire(); err != nil {
			return err
		}
		defer lend.Release()
	}
	if err := task.proxy.admission.Admit(task.route.Class, task.plan.usage(task.route.Service)); err != nil {
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
	return task.sendUntilAnswered()
}

// sendUntilAnswered picks a backend and sends until a response is whole, or another send
// is unsafe, out of budget or out of time. A task whose backend was withdrawn before it was
// sent goes to another with the attempt and the budget that it has.
func (task *task) sendUntilAnswered() error {
	var last error = &rpc.Error{Code: rpc.NoBackend, Message: "no backend can take this now", RetryAfterMs: retryAfterMs, Outcome: rpc.NotRun}
	mayRun := false
	for sends, isPaid := 0, false; sends < task.route.Attempts; {
		target, found := task.nextTarget(sends > 0, isPaid)
		if !found {
			break
		}
		response, ran, err := task.sendTo(target)
		if isPaid = errors.Is(err, errWithdrawn); isPaid {
			task.proxy.counters.Add("sends_taken_back", 1)
			continue
		}
		sends++
		task.sent = task.sent || ran
		if ran && !mayRun {
			task.proxy.usage.Add(task.plan.routes.TenantName(task.tenant), 1)
		}
		if err == nil {
			task.response = response
			return nil
		}
		task.proxy.counters.Add("sends_"+string(rpc.CodeOf(err)), 1)
		last, mayRun = err, mayRun || ran
		if !task.maySendAgain(ran) {
			break
		}
	}
	return task.final(last, mayRun)
}

// nextTarget picks a backend that was not tried; a resend needs the retry budget, unless
// that was asked already.
func (task *task) nextTarget(resend, isPaid bool) (*Target, bool) {
	if resend && !isPaid && !task.proxy.budget.allow() {
		task.proxy.counters.Add("resends_refused", 1)
		return nil, false
	}
	target, found := task.plan.pickBackend(task.route, task.tenant, task.tried)
	if !found {
		return nil, false
	}
	task.tried[target] = true
	task.state.advance(Assigned)
	if isPaid {
		return target, true
	}
	if resend {
		task.proxy.counters.Add("resends", 1)
	} else {
		task.proxy.budget.recordSend()
	}
	return target, true
}

// maySendAgain is whether another send is safe and in time after one that failed; ran is
// whether that one may have run at the backend.
func (task *task) maySendAgain(ran bool) bool {
	method := task.request.Method
	readsOnly := method == http.MethodGet || method == http.MethodHead
	if ran && (task.route.KeyRequired || !readsOnly) {
		return false
	}
	return time.Until(task.deadline) >= minTimeToSend && task.request.Context().Err() == nil
}

// final never says 503 of a task that may have run.
func (task *task) final(last error, mayRun bool) error {
	final := *rpc.AsError(last)
	final.Outcome = rpc.NotRun
	if mayRun {
		final.Outcome = rpc.MayHaveRun
		if final.Code.Status() == http.StatusServiceUnavailable {
			final.Code, final.RetryAfterMs = rpc.OutcomeUnknown, 0
		}
		return &final
	}
	if final.Code != rpc.DeadlineExceeded {
		final.Message = string(final.Code) + ": " + final.Message
		final.Code, final.RetryAfterMs = rpc.NoBackend, retryAfterMs
	}
	return &final
}
