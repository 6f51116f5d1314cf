package routing

import (
	"sort"
	"strings"
)

// Index is one version of the routing as requests look it up; it never changes.
type Index struct {
	Version      uint64
	KeysRequired bool
	Limits       Limits
	Services     []Service

	hosts     map[string]*prefixes
	keys      map[string]*Tenant
	services  map[string]int
	evacuated map[string]bool
}

// CompiledRoute is a route with its services as places in the index. A draw below
// Total falls to the first service whose cumulative weight is above it.
type CompiledRoute struct {
	Route      *Route
	Services   []int
	Cumulative []int
	Total      int
	Homes      []string
}

type prefixes struct {
	routes  map[string]*CompiledRoute
	longest int
	homes   bool // whether one of the routes has homes
}

// NewIndex makes the index of a state that was checked.
func NewIndex(state *State) *Index {
	config := &state.Config
	index := &Index{
		Version:      config.Version,
		KeysRequired: config.KeysRequired,
		Limits:       config.Limits,
		Services:     config.Services,
		hosts:        map[string]*prefixes{},
		keys:         map[string]*Tenant{},
		services:     make(map[string]int, len(config.Services)),
		evacuated:    make(map[string]bool, len(state.Evacuated)),
	}
	for place := range config.Services {
		index.services[config.Services[place].Name] = place
	}
	for place := range config.Routes {
		index.add(&config.Routes[place])
	}
	for place := range config.Tenants {
		for _, key := range config.Tenants[place].Keys {
			index.keys[key] = &config.Tenants[place]
		}
	}
	for _, zone := range state.Evacuated {
		index.evacuated[zone] = true
	}
	return index
}

func (index *Index) add(route *Route) {
	host := hostKey(route.Host)
	known := index.hosts[host]
	if known == nil {
		known = &prefixes{routes: map[string]*CompiledRoute{}}
		index.hosts[host] = known
	}
	known.routes[route.Prefix] = index.compile(route)
	known.homes = known.homes || len(route.Homes) > 0
	known.longest = max(known.longest, len(route.Prefix))
}

func (index *Index) compile(route *Route) *CompiledRoute {
	compiled := &CompiledRoute{Route: route, Homes: route.Homes}
	split := route.Split
	if len(split) == 0 {
		split = []WeightedService{{Service: route.Service, Weight: 1}}
	}
	for _, share := range split {
		place, known := index.services[share.Service]
		if !known || share.Weight <= 0 {
			continue
		}
		compiled.Total += share.Weight
		compiled.Services = append(compiled.Services, place)
		compiled.Cumulative = append(compiled.Cumulative, compiled.Total)
	}
	return compiled
}

// Pick is the place of the service that a number from 0 to below Total falls to.
func (compiled *CompiledRoute) Pick(number int) int {
	if len(compiled.Services) == 1 {
		return compiled.Services[0]
	}
	return compiled.Services[sort.SearchInts(compiled.Cumulative, number+1)]
}

// Find is the host's route with the longest prefix that begins the path, which comes without its query.
func (index *Index) Find(host, path string) (*CompiledRoute, bool) {
	known := index.hosts[hostKey(host)]
	if known == nil {
		return nil, false
	}
	path = path[:min(len(path), known.longest)]
	for {
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return nil, false
		}
		if compiled, found := known.routes[path[:slash+1]]; found {
			return compiled, true
		}
		path = path[:slash]
	}
}

// HasHomes is whether a route of the host has regions that its requests must stay in.
func (index *Index) HasHomes(host string) bool {
	known := index.hosts[hostKey(host)]
	return known != nil && known.homes
}

// TenantOf is the tenant that a key belongs to.
func (index *Index) TenantOf(key string) (*Tenant, bool) {
	tenant, known := index.keys[key]
	return tenant, known
}

// ServiceIndex is a service's place in Services.
func (index *Index) ServiceIndex(name string) (int, bool) {
	place, known := index.services[name]
	return place, known
}

// Evacuated is whether nothing may be sent to the backends of a zone.
func (index *Index) Evacuated(zone string) bool { return index.evacuated[zone] }

// hostKey is a host in lower case and without its port.
func hostKey(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && strings.IndexByte(host[colon:], ']') < 0 {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
