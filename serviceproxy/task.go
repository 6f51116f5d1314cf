package serviceproxy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"orchidjunction/agent"
	"orchidjunction/config"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	retryAfterMs = 1000
	stopMargin   = 300 * time.Millisecond
	keyHeader    = "Idempotency-Key"
	// drainedGrace is the time in which callers' placements end after a zone was emptied.
	drainedGrace = 3 * time.Second
)

// task is one request of a caller on its way through the proxy.
type task struct {
	proxy       *Proxy
	plan        *plan
	state       *stateMachine
	id          string
	request     *http.Request
	tenant      int
	route       *config.FlatRoute
	path        string
	body        []byte
	deadline    time.Time
	tried       map[*Target]bool
	response    *Response
	finish      func()
	replayed    bool
	fingerprint uint64
	sent        bool
}

// ServeHTTP carries a caller's request to a backend and the response back.
func (proxy *Proxy) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	task := &task{
		proxy: proxy, state: newStateMachine(proxy.counters), request: request, tried: map[*Target]bool{}, finish: func() {},
		id: proxy.prefix + "-" + strconv.FormatUint(proxy.taskIDs.Add(1), 36),
	}
	defer func() { task.finish() }()
	writer.Header().Set("Oj-Task", task.id)
	if _, leaving := proxy.daemon.StopsIn(); leaving {
		writer.Header().Set("Connection", "close")
	}
	if err := task.serve(writer); err != nil {
		task.refuse(writer, *rpc.AsError(err))
		return
	}
	task.deliver(writer)
}

// refuse writes a refusal; one that names no outcome ran nothing.
func (task *task) refuse(writer http.ResponseWriter, refusal rpc.Error) {
	if refusal.Outcome == "" {
		refusal.Outcome = rpc.NotRun
	}
	if refusal.Outcome == rpc.NotRun {
		task.state.advance(Refused)
	} else {
		task.state.advance(Unknown)
	}
	if task.sent {
		task.proxy.retries.recordFailure(task.fingerprint)
	}
	task.proxy.counters.Add("refused_"+string(refusal.Code), 1)
	agent.WriteError(writer, &refusal)
}

func (task *task) deliver(writer http.ResponseWriter) {
	if err := task.response.write(writer, task.route.ResponseBytes, task.replayed); err != nil {
		task.state.advance(Aborted)
		panic(http.ErrAbortHandler)
	}
	if !task.replayed {
		task.state.advance(Answered)
	}
}

func (task *task) serve(writer http.ResponseWriter) error {
	task.plan = task.proxy.plan.Load()
	if task.plan == nil || !task.proxy.daemon.Ready() {
		return task.redirect(rpc.NotReady, "no confirmed settings in force here")
	}
	if task.isDrained() {
		writer.Header().Set("Connection", "close")
	}
	for _, step := range []func() error{task.authenticate, task.matchRoute, func() error { return task.readBody(writer) }} {
		if err := step(); err != nil {
			return err
		}
	}
	origin, _, _ := net.SplitHostPort(task.request.RemoteAddr)
	task.fingerprint = fingerprintOf(origin+" "+task.plan.routes.TenantName(task.tenant), task.request.Header.Get(keyHeader), task.request.Method, task.request.URL.RequestURI(), task.body)
	if !task.route.KeyRequired {
		return task.send()
	}
	return task.sendOnce()
}

// isDrained is whether this front's zone was emptied and the placements are over.
func (task *task) isDrained() bool {
	return !task.plan.emptied.IsZero() && time.Since(task.plan.emptied) > drainedGrace
}

// checkLeaving refuses a request that should go elsewhere: any in a drained zone, and
// one that might not end before this process stops.
func (task *task) checkLeaving() error {
	if task.isDrained() {
		return &rpc.Error{Code: rpc.ZoneDrained, Message: "this zone is emptied; ask a directory where to go", RetryAfterMs: retryAfterMs, Outcome: rpc.NotRun}
	}
	if rest, leaving := task.proxy.daemon.StopsIn(); leaving && time.Until(task.deadline) > rest-stopMargin {
		return &rpc.Error{Code: rpc.Stopping, Message: "this front stops; ask a directory where to go", RetryAfterMs: retryAfterMs, Outcome: rpc.NotRun}
	}
	return nil
}

// redirect refuses a request that another proxy may serve. Whether an idempotency key
// was used before is not known here, so that its outcome is unknown.
func (task *task) redirect(kind rpc.Code, cause string) error {
	if task.request.Header.Get(keyHeader) != "" {
		return &rpc.Error{Code: rpc.OutcomeUnknown, Message: cause + "; send the key again there", RetryAfterMs: retryAfterMs, Outcome: rpc.MayHaveRun}
	}
	return &rpc.Error{Code: kind, Message: cause, RetryAfterMs: retryAfterMs}
}

// authenticate finds the tenant of the bearer key.
func (task *task) authenticate() error {
	key, bearer := strings.CutPrefix(task.request.Header.Get("Authorization"), "Bearer ")
	if !bearer || key == "" {
		return rpc.Errorf(rpc.UnknownKey, "want Authorization: Bearer and a tenant's key")
	}
	tenant, found := task.plan.routes.Tenant(key)
	if !found {
		return rpc.Errorf(rpc.UnknownKey, "no tenant has this key")
	}
	if named := task.request.Header.Get("Oj-Tenant"); named != "" && named != task.plan.routes.TenantName(tenant) {
		return rpc.Errorf(rpc.WrongTenant, "the key is not that of %q", named)
	}
	task.tenant = tenant
	task.state.advance(Authenticated)
	return nil
}

// matchRoute finds the route and the deadline.
func (task *task) matchRoute() error {
	service, path, _ := strings.Cut(strings.TrimPrefix(task.request.URL.Path, "/"), "/")
	task.path = "/" + path
	route, otherMethod := task.plan.routes.Route(service, task.request.Method, task.path)
	if otherMethod {
		return rpc.Errorf(rpc.MethodNotAllowed, "%s is not for %s", task.request.Method, task.request.URL.Path)
	}
	if route == nil {
		return rpc.Errorf(rpc.UnknownRoute, "%s", task.request.URL.Path)
	}
	task.route = route
	if !task.plan.routes.allowed(task.proxy.daemon.Zone(), task.tenant, route) {
		return rpc.Errorf(rpc.ForbiddenRegion, "zone %s is closed to this task", task.proxy.daemon.Zone())
	}
	span := time.Duration(task.route.TimeoutMs) * time.Millisecond
	if request := task.request.Header.Get("Oj-Limit-Ms"); request != "" {
		own, err := strconv.Atoi(request)
		if err != nil || own < 1 {
			return rpc.Errorf(rpc.BadRequest, "Oj-Limit-Ms: %q is not a whole number above 0", request)
		}
		span = min(span, time.Duration(own)*time.Millisecond)
	}
	task.deadline = time.Now().Add(span)
	task.state.advance(Routed)
	return nil
}

// readBody reads the whole body, so that a broken caller starts nothing.
func (task *task) readBody(writer http.ResponseWriter) error {
	most := int64(task.route.BodyBytes)
	if task.request.ContentLength > most {
		return rpc.Errorf(rpc.TooLarge, "%d bytes, allowed %d", task.request.ContentLength, most)
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(task.deadline) // a writer without deadlines is read to its end
	body, err := io.ReadAll(http.MaxBytesReader(writer, task.request.Body, most))
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		if int64(len(body)) >= most {
			return rpc.Errorf(rpc.TooLarge, "allowed %d bytes", most)
		}
		return rpc.Errorf(rpc.BadRequest, "body: %v", err)
	}
	task.body = body
	return nil
}

// sendOnce sends a request once for its idempotency key; later ones get its response.
func (task *task) sendOnce() error {
	key := task.request.Header.Get(keyHeader)
	if key == "" || len(key) > 200 {
		return rpc.Errorf(rpc.KeyRequired, "want %s of 1 to 200 letters", keyHeader)
	}
	sum := sha256.Sum256(append([]byte(fmt.Sprintf("%s %s?%s\n", task.request.Method, task.path, task.request.URL.RawQuery)), task.body...))
	claimed := message.ClaimRecord{
		Key: message.ClaimKey{Tenant: task.plan.routes.TenantName(task.tenant), Service: task.route.Service, Key: key},
		ID:  task.id, Digest: hex.EncodeToString(sum[:]), Holder: task.proxy.claims.holder(), Stage: message.ClaimRunning,
	}
	held, err := task.proxy.claims.claim(claimed)
	if err != nil {
		return err
	}
	task.state.advance(KeyClaimed)
	if held != nil {
		return task.replay(held)
	}
	err = task.send()
	task.proxy.claims.finish(claimed, task.response, err)
	return err
}

// replay returns the recorded response of the key's one send.
func (task *task) replay(held *message.ClaimRecord) error {
	if held.Stage != message.ClaimCompleted || held.Status == 0 {
		return &rpc.Error{Code: rpc.OutcomeUnknown, Message: "this key was sent before and its answer is not here", Outcome: rpc.MayHaveRun}
	}
	task.response, task.replayed = &Response{status: held.Status, header: http.Header{}, body: held.Body, length: int64(len(held.Body))}, true
	for name, value := range held.Header {
		task.response.header.Set(name, value)
	}
	task.proxy.counters.Add("replays", 1)
	task.state.advance(Replayed)
	return nil
}

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
		return &rpc.Error{Code: rpc.Overloaded, Message: "this task just failed here and the budget for retries is used up", RetryAfterMs: retryAfterMs, Outcome: rpc.NotRun}
	}
	return task.sendUntilAnswered()
}

// sendUntilAnswered picks a backend and sends until a response is whole, or another send
// is unsafe, out of budget or out of time.
func (task *task) sendUntilAnswered() error {
	var last error = &rpc.Error{Code: rpc.NoBackend, Message: "no backend can take this now", RetryAfterMs: retryAfterMs, Outcome: rpc.NotRun}
	mayRun := false
	for sends := 0; sends < task.route.Attempts; sends++ {
		target, found := task.nextTarget(sends > 0)
		if !found {
			break
		}
		response, ran, err := task.sendTo(target)
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

// nextTarget picks a backend that was not tried; a resend needs the retry budget.
func (task *task) nextTarget(resend bool) (*Target, bool) {
	if resend && !task.proxy.budget.allow() {
		task.proxy.counters.Add("resends_refused", 1)
		return nil, false
	}
	target, found := task.plan.pickBackend(task.route, task.tenant, task.tried)
	if !found {
		return nil, false
	}
	task.tried[target] = true
	task.state.advance(Assigned)
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
