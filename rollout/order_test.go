package rollout

import (
	"math"
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

func orderOf(service, target string, expected uint64) *message.RolloutOrder {
	return &message.RolloutOrder{Service: service, Target: target, TermMs: 12_000, ExpectedID: expected}
}

func mustOrder(test *testing.T, state *State, order *message.RolloutOrder, now int64) *State {
	test.Helper()
	next, err := state.Order(order, now)
	if err != nil || next == nil {
		test.Fatalf("order %+v: %v, %v", order, next, err)
	}
	return next
}

func endedOf(state *State, name string, phase message.RolloutPhase) *State {
	return state.withService(state.Service(name).withEndedRollout(phase, message.RolloutCounts{}))
}

// An order must begin exactly one rollout: duplicates are acknowledged, another version is
// rejected while the rollout is active, and other services are unaffected.
func TestOrderBeginsOneRollout(test *testing.T) {
	active := mustOrder(test, &State{}, orderOf("desk", "v2", 0), 1000)
	both := mustOrder(test, active, orderOf("room", "v2", 0), 1500)
	if len(both.Active()) != 2 || both.NewestID("desk") != 1 || both.NewestID("room") != 2 {
		test.Fatalf("%+v", both)
	}
	complete, reverted := endedOf(active, "desk", message.RolloutComplete), endedOf(active, "desk", message.RolloutReverted)
	for name, testCase := range map[string]struct {
		state *State
		order *message.RolloutOrder
		now   int64
		code  rpc.Code
		next  bool
	}{
		"a duplicate":                          {active, orderOf("desk", "v2", 1), 2000, "", false},
		"a duplicate sent before the response": {active, orderOf("desk", "v2", 0), 2000, "", false},
		"another version during the rollout":   {active, orderOf("desk", "v3", 1), 2000, rpc.RolloutActive, false},
		"a duplicate after completion":         {complete, orderOf("desk", "v2", 1), 90_000, "", false},
		"a duplicate after the revert":         {reverted, orderOf("desk", "v2", 0), 20_000, "", false},
		"a new order of the reverted version":  {reverted, orderOf("desk", "v2", 1), 90_000, "", true},
		"another version after completion":     {complete, orderOf("desk", "v3", 1), 20_000, "", true},
		"an order from before another rollout": {complete, orderOf("desk", "v3", 0), 20_000, rpc.RolloutChanged, false},
		"an abort":                             {active, &message.RolloutOrder{Service: "desk", Abort: true}, 2000, "", true},
		"a second abort":                       {reverted, &message.RolloutOrder{Service: "desk", Abort: true}, 2000, "", false},
		"an abort without a rollout":           {active, &message.RolloutOrder{Service: "hall", Abort: true}, 2000, rpc.NotFound, false},
	} {
		next, err := testCase.state.Order(testCase.order, testCase.now)
		isRefused := err != nil && rpc.CodeOf(err) == testCase.code
		if isRefused != (testCase.code != "") || (next != nil) != testCase.next || err != nil && !isRefused {
			test.Errorf("%s: %+v, %v", name, next, err)
		}
	}
}

// Guards against a service without backends when its current version is ordered: all of its
// backends counted as those under test, and stayed unlisted after a revert.
func TestOrderOfCurrentVersionCompletesAtOnce(test *testing.T) {
	backends := []message.Backend{{Name: "a", Service: "desk", Revision: "v1"}}
	state := (&State{}).ObserveVersions(backends)
	next := mustOrder(test, state, orderOf("desk", "v1", 0), 1000)
	if newest := next.Service("desk").Rollout; newest.Phase != message.RolloutComplete || newest.ID != 1 {
		test.Errorf("%+v", newest)
	}
	if listed := next.FilterBackends(backends); len(listed) != 1 {
		test.Errorf("listed backends: %+v", listed)
	}
}

// The state must survive encoding and decoding, and yield the newest rollout of each service.
func TestStateSurvivesEncoding(test *testing.T) {
	state := mustOrder(test, &State{}, orderOf("desk", "v2", 0), 1000)
	state = state.ObserveVersions([]message.Backend{{Name: "a", Service: "desk", Revision: "v1"}})
	body, err := rpc.Marshal(state)
	if err != nil {
		test.Fatal(err)
	}
	decoded, err := DecodeState(body)
	if err != nil || decoded.Service("desk").Current != "v1" || len(decoded.Messages()) != 1 {
		test.Fatalf("%+v, %v", decoded, err)
	}
	want := message.Rollout{Service: "desk", Target: "v2", ID: 1, Phase: message.RolloutActive}
	if decoded.Messages()[0] != want {
		test.Errorf("%+v", decoded.Messages())
	}
	if empty, err := DecodeState(nil); err != nil || len(empty.Messages()) != 0 {
		test.Errorf("%+v, %v", empty, err)
	}
}

// Guards against terms that overflow to a deadline in the past: the version was reverted at once,
// although its order had been acknowledged.
func TestTermsAreRejectedOrKept(test *testing.T) {
	const now = 1_800_000_000_000
	accepted := 0
	for _, term := range []int64{
		math.MinInt64, -1, 0, 1, 12_000, message.MaxRolloutTermMs - 1, message.MaxRolloutTermMs, message.MaxRolloutTermMs + 1,
		math.MaxInt64 / int64(time.Millisecond), math.MaxInt64/int64(time.Millisecond) + 1, math.MaxInt64 - now, math.MaxInt64 - 1, math.MaxInt64,
	} {
		order := orderOf("desk", "v2", 0)
		order.TermMs = term
		if order.Check() != nil {
			continue
		}
		accepted++
		begun := mustOrder(test, &State{}, order, now).Service("desk").Rollout
		if begun.TermMs <= now || begun.timeLimit() != time.Duration(term)*time.Millisecond || begun.timeLimit() <= 0 {
			test.Errorf("term of %d ms: deadline %d, time limit %v", term, begun.TermMs, begun.timeLimit())
		}
	}
	if accepted != 4 {
		test.Errorf("%d terms accepted, want 4", accepted)
	}
}
