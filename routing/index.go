package routing

import (
	"sort"
	"strings"
)

// Index is the lookup table of one version of the routing. It is immutable.
type Index struct {
	Version      uint64
	KeysRequired bool
	Limits       Limits
	Services     []Service

	hosts     map[string]*hostRoutes
	keys      map[string]*Tenant
	services  map[string]int
	evacuated map[string]bool
}

// CompiledRoute is a route with its services as positions in the index. A random number below
// Total selects the first service whose cumulative weight is above it.
type CompiledRoute struct {
	Route      *Route
	Services   []int
	Cumulative []int
	Total      int
	Homes      []string
}

// hostRoutes holds the routes of a host by prefix.
type hostRoutes struct {
	routes   map[string]*CompiledRoute
	longest  int
	hasHomes bool
}

// NewIndex returns the index of a state, whose config must be valid.
func NewIndex(state *State) *Index {
	config := &state.Config
	index := &Index{
		Version:      config.Version,
		KeysRequired: config.KeysRequired,
		Limits:       config.Limits,
		Services:     config.Services,
		hosts:        map[string]*hostRoutes{},
		keys:         map[string]*Tenant{},
		services:     make(map[string]int, len(config.Services)),
		evacuated:    make(map[string]bool, len(state.Evacuated)),
	}
	for position := range config.Services {
		index.services[config.Services[position].Name] = position
	}
	for position := range config.Routes {
		index.add(&config.Routes[position])
	}
	for position := range config.Tenants {
		for _, key := range config.Tenants[position].Keys {
			index.keys[key] = &config.Tenants[position]
		}
	}
	for _, zone := range state.Evacuated {
		index.evacuated[zone] = true
	}
	return index
}

func (index *Index) add(route *Route) {
	host := normalizeHost(route.Host)
	entry := index.hosts[host]
	if entry == nil {
		entry = &hostRoutes{routes: map[string]*CompiledRoute{}}
		index.hosts[host] = entry
	}
	entry.routes[route.Prefix] = index.compile(route)
	entry.hasHomes = entry.hasHomes || len(route.Homes) > 0
	entry.longest = max(entry.longest, len(route.Prefix))
}

func (index *Index) compile(route *Route) *CompiledRoute {
	compiled := &CompiledRoute{Route: route, Homes: route.Homes}
	split := route.Split
	if len(split) == 0 {
		split = []WeightedService{{Service: route.Service, Weight: 1}}
	}
	for _, weighted := range split {
		position, known := index.services[weighted.Service]
		if !known || weighted.Weight <= 0 {
			continue
		}
		compiled.Total += weighted.Weight
		compiled.Services = append(compiled.Services, position)
		compiled.Cumulative = append(compiled.Cumulative, compiled.Total)
	}
	return compiled
}

// Pick returns the position of the service that a number in [0, Total) selects.
func (compiled *CompiledRoute) Pick(number int) int {
	if len(compiled.Services) == 1 {
		return compiled.Services[0]
	}
	return compiled.Services[sort.SearchInts(compiled.Cumulative, number+1)]
}

// Find returns the host's route with the longest prefix of path, which has no query.
func (index *Index) Find(host, path string) (*CompiledRoute, bool) {
	entry := index.hosts[normalizeHost(host)]
	if entry == nil {
		return nil, false
	}
	path = path[:min(len(path), entry.longest)]
	for {
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return nil, false
		}
		if compiled, found := entry.routes[path[:slash+1]]; found {
			return compiled, true
		}
		path = path[:slash]
	}
}

// HasHomes reports whether any route of the host has homes.
func (index *Index) HasHomes(host string) bool {
	entry := index.hosts[normalizeHost(host)]
	return entry != nil && entry.hasHomes
}

// TenantOf returns the tenant of a key.
func (index *Index) TenantOf(key string) (*Tenant, bool) {
	tenant, known := index.keys[key]
	return tenant, known
}

// ServiceIndex returns the position of a service in Services.
func (index *Index) ServiceIndex(name string) (int, bool) {
	position, known := index.services[name]
	return position, known
}

// IsEvacuated reports whether no requests may be sent to the backends of a zone.
func (index *Index) IsEvacuated(zone string) bool { return index.evacuated[zone] }

// normalizeHost returns a host in lower case and without its port.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && strings.IndexByte(host[colon:], ']') < 0 {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
