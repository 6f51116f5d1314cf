package serviceproxy

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"orchidjunction/config"
)

const sharePerProxy = 4

// Routes is the settings of one version with tenant names resolved to indices. It is immutable;
// versions share route tables that did not change.
type Routes struct {
	Serial          uint64
	settings        *config.Settings
	tenants         []tenantEntry
	tenantByKey     map[string]int
	tables          map[string][]*routeTable
	drainedZones    map[string]bool
	drainedBackends map[string]bool
	regions         map[string]string
}

type tenantEntry struct {
	name             string
	forbiddenRegions []string
	share            int
}

// NewRoutes builds the routes of a version; previous may be nil.
func NewRoutes(serial uint64, settings *config.Settings, previous *Routes) *Routes {
	routes := &Routes{
		Serial:          serial,
		settings:        settings,
		tenantByKey:     map[string]int{},
		tables:          map[string][]*routeTable{},
		drainedZones:    map[string]bool{},
		drainedBackends: map[string]bool{},
		regions:         map[string]string{},
	}
	for name, tenant := range settings.Tenants {
		index := len(routes.tenants)
		routes.tenants = append(routes.tenants, tenantEntry{name: name, forbiddenRegions: tenant.ForbidRegions, share: tenant.Share})
		for _, key := range tenant.Keys {
			routes.tenantByKey[strings.ToLower(key)] = index
		}
	}
	for className, class := range settings.Classes {
		for name, service := range class.Services {
			routes.tables[name] = append(
				routes.tables[name],
				newRouteTable(service, settings.Inherited(className, name), previous.tableOf(className, name)),
			)
		}
	}
	for _, zone := range settings.Drained.Zones {
		routes.drainedZones[zone] = true
	}
	for _, backend := range settings.Drained.Backends {
		routes.drainedBackends[backend] = true
	}
	for name, region := range settings.Regions {
		for _, zone := range region.Zones {
			routes.regions[zone] = name
		}
	}
	return routes
}

// Tenant returns the index of the tenant that holds the key. Only digests of keys
// are kept.
func (routes *Routes) Tenant(key string) (int, bool) {
	digest := sha256.Sum256([]byte(key))
	index, found := routes.tenantByKey["sha256:"+hex.EncodeToString(digest[:])]
	return index, found
}

// Proxies returns the number of proxies that a tenant is spread over; large tenants
// get more.
func (routes *Routes) Proxies(tenant int) int {
	return *routes.settings.Rule.Proxies + (routes.tenants[tenant].share-1)/sharePerProxy
}

// TenantNamed returns the index of a tenant by name.
func (routes *Routes) TenantNamed(name string) (int, bool) {
	for index := range routes.tenants {
		if routes.tenants[index].name == name {
			return index, true
		}
	}
	return 0, false
}

// TenantName returns the name of the tenant with this index.
func (routes *Routes) TenantName(index int) string { return routes.tenants[index].name }

func (routes *Routes) tableOf(class, service string) *routeTable {
	if routes == nil {
		return nil
	}
	for _, table := range routes.tables[service] {
		if table.inherited.Class == class {
			return table
		}
	}
	return nil
}

// Route returns the route of a method and path within a service, in any class: exact paths first,
// then the longest prefix. methodMismatch says that only the method does not match.
func (routes *Routes) Route(service, method, path string) (found *config.FlatRoute, methodMismatch bool) {
	bestSpecificity := 0
	for _, table := range routes.tables[service] {
		route, specificity, mismatch := table.find(method, path)
		if route != nil && specificity > bestSpecificity {
			found, bestSpecificity = route, specificity
		}
		methodMismatch = methodMismatch || mismatch
	}
	return found, methodMismatch && found == nil
}

// allowed reports whether a proxy or backend in the zone may serve the tenant on this route.
func (routes *Routes) allowed(zone string, tenant int, route *config.FlatRoute) bool {
	region := routes.regions[zone]
	if slices.Contains(routes.tenants[tenant].forbiddenRegions, region) {
		return false
	}
	return !slices.Contains(route.ForbidRegions, region)
}

// Drained reports whether a zone is drained.
func (routes *Routes) Drained(zone string) bool { return routes.drainedZones[zone] }

// Settings returns the settings that these routes were built from.
func (routes *Routes) Settings() *config.Settings { return routes.settings }

// ZoneAllowed reports whether a tenant's traffic may enter a zone.
func (routes *Routes) ZoneAllowed(zone string, tenant int) bool {
	return !slices.Contains(routes.tenants[tenant].forbiddenRegions, routes.regions[zone])
}
