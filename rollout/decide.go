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

// growthQuorum is the part of the proxies that must have a step in force before the next one:
// while some restart, the others tell enough, and who lacks a step sends the version less.
const growthQuorum = 0.9

// The part of the former version's capacity that the new one must have before a step: as
// much as the share of requests and a reserve, and nearly all of it for all requests.
const (
	capacityReserve = 1.5
	fullCapacity    = 0.85
)

// Obstacle is why a roll-out stays in its step; it is empty if it need not.
type Obstacle string

// The obstacles.
const (
	NotSettled     Obstacle = "the leader waits for its first table"
	NotDue         Obstacle = "the step is not over"
	TooLittleWarm  Obstacle = "too few warm backends of the new version"
	TooFewItems    Obstacle = "too few responses were judged"
	ProxiesBehind  Obstacle = "a proxy is silent or has an older step"
	BoundReached   Obstacle = "the bound of requests would not hold"
	FormerNeeded   Obstacle = "the new version does not bear all requests alone"
	FormerInFlight Obstacle = "requests are at the former version"
)

// Waiting is a roll-out that stays in its step.
type Waiting struct {
	Service  string
	Obstacle Obstacle
}

// Decide returns the state after the next decision on each active roll-out, nil if none of
// them changes: the next step if the evidence allows it, the end if the version is bad or all
// is done, and else the same step for longer, with what each of these waits for.
func Decide(state *State, observation *Observation, rules Rules) (*State, []Waiting) {
	next, waiting := state, []Waiting{}
	for _, service := range state.Active() {
		changed, obstacle := newDecision(service, observation, rules).next()
		if changed != nil {
			next = next.with(*changed)
		} else {
			waiting = append(waiting, Waiting{Service: service.Name, Obstacle: obstacle})
		}
	}
	if next == state {
		next = nil
	}
	return next, waiting
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

// next returns the service after the decision, nil and the obstacle if the roll-out stays as
// it is.
func (decision *decision) next() (*Service, Obstacle) {
	rollout, isLate := decision.rollout, decision.observation.NowMs >= decision.rollout.TermMs
	if decision.rules.Verdict.Alarm(decision.total) || rollout.Step < fullStep && isLate {
		return decision.end(message.RolloutReverted), ""
	}
	if rollout.Step < exclusiveStep {
		if obstacle := decision.obstacleToGrow(); obstacle != "" {
			return nil, obstacle
		}
		return decision.grow(), ""
	}
	if obstacle := decision.obstacleToComplete(); obstacle != "" {
		return nil, obstacle
	}
	return decision.end(message.RolloutComplete), ""
}

func (decision *decision) end(phase message.RolloutPhase) *Service {
	ended := decision.service.ended(phase, decision.total)
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

// obstacleToGrow returns why the next step may not begin now.
func (decision *decision) obstacleToGrow() Obstacle {
	step := decision.rollout.Step + 1
	share := decision.rules.Bounds.share(step)
	switch {
	case !decision.observation.IsSettled:
		return NotSettled
	case !decision.stepDue(step):
		return NotDue
	case !decision.capacity.bears(share):
		return TooLittleWarm
	case step == canaryStep:
		return ""
	case step == exclusiveStep:
		return decision.obstacleToExclusive()
	case decision.total.Items < minItems:
		return TooFewItems
	case decision.inForce() < growthQuorum:
		return ProxiesBehind
	case !decision.rules.Bounds.allows(decision.exposure(), share):
		return BoundReached
	}
	return ""
}

// stepDue reports whether the time for a step has come.
func (decision *decision) stepDue(step int) bool {
	rollout := decision.rollout
	switch step {
	case rampingStep:
		return decision.sinceStart() >= time.Duration(canaryUntil*float64(rollout.term()))
	case fullStep:
		return decision.sinceStep() >= rampingTime
	case exclusiveStep:
		return decision.sinceStep() >= fullTime
	}
	return true
}

// obstacleToExclusive returns why the former version may not be left without requests: the
// new one must bear them alone, so that few proxies had to turn to the former one.
func (decision *decision) obstacleToExclusive() Obstacle {
	switch {
	case decision.inForce() < growthQuorum:
		return ProxiesBehind
	case decision.formerInFlight() > len(decision.observation.Processes):
		return FormerNeeded
	}
	return ""
}

// obstacleToComplete returns why the former version may not end now, which it does at once:
// every proxy must know that it gets nothing, and none may have a request there.
func (decision *decision) obstacleToComplete() Obstacle {
	switch {
	case !decision.observation.IsSettled:
		return NotSettled
	case decision.sinceStep() < exclusiveTime:
		return NotDue
	case decision.inForce() < 1:
		return ProxiesBehind
	case decision.formerInFlight() > 0:
		return FormerInFlight
	}
	return ""
}

// inForce returns the part of the proxies that have the present step in force and said so
// lately, 0 if there are none.
func (decision *decision) inForce() float64 {
	newest := newestSteps(decision.counts)
	count := 0
	for _, process := range decision.observation.Processes {
		if newest[process.Incarnation].Step == decision.rollout.Step && process.Age <= staleAfter {
			count++
		}
	}
	return float64(count) / float64(max(1, len(decision.observation.Processes)))
}

// formerInFlight returns how many requests the proxies have at the former version.
func (decision *decision) formerInFlight() int {
	newest, count := newestSteps(decision.counts), 0
	for _, process := range decision.observation.Processes {
		count += newest[process.Incarnation].FormerInFlight
	}
	return count
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

// capacity is how many requests at once the warm backends of a service bear that stay: those
// of the new version, and all others.
type capacity struct{ warm, former float64 }

func capacityOf(observation *Observation, service Service) capacity {
	capacity := capacity{}
	for index := range observation.Backends {
		backend := &observation.Backends[index]
		switch {
		case backend.Service != service.Name || backend.Leaving || backend.WarmAtMs > observation.NowMs:
		case backend.Revision != service.Rollout.Target:
			capacity.former += float64(max(1, backend.Capacity))
		default:
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
