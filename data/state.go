// Package data is the data plane of the product's own interface: it carries
// callers' requests to backends as the settings say. (Host routes are carried by
// package proxy.)
//
// Versions of settings, members and backends come in through Proxy.Apply. A request
// comes in through Proxy.ServeHTTP as a task: it is authenticated, matched to a
// route, admitted (Room), for requests that may run only once claimed by
// idempotency key (Claims), and sent to a backend (Target) over a Pipe, again
// within the retry Budget if that is safe. Health of backends goes out through
// Proxy.Probes.
package data

import "orchidjunction/run"

// State is where a request stands on its way through a proxy.
type State string

// The states of a request. Those from Answered on are final.
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

// Walk is the state machine of one request; a transition that is not allowed is
// counted as a defect.
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
