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

func newChange(version, base uint64, text string) *routing.Change {
	return &routing.Change{Version: version, Base: base, Digest: text, Whole: newConfig(version)}
}

// stateAfterChanges is a book after many orders, each on top of the one before.
func stateAfterChanges(test *testing.T, orders int) *routing.State {
	test.Helper()
	state := &routing.State{}
	for number := range uint64(orders) {
		next, again, err := applyRoutingChange(state, newChange(number*3+3, number*3, fmt.Sprint("order ", number)))
		if err != nil || again {
			test.Fatalf("order %d: again %v, %v", number, again, err)
		}
		state = next
	}
	return state
}

// A base that is no longer current comes before everything else that may be wrong
// with an order, so that who lost a race is not told that its order was invalid.
func TestRoutingChangeReportsStaleBaseFirst(test *testing.T) {
	state := stateAfterChanges(test, 3)
	invalid := newChange(13, 6, "invalid")
	invalid.Whole.Routes[0].Service = "nobody"
	for name, one := range map[string]struct {
		change *routing.Change
		want   rpc.Code
	}{
		"lost a race with a lower number":     {newChange(8, 6, "lower"), rpc.StaleBase},
		"lost a race with the same number":    {newChange(9, 6, "same"), rpc.StaleBase},
		"lost a race with a higher number":    {newChange(12, 6, "higher"), rpc.StaleBase},
		"lost a race, invalid too":            {invalid, rpc.StaleBase},
		"base of the future":                  {newChange(14, 12, "future"), rpc.StaleBase},
		"number of the current one, on it":    {newChange(9, 9, "equal"), rpc.StaleVersion},
		"number below the current one, on it": {newChange(8, 9, "below"), rpc.StaleVersion},
	} {
		if next, again, err := applyRoutingChange(state, one.change); next != nil || again || err == nil || rpc.CodeOf(err) != one.want {
			test.Errorf("%s: again %v, %v, want %s", name, again, err, one.want)
		}
	}
}

// An order that was taken is known as such after thousands of others, and nothing
// else passes for it.
func TestRoutingChangeDetectsDuplicateAfterThousandsOfChanges(test *testing.T) {
	const orders = 2000
	state := stateAfterChanges(test, orders)
	for number := range uint64(orders) {
		if _, again, err := applyRoutingChange(state, newChange(number*3+3, number*3, fmt.Sprint("order ", number))); !again {
			test.Fatalf("order %d of %d sent again: %v", number, orders, err)
		}
	}
	for name, change := range map[string]*routing.Change{"another text": newChange(300, 297, "order 98"), "another number": newChange(301, 297, "order 99")} {
		if _, again, err := applyRoutingChange(state, change); again || err == nil || rpc.CodeOf(err) != rpc.StaleBase {
			test.Errorf("%s: again %v, %v", name, again, err)
		}
	}
}

// Whether an order was taken that is older than all that is remembered is not
// known, so it is neither acknowledged nor refused for good.
func TestRoutingChangeOutcomeUnknownBeyondHistory(test *testing.T) {
	state := stateAfterChanges(test, 3)
	state.Config.Version += 3 * routing.MaxHistory
	for number := range uint64(routing.MaxHistory) {
		state.History = state.History.With(12+number*3, "other")
	}
	for number, want := range map[uint64]rpc.Code{0: rpc.Forgotten, 2: rpc.Forgotten, 3: rpc.StaleBase} {
		if _, again, err := applyRoutingChange(
			state,
			newChange(number*3+3, number*3, fmt.Sprint("order ", number)),
		); again || err == nil ||
			rpc.CodeOf(err) != want {
			test.Errorf("order %d: again %v, %v, want %s", number, again, err, want)
		}
	}
	if _, _, err := applyRoutingChange(
		state,
		newChange(state.Config.Version, state.Config.Version, "not above"),
	); err == nil ||
		rpc.CodeOf(err) != rpc.StaleVersion {
		test.Errorf("a number not above the current one, on it: %v", err)
	}
}

// A new configuration leaves everything else in the book as it is.
func TestRoutingChangeKeepsZones(test *testing.T) {
	state := stateAfterChanges(test, 1)
	state.Evacuated, state.Restored = []string{"a"}, []routing.RestoredZone{{Zone: "b", AtMs: 7}}
	next, _, err := applyRoutingChange(state, newChange(6, 3, "more"))
	if err != nil || !slices.Equal(next.Evacuated, state.Evacuated) || !slices.Equal(next.Restored, state.Restored) {
		test.Errorf("%+v, %v", next, err)
	}
}
