package rollout

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"orchidjunction/message"
)

// backendsOf returns backends of one service from groups such as "v1*aaa" (three backends), with
// a leading minus for leaving ones.
func backendsOf(groups ...string) []message.Backend {
	backends := []message.Backend{}
	for _, group := range groups {
		revision, count, _ := strings.Cut(strings.TrimPrefix(group, "-"), "*")
		for number := range len(count) {
			name := fmt.Sprintf("%s-%d", group, number)
			backends = append(backends, message.Backend{
				Name: name, Service: "desk", Revision: revision, Capacity: 4, Leaving: strings.HasPrefix(group, "-"),
			})
		}
	}
	return backends
}

func revisionsOf(backends []message.Backend) string {
	revisions := []string{}
	for _, backend := range backends {
		if !slices.Contains(revisions, backend.Revision) {
			revisions = append(revisions, backend.Revision)
		}
	}
	slices.Sort(revisions)
	return strings.Join(revisions, " ")
}

// A new version must be listed to proxies only from its order on, and no longer once reverted:
// unordered or bad versions get no requests. A service always keeps a version.
func TestOnlyOrderedVersionsAreListed(test *testing.T) {
	known := (&State{}).ObserveVersions(backendsOf("v1*aaa"))
	active := mustOrder(test, known, orderOf("desk", "v2", 0), 1000)
	complete, reverted := endedOf(active, "desk", message.RolloutComplete), endedOf(active, "desk", message.RolloutReverted)
	for name, testCase := range map[string]struct {
		state  *State
		groups []string
		want   string
	}{
		"unknown service, most backends win": {&State{}, []string{"v1*aa", "v2*aaa"}, "v2"},
		"unknown service, equal counts":      {&State{}, []string{"v2*aa", "v1*aa"}, "v1"},
		"a version without an order":         {known, []string{"v1*a", "v2*aaa"}, "v1"},
		"an ordered version":                 {active, []string{"v1*a", "v2*aaa"}, "v1 v2"},
		"a third version":                    {active, []string{"v1*a", "v2*a", "v3*a"}, "v1 v2"},
		"a complete version":                 {complete, []string{"v1*aaa", "v2*a"}, "v2"},
		"a reverted version":                 {reverted, []string{"v1*a", "v2*aaa"}, "v1"},
		"the old version is leaving":         {known, []string{"-v1*aaa", "v2*a"}, "v2"},
		"only a reverted version stays":      {reverted, []string{"-v1*a", "v2*a"}, "v2"},
		"a reverted and an unknown version":  {reverted, []string{"v2*aaa", "v3*a"}, "v3"},
	} {
		if listed := revisionsOf(testCase.state.FilterBackends(backendsOf(testCase.groups...))); listed != testCase.want {
			test.Errorf("%s: listed %q, want %q", name, listed, testCase.want)
		}
	}
	if all := backendsOf("v1*aaa"); &known.FilterBackends(all)[0] != &all[0] {
		test.Error("a list with one version per service was copied")
	}
}

// The current version must be recorded once, and change without an order only when none of its
// backends stays; a second version in the list must not change it.
func TestCurrentVersionIsRecordedOnce(test *testing.T) {
	known := (&State{}).ObserveVersions(backendsOf("v1*aaa"))
	if known == nil || known.Service("desk").Current != "v1" {
		test.Fatalf("%+v", known)
	}
	for _, groups := range [][]string{{"v1*aaa"}, {"v1*a", "v2*aaa"}, {}} {
		if next := known.ObserveVersions(backendsOf(groups...)); next != nil {
			test.Errorf("%v: %+v", groups, next)
		}
	}
	if next := known.ObserveVersions(backendsOf("-v1*a", "v2*a")); next == nil || next.Service("desk").Current != "v2" {
		test.Errorf("all backends replaced: %+v", next)
	}
	active := mustOrder(test, &State{}, orderOf("desk", "v2", 0), 1000)
	if next := active.ObserveVersions(backendsOf("v1*a", "v2*aa")); next == nil || next.Service("desk").Current != "v1" {
		test.Errorf("first seen during a rollout: %+v", next)
	}
	if (&State{}).ObserveVersions([]message.Backend{{Name: "a", Service: "desk"}}) != nil {
		test.Error("backends without a version are recorded")
	}
}
