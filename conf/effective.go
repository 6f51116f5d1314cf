package conf

import "reflect"

// Source is an effective value and the level that gave it.
type Source struct {
	Value any    `json:"value"`
	From  string `json:"from"`
}

// Effective is a route with every value that it has or inherits, by field name.
type Effective struct {
	Class   string            `json:"class"`
	Service string            `json:"service"`
	Route   string            `json:"route"`
	Method  string            `json:"method"`
	Path    string            `json:"path"`
	Rank    int               `json:"rank"`
	Money   bool              `json:"money"`
	Values  map[string]Source `json:"values"`
}

// Whole returns an integer value, 0 if there is none.
func (effective *Effective) Whole(name string) int {
	value, _ := effective.Values[name].Value.(int)
	return value
}

// ForbidRegions returns the regions that the route must not be served in.
func (effective *Effective) ForbidRegions() []string {
	value, _ := effective.Values["forbid_regions"].Value.([]string)
	return value
}

func (rule *Rule) lay(over map[string]Source, from string) {
	for name, value := range map[string]*int{
		"limit_ms": rule.LimitMs, "sends": rule.Sends, "body_bytes": rule.BodyBytes, "receipt_bytes": rule.ReceiptBytes,
		"hold_ms": rule.HoldMs, "fronts": rule.Fronts, "pipes": rule.Pipes,
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
				settings.Rule.lay(values, "partner")
				class.Rule.lay(values, "class "+className)
				service.Rule.lay(values, "service "+serviceName)
				route.Rule.lay(values, "route "+routeName)
				all = append(all, Effective{Class: className, Service: serviceName, Route: routeName,
					Method: route.Method, Path: route.Path, Rank: class.Rank, Money: class.Money, Values: values})
			}
		}
	}
	return all
}

// Same reports whether two effective values are equal.
func Same(left, right any) bool { return reflect.DeepEqual(left, right) }

// Flat is a route with its effective values, as the data plane uses it. LimitMs is
// the longest time that a request may take, in milliseconds; Sends the number of
// tries; BodyBytes and ReceiptBytes bound request and response bodies; Pipes the
// idle connections per backend.
type Flat struct {
	Class         string
	Service       string
	Route         string
	Method        string
	Path          string
	Rank          int
	Money         bool
	LimitMs       int
	Sends         int
	BodyBytes     int
	ReceiptBytes  int
	Pipes         int
	ForbidRegions []string
}

// over lays the rule's own values over what is inherited.
func (rule *Rule) over(flat Flat) Flat {
	for _, field := range []struct {
		given *int
		into  *int
	}{{rule.LimitMs, &flat.LimitMs}, {rule.Sends, &flat.Sends}, {rule.BodyBytes, &flat.BodyBytes}, {rule.ReceiptBytes, &flat.ReceiptBytes}, {rule.Pipes, &flat.Pipes}} {
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
func (settings *Settings) Inherited(className, serviceName string) Flat {
	class := settings.Classes[className]
	ofClass := class.Rule.over(settings.Rule.over(Flat{}))
	ofClass.Class, ofClass.Rank, ofClass.Money = className, class.Rank, class.Money
	service := class.Services[serviceName]
	ofService := service.Rule.over(ofClass)
	ofService.Service = serviceName
	return ofService
}

// Flatten returns the routes of one service in the order of their names.
func (service *Service) Flatten(inherited Flat) []Flat {
	all := make([]Flat, 0, len(service.Routes))
	for _, name := range sortedNames(service.Routes) {
		route := service.Routes[name]
		flat := route.Rule.over(inherited)
		flat.Route, flat.Method, flat.Path = name, route.Method, route.Path
		all = append(all, flat)
	}
	return all
}

// Flatten returns all routes in the order of Resolve.
func (settings *Settings) Flatten() []Flat {
	all := []Flat{}
	for _, className := range sortedNames(settings.Classes) {
		class := settings.Classes[className]
		for _, serviceName := range sortedNames(class.Services) {
			service := class.Services[serviceName]
			all = append(all, service.Flatten(settings.Inherited(className, serviceName))...)
		}
	}
	return all
}
