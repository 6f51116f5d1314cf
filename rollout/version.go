package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"orchidjunction/message"
)

// ObserveVersions returns the state with the current version of each service in a complete list
// of backends, nil if nothing changes. The current version changes by a rollout, or when no
// backend of it is listed any more.
func (state *State) ObserveVersions(backends []message.Backend) *State {
	next := state
	listed := countRevisions(backends)
	for _, name := range slices.Sorted(maps.Keys(listed)) {
		service := Service{Name: name}
		if known := next.Service(name); known != nil {
			service = *known
		}
		isActive := service.Rollout != nil && service.Rollout.Phase == message.RolloutActive
		revision := mostCommon(listed[name], service.excluded())
		if revision == "" || service.Current == revision || listed[name][service.Current] > 0 || isActive && service.Current != "" {
			continue
		}
		service.Current = revision
		next = next.withService(service)
	}
	if next == state {
		return nil
	}
	return next
}

// FilterBackends returns the backends to list to proxies. Backends of a version that was not ordered or
// was reverted are left out while the service has others: an order may still follow, or the
// version may be bad. If no service has several versions, backends itself is returned.
func (state *State) FilterBackends(backends []message.Backend) []message.Backend {
	listed := countRevisions(backends)
	allowed := map[string]func(revision string) bool{}
	for name, revisions := range listed {
		if len(revisions) > 1 {
			allowed[name] = state.revisionFilter(name, revisions)
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

// revisionFilter returns which versions of a service are listed to proxies.
func (state *State) revisionFilter(name string, revisions map[string]int) func(revision string) bool {
	service := Service{Name: name}
	if known := state.Service(name); known != nil {
		service = *known
	}
	if revisions[service.Current] == 0 {
		service.Current = mostCommon(revisions, service.excluded())
	}
	isOrdered := service.Rollout != nil && service.Rollout.Phase == message.RolloutActive
	return func(revision string) bool {
		return revision == service.Current || isOrdered && revision == service.Rollout.Target
	}
}

// excluded returns the target version of a reverted or active rollout, empty if there is none.
func (service Service) excluded() string {
	if service.Rollout == nil || service.Rollout.Phase == message.RolloutComplete {
		return ""
	}
	return service.Rollout.Target
}

// MixedVersions describes the services that are listed at several versions, with the number of
// backends of each that are not leaving; it is empty if there are none.
func MixedVersions(backends []message.Backend) string {
	listed, descriptions := countRevisions(backends), []string{}
	for _, name := range slices.Sorted(maps.Keys(listed)) {
		if len(listed[name]) < 2 {
			continue
		}
		for _, revision := range slices.Sorted(maps.Keys(listed[name])) {
			descriptions = append(descriptions, fmt.Sprintf("%s %s %d", name, revision, listed[name][revision]))
		}
	}
	return strings.Join(descriptions, ", ")
}

// countRevisions counts the listed backends that are not leaving, by service and version. A
// version whose backends are all leaving has the count 0.
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

// mostCommon returns the version with the most backends, in a tie the first by name. The excluded
// version is returned only if no other has backends.
func mostCommon(revisions map[string]int, excluded string) string {
	chosen := ""
	for _, revision := range slices.Sorted(maps.Keys(revisions)) {
		isBetter := chosen == excluded || revision != excluded && revisions[revision] > revisions[chosen]
		if revisions[revision] > 0 && (revisions[chosen] == 0 || isBetter) {
			chosen = revision
		}
	}
	return chosen
}
