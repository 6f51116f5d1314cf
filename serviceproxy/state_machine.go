// Package serviceproxy is the data plane of the product's own interface: it carries
// callers' requests to backends as the settings say. (Host routes are carried by
// package hostproxy.)
//
// Versions of settings, members and backends come in through Proxy.Apply. A request
// comes in through Proxy.ServeHTTP as a task: it is authenticated, matched to a
// route, admitted (Admission), for requests that may run only once claimed by
// idempotency key (Claims), and sent to a backend (Target) over a Pipe, again
// within the retry budget if that is safe. Health of backends goes out through
// Proxy.Probes.
package serviceproxy

import (
	"slices"

	"orchidjunction/metrics"
)

// State is where a request stands on its way through a proxy.
type State string

// The states of a request. Those from Answered on are final.
const (
	Arrived       State = "arrived"
	Authenticated State = "known"
	Routed        State = "routed"
	KeyClaimed    State = "claimed"
	Assigned      State = "drawn"
	Sent          State = "sent"
	Receiving     State = "receiving"
	Answered      State = "answered"
	Replayed      State = "replayed"
	Refused       State = "refused"
	Unknown       State = "unknown"
	Aborted       State = "broken"
)

var transitions = map[State][]State{
	Arrived:       {Authenticated, Refused, Unknown},
	Authenticated: {Routed, Refused},
	Routed:        {KeyClaimed, Assigned, Refused, Unknown},
	KeyClaimed:    {Assigned, Replayed, Refused, Unknown},
	Assigned:      {Sent, Assigned, Refused, Unknown},
	Sent:          {Receiving, Assigned, Refused, Unknown},
	Receiving:     {Answered, Assigned, Refused, Unknown, Aborted},
}

// stateMachine is the state machine of one request; a transition that is not allowed is
// counted as a defect.
type stateMachine struct {
	state    State
	counters *metrics.Counters
}

func newStateMachine(counters *metrics.Counters) *stateMachine {
	return &stateMachine{state: Arrived, counters: counters}
}

func (machine *stateMachine) advance(to State) bool {
	if slices.Contains(transitions[machine.state], to) {
		machine.state = to
		if len(transitions[to]) == 0 {
			machine.counters.Add("tasks_"+string(to), 1)
		}
		return true
	}
	machine.counters.Add("task_steps_off_chart", 1)
	return false
}
