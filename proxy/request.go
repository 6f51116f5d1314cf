package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"orchidjunction/route"
	"orchidjunction/wire"
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

var stageChart = [...][]stage{
	arrived: {routed, ending},
	routed:  {sending, waiting, ending},
	waiting: {waiting, sending, ending},
	sending: {sending, waiting, ending},
	ending:  {},
}

const (
	limitSlack  = 50 * time.Millisecond
	waitShare   = 4
	gateShare   = 2
	waitingMost = 256
	bodiesMost  = 96 << 20

	firstViewWait = 120 * time.Millisecond
	firstViewBack = time.Second
)

// request is one client's try on its way.
type request struct {
	source  *http.Request
	writer  http.ResponseWriter
	context context.Context
	within  context.Context
	stage   stage
	id      string
	route   *route.Route
	tenant  *route.Tenant
	stat    *Stat
	service string
	rank    int
	body    []byte
	begin   time.Time
	limit   time.Time
	tried   []*target
	offered bool
}

func (request *request) tenantName() string {
	if request.tenant == nil {
		return ""
	}
	return request.tenant.Name
}

func (proxy *Proxy) move(request *request, to stage) {
	if to == ending && proxy.Leaving() {
		request.writer.Header().Set("Connection", "close")
	}
	for _, next := range stageChart[request.stage] {
		if next == to {
			request.stage = to
			return
		}
	}
	proxy.counts.Add("requests_off_the_chart", 1)
	request.stage = to
}

// isKey is whether an Authorization value carries a key of the scheme.
func (proxy *Proxy) isKey(value string) bool {
	_, is := proxy.key(value)
	return is
}

func (proxy *Proxy) key(value string) (string, bool) {
	value = strings.TrimSpace(value)
	end := strings.IndexAny(value, " \t")
	if end < 0 || !strings.EqualFold(value[:end], proxy.place.Headers.KeyScheme) {
		return "", false
	}
	return strings.TrimSpace(value[end:]), true
}

func (proxy *Proxy) ServeHTTP(writer http.ResponseWriter, source *http.Request) {
	request := &request{source: source, writer: writer, context: source.Context(), begin: proxy.clock(), stat: proxy.stat}
	proxy.counts.Add("requests", 1)
	proxy.flight.enter()
	defer proxy.flight.leave()
	if status := proxy.malformed(request); status != 0 {
		proxy.refuse(request, status, wire.BadRequest)
		return
	}
	view := proxy.await(request)
	if view == nil {
		proxy.refuse(request, http.StatusServiceUnavailable, wire.NotReady)
		return
	}
	if status, kind := proxy.admit(request, view); status != 0 {
		proxy.refuse(request, status, kind)
		return
	}
	within, cancel := context.WithDeadline(request.context, request.limit)
	defer cancel()
	request.within = within
	proxy.move(request, routed)
	if number, found := view.index.ServiceIndex(request.service); found {
		view.budgets[number].request()
	}
	if request.route.Kind == route.Download {
		if !proxy.pass(request) {
			proxy.refuse(request, http.StatusServiceUnavailable, wire.Busy)
			return
		}
		defer func() {
			proxy.gate.leave()
			proxy.freed.Ring()
		}()
	}
	proxy.carry(request)
}

// malformed is the status of a request that cannot be carried: of a protocol in which
// a client would not see that an answer was cut short, and which frames bodies in
// another way; or without the one attempt id by which its answer is known.
func (proxy *Proxy) malformed(request *request) int {
	if !request.source.ProtoAtLeast(1, 1) {
		request.writer.Header().Set("Connection", "close")
		return http.StatusHTTPVersionNotSupported
	}
	ids := request.source.Header[proxy.place.Headers.Attempt]
	if len(ids) != 1 || ids[0] == "" {
		return http.StatusBadRequest
	}
	request.id = ids[0]
	return 0
}

// pass waits for a large answer's turn on the link; false when that is too late.
func (proxy *Proxy) pass(request *request) bool {
	until := request.begin.Add(min(time.Duration(max(request.route.TargetMs, 40))*time.Millisecond, request.limit.Sub(request.begin)) / gateShare)
	for !proxy.gate.enter() {
		now := proxy.clock()
		if request.context.Err() != nil {
			proxy.counts.Add("clients_gone", 1)
			panic(http.ErrAbortHandler)
		}
		if !now.Before(until) {
			proxy.counts.Add("link_full", 1)
			return false
		}
		proxy.freed.Wait(proxy.freed.Count(), min(until.Sub(now), waitPace))
	}
	return true
}

// await holds a request for a short while until the first view is in force.
func (proxy *Proxy) await(request *request) *View {
	until := request.begin.Add(firstViewWait)
	for {
		seen := proxy.freed.Count()
		view := proxy.view.Load()
		if view != nil || !proxy.freed.Wait(seen, until.Sub(proxy.clock())) {
			return view
		}
	}
}

// admit finds the route and the tenant, and reads the body.
func (proxy *Proxy) admit(request *request, view *View) (int, wire.Kind) {
	source, names := request.source, &proxy.place.Headers
	path, _, _ := strings.Cut(source.RequestURI, "?")
	compiled, is := view.index.Find(source.Host, path)
	if !is {
		return http.StatusNotFound, wire.UnknownRoute
	}
	found := compiled.Route
	request.route = found
	config := &view.book.Config
	key, given := proxy.key(source.Header.Get("Authorization"))
	if given {
		request.tenant, _ = view.index.TenantOf(key)
	}
	if config.Keyed && !found.Public && request.tenant == nil {
		return http.StatusUnauthorized, wire.UnknownKey
	}
	request.rank = found.Priority
	if request.tenant != nil && request.tenant.Ranked {
		request.rank = request.tenant.Priority
	}
	patience := time.Duration(found.TimeoutMs) * time.Millisecond
	if text := source.Header.Get(names.Deadline); text != "" {
		if milliseconds, fault := strconv.ParseFloat(text, 64); fault == nil && milliseconds >= 0 && milliseconds < float64(found.TimeoutMs) {
			patience = time.Duration(milliseconds * float64(time.Millisecond))
		}
	}
	request.limit = request.begin.Add(patience)
	proxy.inward.pass(int(max(source.ContentLength, 0)), request.begin)
	most := config.Limits.BodyBytes
	if most <= 0 {
		most = bodiesMost
	}
	if source.ContentLength > most {
		return http.StatusRequestEntityTooLarge, wire.TooLarge
	}
	if source.ContentLength != 0 {
		if !proxy.bodies.take(max(source.ContentLength, 1<<10)) {
			return http.StatusServiceUnavailable, wire.Busy
		}
		body, fault := io.ReadAll(io.LimitReader(source.Body, most+1))
		proxy.bodies.give(max(source.ContentLength, 1<<10))
		if fault != nil {
			return http.StatusBadRequest, wire.BadRequest
		}
		if int64(len(body)) > most {
			return http.StatusRequestEntityTooLarge, wire.TooLarge
		}
		request.body = body
	}
	if len(compiled.Services) == 0 {
		return http.StatusServiceUnavailable, wire.NoBackend
	}
	service := compiled.Services[0]
	if compiled.Total > 0 {
		service = compiled.Draw(rand.IntN(compiled.Total))
	}
	request.service = view.index.Services[service].Name
	return 0, ""
}

// carry sends the request until an answer stands, nothing more may be tried, or
// time is over. What has not run and will not is refused with a time to come back.
func (proxy *Proxy) carry(request *request) {
	target := time.Duration(max(request.route.TargetMs, 40)) * time.Millisecond
	waitUntil := request.begin.Add(min(target, request.limit.Sub(request.begin)) / waitShare)
	attempts, sentBefore := 0, false
	var last *answer
	for {
		view := proxy.view.Load()
		service, found := view.index.ServiceIndex(request.service)
		if !found {
			break
		}
		if request.context.Err() != nil {
			proxy.counts.Add("clients_gone", 1)
			panic(http.ErrAbortHandler)
		}
		now := proxy.clock()
		if !now.Before(request.limit) {
			break
		}
		seen := proxy.freed.Count()
		held, how := proxy.choose(request, view.services[service], request.tried)
		if held == nil {
			if how == noneLeft && len(request.tried) > 0 && !sentBefore && now.Before(waitUntil) {
				request.tried = request.tried[:0]
			}
			if how == noneAllowed || !now.Before(waitUntil) || !proxy.lines.enter(request.rank) {
				break
			}
			proxy.move(request, waiting)
			proxy.freed.Wait(seen, min(waitUntil.Sub(now), waitPace))
			proxy.lines.leave(request.rank)
			continue
		}
		if sentBefore && !view.budgets[service].take() {
			held.target.leave()
			proxy.counts.Add("budget_empty", 1)
			break
		}
		proxy.move(request, sending)
		answer, ended := proxy.attempt(request, held, view.most[service])
		if ended == answered && answer.rest != nil {
			defer func() {
				held.target.leave()
				proxy.freed.Ring()
			}()
			proxy.finish(request, answer)
			return
		}
		held.target.leave()
		if ended != unsent && proxy.lines.waiting() {
			proxy.freed.Ring()
		}
		request.tried = append(request.tried, held.target)
		switch ended {
		case answered:
			repeats := request.route.Kind.Repeats() && answer.response.StatusCode >= 500 && attempts+1 < request.route.Attempts
			if !repeats {
				proxy.finish(request, answer)
				return
			}
			last = answer
			attempts, sentBefore = attempts+1, true
		case unsent:
			if len(request.tried) > unsentMost {
				proxy.refuse(request, http.StatusServiceUnavailable, wire.NoBackend)
				return
			}
		case refused:
			attempts, sentBefore = attempts+1, true
			proxy.counts.Add("attempts_refused", 1)
		case lost, spoiled:
			proxy.counts.Add("attempts_lost", 1)
			attempts, sentBefore = attempts+1, true
			if !request.route.Kind.Repeats() {
				proxy.fail(request)
				return
			}
			request.offered = true
		}
		if attempts >= request.route.Attempts {
			break
		}
	}
	switch {
	case last != nil:
		proxy.finish(request, last)
	case request.offered:
		proxy.fail(request)
	default:
		proxy.refuse(request, http.StatusServiceUnavailable, wire.Busy)
	}
}

// refuse ends a request that has not run.
func (proxy *Proxy) refuse(request *request, status int, kind wire.Kind) {
	proxy.move(request, ending)
	proxy.counts.Add("refused_"+string(kind), 1)
	header := request.writer.Header()
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.FormatFloat(proxy.comeBack(request).Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "application/json")
	request.writer.WriteHeader(status)
	io.WriteString(request.writer, `{"code":"`+string(kind)+`"}`)
}

// comeBack is when a client should ask again: spread, so that those refused
// together do not return together.
func (proxy *Proxy) comeBack(request *request) time.Duration {
	span := 400 * time.Millisecond
	if request.route == nil {
		span = firstViewBack
	}
	if request.route != nil && request.route.TargetMs > 0 {
		span = min(time.Second, time.Duration(request.route.TargetMs)*time.Millisecond/3)
	}
	return span/2 + time.Duration(rand.Int64N(int64(span)))
}

// fail ends a request of which nobody knows whether it ran.
func (proxy *Proxy) fail(request *request) {
	proxy.move(request, ending)
	status, kind := http.StatusBadGateway, wire.BadReceipt
	if !proxy.clock().Before(request.limit) {
		status, kind = http.StatusGatewayTimeout, wire.LimitPassed
	}
	proxy.counts.Add("failed_"+string(kind), 1)
	request.writer.Header().Set("Content-Type", "application/json")
	request.writer.WriteHeader(status)
	io.WriteString(request.writer, `{"code":"`+string(kind)+`"}`)
}

// finish gives the backend's answer to the client; one that breaks off half way
// never looks whole.
func (proxy *Proxy) finish(request *request, answer *answer) {
	proxy.move(request, ending)
	header, names := request.writer.Header(), &proxy.place.Headers
	listed := names.listedByConnection(answer.response.Header)
	for name, values := range answer.response.Header {
		if hopByHop[name] || listed[name] || name == "Content-Length" || name == names.Load || name == names.Backend || name == names.Warmup {
			continue
		}
		header[name] = values
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil
	}
	size := len(answer.body)
	switch {
	case request.source.Method == http.MethodHead && answer.response.ContentLength >= 0, answer.response.ContentLength > int64(size):
		header.Set("Content-Length", strconv.FormatInt(answer.response.ContentLength, 10))
	case answer.rest == nil && request.source.Method != http.MethodHead && bodied(answer.response.StatusCode):
		header.Set("Content-Length", strconv.Itoa(size))
	}
	request.writer.WriteHeader(answer.response.StatusCode)
	writer := &pacedWriter{to: request.writer, lane: proxy.outward, ctx: request.within, clock: proxy.clock, large: size > bulkLeast || answer.rest != nil}
	if _, fault := writer.Write(answer.body); fault != nil {
		if answer.rest != nil {
			answer.release(false)
		}
		proxy.counts.Add("answers_cut_short", 1)
		panic(http.ErrAbortHandler)
	}
	if answer.rest != nil {
		copied, fault := io.Copy(writer, answer.rest)
		size += int(copied)
		whole := fault == nil && (answer.response.ContentLength < 0 || int64(size) == answer.response.ContentLength)
		answer.release(whole && !answer.response.Close)
		if !whole {
			proxy.counts.Add("answers_cut_short", 1)
			panic(http.ErrAbortHandler)
		}
	}
	proxy.counts.Add("answered", 1)
	if answer.response.StatusCode < 400 {
		proxy.stat.served(request.route, proxy.clock().Sub(request.begin), size)
	}
}
