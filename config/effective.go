package config

import "reflect"

// Source is an effective value and the level that gave it.
type Source struct {
	Value any    `json:"value"`
	From  string `json:"from"`
}

// Effective is a route with every value that it has or inherits, by field name.
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

// Integer returns an integer value, 0 if there is none.
func (effective *Effective) Integer(name string) int {
	value, _ := effective.Values[name].Value.(int)
	return value
}

// ForbidRegions returns the regions that the route must not be served in.
func (effective *Effective) ForbidRegions() []string {
	value, _ := effective.Values["forbid_regions"].Value.([]string)
	return value
}

func (rule *Rule) addTo(over map[string]Source, from string) {
	for name, value := range map[string]*int{
		"limit_ms": rule.TimeoutMs, "sends": rule.Attempts, "body_bytes": rule.BodyBytes, "receipt_bytes": rule.ResponseBytes,
		"hold_ms": rule.TTLMs, "fronts": rule.Proxies, "pipes": rule.IdleConnections,
	} {
		if value != nil {
			over[name] = Source{Value: *value, From: from}
		}
	}
	if rule.ForbidRegions != nil {
		over["forbid_regions"] = Source{Value: rule.ForbidRegions, From: from}
	}
}

// Resolve returns every route with its inherited values, ordered by class, service
// and route.
func (settings *Settings) Resolve() []Effective {
	all := []Effective{}
	for _, className := range sortedNames(settings.Classes) {
		class := settings.Classes[className]
		for _, serviceName := range sortedNames(class.Services) {
			service := class.Services[serviceName]
			for _, routeName := range sortedNames(service.Routes) {
				route := service.Routes[routeName]
				values := map[string]Source{"forbid_regions": {Value: []string{}, From: "default"}}
				settings.Rule.addTo(values, "partner")
				class.Rule.addTo(values, "class "+className)
				service.Rule.addTo(values, "service "+serviceName)
				route.Rule.addTo(values, "route "+routeName)
				all = append(all, Effective{
					Class: className, Service: serviceName, Route: routeName,
					Method: route.Method, Path: route.Path, Rank: class.Rank, KeyRequired: class.KeyRequired, Values: values,
				})
			}
		}
	}
	return all
}

// Same reports whether two effective values are equal.
func Same(left, right any) bool { return reflect.DeepEqual(left, right) }

// FlatRoute is a route with its effective values, as the data plane uses it. LimitMs is
// the longest time that a request may take, in milliseconds; Sends the number of
// tries; BodyBytes and ReceiptBytes bound request and response bodies; Pipes the
// idle connections per backend.
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

// overlay returns what is inherited with the rule's own values in its place.
func (rule *Rule) overlay(flat FlatRoute) FlatRoute {
	for _, field := range []struct {
		given *int
		into  *int
	}{{rule.TimeoutMs, &flat.TimeoutMs}, {rule.Attempts, &flat.Attempts}, {rule.BodyBytes, &flat.BodyBytes}, {rule.ResponseBytes, &flat.ResponseBytes}, {rule.IdleConnections, &flat.IdleConnections}} {
		if field.given != nil {
			*field.into = *field.given
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
	ofClass := class.Rule.overlay(settings.Rule.overlay(FlatRoute{}))
	ofClass.Class, ofClass.Rank, ofClass.KeyRequired = className, class.Rank, class.KeyRequired
	service := class.Services[serviceName]
	ofService := service.Rule.overlay(ofClass)
	ofService.Service = serviceName
	return ofService
}

// Flatten returns the routes of one service in the order of their names.
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
