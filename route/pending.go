package route

import "orchidjunction/wire"

// Check stands in until the real one is merged.
func (config *Config) Check() *wire.Mishap {
	services := map[string]bool{}
	for _, service := range config.Services {
		services[service.Name] = true
	}
	for _, one := range config.Routes {
		if one.Service != "" && !services[one.Service] {
			return wire.New(wire.Invalid, "route %s names no known service", one.Name)
		}
	}
	return nil
}

// Apply stands in until the real one is merged.
func (config Config) Apply(patch *Patch) (Config, *wire.Mishap) {
	removed := map[string]bool{}
	for _, name := range patch.RemoveRoutes {
		removed[name] = true
	}
	for _, one := range patch.Routes {
		removed[one.Name] = true
	}
	routes := []Route{}
	for _, one := range config.Routes {
		if !removed[one.Name] {
			routes = append(routes, one)
		}
	}
	config.Routes = append(routes, patch.Routes...)
	return config, nil
}
