package hostproxy

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"orchidjunction/rpc"
)

// isKey is whether an Authorization value carries a key of the scheme.
func (proxy *Proxy) isKey(value string) bool {
	_, found := proxy.key(value)
	return found
}

func (proxy *Proxy) key(value string) (string, bool) {
	value = strings.TrimSpace(value)
	end := strings.IndexAny(value, " \t")
	if end < 0 || !strings.EqualFold(value[:end], proxy.config.Headers.KeyScheme) {
		return "", false
	}
	return strings.TrimSpace(value[end:]), true
}

// malformed is the status of a request that cannot be carried: of a protocol in which
// a client would not see that an answer was cut short, and which frames bodies in
// another way; or without the one attempt id by which its answer is known.
func (proxy *Proxy) malformed(request *request) int {
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

// admit finds the route and the tenant, and reads the body; a status where the request
// goes no further.
func (proxy *Proxy) admit(request *request, view *View) (int, rpc.Code) {
	source, config := request.source, &view.state.Config
	path, _, _ := strings.Cut(source.RequestURI, "?")
	compiled, found := view.index.Find(source.Host, path)
	if !found {
		return http.StatusNotFound, rpc.UnknownRoute
	}
	request.route = compiled.Route
	if key, given := proxy.key(source.Header.Get("Authorization")); given {
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

// timeout is how long a request may take: the client's deadline, or the route's
// timeout where that is shorter.
func (proxy *Proxy) timeout(request *request) time.Duration {
	timeout := float64(request.route.TimeoutMs)
	milliseconds, err := strconv.ParseFloat(request.source.Header.Get(proxy.config.Headers.Deadline), 64)
	if err == nil && milliseconds >= 0 && milliseconds < timeout {
		timeout = milliseconds
	}
	return time.Duration(timeout * float64(time.Millisecond))
}
