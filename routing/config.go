// Package routing defines the routing configuration: services, the routes to them, the
// tenants that may use them, and the evacuated zones. Operators change it by a Change, which
// names the version that it is based on. State is the stored configuration; NewIndex
// builds from it the immutable lookup table of the proxies.
package routing

import (
	"slices"
	"strings"

	"orchidjunction/rpc"
)

// Kind says whether a request of a route may run more than once.
type Kind uint8

// The kinds of routes.
const (
	NonIdempotent Kind = iota
	Idempotent
	Download
)

// IsIdempotent reports whether a request may run more than once.
func (kind Kind) IsIdempotent() bool { return kind != NonIdempotent }

// Extra is an unknown field, stored and returned unchanged.
type Extra struct {
	Name string
	Text string
}

// WeightedService is a service of a split route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route sends the requests to a host and path prefix to a service or a split.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	TimeoutMs int
	TargetMs  int
	Priority  int
	Service   string
	Split     []WeightedService
	Attempts  int
	Public    bool
	Homes     []string
	Extras    []Extra
}

// ProtocolHTTP1 is the protocol to backends, and the default.
const ProtocolHTTP1 = "h1"

// Service is a group of backends that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	Protocol       string
	TLS            bool
	WarmupMs       int
	WarmupRate     float64
	Extras         []Extra
}

// Tenant is a client, identified by the keys in its requests.
type Tenant struct {
	Name        string
	Keys        []string
	HasPriority bool `msgpack:"Ranked"`
	Priority    int
	Homes       []string
	Extras      []Extra
}

// Limits bound the sizes of request heads and bodies, the time to receive a head, and the time
// that a connection may be idle between requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderMs    int
	IdleMs      int
	Extras      []Extra
}

// Config is one complete version of the routing. KeysRequired is whether it lists tenants, so
// that routes that are not public need a key.
type Config struct {
	Version      uint64
	Routes       []Route
	Services     []Service
	Tenants      []Tenant
	KeysRequired bool `msgpack:"Keyed"`
	Limits       Limits
	Extras       []Extra
}

// Patch adds, replaces or removes items of a config by name.
type Patch struct {
	Routes         []Route
	Services       []Service
	Tenants        []Tenant
	Limits         *Limits
	RemoveRoutes   []string
	RemoveServices []string
	RemoveTenants  []string
}

// Change is an operator's change: a whole config, or a patch of the version Base. Digest
// identifies the text of the change, to detect duplicates.
type Change struct {
	Version uint64
	Base    uint64
	Digest  string
	Whole   *Config
	Patch   *Patch
}

// State is the content of the routing register.
type State struct {
	Config    Config
	Evacuated []string
	Restored  []RestoredZone `msgpack:"Reopened"`
	History   History        `msgpack:"Trail"`
	Zones     []ZoneChanges
}

// ZoneChanges is the number of times that a zone was evacuated or restored.
type ZoneChanges struct {
	Zone  string
	Count uint64
}

// ZoneChangeCount returns the number of times that a zone was evacuated or restored.
func (state *State) ZoneChangeCount(zone string) uint64 {
	index, found := state.findZone(zone)
	if !found {
		return 0
	}
	return state.Zones[index].Count
}

// WithZoneChange returns the changes of all zones with one more for a zone.
func (state *State) WithZoneChange(zone string) []ZoneChanges {
	index, found := state.findZone(zone)
	zones := slices.Clone(state.Zones)
	if !found {
		zones = slices.Insert(zones, index, ZoneChanges{Zone: zone})
	}
	zones[index].Count++
	return zones
}

func (state *State) findZone(zone string) (int, bool) {
	return slices.BinarySearchFunc(state.Zones, zone, func(entry ZoneChanges, zone string) int { return strings.Compare(entry.Zone, zone) })
}

// WithoutHistory returns the state without what is only needed to validate changes.
func (state *State) WithoutHistory() *State {
	bare := *state
	bare.History, bare.Zones = History{}, nil
	return &bare
}

// RestoredZone is when a zone was last restored, in milliseconds of cluster time. Its backends may
// have turned cold in the meantime, and lists of them lag.
type RestoredZone struct {
	Zone string
	AtMs int64
}

// DecodeState decodes the body of the register. An empty body is an empty state.
func DecodeState(body []byte) (*State, error) {
	state := &State{}
	if len(body) == 0 {
		return state, nil
	}
	if err := rpc.Unmarshal(body, state); err != nil {
		return nil, rpc.AsError(err)
	}
	return state, nil
}
