package routing

import (
	"fmt"
	"strconv"
	"strings"

	"orchidjunction/rpc"
)

const (
	emptyValue    = "empty"
	duplicateName = "duplicate_name"
	sharedKey     = "shared_key"
	samePlace     = "same_place"
	danglingName  = "dangling_name"
	outOfRange    = "out_of_range"
	invalidPrefix = "bad_prefix"
	unsupported   = "not_supported"
)

const maxDetails = 20

type checker struct {
	details []rpc.Detail
	count   int
}

func (checker *checker) wrong(path, kind, cause string) {
	checker.count++
	if len(checker.details) < maxDetails {
		checker.details = append(checker.details, rpc.Detail{Path: path, Code: kind, Message: cause})
	}
}

func (checker *checker) atLeast(path string, value, least int64) {
	if value < least {
		checker.wrong(path, outOfRange, strconv.FormatInt(value, 10)+" is below "+strconv.FormatInt(least, 10))
	}
}

// name takes a name that must be given and be there once.
func (checker *checker) name(list, name string, seen map[string]bool) string {
	path := list + "." + name
	switch {
	case name == "":
		checker.wrong(list, emptyValue, "an item has no name")
	case seen[name]:
		checker.wrong(path, duplicateName, "given twice")
	}
	seen[name] = true
	return path
}

// Check finds everything that keeps the config from being put in force.
func (config *Config) Check() error {
	checker := &checker{}
	services := make(map[string]bool, len(config.Services))
	for index := range config.Services {
		checker.service(&config.Services[index], services)
	}
	names, places := make(map[string]bool, len(config.Routes)), make(map[hostAndPrefix]string, len(config.Routes))
	for index := range config.Routes {
		checker.route(&config.Routes[index], names, services, places)
	}
	checker.tenants(config.Tenants)
	checker.limits(&config.Limits)
	if checker.count == 0 {
		return nil
	}
	return &rpc.Error{Code: rpc.Invalid, Message: fmt.Sprintf("%d wrong", checker.count), Details: checker.details}
}

type hostAndPrefix struct{ host, prefix string }

func (checker *checker) service(service *Service, seen map[string]bool) {
	path := checker.name("services", service.Name, seen)
	if service.HealthPath != "" && service.HealthPath[0] != '/' {
		checker.wrong(path+".health", invalidPrefix, "no leading slash")
	}
	if service.Protocol != "" && service.Protocol != ProtocolHTTP1 {
		checker.wrong(path+".protocol", unsupported, service.Protocol+" is not spoken to backends")
	}
	if service.TLS {
		checker.wrong(path+".tls", unsupported, "backends are not called by TLS")
	}
	checker.atLeast(path+".max_connections", int64(service.MaxConnections), 0)
	checker.atLeast(path+".warmup", int64(service.WarmupMs), 0)
	if !(service.WarmupRate >= 0) {
		checker.wrong(path+".warmup_rate", outOfRange, "is below 0")
	}
}

func (checker *checker) route(route *Route, names, services map[string]bool, places map[hostAndPrefix]string) {
	path := checker.name("routes", route.Name, names)
	if route.Host == "" {
		checker.wrong(path+".host", emptyValue, "must be given")
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		checker.wrong(path+".prefix", invalidPrefix, "must begin and end with a slash")
	}
	at := hostAndPrefix{host: hostKey(route.Host), prefix: route.Prefix}
	if other, taken := places[at]; taken && other != route.Name {
		checker.wrong(path, samePlace, "the same host and prefix as "+other)
	}
	places[at] = route.Name
	if route.Kind > Download {
		checker.wrong(path+".kind", outOfRange, "no such kind")
	}
	checker.atLeast(path+".timeout", int64(route.TimeoutMs), 1)
	checker.atLeast(path+".target", int64(route.TargetMs), 0)
	checker.atLeast(path+".attempts", int64(route.Attempts), 1)
	checker.shares(path, route, services)
	for _, home := range route.Homes {
		if home == "" {
			checker.wrong(path+".homes", emptyValue, "a region without a name")
		}
	}
}

func (checker *checker) shares(path string, route *Route, services map[string]bool) {
	if route.Service == "" && len(route.Split) == 0 {
		checker.wrong(path+".service", emptyValue, "neither a service nor a split")
	}
	if route.Service != "" && !services[route.Service] {
		checker.wrong(path+".service", danglingName, "no service "+route.Service)
	}
	total := 0
	for _, share := range route.Split {
		if !services[share.Service] {
			checker.wrong(path+".split", danglingName, "no service "+share.Service)
		}
		checker.atLeast(path+".split.weight", int64(share.Weight), 0)
		total += max(share.Weight, 0)
	}
	if len(route.Split) > 0 && total == 0 {
		checker.wrong(path+".split", outOfRange, "no weight is above 0")
	}
}

func (checker *checker) tenants(tenants []Tenant) {
	names, holders := make(map[string]bool, len(tenants)), map[string]string{}
	for index := range tenants {
		tenant := &tenants[index]
		path := checker.name("tenants", tenant.Name, names)
		for _, key := range tenant.Keys {
			if key == "" {
				checker.wrong(path+".keys", emptyValue, "an empty key")
			}
			if holder, held := holders[key]; held && holder != tenant.Name {
				checker.wrong(path+".keys", sharedKey, "a key of "+holder+" as well")
			}
			holders[key] = tenant.Name
		}
		for _, home := range tenant.Homes {
			if home == "" {
				checker.wrong(path+".homes", emptyValue, "a region without a name")
			}
		}
	}
}

func (checker *checker) limits(limits *Limits) {
	checker.atLeast("limits.header_bytes", int64(limits.HeaderBytes), 0)
	checker.atLeast("limits.body_bytes", limits.BodyBytes, 0)
	checker.atLeast("limits.header_timeout", int64(limits.HeaderMs), 0)
	checker.atLeast("limits.idle_timeout", int64(limits.IdleMs), 0)
}
