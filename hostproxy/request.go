package hostproxy

import (
	"context"
	"net/http"
	"slices"
	"time"

	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// stage is a request's state in the proxy.
type stage uint8

const (
	arrived stage = iota
	routed
	waiting
	sending
	ending
)

var stageTransitions = [...][]stage{
	arrived: {routed, ending},
	routed:  {sending, waiting, ending},
	waiting: {waiting, sending, ending},
	sending: {sending, waiting, ending},
	ending:  {},
}

const (
	// deadlineSlack is added to a request's deadline to get the I/O deadline of its
	// connection.
	deadlineSlack = 50 * time.Millisecond
	// A request may wait 1/queueWaitDivisor of its target time for a backend, and
	// 1/transferWaitDivisor for a transfer slot.
	queueWaitDivisor    = 4
	transferWaitDivisor = 2
	// maxQueuedRequests limits the requests that wait for a backend at the same time.
	maxQueuedRequests = 256
	// firstViewWait is how long a request waits for the first view. If there is none by then,
	// the client is told to retry after about firstViewRetryAfter.
	firstViewWait       = 120 * time.Millisecond
	firstViewRetryAfter = time.Second
)

// request is one attempt of a client. mayHaveRun is set before the first byte is sent to a
// backend, and reset if that backend refuses the request or is known to have received nothing.
type request struct {
	source          *http.Request
	writer          http.ResponseWriter
	context         context.Context
	deadlineContext context.Context
	stage           stage
	id              string
	route           *routing.Route
	tenant          *routing.Tenant
	stats           *routeStats
	service         string
	version         versionAssignment
	priority        int
	body            requestBody
	begin           time.Time
	deadline        time.Time

	tried           []*target
	chosenAt        time.Time // when the backend of the latest attempt was chosen
	attempts        int
	queued          bool // counted in the wait queues
	retryTokenTaken bool // the budget has been charged for the next attempt
	lastResponse    *response
	mayHaveRun      bool

	timings requestTimings
	result  requestResult
}

func (request *request) tenantName() string {
	if request.tenant == nil {
		return ""
	}
	return request.tenant.Name
}

// setStage moves a request to another stage and counts unexpected transitions.
func (proxy *Proxy) setStage(request *request, to stage) {
	if to == ending && proxy.Draining() {
		request.writer.Header().Set("Connection", "close")
	}
	if slices.Contains(stageTransitions[request.stage], to) {
		request.stage = to
		return
	}
	proxy.counters.Add("requests_off_the_chart", 1)
	request.stage = to
}

// ServeHTTP handles a client request.
func (proxy *Proxy) ServeHTTP(writer http.ResponseWriter, source *http.Request) {
	request := &request{source: source, writer: writer, context: source.Context(), begin: proxy.clock(), stats: proxy.stats}
	proxy.counters.Add("requests", 1)
	proxy.inFlight.increment()
	defer proxy.inFlight.decrement()
	defer func() { proxy.memory.Release(request.body.takeReservation()) }()
	defer func() { proxy.requestMetrics.observeEnd(request, proxy.clock()) }()
	if status := proxy.validate(request); status != 0 {
		proxy.refuse(request, status, rpc.BadRequest)
		return
	}
	view := proxy.awaitView(request)
	if view == nil {
		proxy.refuse(request, http.StatusServiceUnavailable, rpc.NotReady)
		return
	}
	if status, code := proxy.admit(request, view); status != 0 {
		proxy.refuse(request, status, code)
		return
	}
	ctx, cancel := context.WithDeadline(request.context, request.deadline)
	defer cancel()
	request.deadlineContext = ctx
	proxy.setStage(request, routed)
	if service, found := view.index.ServiceIndex(request.service); found {
		view.budgets[service].recordRequest()
	}
	if request.route.Kind == routing.Download {
		if !proxy.acquireTransfer(request) {
			proxy.refuse(request, http.StatusServiceUnavailable, rpc.Overloaded)
			return
		}
		defer func() {
			proxy.transfers.release()
			proxy.capacityFreed.Notify()
		}()
	}
	proxy.forward(request)
}

// acquireTransfer waits for a slot to fetch a large response. It returns false if none was
// free in time.
func (proxy *Proxy) acquireTransfer(request *request) bool {
	waitUntil := request.begin.Add(
		min(time.Duration(max(request.route.TargetMs, 40))*time.Millisecond, request.deadline.Sub(request.begin)) / transferWaitDivisor,
	)
	for !proxy.transfers.tryAcquire() {
		now := proxy.clock()
		proxy.abortIfClientGone(request)
		if !now.Before(waitUntil) {
			proxy.counters.Add("link_full", 1)
			return false
		}
		proxy.capacityFreed.Wait(proxy.capacityFreed.Count(), min(waitUntil.Sub(now), waitInterval))
	}
	return true
}

// awaitView waits up to firstViewWait for the first view.
func (proxy *Proxy) awaitView(request *request) *routingView {
	waitUntil := request.begin.Add(firstViewWait)
	for {
		seen := proxy.capacityFreed.Count()
		view := proxy.view.Load()
		if view != nil || !proxy.capacityFreed.Wait(seen, waitUntil.Sub(proxy.clock())) {
			return view
		}
	}
}

// abortIfClientGone aborts a request whose client has closed its connection.
func (proxy *Proxy) abortIfClientGone(request *request) {
	if request.context.Err() != nil {
		proxy.counters.Add("clients_gone", 1)
		panic(http.ErrAbortHandler)
	}
}
