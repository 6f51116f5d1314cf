package data

import (
	"bytes"
	"context"
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
	"orchidjunction/conf"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	comeBack    = 1000
	endMargin   = 300 * time.Millisecond
	moneyHeader = "Idempotency-Key"
	// emptiedGrace is the time in which callers' placements end after a zone was emptied.
	emptiedGrace = 3 * time.Second
)

// task is one request of a caller on its way through the proxy.
type task struct {
	proxy    *Proxy
	plan     *plan
	state    *stateMachine
	id       string
	request  *http.Request
	tenant   int
	rule     *conf.Flat
	path     string
	body     []byte
	limit    time.Time
	tried    map[*Target]bool
	receipt  *Receipt
	finish   func()
	replayed bool
	mark     uint64
	sent     bool
}

// ServeHTTP carries a caller's request to a backend and the response back.
func (proxy *Proxy) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	task := &task{proxy: proxy, state: newStateMachine(proxy.counters), request: request, tried: map[*Target]bool{}, finish: func() {},
		id: proxy.prefix + "-" + strconv.FormatUint(proxy.taskIDs.Add(1), 36)}
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
		task.proxy.retries.recordFailure(task.mark)
	}
	task.proxy.counters.Add("refused_"+string(refusal.Code), 1)
	agent.WriteError(writer, &refusal)
}

func (task *task) deliver(writer http.ResponseWriter) {
	if err := task.receipt.write(writer, task.rule.ReceiptBytes, task.replayed); err != nil {
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
	if task.emptied() {
		writer.Header().Set("Connection", "close")
	}
	for _, step := range []func() error{task.authenticate, task.matchRoute, func() error { return task.readBody(writer) }} {
		if err := step(); err != nil {
			return err
		}
	}
	origin, _, _ := net.SplitHostPort(task.request.RemoteAddr)
	task.mark = fingerprint(origin+" "+task.plan.routes.TenantName(task.tenant), task.request.Header.Get(moneyHeader), task.request.Method, task.request.URL.RequestURI(), task.body)
	if !task.rule.Money {
		return task.send()
	}
	return task.sendOnce()
}

// emptied is whether this front's zone was emptied and the placements are over.
func (task *task) emptied() bool {
	return !task.plan.emptied.IsZero() && time.Since(task.plan.emptied) > emptiedGrace
}

// checkLeaving refuses a request that should go elsewhere: any in a drained zone, and
// one that might not end before this process stops.
func (task *task) checkLeaving() error {
	if task.emptied() {
		return &rpc.Error{Code: rpc.ZoneDrained, Message: "this zone is emptied; ask a directory where to go", RetryAfterMs: comeBack, Outcome: rpc.NotRun}
	}
	if rest, leaving := task.proxy.daemon.StopsIn(); leaving && time.Until(task.limit) > rest-endMargin {
		return &rpc.Error{Code: rpc.Stopping, Message: "this front stops; ask a directory where to go", RetryAfterMs: comeBack, Outcome: rpc.NotRun}
	}
	return nil
}

// redirect refuses a request that another proxy may serve. Whether an idempotency key
// was used before is not known here, so that its outcome is unknown.
func (task *task) redirect(kind rpc.Code, cause string) error {
	if task.request.Header.Get(moneyHeader) != "" {
		return &rpc.Error{Code: rpc.OutcomeUnknown, Message: cause + "; send the key again there", RetryAfterMs: comeBack, Outcome: rpc.MayHaveRun}
	}
	return &rpc.Error{Code: kind, Message: cause, RetryAfterMs: comeBack}
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
	task.rule = route
	if !task.plan.routes.allowed(task.proxy.daemon.Zone(), task.tenant, route) {
		return rpc.Errorf(rpc.ForbiddenRegion, "zone %s is closed to this task", task.proxy.daemon.Zone())
	}
	span := time.Duration(task.rule.LimitMs) * time.Millisecond
	if asked := task.request.Header.Get("Oj-Limit-Ms"); asked != "" {
		own, err := strconv.Atoi(asked)
		if err != nil || own < 1 {
			return rpc.Errorf(rpc.BadRequest, "Oj-Limit-Ms: %q is not a whole number above 0", asked)
		}
		span = min(span, time.Duration(own)*time.Millisecond)
	}
	task.limit = time.Now().Add(span)
	task.state.advance(Routed)
	return nil
}

// readBody reads the whole body, so that a broken caller starts nothing.
func (task *task) readBody(writer http.ResponseWriter) error {
	most := int64(task.rule.BodyBytes)
	if task.request.ContentLength > most {
		return rpc.Errorf(rpc.TooLarge, "%d bytes, allowed %d", task.request.ContentLength, most)
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(task.limit) // a writer without deadlines is read to its end
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
	key := task.request.Header.Get(moneyHeader)
	if key == "" || len(key) > 200 {
		return rpc.Errorf(rpc.KeyRequired, "want %s of 1 to 200 letters", moneyHeader)
	}
	sum := sha256.Sum256(append([]byte(fmt.Sprintf("%s %s?%s\n", task.request.Method, task.path, task.request.URL.RawQuery)), task.body...))
	claimed := message.ClaimRecord{Key: message.ClaimKey{Tenant: task.plan.routes.TenantName(task.tenant), Service: task.rule.Service, Key: key},
		ID: task.id, Digest: hex.EncodeToString(sum[:]), Holder: task.proxy.claims.holder(), Stage: message.ClaimRunning}
	held, err := task.proxy.claims.take(claimed)
	if err != nil {
		return err
	}
	task.state.advance(Claimed)
	if held != nil {
		return task.replay(held)
	}
	err = task.send()
	task.proxy.claims.settle(claimed, task.receipt, err)
	return err
}

// replay returns the recorded response of the key's one send.
func (task *task) replay(held *message.ClaimRecord) error {
	if held.Stage != message.ClaimCompleted || held.Status == 0 {
		return &rpc.Error{Code: rpc.OutcomeUnknown, Message: "this key was sent before and its answer is not here", Outcome: rpc.MayHaveRun}
	}
	task.receipt, task.replayed = &Receipt{status: held.Status, header: http.Header{}, body: held.Body, length: int64(len(held.Body))}, true
	for name, value := range held.Header {
		task.receipt.header.Set(name, value)
	}
	task.proxy.counters.Add("replays", 1)
	task.state.advance(Replayed)
	return nil
}

// send picks a backend and sends until a receipt is whole, or what is left is unsafe,
// out of budget or out of time.
func (task *task) send() error {
	if err := task.checkLeaving(); err != nil {
		return err
	}
	if lend := task.proxy.lend; lend != nil {
		if err := lend.Take(); err != nil {
			return err
		}
		defer lend.Give()
	}
	if err := task.proxy.admission.Admit(task.rule.Class, task.plan.usage(task.rule.Service)); err != nil {
		return err
	}
	if task.proxy.retries.isRetry(task.mark) && !task.proxy.budget.allow() {
		task.proxy.counters.Add("quick_retries_refused", 1)
		return &rpc.Error{Code: rpc.Overloaded, Message: "this task just failed here and the budget for retries is used up", RetryAfterMs: comeBack, Outcome: rpc.NotRun}
	}
	var last error = &rpc.Error{Code: rpc.NoBackend, Message: "no backend can take this now", RetryAfterMs: comeBack, Outcome: rpc.NotRun}
	mayRun := false
	for sends := 0; sends < task.rule.Sends; sends++ {
		if sends > 0 && !task.proxy.budget.allow() {
			task.proxy.counters.Add("resends_refused", 1)
			break
		}
		target, found := task.plan.pickBackend(task.rule, task.tenant, task.tried)
		if !found {
			break
		}
		task.tried[target] = true
		task.state.advance(Assigned)
		if sends == 0 {
			task.proxy.budget.recordSend()
		} else {
			task.proxy.counters.Add("resends", 1)
		}
		receipt, ran, err := task.sendTo(target)
		task.sent = task.sent || ran
		if ran && !mayRun {
			task.proxy.usage.Add(task.plan.routes.TenantName(task.tenant), 1)
		}
		if err == nil {
			task.receipt = receipt
			return nil
		}
		task.proxy.counters.Add("sends_"+string(rpc.CodeOf(err)), 1)
		last, mayRun = err, mayRun || ran
		if ran && task.rule.Money || ran && task.request.Method != http.MethodGet && task.request.Method != http.MethodHead {
			break
		}
		if time.Until(task.limit) < 5*time.Millisecond || task.request.Context().Err() != nil {
			break
		}
	}
	return task.final(last, mayRun)
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
		final.Code, final.RetryAfterMs = rpc.NoBackend, comeBack
	}
	return &final
}

// sendTo makes one send over one pipe.
func (task *task) sendTo(target *Target) (*Receipt, bool, error) {
	left := false
	leave := func() {
		if !left {
			left = true
			target.leave()
		}
	}
	pipe, incarnation, mishap := target.pipe(task.limit)
	if mishap != nil {
		leave()
		return nil, false, mishap
	}
	// The caller's going away does not cut a send short: what it did must be known.
	ctx, cancel := context.WithDeadline(context.Background(), task.limit)
	request, err := task.outgoing(ctx, target.backend().Address)
	if err != nil {
		cancel()
		leave()
		target.giveBack(pipe, incarnation, task.rule.Pipes)
		return nil, false, rpc.Errorf(rpc.BadRequest, "%v", err)
	}
	task.state.advance(Sent)
	response, ran, err := pipe.send(request)
	if err != nil {
		cancel()
		leave()
		pipe.close()
		if time.Now().Before(task.limit) {
			kind := rpc.ConnectionBroken
			if ran {
				kind = rpc.BadResponse
			}
			mishap = rpc.Errorf(kind, "%v", err)
			target.failed(mishap)
			return nil, ran, mishap
		}
		return nil, ran, rpc.Errorf(rpc.DeadlineExceeded, "no answer within the limit")
	}
	task.state.advance(Receiving)
	target.learnReceipt(incarnation, func(identity *Identity) { identity.fromReceipt(response.Header) })
	if serial, err := strconv.ParseUint(response.Header.Get("Oj-Serial"), 10, 64); err == nil {
		task.proxy.daemon.ObserveSerial(serial)
	}
	receipt, mishap := takeReceipt(response, task.id, task.rule.ReceiptBytes, task.rule.Money)
	if mishap != nil {
		cancel()
		leave()
		pipe.close()
		if !time.Now().Before(task.limit) {
			mishap = rpc.Errorf(rpc.DeadlineExceeded, "%s", rpc.AsError(mishap).Message)
		}
		return nil, true, mishap
	}
	if busy := receipt.status == http.StatusServiceUnavailable || receipt.status == http.StatusTooManyRequests; busy && receipt.rest == nil {
		cancel()
		leave()
		target.giveBack(pipe, incarnation, task.rule.Pipes)
		if receipt.header.Get("Oj-Not-Run") == "true" {
			return nil, false, &rpc.Error{Code: rpc.Overloaded, Message: "the backend is busy", RetryAfterMs: comeBack}
		}
		return nil, true, &rpc.Error{Code: rpc.OutcomeUnknown, Message: fmt.Sprintf("the backend said %d and not whether it ran", receipt.status)}
	}
	done := func() {
		cancel()
		leave()
		if receipt.rest != nil {
			receipt.rest.Close()
		}
		target.giveBack(pipe, incarnation, task.rule.Pipes)
	}
	if receipt.rest == nil {
		response.Body.Close()
		done()
	} else {
		task.finish = done
	}
	return receipt, true, nil
}

func (task *task) outgoing(ctx context.Context, address string) (*http.Request, error) {
	url := "http://" + address + task.path
	if query := task.request.URL.RawQuery; query != "" {
		url += "?" + query
	}
	request, err := http.NewRequestWithContext(ctx, task.request.Method, url, bytes.NewReader(task.body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	for name, values := range task.request.Header {
		request.Header[name] = append([]string{}, values...)
	}
	for _, name := range append(hopHeaders, "Authorization", "Accept-Encoding", "Oj-Limit-Ms") {
		request.Header.Del(name)
	}
	for name, value := range map[string]string{"Oj-Task": task.id, "Oj-Tenant": task.plan.routes.TenantName(task.tenant), "Oj-Class": task.rule.Class,
		"Oj-Service": task.rule.Service, "Oj-Serial": strconv.FormatUint(task.plan.routes.Serial, 10),
		"Oj-Limit-Ms": strconv.FormatInt(max(time.Until(task.limit).Milliseconds(), 1), 10)} {
		request.Header.Set(name, value)
	}
	return request, nil
}
