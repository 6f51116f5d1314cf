package config

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
)

const digestPrefix = "sha256:"

// check looks at what one field alone cannot tell. Services of which nothing
// changed since a checked version, nor of one of the same name, are passed over.
func (reader *reader) check(settings, before *Settings) {
	changed := settings.changedServices(before)
	zones := map[string]string{}
	for _, name := range sortedNames(settings.Regions) {
		for index, zone := range settings.Regions[name].Zones {
			if other, found := zones[zone]; found && other != name {
				reader.wrong(fmt.Sprintf("regions.%s.zones[%d]", name, index), conflict, "zone %q is in region %q too", zone, other)
			}
			zones[zone] = name
		}
	}
	reader.regionsKnown("rule.forbid_regions", settings.Rule.ForbidRegions, settings)
	keys := map[string]string{}
	for _, name := range sortedNames(settings.Tenants) {
		tenant := settings.Tenants[name]
		path := "tenants." + name
		reader.regionsKnown(path+".forbid_regions", tenant.ForbidRegions, settings)
		for index, key := range tenant.Keys {
			inner := fmt.Sprintf("%s.keys[%d]", path, index)
			raw, err := hex.DecodeString(strings.TrimPrefix(key, digestPrefix))
			if !strings.HasPrefix(key, digestPrefix) || err != nil || len(raw) != 32 {
				reader.wrong(inner, outOfRange, "want sha256: and 64 hex digits")
			}
			if other, found := keys[key]; found && other != name {
				reader.wrong(inner, conflict, "tenant %q has this key too", other)
			}
			keys[key] = name
		}
	}
	ranks := map[int]string{}
	doors := map[string]string{}
	for _, className := range sortedNames(settings.Classes) {
		class := settings.Classes[className]
		path := "classes." + className
		if other, found := ranks[class.Rank]; found && class.Rank > 0 {
			reader.wrong(path+".rank", conflict, "class %q has this rank too", other)
		}
		ranks[class.Rank] = className
		reader.regionsKnown(path+".rule.forbid_regions", class.Rule.ForbidRegions, settings)
		for _, serviceName := range sortedNames(class.Services) {
			service := class.Services[serviceName]
			inner := path + ".services." + serviceName
			reader.regionsKnown(inner+".rule.forbid_regions", service.Rule.ForbidRegions, settings)
			if !changed[serviceName] {
				continue
			}
			for _, routeName := range sortedNames(service.Routes) {
				route := service.Routes[routeName]
				reader.routeFits(inner+".routes."+routeName, serviceName, route, doors, settings)
			}
		}
	}
	for index, zone := range settings.Drained.Zones {
		if _, found := zones[zone]; !found {
			reader.wrong(fmt.Sprintf("drained.zones[%d]", index), danglingName, "no zone %q", zone)
		}
	}
}

// changedServices are the names of services that must be looked at.
func (settings *Settings) changedServices(before *Settings) map[string]bool {
	changed := map[string]bool{}
	for className, class := range settings.Classes {
		for name, service := range class.Services {
			if before == nil || service.Digest == "" || before.Classes[className].Services[name].Digest != service.Digest || !maps.EqualFunc(before.Regions, settings.Regions, func(left, right Region) bool { return slices.Equal(left.Zones, right.Zones) }) {
				changed[name] = true
			}
		}
	}
	return changed
}

func (reader *reader) routeFits(path, service string, route Route, doors map[string]string, settings *Settings) {
	reader.regionsKnown(path+".rule.forbid_regions", route.Rule.ForbidRegions, settings)
	switch route.Method {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "":
	default:
		reader.wrong(path+".method", outOfRange, "%q is not among GET, HEAD, POST, PUT, PATCH, DELETE", route.Method)
	}
	if route.Path != "" && (!strings.HasPrefix(route.Path, "/") || strings.Contains(strings.TrimSuffix(route.Path, "*"), "*")) {
		reader.wrong(path+".path", outOfRange, "begins with / and may end with *")
	}
	door := route.Method + " " + service + route.Path
	if other, found := doors[door]; found {
		reader.wrong(path+".path", conflict, "%s is %s too", door, other)
	}
	doors[door] = path
}

func (reader *reader) regionsKnown(path string, regions []string, settings *Settings) {
	for index, region := range regions {
		if _, found := settings.Regions[region]; !found {
			reader.wrong(fmt.Sprintf("%s[%d]", path, index), danglingName, "no region %q", region)
		}
	}
}
