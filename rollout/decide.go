package rollout

import (
	"time"

	"orchidjunction/message"
)

// Rules are by what Decide decides.
type Rules struct {
	Bounds  Bounds
	Verdict Verdict
}

// Observation is what the leader knows at a time, in milliseconds since the Unix epoch.
// Backends is the platform's list, Processes the proxies that have a session, and Reported
// what each process reported for a roll-out's ID, also of those that ended since. IsSettled
// says that proxies had the time to report to this leader.
type Observation struct {
	NowMs     int64
	IsSettled bool
	Backends  []message.Backend
	Processes []Process
	Reported  func(id uint64) []ProcessCounts
}

// Process is a proxy with a session. Age is how old its newest report is.
type Process struct {
	Incarnation string
	Age         time.Duration
}

// staleAfter is how old a proxy's newest report may be for a step to a larger share.
const staleAfter = 1200 * time.Millisecond

// The part of the former version's capacity that the new one must have before a step: as
// much as the share of requests and a reserve, and nearly all of it for all requests.
const (
	capacityReserve = 1.5
	fullCapacity    = 0.85
)

// Decide returns the state after the next decision on each active roll-out, nil if none of
// them changes: the next step if the evidence allows it, the end if the version is bad or all
// is done, and else the same step for longer.
func Decide(state *State, observation *Observation, rules Rules) *State {
	next := state
	for _, service := range state.Active() {
		decision := newDecision(service, observation, rules)
		if changed := decision.next(); changed != nil {
			next = next.with(*changed)
		}
	}
	if next == state {
		return nil
	}
	return next
}

// decision is what one roll-out is decided by.
type decision struct {
	service     Service
	rollout     *Rollout
	observation *Observation
	rules       Rules
	counts      []ProcessCounts
	total       message.RolloutCounts
	capacity    capacity
}

func newDecision(service Service, observation *Observation, rules Rules) *decision {
	counts := merge(service.Rollout.Counts, observation.Reported(service.Rollout.ID))
	return &decision{
		service:     service,
		rollout:     service.Rollout,
		observation: observation,
		rules:       rules,
		counts:      counts,
		total:       sum(counts),
		capacity:    capacityOf(observation, service),
	}
}

// next returns the service after the decision, nil if the roll-out stays as it is.
func (decision *decision) next() *Service {
	rollout, isLate := decision.rollout, decision.observation.NowMs >= decision.rollout.TermMs
	switch {
	case decision.rules.Verdict.Alarm(decision.total):
		return decision.end(message.RolloutReverted)
	case rollout.Step < fullStep && isLate:
		return decision.end(message.RolloutReverted)
	case rollout.Step == fullStep && decision.mayComplete():
		return decision.end(message.RolloutComplete)
	case rollout.Step < fullStep && decision.mayGrow():
		return decision.grow()
	}
	return nil
}

func (decision *decision) end(phase message.RolloutPhase) *Service {
	ended := decision.service.ended(phase)
	return &ended
}

// grow returns the service in the next step.
func (decision *decision) grow() *Service {
	grown, service := *decision.rollout, decision.service
	grown.Step++
	grown.Share = decision.rules.Bounds.share(grown.Step)
	grown.StepMs = decision.observation.NowMs
	grown.Counts = decision.counts
	service.Rollout = &grown
	return &service
}

// mayGrow reports whether the next step may begin now.
func (decision *decision) mayGrow() bool {
	step := decision.rollout.Step + 1
	share := decision.rules.Bounds.share(step)
	if !decision.observation.IsSettled || !decision.stepDue(step) || !decision.capacity.bears(share) {
		return false
	}
	if step == canaryStep {
		return true
	}
	return decision.total.Items >= minItems && decision.inForceEverywhere() && decision.rules.Bounds.allows(decision.exposure(), share)
}

// stepDue reports whether the time for a step has come.
func (decision *decision) stepDue(step int) bool {
	rollout := decision.rollout
	switch step {
	case rampingStep:
		return decision.sinceStart() >= time.Duration(canaryUntil*float64(rollout.term()))
	case fullStep:
		return decision.sinceStep() >= rampingTime
	}
	return true
}

// mayComplete reports whether the former version may end at once: the new one bears all
// requests, and no proxy has a request at the former one.
func (decision *decision) mayComplete() bool {
	return decision.observation.IsSettled && decision.sinceStep() >= fullTime &&
		decision.capacity.bears(1) && decision.inForceEverywhere() && decision.formerIdle()
}

// inForceEverywhere reports whether each proxy has the present step in force and said so
// lately.
func (decision *decision) inForceEverywhere() bool {
	newest := newestSteps(decision.counts)
	for _, process := range decision.observation.Processes {
		if newest[process.Incarnation].Step != decision.rollout.Step || process.Age > staleAfter {
			return false
		}
	}
	return len(decision.observation.Processes) > 0
}

// formerIdle reports whether no proxy has a request at the former version.
func (decision *decision) formerIdle() bool {
	newest := newestSteps(decision.counts)
	for _, process := range decision.observation.Processes {
		if newest[process.Incarnation].FormerInFlight > 0 {
			return false
		}
	}
	return true
}

// exposure returns what the new version got so far.
func (decision *decision) exposure() exposure {
	return exposure{
		requests: float64(decision.total.Requests),
		all:      float64(decision.total.Requests + decision.total.FormerRequests),
		elapsed:  decision.sinceStart(),
		left:     decision.rollout.term() - decision.sinceStart(),
	}
}

func (decision *decision) sinceStart() time.Duration {
	return time.Duration(decision.observation.NowMs-decision.rollout.StartMs) * time.Millisecond
}

func (decision *decision) sinceStep() time.Duration {
	return time.Duration(decision.observation.NowMs-decision.rollout.StepMs) * time.Millisecond
}

func (rollout *Rollout) term() time.Duration {
	return time.Duration(rollout.TermMs-rollout.StartMs) * time.Millisecond
}

// capacity is how many requests at once the two versions of a service bear: the new one's
// backends that are warm, and those of all others that stay.
type capacity struct{ warm, former float64 }

func capacityOf(observation *Observation, service Service) capacity {
	capacity := capacity{}
	for index := range observation.Backends {
		backend := &observation.Backends[index]
		switch {
		case backend.Service != service.Name || backend.Leaving:
		case backend.Revision != service.Rollout.Target:
			capacity.former += float64(max(1, backend.Capacity))
		case backend.WarmAtMs <= observation.NowMs:
			capacity.warm += float64(max(1, backend.Capacity))
		}
	}
	return capacity
}

// bears reports whether the new version bears a share of the requests.
func (capacity capacity) bears(share float64) bool {
	needed := min(fullCapacity, capacityReserve*share) * capacity.former
	return capacity.warm > 0 && capacity.warm >= needed
}
