package hostproxy

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"orchidjunction/rpc"
)

// hasAPIKey reports whether an Authorization value carries a key of the configured scheme.
func (proxy *Proxy) hasAPIKey(value string) bool {
	_, found := proxy.parseAPIKey(value)
	return found
}

func (proxy *Proxy) parseAPIKey(value string) (string, bool) {
	value = strings.TrimSpace(value)
	end := strings.IndexAny(value, " \t")
	if end < 0 || !strings.EqualFold(value[:end], proxy.config.Headers.KeyScheme) {
		return "", false
	}
	return strings.TrimSpace(value[end:]), true
}

// validate returns an error status for a request that cannot be forwarded, or 0. Before
// HTTP/1.1, clients cannot detect a truncated response and bodies are framed differently.
// Exactly one attempt ID is required, since it identifies the response.
func (proxy *Proxy) validate(request *request) int {
	if !request.source.ProtoAtLeast(1, 1) {
		request.writer.Header().Set("Connection", "close")
		return http.StatusHTTPVersionNotSupported
	}
	ids := request.source.Header[proxy.config.Headers.Attempt]
	if len(ids) != 1 || ids[0] == "" {
		return http.StatusBadRequest
	}
	request.id = ids[0]
	return 0
}

// admit resolves the route, tenant and service, and reads the body. It returns an error
// status if the request is rejected.
func (proxy *Proxy) admit(request *request, view *routingView) (int, rpc.Code) {
	source, config := request.source, &view.state.Config
	path, _, _ := strings.Cut(source.RequestURI, "?")
	compiled, found := view.index.Find(source.Host, path)
	if !found {
		return http.StatusNotFound, rpc.UnknownRoute
	}
	request.route = compiled.Route
	if key, given := proxy.parseAPIKey(source.Header.Get("Authorization")); given {
		request.tenant, _ = view.index.TenantOf(key)
	}
	if config.KeysRequired && !request.route.Public && request.tenant == nil {
		return http.StatusUnauthorized, rpc.UnknownKey
	}
	request.priority = request.route.Priority
	if request.tenant != nil && request.tenant.HasPriority {
		request.priority = request.tenant.Priority
	}
	request.deadline = request.begin.Add(proxy.timeout(request))
	if status, code := proxy.readRequestBody(request, config.Limits.BodyBytes); status != 0 {
		return status, code
	}
	if len(compiled.Services) == 0 {
		return http.StatusServiceUnavailable, rpc.NoBackend
	}
	service := compiled.Services[0]
	if compiled.Total > 0 {
		service = compiled.Pick(rand.IntN(compiled.Total))
	}
	request.service = view.index.Services[service].Name
	return 0, ""
}

// timeout returns the shorter of the client's deadline and the route's timeout.
func (proxy *Proxy) timeout(request *request) time.Duration {
	timeout := float64(request.route.TimeoutMs)
	milliseconds, err := strconv.ParseFloat(request.source.Header.Get(proxy.config.Headers.Deadline), 64)
	if err == nil && milliseconds >= 0 && milliseconds < timeout {
		timeout = milliseconds
	}
	return time.Duration(timeout * float64(time.Millisecond))
}
