package hostproxy

import (
	"net/http"
	"time"

	"orchidjunction/rpc"
)

// minTarget stands in for a route's target time where that is shorter or not given.
const minTarget = 40 * time.Millisecond

// urgentHeadStart is how long a request leaves a freed place to those of a higher priority.
const urgentHeadStart = 2 * time.Millisecond

// forward sends the request until an answer stands, nothing more may be tried, or
// time is over. What has not run and will not is refused with a time to come back.
func (proxy *Proxy) forward(request *request) {
	target := max(time.Duration(request.route.TargetMs)*time.Millisecond, minTarget)
	waitUntil := request.begin.Add(min(target, request.deadline.Sub(request.begin)) / waitShare)
	for {
		waitBegin := proxy.clock()
		candidate, connections := proxy.nextBackend(request, waitUntil)
		request.chosenAt = proxy.clock()
		request.spent.waiting += request.chosenAt.Sub(waitBegin)
		if candidate == nil {
			proxy.giveUp(request)
			return
		}
		proxy.move(request, sending)
		answer, ended := proxy.attempt(request, candidate, connections)
		if ended == answered && answer.remainder != nil {
			defer func() {
				candidate.target.endRequest()
				proxy.capacityFreed.Notify()
			}()
			proxy.finish(request, answer)
			return
		}
		candidate.target.endRequest()
		if ended == withdrawn {
			proxy.counters.Add("attempts_taken_back", 1)
			continue
		}
		request.retryPaid = false
		if ended != unsent && proxy.queues.anyWaiting() {
			proxy.capacityFreed.Notify()
		}
		request.tried = append(request.tried, candidate.target)
		if proxy.settle(request, answer, ended) {
			return
		}
	}
}

// nextBackend waits for a backend that may take the request, and tells how many connections
// to it are allowed; nil when there is none in time, or no budget for a retry. A retry that
// was taken back before it was sent has its budget still.
func (proxy *Proxy) nextBackend(request *request, waitUntil time.Time) (*candidate, int) {
	defer proxy.leaveQueue(request)
	for {
		view := proxy.view.Load()
		service, found := view.index.ServiceIndex(request.service)
		if !found {
			return nil, 0
		}
		proxy.endIfGone(request)
		if !proxy.clock().Before(request.deadline) {
			return nil, 0
		}
		seen := proxy.capacityFreed.Count()
		proxy.yieldToUrgent(request, waitUntil)
		candidate, how := proxy.chooseVersion(request, view, service)
		if candidate == nil {
			if !proxy.wait(request, how, seen, waitUntil) {
				return nil, 0
			}
			continue
		}
		if request.attempts > 0 && !request.retryPaid {
			if !view.budgets[service].take() {
				candidate.target.endRequest()
				proxy.counters.Add("budget_empty", 1)
				return nil, 0
			}
			request.retryPaid = true
		}
		return candidate, view.connectionLimits[service]
	}
}

// wait holds a request for which no backend was chosen until something was freed;
// false where waiting is of no use.
func (proxy *Proxy) wait(request *request, how chooseResult, seen uint64, waitUntil time.Time) bool {
	left := waitUntil.Sub(proxy.clock())
	if how == noneAvailable && request.attempts == 0 && left > 0 {
		request.tried = request.tried[:0]
	}
	if how == noneInHomeRegions || left <= 0 || !proxy.enterQueue(request) {
		return false
	}
	proxy.move(request, waiting)
	proxy.capacityFreed.Wait(seen, min(left, waitInterval))
	return true
}

// enterQueue counts the request among those that wait, until leaveQueue; false when too many
// wait already.
func (proxy *Proxy) enterQueue(request *request) bool {
	if !request.queued {
		request.queued = proxy.queues.enter(request.queue())
	}
	return request.queued
}

func (proxy *Proxy) leaveQueue(request *request) {
	if request.queued {
		request.queued = false
		proxy.queues.leave(request.queue())
	}
}

// queue is where the request waits.
func (request *request) queue() waitQueue {
	return waitQueue{service: request.service, priority: request.rank}
}

// yieldToUrgent lets waiting requests of a higher priority choose first: all that wait are
// woken at once when a place is freed. One that they cannot take is taken after that.
func (proxy *Proxy) yieldToUrgent(request *request, waitUntil time.Time) {
	if waitUntil.Sub(proxy.clock()) > urgentHeadStart && proxy.queues.hasHigherPriority(request.queue()) {
		time.Sleep(urgentHeadStart)
	}
}

// settle takes what an attempt came to; true when the client has its answer.
func (proxy *Proxy) settle(request *request, answer *answer, ended outcome) bool {
	repeats := request.route.Kind.IsIdempotent()
	if ended == unsent {
		if len(request.tried) > maxUnsent {
			proxy.refuse(request, http.StatusServiceUnavailable, rpc.NoBackend)
			return true
		}
		return false
	}
	request.attempts++
	spent := request.attempts >= request.route.Attempts
	switch ended {
	case answered:
		if !repeats || answer.response.StatusCode < 500 || spent {
			proxy.finish(request, answer)
			return true
		}
		request.lastAnswer = answer
	case refused:
		proxy.counters.Add("attempts_refused", 1)
	case lost:
		proxy.counters.Add("attempts_lost", 1)
		if !repeats {
			proxy.fail(request)
			return true
		}
	}
	if spent {
		proxy.giveUp(request)
	}
	return spent
}

// giveUp ends a request that nobody more may be asked for.
func (proxy *Proxy) giveUp(request *request) {
	if request.lastAnswer != nil {
		proxy.finish(request, request.lastAnswer)
		return
	}
	proxy.refuse(request, http.StatusServiceUnavailable, rpc.Overloaded)
}
