package hostproxy

import (
	"context"
	"net/http"
	"slices"
	"time"

	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// stage is where a request stands on its way through the proxy.
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
	// deadlineSlack is added to a request's deadline where a connection is given one.
	deadlineSlack = 50 * time.Millisecond
	// A request waits for a backend for a part 1/waitShare of its target time, and for a
	// turn on the link for 1/transferWaitShare.
	waitShare         = 4
	transferWaitShare = 2
	// maxWaiting bounds the requests that wait at once.
	maxWaiting = 256
	// firstViewWait is how long a request waits for the first view; one that waited in
	// vain may come back after firstViewRetry.
	firstViewWait  = 120 * time.Millisecond
	firstViewRetry = time.Second
)

// request is one attempt of a client on its way. mayHaveRun is set while a backend may run
// it or have run it: from before the first byte is sent until that backend refuses it or
// is known to have got nothing.
type request struct {
	source   *http.Request
	writer   http.ResponseWriter
	context  context.Context
	bounded  context.Context
	stage    stage
	id       string
	route    *routing.Route
	tenant   *routing.Tenant
	stats    *routeStats
	service  string
	version  versionAssignment
	rank     int
	body     requestBody
	begin    time.Time
	deadline time.Time

	tried      []*target
	chosenAt   time.Time // when the newest attempt's backend was chosen
	attempts   int
	queued     bool // counted among those that wait
	retryPaid  bool // the budget was asked for the attempt that comes next
	lastAnswer *answer
	mayHaveRun bool

	spent  requestTimings
	result requestResult
}

func (request *request) tenantName() string {
	if request.tenant == nil {
		return ""
	}
	return request.tenant.Name
}

// move takes a request to its next stage.
func (proxy *Proxy) move(request *request, to stage) {
	if to == ending && proxy.Leaving() {
		request.writer.Header().Set("Connection", "close")
	}
	if slices.Contains(stageTransitions[request.stage], to) {
		request.stage = to
		return
	}
	proxy.counters.Add("requests_off_the_chart", 1)
	request.stage = to
}

// ServeHTTP carries one request of a client.
func (proxy *Proxy) ServeHTTP(writer http.ResponseWriter, source *http.Request) {
	request := &request{source: source, writer: writer, context: source.Context(), begin: proxy.clock(), stats: proxy.stats}
	proxy.counters.Add("requests", 1)
	proxy.inFlight.increment()
	defer proxy.inFlight.decrement()
	defer func() { proxy.memory.Release(request.body.takeReservation()) }()
	defer func() { proxy.figures.observeEnd(request, proxy.clock()) }()
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
	within, cancel := context.WithDeadline(request.context, request.deadline)
	defer cancel()
	request.bounded = within
	proxy.move(request, routed)
	if number, found := view.index.ServiceIndex(request.service); found {
		view.budgets[number].recordRequest()
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

// acquireTransfer waits for a large answer's turn on the link; false when that is too late.
func (proxy *Proxy) acquireTransfer(request *request) bool {
	until := request.begin.Add(
		min(time.Duration(max(request.route.TargetMs, 40))*time.Millisecond, request.deadline.Sub(request.begin)) / transferWaitShare,
	)
	for !proxy.transfers.tryAcquire() {
		now := proxy.clock()
		proxy.endIfGone(request)
		if !now.Before(until) {
			proxy.counters.Add("link_full", 1)
			return false
		}
		proxy.capacityFreed.Wait(proxy.capacityFreed.Count(), min(until.Sub(now), waitInterval))
	}
	return true
}

// awaitView holds a request for a short while until the first view is in force.
func (proxy *Proxy) awaitView(request *request) *routingView {
	until := request.begin.Add(firstViewWait)
	for {
		seen := proxy.capacityFreed.Count()
		view := proxy.view.Load()
		if view != nil || !proxy.capacityFreed.Wait(seen, until.Sub(proxy.clock())) {
			return view
		}
	}
}

// endIfGone ends a request whose client has closed its connection.
func (proxy *Proxy) endIfGone(request *request) {
	if request.context.Err() != nil {
		proxy.counters.Add("clients_gone", 1)
		panic(http.ErrAbortHandler)
	}
}
