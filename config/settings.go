// Package config implements the settings that operators write: it decodes and checks them
// (Read), resolves what routes inherit (Settings.Resolve for operators, Settings.Flatten
// for the data plane), applies patches (Patch), and splits a version into content-addressed
// chunks (Tree) so that only changed chunks are sent and parsed.
//
// The input is JSON; the result is immutable Settings, or an rpc.Error with the code
// rpc.Invalid that lists every invalid field.
package config

import (
	"maps"
	"slices"
	"time"

	"orchidjunction/idempotency"
)

// Rule holds the values that each level of the settings may override: partner, class,
// service, route. A nil field is inherited from the level above. Times are in milliseconds,
// sizes in bytes; Attempts is the number of tries, Proxies the number of proxies per tenant,
// IdleConnections the number of idle connections per backend.
type Rule struct {
	TimeoutMs       *int     `json:"limit_ms,omitempty"`
	Attempts        *int     `json:"sends,omitempty"`
	BodyBytes       *int     `json:"body_bytes,omitempty"`
	ResponseBytes   *int     `json:"receipt_bytes,omitempty"`
	TTLMs           *int     `json:"hold_ms,omitempty"`
	Proxies         *int     `json:"fronts,omitempty"`
	IdleConnections *int     `json:"pipes,omitempty"`
	ForbidRegions   []string `json:"forbid_regions,omitempty"`
}

// Region is a group of zones.
type Region struct {
	Zones []string `json:"zones"`
}

// Tenant is a customer: the SHA-256 digests of its keys, its relative Share of traffic, and
// the regions that its traffic must not enter.
type Tenant struct {
	Keys          []string `json:"keys"`
	Share         int      `json:"share"`
	ForbidRegions []string `json:"forbid_regions,omitempty"`
}

// Route is a method and path of a service. A path that ends with * matches by prefix.
type Route struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Rule   Rule   `json:"rule"`
}

// Service is a group of routes that the same backends serve. Digest covers the service with
// its routes if it was assembled from chunks, otherwise it is empty.
type Service struct {
	Rule   Rule             `json:"rule"`
	Routes map[string]Route `json:"routes"`
	Digest string           `json:"-"`
}

// Class is a priority class of services. Rank 1 is the most urgent; FloorRps requests per
// second are always admitted, BorrowRps more while backends are idle. Requests of a class
// with KeyRequired run at most once per idempotency key.
type Class struct {
	Rank        int                `json:"rank"`
	KeyRequired bool               `json:"money"`
	FloorRps    int                `json:"floor_rps"`
	BorrowRps   int                `json:"borrow_rps"`
	Rule        Rule               `json:"rule"`
	Services    map[string]Service `json:"services"`
}

// Retry is the retry budget: per SpanMs milliseconds and over all proxies, Fraction of the
// first attempts plus Floor retries.
type Retry struct {
	Fraction float64 `json:"fraction"`
	Floor    int     `json:"floor"`
	SpanMs   int     `json:"span_ms"`
}

// KeySettings holds the TTL of idempotency keys in seconds; 0 means the default.
type KeySettings struct {
	TTLSeconds int `json:"remember_s,omitempty"`
}

// Drained lists the zones and backends that get no new requests.
type Drained struct {
	Zones    []string `json:"zones,omitempty"`
	Backends []string `json:"backends,omitempty"`
}

// Settings are the whole settings of one partner. They are immutable, and versions may
// share parts.
type Settings struct {
	Format   int               `json:"format"`
	Partner  string            `json:"partner"`
	AckMs    int               `json:"ack_ms"`
	ProxyRps int               `json:"front_rps,omitempty"`
	Rule     Rule              `json:"rule"`
	Retry    Retry             `json:"retry"`
	Keys     KeySettings       `json:"money"`
	Regions  map[string]Region `json:"regions"`
	Tenants  map[string]Tenant `json:"tenants"`
	Classes  map[string]Class  `json:"classes"`
	Drained  Drained           `json:"drained"`

	tenantsDigest string
}

// KeyTTL returns the TTL of idempotency keys.
func (settings *Settings) KeyTTL() time.Duration {
	if settings.Keys.TTLSeconds == 0 {
		return idempotency.DefaultTTL
	}
	return time.Duration(settings.Keys.TTLSeconds) * time.Second
}

func sortedNames[T any](named map[string]T) []string { return slices.Sorted(maps.Keys(named)) }

// BackendEnabled reports whether neither the zone nor the backend is drained.
func (settings *Settings) BackendEnabled(zone, backend string) bool {
	if slices.Contains(settings.Drained.Zones, zone) {
		return false
	}
	return !slices.Contains(settings.Drained.Backends, backend)
}

// TenantNames returns the names of all tenants.
func (settings *Settings) TenantNames() []string { return sortedNames(settings.Tenants) }
