package routing

import "orchidjunction/rpc"

// Apply returns the config with a patch merged into it; the receiver stays as it is.
// Whoever takes it on sets its version and checks it.
func (config Config) Apply(patch *Patch) (Config, error) {
	var err error
	config.Routes, err = overlay(config.Routes, patch.Routes, patch.RemoveRoutes, "routes", routeName)
	if err != nil {
		return Config{}, err
	}
	config.Services, err = overlay(config.Services, patch.Services, patch.RemoveServices, "services", serviceName)
	if err != nil {
		return Config{}, err
	}
	config.Tenants, err = overlay(config.Tenants, patch.Tenants, patch.RemoveTenants, "tenants", tenantName)
	if err != nil {
		return Config{}, err
	}
	config.KeysRequired = config.KeysRequired || len(patch.Tenants) > 0
	if patch.Limits != nil {
		config.Limits = *patch.Limits
	}
	return config, nil
}

func routeName(route *Route) string       { return route.Name }
func serviceName(service *Service) string { return service.Name }
func tenantName(tenant *Tenant) string    { return tenant.Name }

// overlay replaces items in their place, adds new ones at the end and leaves
// out the removed; an item both given and removed is given.
func overlay[Item any](held, given []Item, removed []string, list string, name func(*Item) string) ([]Item, error) {
	if len(given) == 0 && len(removed) == 0 {
		return held, nil
	}
	places := make(map[string]int, len(given))
	for index := range given {
		key := name(&given[index])
		if _, twice := places[key]; twice {
			return nil, &rpc.Error{
				Code:    rpc.Invalid,
				Message: "1 wrong",
				Details: []rpc.Detail{{Path: list + "." + key, Code: duplicateName, Message: "given twice"}},
			}
		}
		places[key] = index
	}
	gone := make(map[string]bool, len(removed))
	for _, key := range removed {
		gone[key] = true
	}
	next := make([]Item, 0, len(held)+len(given))
	replaced := make([]bool, len(given))
	for index := range held {
		key := name(&held[index])
		if place, found := places[key]; found {
			next = append(next, given[place])
			replaced[place] = true
		} else if !gone[key] {
			next = append(next, held[index])
		}
	}
	for index := range given {
		if !replaced[index] {
			next = append(next, given[index])
		}
	}
	return next, nil
}
