// Package serviceproxy is the data plane of the product's own interface: it forwards callers'
// requests to backends. (Package hostproxy does so for host routes.)
//
// Proxy.Apply applies versions of settings, members and backends. Proxy.ServeHTTP handles a
// request as a task: it is authenticated, matched to a route, claimed by idempotency key if it may
// run only once (Claims), admitted (Admission), and sent to a backend (Target) over a BackendConn.
// It is retried within the retry budget if that is safe. Proxy.Probes returns the health of the
// backends.
package serviceproxy

import (
	"slices"

	"orchidjunction/metrics"
)

// State is the state of a request in a proxy.
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
