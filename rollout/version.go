package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"orchidjunction/message"
)

// ObserveVersions returns the state with the version that each service of a complete list of
// backends is at, nil if that is known. The version that serves changes by a roll-out, or
// when no backend of it is listed any more.
func (state *State) ObserveVersions(backends []message.Backend) *State {
	next := state
	listed := countRevisions(backends)
	for _, name := range slices.Sorted(maps.Keys(listed)) {
		service := Service{Name: name}
		if known := next.Service(name); known != nil {
			service = *known
		}
		isActive := service.Rollout != nil && service.Rollout.Phase == message.RolloutActive
		revision := prevailing(listed[name], service.excluded())
		if revision == "" || service.Current == revision || listed[name][service.Current] > 0 || isActive && service.Current != "" {
			continue
		}
		service.Current = revision
		next = next.with(service)
	}
	if next == state {
		return nil
	}
	return next
}

// Listed returns the backends that proxies may know of. Those of a version without an order,
// and of one that was reverted, are left out while others of their service are listed: an
// order may be on its way, or the version may be bad. The list itself is returned if all are.
func (state *State) Listed(backends []message.Backend) []message.Backend {
	listed := countRevisions(backends)
	allowed := map[string]func(revision string) bool{}
	for name, revisions := range listed {
		if len(revisions) > 1 {
			allowed[name] = state.allowedOf(name, revisions)
		}
	}
	if len(allowed) == 0 {
		return backends
	}
	return slices.DeleteFunc(slices.Clone(backends), func(backend message.Backend) bool {
		isAllowed := allowed[backend.Service]
		return isAllowed != nil && !isAllowed(backend.Revision)
	})
}

// allowedOf returns which of a service's listed versions proxies may know of.
func (state *State) allowedOf(name string, revisions map[string]int) func(revision string) bool {
	service := Service{Name: name}
	if known := state.Service(name); known != nil {
		service = *known
	}
	if revisions[service.Current] == 0 {
		service.Current = prevailing(revisions, service.excluded())
	}
	isOrdered := service.Rollout != nil && service.Rollout.Phase == message.RolloutActive
	return func(revision string) bool {
		return revision == service.Current || isOrdered && revision == service.Rollout.Target
	}
}

// excluded returns the version that was reverted last, or is on its way, empty if none is.
func (service Service) excluded() string {
	if service.Rollout == nil || service.Rollout.Phase == message.RolloutComplete {
		return ""
	}
	return service.Rollout.Target
}

// MixedVersions names the services that are listed at several versions, with how many backends
// of each stay; it is empty if there are none.
func MixedVersions(backends []message.Backend) string {
	listed, texts := countRevisions(backends), []string{}
	for _, name := range slices.Sorted(maps.Keys(listed)) {
		if len(listed[name]) < 2 {
			continue
		}
		for _, revision := range slices.Sorted(maps.Keys(listed[name])) {
			texts = append(texts, fmt.Sprintf("%s %s %d", name, revision, listed[name][revision]))
		}
	}
	return strings.Join(texts, ", ")
}

// countRevisions returns how many backends of each service and version are listed and not
// leaving. A version whose backends all leave has none.
func countRevisions(backends []message.Backend) map[string]map[string]int {
	counts := map[string]map[string]int{}
	for index := range backends {
		backend := &backends[index]
		byRevision := counts[backend.Service]
		if byRevision == nil {
			byRevision = map[string]int{}
			counts[backend.Service] = byRevision
		}
		if !backend.Leaving {
			byRevision[backend.Revision]++
		} else if byRevision[backend.Revision] == 0 {
			byRevision[backend.Revision] = 0
		}
	}
	return counts
}

// prevailing returns the version with the most backends, the first by name of several. The
// excluded one is taken only if it is the only one that has any.
func prevailing(revisions map[string]int, excluded string) string {
	chosen := ""
	for _, revision := range slices.Sorted(maps.Keys(revisions)) {
		isBetter := chosen == excluded || revision != excluded && revisions[revision] > revisions[chosen]
		if revisions[revision] > 0 && (revisions[chosen] == 0 || isBetter) {
			chosen = revision
		}
	}
	return chosen
}
