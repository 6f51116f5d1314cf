package config

import "reflect"

// Source is an effective value and the level that sets it.
type Source struct {
	Value any    `json:"value"`
	From  string `json:"from"`
}

// Effective is a route with its own and inherited values by field name.
type Effective struct {
	Class       string            `json:"class"`
	Service     string            `json:"service"`
	Route       string            `json:"route"`
	Method      string            `json:"method"`
	Path        string            `json:"path"`
	Rank        int               `json:"rank"`
	KeyRequired bool              `json:"money"`
	Values      map[string]Source `json:"values"`
}

// Integer returns the integer value of a field, 0 if there is none.
func (effective *Effective) Integer(name string) int {
	value, _ := effective.Values[name].Value.(int)
	return value
}

// ForbidRegions returns the regions in which the route must not be served.
func (effective *Effective) ForbidRegions() []string {
	value, _ := effective.Values["forbid_regions"].Value.([]string)
	return value
}

func (rule *Rule) applyTo(values map[string]Source, from string) {
	for name, value := range map[string]*int{
		"limit_ms": rule.TimeoutMs, "sends": rule.Attempts, "body_bytes": rule.BodyBytes, "receipt_bytes": rule.ResponseBytes,
		"hold_ms": rule.TTLMs, "fronts": rule.Proxies, "pipes": rule.IdleConnections,
	} {
		if value != nil {
			values[name] = Source{Value: *value, From: from}
		}
	}
	if rule.ForbidRegions != nil {
		values["forbid_regions"] = Source{Value: rule.ForbidRegions, From: from}
	}
}

// Resolve returns all routes with their inherited values, sorted by class, service and
// route.
func (settings *Settings) Resolve() []Effective {
	all := []Effective{}
	for _, className := range sortedNames(settings.Classes) {
		class := settings.Classes[className]
		for _, serviceName := range sortedNames(class.Services) {
			service := class.Services[serviceName]
			for _, routeName := range sortedNames(service.Routes) {
				route := service.Routes[routeName]
				values := map[string]Source{"forbid_regions": {Value: []string{}, From: "default"}}
				settings.Rule.applyTo(values, "partner")
				class.Rule.applyTo(values, "class "+className)
				service.Rule.applyTo(values, "service "+serviceName)
				route.Rule.applyTo(values, "route "+routeName)
				all = append(all, Effective{
					Class: className, Service: serviceName, Route: routeName,
					Method: route.Method, Path: route.Path, Rank: class.Rank, KeyRequired: class.KeyRequired, Values: values,
				})
			}
		}
	}
	return all
}

// EqualValues reports whether two effective values are equal.
func EqualValues(left, right any) bool { return reflect.DeepEqual(left, right) }

// FlatRoute is a route with its effective values, as the data plane uses it. TimeoutMs
// bounds the duration of a request, Attempts the number of tries, BodyBytes the request body,
// ResponseBytes the response body, IdleConnections the idle connections per backend.
type FlatRoute struct {
	Class           string
	Service         string
	Route           string
	Method          string
	Path            string
	Rank            int
	KeyRequired     bool
	TimeoutMs       int
	Attempts        int
	BodyBytes       int
	ResponseBytes   int
	IdleConnections int
	ForbidRegions   []string
}

// overlay returns flat with the values that the rule sets.
func (rule *Rule) overlay(flat FlatRoute) FlatRoute {
	for _, field := range []struct {
		value  *int
		target *int
	}{{rule.TimeoutMs, &flat.TimeoutMs}, {rule.Attempts, &flat.Attempts}, {rule.BodyBytes, &flat.BodyBytes}, {rule.ResponseBytes, &flat.ResponseBytes}, {rule.IdleConnections, &flat.IdleConnections}} {
		if field.value != nil {
			*field.target = *field.value
		}
	}
	if rule.ForbidRegions != nil {
		flat.ForbidRegions = rule.ForbidRegions
	}
	return flat
}

// Inherited returns the values that the routes of a service inherit.
func (settings *Settings) Inherited(className, serviceName string) FlatRoute {
	class := settings.Classes[className]
	classDefaults := class.Rule.overlay(settings.Rule.overlay(FlatRoute{}))
	classDefaults.Class, classDefaults.Rank, classDefaults.KeyRequired = className, class.Rank, class.KeyRequired
	service := class.Services[serviceName]
	serviceDefaults := service.Rule.overlay(classDefaults)
	serviceDefaults.Service = serviceName
	return serviceDefaults
}

// Flatten returns the routes of the service sorted by name.
func (service *Service) Flatten(inherited FlatRoute) []FlatRoute {
	all := make([]FlatRoute, 0, len(service.Routes))
	for _, name := range sortedNames(service.Routes) {
		route := service.Routes[name]
		flat := route.Rule.overlay(inherited)
		flat.Route, flat.Method, flat.Path = name, route.Method, route.Path
		all = append(all, flat)
	}
	return all
}

// Flatten returns all routes in the order of Resolve.
func (settings *Settings) Flatten() []FlatRoute {
	all := []FlatRoute{}
	for _, className := range sortedNames(settings.Classes) {
		class := settings.Classes[className]
		for _, serviceName := range sortedNames(class.Services) {
			service := class.Services[serviceName]
			all = append(all, service.Flatten(settings.Inherited(className, serviceName))...)
		}
	}
	return all
}
