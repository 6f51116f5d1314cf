// Package hostproxy is the data plane of host routes: it takes clients' requests and
// carries each to a backend of the route's service.
//
// Routing and backends come in through Proxy.Apply, which swaps in an immutable View.
// A request comes in through Proxy.ServeHTTP: it is matched to a route and admitted
// (admit.go), a backend is chosen for it by cost (choose.go), it is sent there
// (attempt.go), and sent again within the service's retry Budget where that is safe
// (forward.go). Requests to several backends at once are bounded by waitQueues, large
// bodies by a Shaper on each direction of the machine's link.
package hostproxy

// Headers are the names of the fields that clients and backends speak.
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
