// Package proxy is the data plane of host routes: it takes clients' requests and
// carries each to a backend of the route's service.
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
