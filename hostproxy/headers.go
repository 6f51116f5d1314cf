// Package hostproxy is the data plane for host routes: it accepts client requests and forwards
// each to a backend of the route's service.
//
// Proxy.Apply atomically installs routing and backends as an immutable routingView. Proxy.ServeHTTP
// matches a request to a route and admits it (admit.go), chooses the backend with the lowest
// cost (choose.go), sends the request there (attempt.go), and retries within the service's
// retryBudget if that is safe (forward.go). waitQueues limit the requests that wait for a backend.
// A linkShaper for each direction of the machine's link limits the rate of large bodies.
package hostproxy

// Headers are the names of the header fields exchanged with clients and backends.
type Headers struct {
	Attempt     string
	Deadline    string
	Seal        string
	Tenant      string
	Target      string
	Load        string
	NotExecuted string
	Backend     string
	Warmup      string
	KeyScheme   string
}
