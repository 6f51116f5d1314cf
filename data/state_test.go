package data

import (
	"testing"

	"orchidjunction/run"
)

// Every state but the first is reached, and every way ends.
func TestChartEnds(test *testing.T) {
	reached := map[State]bool{Arrived: true}
	for grown := true; grown; {
		grown = false
		for from, nexts := range taskChart {
			for _, next := range nexts {
				if reached[from] && !reached[next] {
					reached[next], grown = true, true
				}
			}
		}
	}
	for _, state := range []State{Known, Routed, Claimed, Drawn, Sent, Receiving, Answered, Replayed, Refused, Unknown, Broken} {
		if !reached[state] {
			test.Errorf("%s is never reached", state)
		}
		if _, goes := taskChart[state]; !goes && state != Answered && state != Replayed && state != Refused && state != Unknown && state != Broken {
			test.Errorf("%s has no way on", state)
		}
	}
	for _, unsafe := range [][2]State{{Answered, Drawn}, {Unknown, Drawn}, {Broken, Answered}, {Arrived, Sent}, {Known, Drawn}} {
		counts := run.NewCounts()
		walk := &Walk{now: unsafe[0], counts: counts}
		if walk.step(unsafe[1]) || counts.Get("task_steps_off_chart") != 1 {
			test.Errorf("%s to %s is taken", unsafe[0], unsafe[1])
		}
	}
}
