package routing

import "orchidjunction/rpc"

// Apply returns the config with a patch merged into it; the receiver is not modified. The caller
// must set the version of the result and check it.
func (config Config) Apply(patch *Patch) (Config, error) {
	var err error
	config.Routes, err = mergeItems(config.Routes, patch.Routes, patch.RemoveRoutes, "routes", routeName)
	if err != nil {
		return Config{}, err
	}
	config.Services, err = mergeItems(config.Services, patch.Services, patch.RemoveServices, "services", serviceName)
	if err != nil {
		return Config{}, err
	}
	config.Tenants, err = mergeItems(config.Tenants, patch.Tenants, patch.RemoveTenants, "tenants", tenantName)
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

// mergeItems replaces items in place, appends new ones and drops removed ones. An item that is
// both given and removed is kept as given.
func mergeItems[Item any](current, given []Item, removed []string, list string, name func(*Item) string) ([]Item, error) {
	if len(given) == 0 && len(removed) == 0 {
		return current, nil
	}
	positions := make(map[string]int, len(given))
	for index := range given {
		key := name(&given[index])
		if _, isDuplicate := positions[key]; isDuplicate {
			return nil, &rpc.Error{
				Code:    rpc.Invalid,
				Message: "1 wrong",
				Details: []rpc.Detail{{Path: list + "." + key, Code: duplicateName, Message: "the name is used more than once"}},
			}
		}
		positions[key] = index
	}
	isRemoved := make(map[string]bool, len(removed))
	for _, key := range removed {
		isRemoved[key] = true
	}
	next := make([]Item, 0, len(current)+len(given))
	replaced := make([]bool, len(given))
	for index := range current {
		key := name(&current[index])
		if position, found := positions[key]; found {
			next = append(next, given[position])
			replaced[position] = true
		} else if !isRemoved[key] {
			next = append(next, current[index])
		}
	}
	for index := range given {
		if !replaced[index] {
			next = append(next, given[index])
		}
	}
	return next, nil
}
