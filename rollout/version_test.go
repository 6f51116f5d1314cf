package rollout

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"orchidjunction/message"
)

// backendsOf makes backends of one service from texts such as "v1*3", with a minus before
// those that leave.
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

// Proxies know of a new version only once it was ordered, and no more when it was reverted:
// what an order does not allow, or may be bad, gets no requests. A service never loses all.
func TestOnlyOrderedVersionsAreListed(test *testing.T) {
	known := (&State{}).ObserveVersions(backendsOf("v1*aaa"))
	active := mustOrder(test, known, orderOf("desk", "v2", 0), 1000)
	complete, reverted := endedOf(active, "desk", message.RolloutComplete), endedOf(active, "desk", message.RolloutReverted)
	for name, one := range map[string]struct {
		state  *State
		groups []string
		want   string
	}{
		"nothing known, most count":         {&State{}, []string{"v1*aa", "v2*aaa"}, "v2"},
		"nothing known, as many of each":    {&State{}, []string{"v2*aa", "v1*aa"}, "v1"},
		"a version without an order":        {known, []string{"v1*a", "v2*aaa"}, "v1"},
		"an ordered version":                {active, []string{"v1*a", "v2*aaa"}, "v1 v2"},
		"a third version":                   {active, []string{"v1*a", "v2*a", "v3*a"}, "v1 v2"},
		"a complete one":                    {complete, []string{"v1*aaa", "v2*a"}, "v2"},
		"a reverted one":                    {reverted, []string{"v1*a", "v2*aaa"}, "v1"},
		"the former one leaves":             {known, []string{"-v1*aaa", "v2*a"}, "v2"},
		"only a reverted one is left":       {reverted, []string{"-v1*a", "v2*a"}, "v2"},
		"a reverted one and an unknown one": {reverted, []string{"v2*aaa", "v3*a"}, "v3"},
	} {
		if listed := revisionsOf(one.state.Listed(backendsOf(one.groups...))); listed != one.want {
			test.Errorf("%s: listed %q, want %q", name, listed, one.want)
		}
	}
	if all := backendsOf("v1*aaa"); &known.Listed(all)[0] != &all[0] {
		test.Error("a list of one version is copied")
	}
}

// The version that serves is noted once, and changes without an order only when no backend of
// it stays: a list of two versions does not change what is known.
func TestServingVersionIsNotedOnce(test *testing.T) {
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
		test.Errorf("all replaced: %+v", next)
	}
	active := mustOrder(test, &State{}, orderOf("desk", "v2", 0), 1000)
	if next := active.ObserveVersions(backendsOf("v1*a", "v2*aa")); next == nil || next.Service("desk").Current != "v1" {
		test.Errorf("first seen during a roll-out: %+v", next)
	}
	if (&State{}).ObserveVersions([]message.Backend{{Name: "a", Service: "desk"}}) != nil {
		test.Error("backends without a version are noted")
	}
}
