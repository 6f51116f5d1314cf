package serviceproxy

import (
	"testing"

	"orchidjunction/metrics"
)

// Every state but the first is reached, and every way ends.
func TestChartEnds(test *testing.T) {
	reached := map[State]bool{Arrived: true}
	for grown := true; grown; {
		grown = false
		for from, nexts := range transitions {
			for _, next := range nexts {
				if reached[from] && !reached[next] {
					reached[next], grown = true, true
				}
			}
		}
	}
	for _, state := range []State{Authenticated, Routed, KeyClaimed, Assigned, Sent, Receiving, Answered, Replayed, Refused, Unknown, Aborted} {
		if !reached[state] {
			test.Errorf("%s is never reached", state)
		}
		if _, goes := transitions[state]; !goes && state != Answered && state != Replayed && state != Refused && state != Unknown &&
			state != Aborted {
			test.Errorf("%s has no way on", state)
		}
	}
	for _, unsafe := range [][2]State{{Answered, Assigned}, {Unknown, Assigned}, {Aborted, Answered}, {Arrived, Sent}, {Authenticated, Assigned}} {
		counters := metrics.NewCounters()
		machine := &stateMachine{now: unsafe[0], counters: counters}
		if machine.advance(unsafe[1]) || counters.Get("task_steps_off_chart") != 1 {
			test.Errorf("%s to %s is taken", unsafe[0], unsafe[1])
		}
	}
}
