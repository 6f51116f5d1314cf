package conf

import "reflect"

// Source is an effective value and the branch that gave it.
type Source struct {
	Value any    `json:"value"`
	From  string `json:"from"`
}

// Effective is a route with everything it inherits.
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

func (effective *Effective) Whole(name string) int {
	value, _ := effective.Values[name].Value.(int)
	return value
}

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

// Resolve lays partner, class, service and route over one another.
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

// Same compares two effective values.
func Same(left, right any) bool { return reflect.DeepEqual(left, right) }
