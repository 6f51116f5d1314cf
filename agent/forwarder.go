package agent

import (
	"context"
	"sync"
	"time"

	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

const (
	queueCapacity = 64
	// responseMargin is the part of the response time-out reserved for the call itself.
	responseMargin         = 70 * time.Millisecond
	defaultResponseTimeout = 950 * time.Millisecond
	defaultAttemptTimeout  = 350 * time.Millisecond
	// retryAfterMs is the retry delay returned when there was no leader, in milliseconds.
	retryAfterMs = 500
)

// ForwardLimits are the time-outs of a forwarded request: Response in total, Attempt for each
// attempt. Zero selects the default.
type ForwardLimits struct {
	Response time.Duration
	Attempt  time.Duration
}

// Forwarder sends requests to the leader. While there is no leader it queues requests, bounded
// in number and time, and sends them to the next leader. It is safe for concurrent use.
type Forwarder struct {
	finder          *LeaderFinder
	client          *rpc.Client
	counters        *metrics.Counters
	capacity        int
	responseTimeout time.Duration
	attemptTimeout  time.Duration
	localLeader     func() message.Leader

	mutex  sync.Mutex
	queued int
}

// NewForwarder returns a Forwarder with default limits.
func NewForwarder(finder *LeaderFinder, client *rpc.Client, counters *metrics.Counters) *Forwarder {
	return &Forwarder{
		finder:          finder,
		client:          client,
		counters:        counters,
		capacity:        queueCapacity,
		responseTimeout: defaultResponseTimeout,
		attemptTimeout:  defaultAttemptTimeout,
	}
}

// WithLimits sets the limits that are positive, and returns the forwarder.
func (forwarder *Forwarder) WithLimits(limits ForwardLimits) *Forwarder {
	if limits.Response > 0 {
		forwarder.responseTimeout = limits.Response
	}
	if limits.Attempt > 0 {
		forwarder.attemptTimeout = limits.Attempt
	}
	return forwarder
}

// SetLocalLeader sets the source of a core's own view of the leader, which is newer than the
// finder's: the finder learns of a new leader only by querying.
func (forwarder *Forwarder) SetLocalLeader(localLeader func() message.Leader) {
	forwarder.localLeader = localLeader
}

// syncLeader updates the finder from the local view of the leader.
func (forwarder *Forwarder) syncLeader() {
	if forwarder.localLeader == nil {
		return
	}
	if leader := forwarder.localLeader(); leader.Known() {
		forwarder.finder.Observe(leader)
	} else {
		forwarder.finder.Drop(forwarder.finder.Leader(), false)
	}
}

func (forwarder *Forwarder) enqueue() bool {
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	if forwarder.queued >= forwarder.capacity {
		return false
	}
	forwarder.queued++
	return true
}

func (forwarder *Forwarder) dequeue() {
	forwarder.mutex.Lock()
	forwarder.queued--
	forwarder.mutex.Unlock()
}

// deadline returns the response deadline of a request that arrives now.
func (forwarder *Forwarder) deadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(forwarder.responseTimeout)
	if requested, hasDeadline := ctx.Deadline(); hasDeadline && requested.Before(deadline) {
		return requested
	}
	return deadline
}

// Forward sends a request to the leader, or to the next leader if that changes in time.
func Forward[Request, Response any](
	forwarder *Forwarder,
	method rpc.Method[Request, Response],
	request *Request,
) (*Response, error) {
	return ForwardContext(context.Background(), forwarder, method, request)
}

// ForwardContext is like Forward but also ends when ctx does. It returns the leader's response
// or error, QueueFull or NotStarted if no leader received the request, or OutcomeUnknown if
// one may have received it.
func ForwardContext[Request, Response any](
	ctx context.Context,
	forwarder *Forwarder,
	method rpc.Method[Request, Response],
	request *Request,
) (*Response, error) {
	call := &forwardedCall{forwarder: forwarder, deadline: forwarder.deadline(ctx)}
	defer call.release()
	forwarder.syncLeader()
	for ctx.Err() == nil {
		leader, err := call.awaitLeader()
		if err != nil {
			return nil, err
		}
		remaining := time.Until(call.deadline)
		if remaining <= 0 {
			break
		}
		timeout := min(remaining, forwarder.attemptTimeout)
		response, err := rpc.CallContext(ctx, forwarder.client, leader.Address, method, timeout, request)
		if err == nil {
			call.countSuccess()
			return response, nil
		}
		if !call.mayRetry(leader, err) {
			return nil, err
		}
		if time.Now().Before(call.deadline) {
			forwarder.finder.goroutines.Sleep(forwarder.finder.intervals.FindLeader / 4)
		}
	}
	return nil, call.timeoutError()
}

// forwardedCall is the state of one forwarded request.
type forwardedCall struct {
	forwarder  *Forwarder
	deadline   time.Time
	isQueued   bool // it occupies a slot in the queue
	mayHaveRun bool
}

// release frees the slot in the queue.
func (call *forwardedCall) release() {
	if call.isQueued {
		call.forwarder.dequeue()
	}
}

// awaitLeader returns the leader, queueing the request while there is none.
func (call *forwardedCall) awaitLeader() (message.Leader, error) {
	forwarder := call.forwarder
	if leader := forwarder.finder.Leader(); leader.Known() {
		return leader, nil
	}
	if !call.isQueued && !forwarder.enqueue() {
		forwarder.counters.Add("hold_full", 1)
		if call.mayHaveRun {
			return message.Leader{}, call.timeoutError()
		}
		return message.Leader{}, &rpc.Error{
			Code:         rpc.QueueFull,
			Message:      "too many requests are waiting for a leader",
			RetryAfterMs: retryAfterMs,
		}
	}
	if !call.isQueued {
		call.isQueued = true
		forwarder.counters.Add("held", 1)
	}
	leader := forwarder.finder.Wait(time.Until(call.deadline) - responseMargin)
	if !leader.Known() {
		forwarder.counters.Add("hold_given_up", 1)
		return message.Leader{}, call.timeoutError()
	}
	return leader, nil
}

func (call *forwardedCall) countSuccess() {
	if call.isQueued {
		call.forwarder.counters.Add("held_flushed", 1)
	}
}

// mayRetry reports whether a request that failed with err may be sent again.
func (call *forwardedCall) mayRetry(leader message.Leader, err error) bool {
	code := rpc.CodeOf(err)
	switch code {
	case rpc.NotLeader, rpc.Lameduck, rpc.NoLeader, rpc.ConnectFailed:
	case rpc.Unreachable, rpc.OutcomeUnknown:
		call.mayHaveRun = true
	default:
		return false
	}
	call.forwarder.finder.Drop(leader, code == rpc.Lameduck)
	return true
}

// timeoutError returns the error of a request that got no response from a leader in time.
func (call *forwardedCall) timeoutError() error { return noLeaderError(call.mayHaveRun) }

func noLeaderError(mayHaveRun bool) error {
	if mayHaveRun {
		return &rpc.Error{
			Code:         rpc.OutcomeUnknown,
			Message:      "the leader did not respond; retry with the same change ID",
			RetryAfterMs: retryAfterMs,
		}
	}
	return &rpc.Error{
		Code:         rpc.NotStarted,
		Message:      "no leader became available in time; the request was not started",
		RetryAfterMs: retryAfterMs,
	}
}
