package hostproxy

import (
	"net/http"
	"orchidjunction/rpc"
	"time"
)

// leastTarget stands in for a route's target time where that is shorter or not given.
const leastTarget = 40 * time.Millisecond

// carry sends the request until an answer stands, nothing more may be tried, or
// time is over. What has not run and will not is refused with a time to come back.
func (proxy *Proxy) carry(request *request) {
	target := max(time.Duration(request.route.TargetMs)*time.Millisecond, leastTarget)
	waitUntil := request.begin.Add(min(target, request.limit.Sub(request.begin)) / waitShare)
	for {
		held, connections := proxy.next(request, waitUntil)
		if held == nil {
			proxy.conclude(request)
			return
		}
		proxy.move(request, sending)
		answer, ended := proxy.attempt(request, held, connections)
		if ended == answered && answer.rest != nil {
			defer func() {
				held.target.leave()
				proxy.freed.Notify()
			}()
			proxy.finish(request, answer)
			return
		}
		held.target.leave()
		if ended != unsent && proxy.queues.waiting() {
			proxy.freed.Notify()
		}
		request.tried = append(request.tried, held.target)
		if proxy.settle(request, answer, ended) {
			return
		}
	}
}

// next waits for a backend that may take the request, and tells how many connections
// to it are allowed; nil when there is none in time, or no budget for a retry.
func (proxy *Proxy) next(request *request, waitUntil time.Time) (*candidate, int) {
	for {
		view := proxy.view.Load()
		service, found := view.index.ServiceIndex(request.service)
		if !found {
			return nil, 0
		}
		proxy.endIfGone(request)
		if !proxy.clock().Before(request.limit) {
			return nil, 0
		}
		seen := proxy.freed.Count()
		held, how := proxy.choose(request, view.services[service], request.tried)
		if held == nil {
			if !proxy.wait(request, how, seen, waitUntil) {
				return nil, 0
			}
			continue
		}
		if request.attempts > 0 && !view.budgets[service].take() {
			held.target.leave()
			proxy.counters.Add("budget_empty", 1)
			return nil, 0
		}
		return held, view.most[service]
	}
}

// wait holds a request for which no backend was chosen until something was freed;
// false where waiting is of no use.
func (proxy *Proxy) wait(request *request, how choice, seen uint64, waitUntil time.Time) bool {
	left := waitUntil.Sub(proxy.clock())
	if how == noneLeft && request.attempts == 0 && left > 0 {
		request.tried = request.tried[:0]
	}
	if how == noneAllowed || left <= 0 || !proxy.queues.enter(request.rank) {
		return false
	}
	proxy.move(request, waiting)
	proxy.freed.Wait(seen, min(left, waitInterval))
	proxy.queues.leave(request.rank)
	return true
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
		request.last = answer
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
		proxy.conclude(request)
	}
	return spent
}

// conclude ends a request that nobody more may be asked for.
func (proxy *Proxy) conclude(request *request) {
	if request.last != nil {
		proxy.finish(request, request.last)
		return
	}
	proxy.refuse(request, http.StatusServiceUnavailable, rpc.Overloaded)
}
