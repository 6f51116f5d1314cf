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
	// shutdownMargin is the minimum time between a request's deadline and the end of the process.
	shutdownMargin = 300 * time.Millisecond
	// drainedGrace is the time within which callers' placements expire after a zone was drained.
	drainedGrace = 3 * time.Second
)

// isDrained reports whether this proxy's zone is drained and callers' placements have expired.
func (task *task) isDrained() bool {
	return !task.plan.drainedAt.IsZero() && time.Since(task.plan.drainedAt) > drainedGrace
}

// checkDraining refuses any request once isDrained, and one that might not end before this process
// stops.
func (task *task) checkDraining() error {
	if task.isDrained() {
		return &rpc.Error{
			Code:         rpc.ZoneDrained,
			Message:      "this zone is drained; ask a directory for another proxy",
			RetryAfterMs: retryAfterMs,
			Outcome:      rpc.NotRun,
		}
	}
	if remaining, leaving := task.proxy.daemon.TimeToStop(); leaving && time.Until(task.deadline) > remaining-shutdownMargin {
		return &rpc.Error{
			Code:         rpc.Stopping,
			Message:      "this proxy is stopping; ask a directory for another one",
			RetryAfterMs: retryAfterMs,
			Outcome:      rpc.NotRun,
		}
	}
	return nil
}

// redirect refuses a request that another proxy may serve. With an idempotency key its outcome is
// unknown: the key may have been used before.
func (task *task) redirect(code rpc.Code, cause string) error {
	if task.request.Header.Get(keyHeader) != "" {
		return &rpc.Error{
			Code:         rpc.OutcomeUnknown,
			Message:      cause + "; retry with the same key at another proxy",
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
		return rpc.Errorf(rpc.UnknownKey, "want Authorization: Bearer with a tenant's key")
	}
	tenant, found := task.plan.routes.Tenant(key)
	if !found {
		return rpc.Errorf(rpc.UnknownKey, "unknown tenant key")
	}
	if named := task.request.Header.Get("Oj-Tenant"); named != "" && named != task.plan.routes.TenantName(tenant) {
		return rpc.Errorf(rpc.WrongTenant, "the key does not belong to tenant %q", named)
	}
	task.tenant = tenant
	task.state.advance(Authenticated)
	return nil
}

// matchRoute finds the route and sets the deadline.
func (task *task) matchRoute() error {
	service, path, _ := strings.Cut(strings.TrimPrefix(task.request.URL.Path, "/"), "/")
	task.path = "/" + path
	route, methodMismatch := task.plan.routes.Route(service, task.request.Method, task.path)
	if methodMismatch {
		return rpc.Errorf(rpc.MethodNotAllowed, "method %s is not allowed for %s", task.request.Method, task.request.URL.Path)
	}
	if route == nil {
		return rpc.Errorf(rpc.UnknownRoute, "%s", task.request.URL.Path)
	}
	task.route = route
	if !task.plan.routes.allowed(task.proxy.daemon.Zone(), task.tenant, route) {
		return rpc.Errorf(rpc.ForbiddenRegion, "this request may not be served in zone %s", task.proxy.daemon.Zone())
	}
	timeout, err := requestTimeout(task.route.TimeoutMs, task.request.Header.Get(timeoutHeader))
	if err != nil {
		return err
	}
	task.deadline = time.Now().Add(timeout)
	task.state.advance(Routed)
	return nil
}

// timeoutHeader is the header in which a caller sends its timeout in milliseconds.
const timeoutHeader = "Oj-Limit-Ms"

// requestTimeout returns the shorter of the route's and the caller's timeout.
func requestTimeout(routeMs int, callerMs string) (time.Duration, error) {
	timeout := time.Duration(routeMs) * time.Millisecond
	if callerMs == "" {
		return timeout, nil
	}
	requested, err := strconv.Atoi(callerMs)
	if err != nil || requested < 1 {
		return 0, rpc.Errorf(rpc.BadRequest, timeoutHeader+": %q is not a positive integer", callerMs)
	}
	if requested >= routeMs {
		return timeout, nil
	}
	return time.Duration(requested) * time.Millisecond, nil
}

// readBody reads the whole body first, so that a truncated request does not run.
func (task *task) readBody(writer http.ResponseWriter) error {
	maxBytes := int64(task.route.BodyBytes)
	if task.request.ContentLength > maxBytes {
		return rpc.Errorf(rpc.TooLarge, "body of %d bytes exceeds the limit of %d", task.request.ContentLength, maxBytes)
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(task.deadline) // without support for deadlines the body is read to its end
	body, err := io.ReadAll(http.MaxBytesReader(writer, task.request.Body, maxBytes))
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		if int64(len(body)) >= maxBytes {
			return rpc.Errorf(rpc.TooLarge, "body exceeds the limit of %d bytes", maxBytes)
		}
		return rpc.Errorf(rpc.BadRequest, "body: %v", err)
	}
	task.body = body
	return nil
}
