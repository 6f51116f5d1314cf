package data

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"orchidjunction/conf"
)

// Routes is a version's settings with names turned into indices, never changed once made.
type Routes struct {
	Serial   uint64
	settings *conf.Settings
	tenants  []tenantEntry
	byKey    map[string]int
	routes   []conf.Effective
	services map[string][]int
	drained  map[string]bool
	gone     map[string]bool
	regions  map[string]string
}

type tenantEntry struct {
	name    string
	forbids []string
}

func NewRoutes(serial uint64, settings *conf.Settings) *Routes {
	routes := &Routes{Serial: serial, settings: settings, byKey: map[string]int{}, services: map[string][]int{}, drained: map[string]bool{}, gone: map[string]bool{}, regions: map[string]string{}}
	for name, tenant := range settings.Tenants {
		index := len(routes.tenants)
		routes.tenants = append(routes.tenants, tenantEntry{name: name, forbids: tenant.ForbidRegions})
		for _, key := range tenant.Keys {
			routes.byKey[strings.ToLower(key)] = index
		}
	}
	routes.routes = settings.Resolve()
	for index := range routes.routes {
		service := routes.routes[index].Service
		routes.services[service] = append(routes.services[service], index)
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

// Route finds the route of a method and path within a service; exact paths go first, then the longest prefix.
func (routes *Routes) Route(service, method, path string) (found int, otherMethod bool) {
	found = -1
	best := -1
	for _, index := range routes.services[service] {
		route := &routes.routes[index]
		prefix, open := strings.CutSuffix(route.Path, "*")
		if !(path == route.Path || open && strings.HasPrefix(path, prefix)) {
			continue
		}
		if route.Method != method {
			otherMethod = true
			continue
		}
		weight := len(prefix)
		if !open {
			weight = 1 << 20
		}
		if weight > best {
			found, best = index, weight
		}
	}
	return found, otherMethod && found < 0
}

// allowed is whether a backend's or front's zone may serve this tenant's task on this route.
func (routes *Routes) allowed(zone string, tenant, route int) bool {
	region := routes.regions[zone]
	for _, forbidden := range routes.tenants[tenant].forbids {
		if region == forbidden {
			return false
		}
	}
	for _, forbidden := range routes.routes[route].ForbidRegions() {
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
