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
	// responseMargin is left of the time for the response once a leader is known.
	responseMargin         = 70 * time.Millisecond
	defaultResponseTimeout = 950 * time.Millisecond
	defaultAttemptTimeout  = 350 * time.Millisecond
	// retryAfterMs is when to try again what found no leader, in milliseconds.
	retryAfterMs = 500
)

// ForwardLimits bound how long a request to the leader may take in all, and each attempt
// of it. Zero stands for the default.
type ForwardLimits struct {
	Response time.Duration
	Attempt  time.Duration
}

// Forwarder sends requests to the leader. While there is none it holds requests that have
// not started, bounded in number and time, and sends them to the new leader. It is safe
// for concurrent use.
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

// NewForwarder returns a Forwarder with the default limits.
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

// WithLimits sets limits that are not zero, and returns the forwarder.
func (forwarder *Forwarder) WithLimits(limits ForwardLimits) *Forwarder {
	if limits.Response > 0 {
		forwarder.responseTimeout = limits.Response
	}
	if limits.Attempt > 0 {
		forwarder.attemptTimeout = limits.Attempt
	}
	return forwarder
}

// SetLocalLeader sets what returns the leader that this process itself knows, if it is a
// core: the finder learns of a new one only by asking.
func (forwarder *Forwarder) SetLocalLeader(localLeader func() message.Leader) {
	forwarder.localLeader = localLeader
}

// syncLeader brings the finder to what this process knows.
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

// deadline returns until when a request that comes now must have its response.
func (forwarder *Forwarder) deadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(forwarder.responseTimeout)
	if requested, hasDeadline := ctx.Deadline(); hasDeadline && requested.Before(deadline) {
		return requested
	}
	return deadline
}

// Forward sends one request to the leader, whoever that becomes within the time-out.
func Forward[Request, Response any](
	forwarder *Forwarder,
	method rpc.Method[Request, Response],
	request *Request,
) (*Response, error) {
	return ForwardContext(context.Background(), forwarder, method, request)
}

// ForwardContext is a Forward that also ends when ctx does. It returns what the leader
// answered, QueueFull or NotStarted if no leader got the request, and OutcomeUnknown if
// one may have got it.
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
		rest := time.Until(call.deadline)
		if rest <= 0 {
			break
		}
		timeout := min(rest, forwarder.attemptTimeout)
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

// forwardedCall is one request on its way to the leader.
type forwardedCall struct {
	forwarder  *Forwarder
	deadline   time.Time
	isQueued   bool // it has a place in the queue
	mayHaveRun bool
}

// end gives the place in the queue back.
func (call *forwardedCall) release() {
	if call.isQueued {
		call.forwarder.dequeue()
	}
}

// awaitLeader returns the leader. While there is none the request is held.
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
		return message.Leader{}, &rpc.Error{Code: rpc.QueueFull, Message: "too much waits for a leader", RetryAfterMs: retryAfterMs}
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

// mayRetry reports whether a request that failed at a leader may go to another one.
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

// noLeader returns the error of a request that found no leader in time.
func (call *forwardedCall) timeoutError() error { return noLeaderError(call.mayHaveRun) }

func noLeaderError(mayHaveRun bool) error {
	if mayHaveRun {
		return &rpc.Error{
			Code:         rpc.OutcomeUnknown,
			Message:      "the leader fell silent; send the same change id again",
			RetryAfterMs: retryAfterMs,
		}
	}
	return &rpc.Error{Code: rpc.NotStarted, Message: "no leader within the hold; nothing was started", RetryAfterMs: retryAfterMs}
}
