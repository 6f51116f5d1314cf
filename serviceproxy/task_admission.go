package serviceproxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"orchidjunction/rpc"
)

const (
	// stopMargin is kept free between a request's deadline and the end of the process.
	shutdownMargin = 300 * time.Millisecond
	// drainedGrace is the time in which callers' placements end after a zone was drained.
	drainedGrace = 3 * time.Second
)

// isDrained is whether this front's zone was emptied and the placements are over.
func (task *task) isDrained() bool {
	return !task.plan.drainedAt.IsZero() && time.Since(task.plan.drainedAt) > drainedGrace
}

// checkLeaving refuses a request that should go elsewhere: any in a drained zone, and
// one that might not end before this process stops.
func (task *task) checkDraining() error {
	if task.isDrained() {
		return &rpc.Error{
			Code:         rpc.ZoneDrained,
			Message:      "this zone is emptied; ask a directory where to go",
			RetryAfterMs: retryAfterMs,
			Outcome:      rpc.NotRun,
		}
	}
	if remaining, leaving := task.proxy.daemon.StopsIn(); leaving && time.Until(task.deadline) > remaining-shutdownMargin {
		return &rpc.Error{
			Code:         rpc.Stopping,
			Message:      "this front stops; ask a directory where to go",
			RetryAfterMs: retryAfterMs,
			Outcome:      rpc.NotRun,
		}
	}
	return nil
}

// redirect refuses a request that another proxy may serve. Whether an idempotency key
// was used before is not known here, so that its outcome is unknown.
func (task *task) redirect(code rpc.Code, cause string) error {
	if task.request.Header.Get(keyHeader) != "" {
		return &rpc.Error{
			Code:         rpc.OutcomeUnknown,
			Message:      cause + "; send the key again there",
			RetryAfterMs: retryAfterMs,
			Outcome:      rpc.MayHaveRun,
		}
	}
	return &rpc.Error{Code: code, Message: cause, RetryAfterMs: retryAfterMs}
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
	route, methodMismatch := task.plan.routes.Route(service, task.request.Method, task.path)
	if methodMismatch {
		return rpc.Errorf(rpc.MethodNotAllowed, "%s is not for %s", task.request.Method, task.request.URL.Path)
	}
	if route == nil {
		return rpc.Errorf(rpc.UnknownRoute, "%s", task.request.URL.Path)
	}
	task.route = route
	if !task.plan.routes.allowed(task.proxy.daemon.Zone(), task.tenant, route) {
		return rpc.Errorf(rpc.ForbiddenRegion, "zone %s is closed to this task", task.proxy.daemon.Zone())
	}
	timeout, err := requestTimeout(task.route.TimeoutMs, task.request.Header.Get(timeoutHeader))
	if err != nil {
		return err
	}
	task.deadline = time.Now().Add(timeout)
	task.state.advance(Routed)
	return nil
}

// limitHeader is the header by which a caller says how many milliseconds it waits.
const timeoutHeader = "Oj-Limit-Ms"

// timeLimit is how long a task may take: as long as its route says, or its caller if that is
// shorter.
func requestTimeout(routeMs int, callerMs string) (time.Duration, error) {
	timeout := time.Duration(routeMs) * time.Millisecond
	if callerMs == "" {
		return timeout, nil
	}
	requested, err := strconv.Atoi(callerMs)
	if err != nil || requested < 1 {
		return 0, rpc.Errorf(rpc.BadRequest, timeoutHeader+": %q is not a whole number above 0", callerMs)
	}
	if requested >= routeMs {
		return timeout, nil
	}
	return time.Duration(requested) * time.Millisecond, nil
}

// readBody reads the whole body, so that a broken caller starts nothing.
func (task *task) readBody(writer http.ResponseWriter) error {
	maxBytes := int64(task.route.BodyBytes)
	if task.request.ContentLength > maxBytes {
		return rpc.Errorf(rpc.TooLarge, "%d bytes, allowed %d", task.request.ContentLength, maxBytes)
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(task.deadline) // a writer without deadlines is read to its end
	body, err := io.ReadAll(http.MaxBytesReader(writer, task.request.Body, maxBytes))
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		if int64(len(body)) >= maxBytes {
			return rpc.Errorf(rpc.TooLarge, "allowed %d bytes", maxBytes)
		}
		return rpc.Errorf(rpc.BadRequest, "body: %v", err)
	}
	task.body = body
	return nil
}
