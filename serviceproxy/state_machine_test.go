package serviceproxy

import (
	"testing"

	"orchidjunction/metrics"
)

// Every state is reachable, every path ends, and invalid transitions are refused.
func TestStatesReachableAndTerminating(test *testing.T) {
	reachable := map[State]bool{Arrived: true}
	for changed := true; changed; {
		changed = false
		for from, successors := range transitions {
			for _, next := range successors {
				if reachable[from] && !reachable[next] {
					reachable[next], changed = true, true
				}
			}
		}
	}
	for _, state := range []State{Authenticated, Routed, KeyClaimed, Assigned, Sent, Receiving, Answered, Replayed, Refused, Unknown, Aborted} {
		if !reachable[state] {
			test.Errorf("state %s is not reachable", state)
		}
		if _, found := transitions[state]; !found && state != Answered && state != Replayed && state != Refused && state != Unknown &&
			state != Aborted {
			test.Errorf("state %s is not final but has no transitions", state)
		}
	}
	for _, invalid := range [][2]State{{Answered, Assigned}, {Unknown, Assigned}, {Aborted, Answered}, {Arrived, Sent}, {Authenticated, Assigned}} {
		counters := metrics.NewCounters()
		machine := &stateMachine{state: invalid[0], counters: counters}
		if machine.advance(invalid[1]) || counters.Get("task_steps_off_chart") != 1 {
			test.Errorf("transition from %s to %s was not refused and counted once", invalid[0], invalid[1])
		}
	}
}
