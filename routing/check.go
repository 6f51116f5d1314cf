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

func (checker *checker) add(path, code, description string) {
	checker.count++
	if len(checker.details) < maxDetails {
		checker.details = append(checker.details, rpc.Detail{Path: path, Code: code, Message: description})
	}
}

func (checker *checker) checkMinimum(path string, value, minimum int64) {
	if value < minimum {
		checker.add(path, outOfRange, strconv.FormatInt(value, 10)+" is below the minimum of "+strconv.FormatInt(minimum, 10))
	}
}

// checkName returns the path of a name, which must be set and unique.
func (checker *checker) checkName(list, name string, seen map[string]bool) string {
	path := list + "." + name
	switch {
	case name == "":
		checker.add(list, emptyValue, "the item has no name")
	case seen[name]:
		checker.add(path, duplicateName, "the name is used more than once")
	}
	seen[name] = true
	return path
}

// Check returns an error with the number of problems and the first maxDetails of them, nil if the
// config is valid.
func (config *Config) Check() error {
	checker := &checker{}
	services := make(map[string]bool, len(config.Services))
	for index := range config.Services {
		checker.checkService(&config.Services[index], services)
	}
	names, claimed := make(map[string]bool, len(config.Routes)), make(map[hostAndPrefix]string, len(config.Routes))
	for index := range config.Routes {
		checker.checkRoute(&config.Routes[index], names, services, claimed)
	}
	checker.checkTenants(config.Tenants)
	checker.checkLimits(&config.Limits)
	if checker.count == 0 {
		return nil
	}
	return &rpc.Error{Code: rpc.Invalid, Message: fmt.Sprintf("%d wrong", checker.count), Details: checker.details}
}

type hostAndPrefix struct{ host, prefix string }

func (checker *checker) checkService(service *Service, seen map[string]bool) {
	path := checker.checkName("services", service.Name, seen)
	if service.HealthPath != "" && service.HealthPath[0] != '/' {
		checker.add(path+".health", invalidPrefix, "must begin with a slash")
	}
	if service.Protocol != "" && service.Protocol != ProtocolHTTP1 {
		checker.add(path+".protocol", unsupported, service.Protocol+" is not a supported protocol to backends")
	}
	if service.TLS {
		checker.add(path+".tls", unsupported, "TLS to backends is not supported")
	}
	checker.checkMinimum(path+".max_connections", int64(service.MaxConnections), 0)
	checker.checkMinimum(path+".warmup", int64(service.WarmupMs), 0)
	if !(service.WarmupRate >= 0) {
		checker.add(path+".warmup_rate", outOfRange, "must be at least 0")
	}
}

func (checker *checker) checkRoute(route *Route, names, services map[string]bool, claimed map[hostAndPrefix]string) {
	path := checker.checkName("routes", route.Name, names)
	if route.Host == "" {
		checker.add(path+".host", emptyValue, "must not be empty")
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		checker.add(path+".prefix", invalidPrefix, "must begin and end with a slash")
	}
	match := hostAndPrefix{host: normalizeHost(route.Host), prefix: route.Prefix}
	if other, taken := claimed[match]; taken && other != route.Name {
		checker.add(path, samePlace, "has the same host and prefix as route "+other)
	}
	claimed[match] = route.Name
	if route.Kind > Download {
		checker.add(path+".kind", outOfRange, "unknown kind")
	}
	checker.checkMinimum(path+".timeout", int64(route.TimeoutMs), 1)
	checker.checkMinimum(path+".target", int64(route.TargetMs), 0)
	checker.checkMinimum(path+".attempts", int64(route.Attempts), 1)
	checker.checkDestination(path, route, services)
	for _, home := range route.Homes {
		if home == "" {
			checker.add(path+".homes", emptyValue, "the name of a region is empty")
		}
	}
}

func (checker *checker) checkDestination(path string, route *Route, services map[string]bool) {
	if route.Service == "" && len(route.Split) == 0 {
		checker.add(path+".service", emptyValue, "neither service nor split is set")
	}
	if route.Service != "" && !services[route.Service] {
		checker.add(path+".service", danglingName, "unknown service "+route.Service)
	}
	total := 0
	for _, share := range route.Split {
		if !services[share.Service] {
			checker.add(path+".split", danglingName, "unknown service "+share.Service)
		}
		checker.checkMinimum(path+".split.weight", int64(share.Weight), 0)
		total += max(share.Weight, 0)
	}
	if len(route.Split) > 0 && total == 0 {
		checker.add(path+".split", outOfRange, "no weight is above 0")
	}
}

func (checker *checker) checkTenants(tenants []Tenant) {
	names, holders := make(map[string]bool, len(tenants)), map[string]string{}
	for index := range tenants {
		tenant := &tenants[index]
		path := checker.checkName("tenants", tenant.Name, names)
		for _, key := range tenant.Keys {
			if key == "" {
				checker.add(path+".keys", emptyValue, "a key is empty")
			}
			if holder, held := holders[key]; held && holder != tenant.Name {
				checker.add(path+".keys", sharedKey, "a key is also listed for tenant "+holder+"; keys must be unique")
			}
			holders[key] = tenant.Name
		}
		for _, home := range tenant.Homes {
			if home == "" {
				checker.add(path+".homes", emptyValue, "the name of a region is empty")
			}
		}
	}
}

func (checker *checker) checkLimits(limits *Limits) {
	checker.checkMinimum("limits.header_bytes", int64(limits.HeaderBytes), 0)
	checker.checkMinimum("limits.body_bytes", limits.BodyBytes, 0)
	checker.checkMinimum("limits.header_timeout", int64(limits.HeaderMs), 0)
	checker.checkMinimum("limits.idle_timeout", int64(limits.IdleMs), 0)
}
