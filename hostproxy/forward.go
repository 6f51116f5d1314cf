package hostproxy

import (
	"net/http"
	"time"

	"orchidjunction/rpc"
)

// minTargetTime is used if a route has no target time or a shorter one.
const minTargetTime = 40 * time.Millisecond

// urgentHeadStart is how long a request holds back from freed capacity while requests of
// higher priority are queued.
const urgentHeadStart = 2 * time.Millisecond

// forward sends the request until there is a final response, no further attempt is allowed or
// the deadline has passed. A request that did not run is refused with a time to retry.
func (proxy *Proxy) forward(request *request) {
	targetTime := max(time.Duration(request.route.TargetMs)*time.Millisecond, minTargetTime)
	waitUntil := request.begin.Add(min(targetTime, request.deadline.Sub(request.begin)) / queueWaitDivisor)
	for {
		waitBegin := proxy.clock()
		candidate, maxOpen := proxy.acquireBackend(request, waitUntil)
		request.chosenAt = proxy.clock()
		request.timings.waiting += request.chosenAt.Sub(waitBegin)
		if candidate == nil {
			proxy.giveUp(request)
			return
		}
		proxy.setStage(request, sending)
		response, outcome := proxy.attempt(request, candidate, maxOpen)
		if outcome == answered && response.unread != nil {
			defer func() {
				candidate.target.endRequest()
				proxy.capacityFreed.Notify()
			}()
			proxy.sendResponse(request, response)
			return
		}
		candidate.target.endRequest()
		if outcome == withdrawn {
			proxy.counters.Add("attempts_taken_back", 1)
			continue
		}
		request.retryTokenTaken = false
		if outcome != unsent && proxy.queues.anyWaiting() {
			proxy.capacityFreed.Notify()
		}
		request.tried = append(request.tried, candidate.target)
		if proxy.handleOutcome(request, response, outcome) {
			return
		}
	}
}

// acquireBackend waits for a backend that can take the request, and returns it with the limit
// of connections to it; nil if there is none in time or the retry budget is empty. A retry
// that was withdrawn before it was sent doesn't take from the budget again.
func (proxy *Proxy) acquireBackend(request *request, waitUntil time.Time) (*candidate, int) {
	defer proxy.leaveQueue(request)
	for {
		view := proxy.view.Load()
		service, found := view.index.ServiceIndex(request.service)
		if !found {
			return nil, 0
		}
		proxy.abortIfClientGone(request)
		if !proxy.clock().Before(request.deadline) {
			return nil, 0
		}
		seen := proxy.capacityFreed.Count()
		proxy.yieldToUrgent(request, waitUntil)
		candidate, result := proxy.chooseVersion(request, view, service)
		if candidate == nil {
			if !proxy.wait(request, result, seen, waitUntil) {
				return nil, 0
			}
			continue
		}
		if request.attempts > 0 && !request.retryTokenTaken {
			if !view.budgets[service].take() {
				candidate.target.endRequest()
				proxy.counters.Add("budget_empty", 1)
				return nil, 0
			}
			request.retryTokenTaken = true
		}
		return candidate, view.connectionLimits[service]
	}
}

// wait queues a request that found no backend until capacity is freed. It returns false if
// waiting can't help.
func (proxy *Proxy) wait(request *request, result chooseResult, seen uint64, waitUntil time.Time) bool {
	remaining := waitUntil.Sub(proxy.clock())
	if result == noneAvailable && request.attempts == 0 && remaining > 0 {
		request.tried = request.tried[:0]
	}
	if result == noneInHomeRegions || remaining <= 0 || !proxy.enterQueue(request) {
		return false
	}
	proxy.setStage(request, waiting)
	proxy.capacityFreed.Wait(seen, min(remaining, waitInterval))
	return true
}

// enterQueue counts the request as queued until leaveQueue. It returns false if the queues are
// full.
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

func (request *request) queue() waitQueue {
	return waitQueue{service: request.service, priority: request.priority}
}

// yieldToUrgent lets queued requests of a higher priority choose first, because freed capacity
// wakes all queued requests at once. Then the request may use what is left.
func (proxy *Proxy) yieldToUrgent(request *request, waitUntil time.Time) {
	if waitUntil.Sub(proxy.clock()) > urgentHeadStart && proxy.queues.hasHigherPriority(request.queue()) {
		time.Sleep(urgentHeadStart)
	}
}

// handleOutcome processes the outcome of an attempt. It returns true if the client has been
// sent a response.
func (proxy *Proxy) handleOutcome(request *request, response *response, outcome outcome) bool {
	repeatable := request.route.Kind.IsIdempotent()
	if outcome == unsent {
		if len(request.tried) > maxUnsentAttempts {
			proxy.refuse(request, http.StatusServiceUnavailable, rpc.NoBackend)
			return true
		}
		return false
	}
	request.attempts++
	exhausted := request.attempts >= request.route.Attempts
	switch outcome {
	case answered:
		if !repeatable || response.head.StatusCode < 500 || exhausted {
			proxy.sendResponse(request, response)
			return true
		}
		request.lastResponse = response
	case refused:
		proxy.counters.Add("attempts_refused", 1)
	case lost:
		proxy.counters.Add("attempts_lost", 1)
		if !repeatable {
			proxy.fail(request)
			return true
		}
	}
	if exhausted {
		proxy.giveUp(request)
	}
	return exhausted
}

// giveUp ends a request for which no further attempt is allowed.
func (proxy *Proxy) giveUp(request *request) {
	if request.lastResponse != nil {
		proxy.sendResponse(request, request.lastResponse)
		return
	}
	proxy.refuse(request, http.StatusServiceUnavailable, rpc.Overloaded)
}
