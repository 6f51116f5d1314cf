package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
)

const digestPrefix = "sha256:"

// check validates constraints across fields. Routes are checked only for services that
// changed since the previous, checked version, and for all services of the same name.
func (reader *reader) check(settings, previous *Settings) {
	zones := reader.checkZones(settings)
	reader.checkRegionNames("rule.forbid_regions", settings.Rule.ForbidRegions, settings)
	reader.checkTenants(settings)
	reader.checkClasses(settings, settings.changedServices(previous))
	for index, zone := range settings.Drained.Zones {
		if _, found := zones[zone]; !found {
			reader.addError(fmt.Sprintf("drained.zones[%d]", index), danglingName, "unknown zone %q", zone)
		}
	}
}

// checkZones requires zones to be in one region only, and returns the region by zone.
func (reader *reader) checkZones(settings *Settings) map[string]string {
	zones := map[string]string{}
	for _, name := range sortedNames(settings.Regions) {
		for index, zone := range settings.Regions[name].Zones {
			if other, found := zones[zone]; found && other != name {
				reader.addError(fmt.Sprintf("regions.%s.zones[%d]", name, index), conflict, "zone %q is already in region %q", zone, other)
			}
			zones[zone] = name
		}
	}
	return zones
}

// checkTenants requires known regions, and well-formed keys that no other tenant has.
func (reader *reader) checkTenants(settings *Settings) {
	owners := map[string]string{}
	for _, name := range sortedNames(settings.Tenants) {
		tenant := settings.Tenants[name]
		path := "tenants." + name
		reader.checkRegionNames(path+".forbid_regions", tenant.ForbidRegions, settings)
		for index, key := range tenant.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", path, index)
			if !isKeyDigest(key) {
				reader.addError(keyPath, outOfRange, "want sha256: followed by 64 hex digits")
			}
			if other, found := owners[key]; found && other != name {
				reader.addError(keyPath, conflict, "tenant %q already has this key", other)
			}
			owners[key] = name
		}
	}
}

func isKeyDigest(key string) bool {
	digits, found := strings.CutPrefix(key, digestPrefix)
	raw, err := hex.DecodeString(digits)
	return found && err == nil && len(raw) == sha256.Size
}

// checkClasses requires ranks that no other class has, known regions, and valid routes in
// the services that changed.
func (reader *reader) checkClasses(settings *Settings, changed map[string]bool) {
	ranks := map[int]string{}
	checkedRoutes := map[string]string{}
	for _, name := range sortedNames(settings.Classes) {
		class := settings.Classes[name]
		path := "classes." + name
		if other, found := ranks[class.Rank]; found && class.Rank > 0 {
			reader.addError(path+".rank", conflict, "class %q already has this rank", other)
		}
		ranks[class.Rank] = name
		reader.checkRegionNames(path+".rule.forbid_regions", class.Rule.ForbidRegions, settings)
		for _, serviceName := range sortedNames(class.Services) {
			service := class.Services[serviceName]
			servicePath := path + ".services." + serviceName
			reader.checkRegionNames(servicePath+".rule.forbid_regions", service.Rule.ForbidRegions, settings)
			if !changed[serviceName] {
				continue
			}
			for _, routeName := range sortedNames(service.Routes) {
				reader.checkRoute(servicePath+".routes."+routeName, serviceName, service.Routes[routeName], checkedRoutes, settings)
			}
		}
	}
}

// changedServices returns the names of services whose routes must be checked: all of them
// if there is no previous version or the regions changed.
func (settings *Settings) changedServices(previous *Settings) map[string]bool {
	changed := map[string]bool{}
	for className, class := range settings.Classes {
		for name, service := range class.Services {
			if previous == nil || service.Digest == "" || previous.Classes[className].Services[name].Digest != service.Digest ||
				!maps.EqualFunc(
					previous.Regions,
					settings.Regions,
					func(left, right Region) bool { return slices.Equal(left.Zones, right.Zones) },
				) {
				changed[name] = true
			}
		}
	}
	return changed
}

// checkRoute requires known regions, a known method, a well-formed path, and no other route
// with the same method, service and path among checkedRoutes.
func (reader *reader) checkRoute(path, service string, route Route, checkedRoutes map[string]string, settings *Settings) {
	reader.checkRegionNames(path+".rule.forbid_regions", route.Rule.ForbidRegions, settings)
	switch route.Method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, "":
	default:
		reader.addError(path+".method", outOfRange, "%q is not one of GET, HEAD, POST, PUT, PATCH, DELETE", route.Method)
	}
	if route.Path != "" && (!strings.HasPrefix(route.Path, "/") || strings.Contains(strings.TrimSuffix(route.Path, "*"), "*")) {
		reader.addError(path+".path", outOfRange, "must begin with / and may contain * only at the end")
	}
	routeKey := route.Method + " " + service + route.Path
	if other, found := checkedRoutes[routeKey]; found {
		reader.addError(path+".path", conflict, "%s is already defined by %s", routeKey, other)
	}
	checkedRoutes[routeKey] = path
}

func (reader *reader) checkRegionNames(path string, regions []string, settings *Settings) {
	for index, region := range regions {
		if _, found := settings.Regions[region]; !found {
			reader.addError(fmt.Sprintf("%s[%d]", path, index), danglingName, "unknown region %q", region)
		}
	}
}
