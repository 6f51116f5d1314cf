// Package data carries callers' tasks to backends.
package data

import "orchidjunction/run"

// State is where a task stands on its way through a proxy.
type State string

const (
	Arrived   State = "arrived"
	Known     State = "known"
	Routed    State = "routed"
	Claimed   State = "claimed"
	Drawn     State = "drawn"
	Sent      State = "sent"
	Receiving State = "receiving"
	Answered  State = "answered"
	Replayed  State = "replayed"
	Refused   State = "refused"
	Unknown   State = "unknown"
	Broken    State = "broken"
)

var taskChart = map[State][]State{
	Arrived:   {Known, Refused, Unknown},
	Known:     {Routed, Refused},
	Routed:    {Claimed, Drawn, Refused, Unknown},
	Claimed:   {Drawn, Replayed, Refused, Unknown},
	Drawn:     {Sent, Drawn, Refused, Unknown},
	Sent:      {Receiving, Drawn, Refused, Unknown},
	Receiving: {Answered, Drawn, Refused, Unknown, Broken},
}

// Walk is a task's way over the chart; a step that the chart lacks is counted
// as a defect and ends the task refused.
type Walk struct {
	now    State
	counts *run.Counts
}

func newWalk(counts *run.Counts) *Walk { return &Walk{now: Arrived, counts: counts} }

func (walk *Walk) step(to State) bool {
	for _, next := range taskChart[walk.now] {
		if next == to {
			walk.now = to
			if len(taskChart[to]) == 0 {
				walk.counts.Add("tasks_"+string(to), 1)
			}
			return true
		}
	}
	walk.counts.Add("task_steps_off_chart", 1)
	return false
}
