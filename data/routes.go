package data

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"

	"orchidjunction/conf"
)

const sharePerFront = 4

// Routes is a version's settings with names turned into indices, never changed once made.
type Routes struct {
	Serial   uint64
	settings *conf.Settings
	tenants  []tenantEntry
	byKey    map[string]int
	routes   []conf.Flat
	exact    map[door]int
	open     map[string][]int
	paths    map[door]bool
	drained  map[string]bool
	gone     map[string]bool
	regions  map[string]string
}

type tenantEntry struct {
	name    string
	forbids []string
	share   int
}

func NewRoutes(serial uint64, settings *conf.Settings) *Routes {
	routes := &Routes{Serial: serial, settings: settings, byKey: map[string]int{}, exact: map[door]int{}, open: map[string][]int{}, paths: map[door]bool{}, drained: map[string]bool{}, gone: map[string]bool{}, regions: map[string]string{}}
	for name, tenant := range settings.Tenants {
		index := len(routes.tenants)
		routes.tenants = append(routes.tenants, tenantEntry{name: name, forbids: tenant.ForbidRegions, share: tenant.Share})
		for _, key := range tenant.Keys {
			routes.byKey[strings.ToLower(key)] = index
		}
	}
	routes.routes = settings.Flatten()
	for index := range routes.routes {
		route := &routes.routes[index]
		if strings.HasSuffix(route.Path, "*") {
			routes.open[route.Service] = append(routes.open[route.Service], index)
			continue
		}
		routes.exact[door{route.Method, route.Service, route.Path}] = index
		routes.paths[door{"", route.Service, route.Path}] = true
	}
	for _, open := range routes.open {
		sort.Slice(open, func(left, right int) bool {
			return len(routes.routes[open[left]].Path) > len(routes.routes[open[right]].Path)
		})
	}
	for _, zone := range settings.Drained.Zones {
		routes.drained[zone] = true
	}
	for _, backend := range settings.Drained.Backends {
		routes.gone[backend] = true
	}
	for name, region := range settings.Regions {
		for _, zone := range region.Zones {
			routes.regions[zone] = name
		}
	}
	return routes
}

// Tenant finds who holds the key; only digests are kept in settings.
func (routes *Routes) Tenant(key string) (int, bool) {
	sum := sha256.Sum256([]byte(key))
	index, found := routes.byKey["sha256:"+hex.EncodeToString(sum[:])]
	return index, found
}

// Fronts is over how many machines a tenant is spread; large ones over more.
func (routes *Routes) Fronts(tenant int) int {
	return *routes.settings.Rule.Fronts + (routes.tenants[tenant].share-1)/sharePerFront
}

// TenantNamed finds a tenant by name.
func (routes *Routes) TenantNamed(name string) (int, bool) {
	for index := range routes.tenants {
		if routes.tenants[index].name == name {
			return index, true
		}
	}
	return 0, false
}

func (routes *Routes) TenantName(index int) string { return routes.tenants[index].name }

// door is what a task knocks at.
type door struct{ method, service, path string }

// Route finds the route of a method and path within a service; exact paths go first, then the longest prefix.
func (routes *Routes) Route(service, method, path string) (found int, otherMethod bool) {
	if index, known := routes.exact[door{method, service, path}]; known {
		return index, false
	}
	otherMethod = routes.paths[door{"", service, path}]
	for _, index := range routes.open[service] {
		route := &routes.routes[index]
		if !strings.HasPrefix(path, strings.TrimSuffix(route.Path, "*")) {
			continue
		}
		if route.Method == method {
			return index, false
		}
		otherMethod = true
	}
	return -1, otherMethod
}

// allowed is whether a backend's or front's zone may serve this tenant's task on this route.
func (routes *Routes) allowed(zone string, tenant, route int) bool {
	region := routes.regions[zone]
	for _, forbidden := range routes.tenants[tenant].forbids {
		if region == forbidden {
			return false
		}
	}
	for _, forbidden := range routes.routes[route].ForbidRegions {
		if region == forbidden {
			return false
		}
	}
	return true
}

// Drained is whether a zone was emptied.
func (routes *Routes) Drained(zone string) bool { return routes.drained[zone] }

// Settings is the tree these routes were made of.
func (routes *Routes) Settings() *conf.Settings { return routes.settings }

// ZoneAllowed is whether a tenant's traffic may enter a zone at all.
func (routes *Routes) ZoneAllowed(zone string, tenant int) bool {
	for _, forbidden := range routes.tenants[tenant].forbids {
		if routes.regions[zone] == forbidden {
			return false
		}
	}
	return true
}
