package data

import (
	"reflect"
	"sort"
	"strings"

	"orchidjunction/conf"
)

// door is what a task knocks at within a service.
type door struct{ method, path string }

// Doors is the routes of one service in one class, indexed by method and path. It
// is immutable; the next version shares it while nothing in it changed.
type Doors struct {
	digest    string
	inherited conf.Flat
	routes    []conf.Flat
	exact     map[door]int
	open      []int
	paths     map[string]bool
}

func newDoors(service conf.Service, inherited conf.Flat, before *Doors) *Doors {
	if before != nil && service.Digest != "" && before.digest == service.Digest && reflect.DeepEqual(before.inherited, inherited) {
		return before
	}
	doors := &Doors{digest: service.Digest, inherited: inherited, routes: service.Flatten(inherited), exact: make(map[door]int, len(service.Routes)), paths: make(map[string]bool, len(service.Routes))}
	for index := range doors.routes {
		route := &doors.routes[index]
		if strings.HasSuffix(route.Path, "*") {
			doors.open = append(doors.open, index)
			continue
		}
		doors.exact[door{route.Method, route.Path}] = index
		doors.paths[route.Path] = true
	}
	sort.Slice(doors.open, func(left, right int) bool {
		return len(doors.routes[doors.open[left]].Path) > len(doors.routes[doors.open[right]].Path)
	})
	return doors
}

// find gives the route of a method and path and how exactly it fits; exact paths
// go first, then the longest prefix.
func (doors *Doors) find(method, path string) (found *conf.Flat, fit int, otherMethod bool) {
	if index, known := doors.exact[door{method, path}]; known {
		return &doors.routes[index], len(path) + 1, false
	}
	otherMethod = doors.paths[path]
	for _, index := range doors.open {
		route := &doors.routes[index]
		if !strings.HasPrefix(path, strings.TrimSuffix(route.Path, "*")) {
			continue
		}
		if route.Method == method {
			return route, len(route.Path) - 1, otherMethod
		}
		otherMethod = true
	}
	return nil, 0, otherMethod
}
