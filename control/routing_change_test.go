package control

import (
	"fmt"
	"slices"
	"testing"

	"orchidjunction/routing"
	"orchidjunction/rpc"
)

func newConfig(version uint64) *routing.Config {
	return &routing.Config{
		Version: version, Services: []routing.Service{{Name: "desk"}},
		Routes: []routing.Route{{Name: "desk", Host: "a.example", Prefix: "/a/", Service: "desk", Attempts: 1, TimeoutMs: 2000}},
	}
}

func newChange(version, base uint64, digest string) *routing.Change {
	return &routing.Change{Version: version, Base: base, Digest: digest, Whole: newConfig(version)}
}

// stateAfterChanges returns the routing state after a number of changes, each based on the one
// before.
func stateAfterChanges(test *testing.T, changes int) *routing.State {
	test.Helper()
	state := &routing.State{}
	for number := range uint64(changes) {
		next, isDuplicate, err := applyRoutingChange(state, newChange(number*3+3, number*3, fmt.Sprint("change ", number)))
		if err != nil || isDuplicate {
			test.Fatalf("change %d: duplicate %v, error %v", number, isDuplicate, err)
		}
		state = next
	}
	return state
}

// A stale base is reported before any other fault of a change, so that a client that lost a
// race is not told that its change was invalid.
func TestRoutingChangeReportsStaleBaseFirst(test *testing.T) {
	state := stateAfterChanges(test, 3)
	invalid := newChange(13, 6, "invalid")
	invalid.Whole.Routes[0].Service = "nobody"
	for name, testCase := range map[string]struct {
		change *routing.Change
		want   rpc.Code
	}{
		"lost a race with a lower version":  {newChange(8, 6, "lower"), rpc.StaleBase},
		"lost a race with the same version": {newChange(9, 6, "same"), rpc.StaleBase},
		"lost a race with a higher version": {newChange(12, 6, "higher"), rpc.StaleBase},
		"lost a race and invalid":           {invalid, rpc.StaleBase},
		"unknown newer base":                {newChange(14, 12, "future"), rpc.StaleBase},
		"current base, same version":        {newChange(9, 9, "equal"), rpc.StaleVersion},
		"current base, lower version":       {newChange(8, 9, "below"), rpc.StaleVersion},
	} {
		if next, isDuplicate, err := applyRoutingChange(
			state,
			testCase.change,
		); next != nil || isDuplicate || err == nil ||
			rpc.CodeOf(err) != testCase.want {
			test.Errorf("%s: duplicate %v, error %v, want %s", name, isDuplicate, err, testCase.want)
		}
	}
}

// A change that was applied is recognized as a duplicate after thousands of others, and no
// other change is taken for it.
func TestRoutingChangeDetectsDuplicateAfterThousandsOfChanges(test *testing.T) {
	const changes = 2000
	state := stateAfterChanges(test, changes)
	for number := range uint64(changes) {
		if _, isDuplicate, err := applyRoutingChange(state, newChange(number*3+3, number*3, fmt.Sprint("change ", number))); !isDuplicate {
			test.Fatalf("change %d of %d, sent again, is no duplicate: %v", number, changes, err)
		}
	}
	for name, change := range map[string]*routing.Change{"another digest": newChange(300, 297, "change 98"), "another version": newChange(301, 297, "change 99")} {
		if _, isDuplicate, err := applyRoutingChange(state, change); isDuplicate || err == nil || rpc.CodeOf(err) != rpc.StaleBase {
			test.Errorf("%s: duplicate %v, error %v, want %s", name, isDuplicate, err, rpc.StaleBase)
		}
	}
}

// Whether a change older than the whole history was applied is unknown, so it is neither
// acknowledged nor rejected for good.
func TestRoutingChangeOutcomeUnknownBeyondHistory(test *testing.T) {
	state := stateAfterChanges(test, 3)
	state.Config.Version += 3 * routing.MaxHistory
	for number := range uint64(routing.MaxHistory) {
		state.History = state.History.With(12+number*3, "other")
	}
	for number, want := range map[uint64]rpc.Code{0: rpc.Forgotten, 2: rpc.Forgotten, 3: rpc.StaleBase} {
		if _, isDuplicate, err := applyRoutingChange(
			state,
			newChange(number*3+3, number*3, fmt.Sprint("change ", number)),
		); isDuplicate || err == nil ||
			rpc.CodeOf(err) != want {
			test.Errorf("change %d: duplicate %v, error %v, want %s", number, isDuplicate, err, want)
		}
	}
	if _, _, err := applyRoutingChange(
		state,
		newChange(state.Config.Version, state.Config.Version, "not above"),
	); err == nil ||
		rpc.CodeOf(err) != rpc.StaleVersion {
		test.Errorf("a version that is not higher than the current one: error %v, want %s", err, rpc.StaleVersion)
	}
}

// A new configuration leaves the evacuated and restored zones as they are.
func TestRoutingChangeKeepsZones(test *testing.T) {
	state := stateAfterChanges(test, 1)
	state.Evacuated, state.Restored = []string{"a"}, []routing.RestoredZone{{Zone: "b", AtMs: 7}}
	next, _, err := applyRoutingChange(state, newChange(6, 3, "more"))
	if err != nil || !slices.Equal(next.Evacuated, state.Evacuated) || !slices.Equal(next.Restored, state.Restored) {
		test.Errorf("after a change of the configuration: %+v, error %v", next, err)
	}
}
