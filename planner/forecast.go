// Package planner forecasts the effects of a change of settings before it is made. NewForecast
// takes the current fleet and the next settings and returns a Forecast; ojplan prints it.
package planner

import (
	"sort"

	"orchidjunction/config"
	"orchidjunction/directory"
	"orchidjunction/message"
	"orchidjunction/serviceproxy"
)

// Fleet is the state that a forecast starts from. Capacity is the requests per second that one
// backend can serve.
type Fleet struct {
	Serial   uint64
	Settings *config.Settings
	Members  []message.Member
	Backends []message.Backend
	Capacity float64
}

// Move is a tenant whose proxies would change, with the names that it would lose
// and gain.
type Move struct {
	Tenant string   `json:"tenant"`
	From   []string `json:"from"`
	To     []string `json:"to"`
	Left   []string `json:"left"`
	Joined []string `json:"joined"`
}

// CapacityChange is the number of backends of a service before and after the change.
type CapacityChange struct {
	Service string         `json:"service"`
	Before  int            `json:"before"`
	After   int            `json:"after"`
	ByZone  map[string]int `json:"after_by_zone"`
}

// Shortage is a service whose guaranteed rate exceeds the capacity of the remaining backends, in
// requests per second.
type Shortage struct {
	Service  string  `json:"service"`
	Floor    int     `json:"floor_rps"`
	Capacity float64 `json:"capacity_rps"`
}

// Change is an effective value of a route that would change.
type Change struct {
	Route  string `json:"route"`
	Field  string `json:"field"`
	Before any    `json:"before"`
	After  any    `json:"after"`
}

// Forecast is the effects of a change of settings.
type Forecast struct {
	Tenants         int              `json:"tenants"`
	Moves           []Move           `json:"moves"`
	CapacityChanges []CapacityChange `json:"rooms"`
	Shortages       []Shortage       `json:"floors_short"`
	Changes         []Change         `json:"changes"`
}

// HasEffect reports whether the change would affect placements, backend counts or routes.
func (forecast *Forecast) HasEffect() bool {
	if len(forecast.Moves)+len(forecast.Changes) > 0 {
		return true
	}
	for _, change := range forecast.CapacityChanges {
		if change.Before != change.After {
			return true
		}
	}
	return false
}

// NewForecast compares the fleet under its settings with the same fleet under next.
func NewForecast(fleet Fleet, next *config.Settings) *Forecast {
	forecast := &Forecast{Moves: []Move{}, CapacityChanges: []CapacityChange{}, Shortages: []Shortage{}, Changes: []Change{}}
	before, after := serviceproxy.NewRoutes(fleet.Serial, fleet.Settings, nil), serviceproxy.NewRoutes(fleet.Serial+1, next, nil)
	previous, updated := directory.NewView(before, fleet.Members), directory.NewView(after, fleet.Members)
	for _, tenant := range union(fleet.Settings.Tenants, next.Tenants) {
		from, to := proxyNames(previous, before, tenant), proxyNames(updated, after, tenant)
		forecast.Tenants++
		move := Move{Tenant: tenant, From: from, To: to, Left: difference(from, to), Joined: difference(to, from)}
		if len(move.Left)+len(move.Joined) > 0 {
			forecast.Moves = append(forecast.Moves, move)
		}
	}
	forecast.compareCapacity(fleet, next)
	forecast.compareRoutes(fleet.Settings.Resolve(), next.Resolve())
	return forecast
}

func proxyNames(view *directory.View, routes *serviceproxy.Routes, tenant string) []string {
	index, found := routes.TenantNamed(tenant)
	if !found {
		return []string{}
	}
	placement, err := view.Place(index, "")
	if err != nil {
		return []string{}
	}
	names := []string{}
	for _, proxy := range placement.Proxies {
		names = append(names, proxy.Name)
	}
	sort.Strings(names)
	return names
}

func union(left, right map[string]config.Tenant) []string {
	names := []string{}
	for name := range left {
		names = append(names, name)
	}
	for name := range right {
		if _, found := left[name]; !found {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func difference(names, others []string) []string {
	remaining := []string{}
	for _, name := range names {
		found := false
		for _, other := range others {
			found = found || other == name
		}
		if !found {
			remaining = append(remaining, name)
		}
	}
	return remaining
}

// compareCapacity counts the backends a service may use and compares them with its floor.
func (forecast *Forecast) compareCapacity(fleet Fleet, next *config.Settings) {
	changes, names := map[string]*CapacityChange{}, []string{}
	for _, backend := range fleet.Backends {
		change := changes[backend.Service]
		if change == nil {
			change = &CapacityChange{Service: backend.Service, ByZone: map[string]int{}}
			changes[backend.Service] = change
			names = append(names, backend.Service)
		}
		if fleet.Settings.BackendEnabled(backend.Zone, backend.Name) && !backend.Leaving {
			change.Before++
		}
		if next.BackendEnabled(backend.Zone, backend.Name) && !backend.Leaving {
			change.After++
			change.ByZone[backend.Zone]++
		}
	}
	sort.Strings(names)
	for _, name := range names {
		forecast.CapacityChanges = append(forecast.CapacityChanges, *changes[name])
		floor := 0
		for _, class := range next.Classes {
			if _, found := class.Services[name]; found {
				floor += class.FloorRps / max(len(class.Services), 1)
			}
		}
		if capacity := float64(changes[name].After) * fleet.Capacity; capacity < float64(floor) {
			forecast.Shortages = append(forecast.Shortages, Shortage{Service: name, Floor: floor, Capacity: capacity})
		}
	}
}

func (forecast *Forecast) compareRoutes(before, after []config.Effective) {
	type field struct{ route, name string }
	previous, updated, keys := map[field]any{}, map[field]any{}, []field{}
	collect := func(values, other map[field]any, routes []config.Effective) {
		for _, route := range routes {
			for name, source := range route.Values {
				key := field{route.Class + "/" + route.Service + "/" + route.Route, name}
				_, known := other[key]
				if _, duplicate := values[key]; !known && !duplicate {
					keys = append(keys, key)
				}
				values[key] = source.Value
			}
		}
	}
	collect(previous, nil, before)
	collect(updated, previous, after)
	sort.Slice(keys, func(left, right int) bool {
		if keys[left].route != keys[right].route {
			return keys[left].route < keys[right].route
		}
		return keys[left].name < keys[right].name
	})
	for _, key := range keys {
		if !config.EqualValues(previous[key], updated[key]) {
			forecast.Changes = append(
				forecast.Changes,
				Change{Route: key.route, Field: key.name, Before: previous[key], After: updated[key]},
			)
		}
	}
}
