package serviceproxy

import (
	"reflect"
	"sort"
	"strings"

	"orchidjunction/config"
)

// routeKey is the exact method and path of a route within a service.
type routeKey struct{ method, path string }

// routeTable is the routes of one service in one class, indexed by method and path. It is
// immutable; the next version shares it if nothing in it changed.
type routeTable struct {
	digest     string
	inherited  config.FlatRoute
	routes     []config.FlatRoute
	exact      map[routeKey]int
	prefixes   []int
	exactPaths map[string]bool
}

func newRouteTable(service config.Service, inherited config.FlatRoute, previous *routeTable) *routeTable {
	if previous != nil && service.Digest != "" && previous.digest == service.Digest && reflect.DeepEqual(previous.inherited, inherited) {
		return previous
	}
	table := &routeTable{
		digest:     service.Digest,
		inherited:  inherited,
		routes:     service.Flatten(inherited),
		exact:      make(map[routeKey]int, len(service.Routes)),
		exactPaths: make(map[string]bool, len(service.Routes)),
	}
	for index := range table.routes {
		route := &table.routes[index]
		if strings.HasSuffix(route.Path, "*") {
			table.prefixes = append(table.prefixes, index)
			continue
		}
		table.exact[routeKey{route.Method, route.Path}] = index
		table.exactPaths[route.Path] = true
	}
	sort.Slice(table.prefixes, func(left, right int) bool {
		return len(table.routes[table.prefixes[left]].Path) > len(table.routes[table.prefixes[right]].Path)
	})
	return table
}

// find returns the route of a method and path, and how specific it is. Exact paths come first,
// then the longest prefix.
func (table *routeTable) find(method, path string) (found *config.FlatRoute, specificity int, methodMismatch bool) {
	if index, known := table.exact[routeKey{method, path}]; known {
		return &table.routes[index], len(path) + 1, false
	}
	methodMismatch = table.exactPaths[path]
	for _, index := range table.prefixes {
		route := &table.routes[index]
		if !strings.HasPrefix(path, strings.TrimSuffix(route.Path, "*")) {
			continue
		}
		if route.Method == method {
			return route, len(route.Path) - 1, methodMismatch
		}
		methodMismatch = true
	}
	return nil, 0, methodMismatch
}
