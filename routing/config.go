// Package routing is what an operator says about where requests go: services, the
// routes to them, the tenants that may use them, and the zones that are evacuated.
// A change of it is a Change that names the version it follows; State is what is in
// force, and NewIndex makes of it the lookup table that proxies swap whole.
package routing

import (
	"slices"
	"strings"

	"orchidjunction/rpc"
)

// Kind says how often a request of a route may run.
type Kind uint8

// Kinds of routes; Repeats tells which of them may run more than once.
const (
	NonIdempotent Kind = iota
	Idempotent
	Download
)

// IsIdempotent is whether a request may run more than once.
func (kind Kind) IsIdempotent() bool { return kind != NonIdempotent }

// Extra is a field that the product does not know and hands back as it came.
type Extra struct {
	Name string
	Text string
}

// WeightedService is one service's part of a split route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route sends the requests of a host below a path to a service.
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

// ProtocolHTTP1 is the protocol that backends are spoken to, also where a service names none.
const ProtocolHTTP1 = "h1"

// Service is a set of backends that serve the same requests.
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

// Tenant is whose key a request carries.
type Tenant struct {
	Name        string
	Keys        []string
	HasPriority bool `msgpack:"Ranked"`
	Priority    int
	Homes       []string
	Extras      []Extra
}

// Limits bound what a client may send, and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderMs    int
	IdleMs      int
	Extras      []Extra
}

// Config is one whole version of an operator's routing. Keyed is whether it
// names tenants at all, and so wants a key from requests of routes not public.
type Config struct {
	Version      uint64
	Routes       []Route
	Services     []Service
	Tenants      []Tenant
	KeysRequired bool `msgpack:"Keyed"`
	Limits       Limits
	Extras       []Extra
}

// Patch changes named items of a config.
type Patch struct {
	Routes         []Route
	Services       []Service
	Tenants        []Tenant
	Limits         *Limits
	RemoveRoutes   []string
	RemoveServices []string
	RemoveTenants  []string
}

// Change is an operator's change: a whole config or a patch on top of a version.
// Digest names the change's exact text, so that a repeat is known.
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

// ZoneChanges is how often a zone was evacuated and taken back.
type ZoneChanges struct {
	Zone  string
	Count uint64
}

// ChangesOf is how often a zone was evacuated and taken back.
func (state *State) ChangesOf(zone string) uint64 {
	index, found := state.findZone(zone)
	if !found {
		return 0
	}
	return state.Zones[index].Count
}

// WithChangeOf are the zones' changes with one more of a zone.
func (state *State) WithChangeOf(zone string) []ZoneChanges {
	index, found := state.findZone(zone)
	zones := slices.Clone(state.Zones)
	if !found {
		zones = slices.Insert(zones, index, ZoneChanges{Zone: zone})
	}
	zones[index].Count++
	return zones
}

func (state *State) findZone(zone string) (int, bool) {
	return slices.BinarySearchFunc(state.Zones, zone, func(one ZoneChanges, zone string) int { return strings.Compare(one.Zone, zone) })
}

// WithoutHistory is the state as daemons need it, without what only changes are judged by.
func (state *State) WithoutHistory() *State {
	bare := *state
	bare.History, bare.Zones = History{}, nil
	return &bare
}

// RestoredZone is when a zone was last taken back, in milliseconds of true time: its
// backends may have turned cold meanwhile, and lists lag.
type RestoredZone struct {
	Zone string
	AtMs int64
}

// DecodeState reads the register's body; none is an empty state.
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
