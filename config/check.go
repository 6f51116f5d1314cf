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

// check looks at what one field alone cannot tell. Services of which nothing
// changed since a checked version, nor of one of the same name, are passed over.
func (reader *reader) check(settings, before *Settings) {
	zones := reader.checkZones(settings)
	reader.regionsKnown("rule.forbid_regions", settings.Rule.ForbidRegions, settings)
	reader.checkTenants(settings)
	reader.checkClasses(settings, settings.changedServices(before))
	for index, zone := range settings.Drained.Zones {
		if _, found := zones[zone]; !found {
			reader.wrong(fmt.Sprintf("drained.zones[%d]", index), danglingName, "no zone %q", zone)
		}
	}
}

// checkZones wants each zone in one region only, and returns the regions of the zones.
func (reader *reader) checkZones(settings *Settings) map[string]string {
	zones := map[string]string{}
	for _, name := range sortedNames(settings.Regions) {
		for index, zone := range settings.Regions[name].Zones {
			if other, found := zones[zone]; found && other != name {
				reader.wrong(fmt.Sprintf("regions.%s.zones[%d]", name, index), conflict, "zone %q is in region %q too", zone, other)
			}
			zones[zone] = name
		}
	}
	return zones
}

// checkTenants wants known regions, and well-formed keys that no other tenant has.
func (reader *reader) checkTenants(settings *Settings) {
	owners := map[string]string{}
	for _, name := range sortedNames(settings.Tenants) {
		tenant := settings.Tenants[name]
		path := "tenants." + name
		reader.regionsKnown(path+".forbid_regions", tenant.ForbidRegions, settings)
		for index, key := range tenant.Keys {
			inner := fmt.Sprintf("%s.keys[%d]", path, index)
			if !isKeyDigest(key) {
				reader.wrong(inner, outOfRange, "want sha256: and 64 hex digits")
			}
			if other, found := owners[key]; found && other != name {
				reader.wrong(inner, conflict, "tenant %q has this key too", other)
			}
			owners[key] = name
		}
	}
}

// isKeyDigest is whether a key has the form in which settings hold keys.
func isKeyDigest(key string) bool {
	digits, found := strings.CutPrefix(key, digestPrefix)
	raw, err := hex.DecodeString(digits)
	return found && err == nil && len(raw) == sha256.Size
}

// checkClasses wants ranks that no other class has, known regions, and routes that fit in
// the services that changed.
func (reader *reader) checkClasses(settings *Settings, changed map[string]bool) {
	ranks := map[int]string{}
	entries := map[string]string{}
	for _, name := range sortedNames(settings.Classes) {
		class := settings.Classes[name]
		path := "classes." + name
		if other, found := ranks[class.Rank]; found && class.Rank > 0 {
			reader.wrong(path+".rank", conflict, "class %q has this rank too", other)
		}
		ranks[class.Rank] = name
		reader.regionsKnown(path+".rule.forbid_regions", class.Rule.ForbidRegions, settings)
		for _, serviceName := range sortedNames(class.Services) {
			service := class.Services[serviceName]
			inner := path + ".services." + serviceName
			reader.regionsKnown(inner+".rule.forbid_regions", service.Rule.ForbidRegions, settings)
			if !changed[serviceName] {
				continue
			}
			for _, routeName := range sortedNames(service.Routes) {
				reader.checkRoute(inner+".routes."+routeName, serviceName, service.Routes[routeName], entries, settings)
			}
		}
	}
}

// changedServices are the names of services that must be looked at.
func (settings *Settings) changedServices(before *Settings) map[string]bool {
	changed := map[string]bool{}
	for className, class := range settings.Classes {
		for name, service := range class.Services {
			if before == nil || service.Digest == "" || before.Classes[className].Services[name].Digest != service.Digest ||
				!maps.EqualFunc(
					before.Regions,
					settings.Regions,
					func(left, right Region) bool { return slices.Equal(left.Zones, right.Zones) },
				) {
				changed[name] = true
			}
		}
	}
	return changed
}

// checkRoute wants known regions, a known method, a well-formed path, and no other route
// with the same method, service and path. entries holds the routes that were checked.
func (reader *reader) checkRoute(path, service string, route Route, entries map[string]string, settings *Settings) {
	reader.regionsKnown(path+".rule.forbid_regions", route.Rule.ForbidRegions, settings)
	switch route.Method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, "":
	default:
		reader.wrong(path+".method", outOfRange, "%q is not among GET, HEAD, POST, PUT, PATCH, DELETE", route.Method)
	}
	if route.Path != "" && (!strings.HasPrefix(route.Path, "/") || strings.Contains(strings.TrimSuffix(route.Path, "*"), "*")) {
		reader.wrong(path+".path", outOfRange, "begins with / and may end with *")
	}
	entry := route.Method + " " + service + route.Path
	if other, found := entries[entry]; found {
		reader.wrong(path+".path", conflict, "%s is %s too", entry, other)
	}
	entries[entry] = path
}

// regionsKnown wants regions that the settings name.
func (reader *reader) regionsKnown(path string, regions []string, settings *Settings) {
	for index, region := range regions {
		if _, found := settings.Regions[region]; !found {
			reader.wrong(fmt.Sprintf("%s[%d]", path, index), danglingName, "no region %q", region)
		}
	}
}
