package rollout

import (
	"time"

	"orchidjunction/message"
)

// Rules are the criteria of Decide.
type Rules struct {
	Bounds  Bounds
	Verdict Verdict
}

// Observation is what the leader knows at NowMs, in milliseconds since the Unix epoch.
// Backends is the platform's list and Processes the proxies that have a session. Reported
// returns the counts by process for a rollout ID, also of processes that have ended. IsSettled
// says that proxies have had time to report to this leader.
type Observation struct {
	NowMs     int64
	IsSettled bool
	Backends  []message.Backend
	Processes []Process
	Reported  func(id uint64) []ProcessCounts
}

// Process is a proxy with a session. Age is the age of its newest report.
type Process struct {
	Incarnation string
	Age         time.Duration
}

// maxReportAge is the age of a report above which a proxy counts as behind.
const maxReportAge = 1200 * time.Millisecond

// stepQuorum is the fraction of proxies that must have a step in force before the next one.
// While some restart, the others report enough, and a proxy that is behind sends fewer requests
// to the new version.
const stepQuorum = 0.9

// Before a step, the new version must have the fraction capacityHeadroom*share of the old
// version's capacity, but at most maxNeededCapacity.
const (
	capacityHeadroom  = 1.5
	maxNeededCapacity = 0.85
)

// Obstacle is why a rollout stays in its step, empty if there is no reason.
type Obstacle string

// The obstacles.
const (
	NotSettled         Obstacle = "the leader has not built its first table"
	StepNotDue         Obstacle = "the minimum duration of the step is not over"
	TooFewWarmBackends Obstacle = "too few warm backends of the new version"
	TooFewItems        Obstacle = "too few responses of the new version were judged"
	ProxiesBehind      Obstacle = "proxies have no recent report or an older step"
	BoundAtRisk        Obstacle = "a bad version could exceed the bound of requests"
	OldVersionInUse    Obstacle = "proxies still send requests to the old version"
	FormerInFlight     Obstacle = "requests are in flight at the old version"
)

// Waiting is a rollout that stays in its step.
type Waiting struct {
	Service  string
	Obstacle Obstacle
}

// Decide returns the state after a decision on each active rollout, nil if none changes. A
// rollout advances if the evidence allows it, and ends if the version is bad or all steps are
// done. Otherwise it stays in its step and is returned as waiting.
func Decide(state *State, observation *Observation, rules Rules) (*State, []Waiting) {
	next, waiting := state, []Waiting{}
	for _, service := range state.Active() {
		changed, obstacle := newDecision(service, observation, rules).next()
		if changed != nil {
			next = next.withService(*changed)
		} else {
			waiting = append(waiting, Waiting{Service: service.Name, Obstacle: obstacle})
		}
	}
	if next == state {
		next = nil
	}
	return next, waiting
}

// decision holds the inputs of the decision on one rollout.
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
	counts := mergeCounts(service.Rollout.Counts, observation.Reported(service.Rollout.ID))
	return &decision{
		service:     service,
		rollout:     service.Rollout,
		observation: observation,
		rules:       rules,
		counts:      counts,
		total:       sumCounts(counts),
		capacity:    capacityOf(observation, service),
	}
}

// next returns the service after the decision, or nil and the obstacle if the rollout does not
// change.
func (decision *decision) next() (*Service, Obstacle) {
	rollout, isOverdue := decision.rollout, decision.observation.NowMs >= decision.rollout.TermMs
	if decision.rules.Verdict.Alarm(decision.total) || rollout.Step < fullStep && isOverdue {
		return decision.end(message.RolloutReverted), ""
	}
	if rollout.Step < exclusiveStep {
		if obstacle := decision.obstacleToAdvance(); obstacle != "" {
			return nil, obstacle
		}
		return decision.advance(), ""
	}
	if obstacle := decision.obstacleToComplete(); obstacle != "" {
		return nil, obstacle
	}
	return decision.end(message.RolloutComplete), ""
}

func (decision *decision) end(phase message.RolloutPhase) *Service {
	ended := decision.service.withEndedRollout(phase, decision.total)
	return &ended
}

func (decision *decision) advance() *Service {
	advanced, service := *decision.rollout, decision.service
	advanced.Step++
	advanced.Share = decision.rules.Bounds.share(advanced.Step)
	advanced.StepMs = decision.observation.NowMs
	advanced.Counts = decision.counts
	service.Rollout = &advanced
	return &service
}

// obstacleToAdvance returns why the next step may not begin now.
func (decision *decision) obstacleToAdvance() Obstacle {
	step := decision.rollout.Step + 1
	share := decision.rules.Bounds.share(step)
	switch {
	case !decision.observation.IsSettled:
		return NotSettled
	case !decision.stepDue(step):
		return StepNotDue
	case !decision.capacity.canServe(share):
		return TooFewWarmBackends
	case step == canaryStep:
		return ""
	case step == exclusiveStep:
		return decision.obstacleToExclusive()
	case decision.total.Items < minItems:
		return TooFewItems
	case decision.fractionInForce() < stepQuorum:
		return ProxiesBehind
	case !decision.rules.Bounds.allows(decision.exposure(), share):
		return BoundAtRisk
	}
	return ""
}

func (decision *decision) stepDue(step int) bool {
	rollout := decision.rollout
	switch step {
	case rampingStep:
		return decision.sinceStart() >= time.Duration(canaryTimeFraction*float64(rollout.timeLimit()))
	case fullStep:
		return decision.sinceStep() >= rampingTime
	case exclusiveStep:
		return decision.sinceStep() >= fullTime
	}
	return true
}

// obstacleToExclusive returns why the old version must still get requests. The new one must
// handle the load alone, so that proxies have on average at most one request at the old one.
func (decision *decision) obstacleToExclusive() Obstacle {
	switch {
	case decision.fractionInForce() < stepQuorum:
		return ProxiesBehind
	case decision.formerInFlight() > len(decision.observation.Processes):
		return OldVersionInUse
	}
	return ""
}

// obstacleToComplete returns why the rollout may not complete now. The old version's backends
// stop at once on completion, so every proxy must have the step in force that sends them nothing,
// and none may have a request there.
func (decision *decision) obstacleToComplete() Obstacle {
	switch {
	case !decision.observation.IsSettled:
		return NotSettled
	case decision.sinceStep() < exclusiveTime:
		return StepNotDue
	case decision.fractionInForce() < 1:
		return ProxiesBehind
	case decision.formerInFlight() > 0:
		return FormerInFlight
	}
	return ""
}

// fractionInForce returns the fraction of proxies that recently reported the current step as in
// force, 0 if there are none.
func (decision *decision) fractionInForce() float64 {
	newest := newestStepCounts(decision.counts)
	count := 0
	for _, process := range decision.observation.Processes {
		if newest[process.Incarnation].Step == decision.rollout.Step && process.Age <= maxReportAge {
			count++
		}
	}
	return float64(count) / float64(max(1, len(decision.observation.Processes)))
}

func (decision *decision) formerInFlight() int {
	newest, count := newestStepCounts(decision.counts), 0
	for _, process := range decision.observation.Processes {
		count += newest[process.Incarnation].FormerInFlight
	}
	return count
}

func (decision *decision) exposure() exposure {
	return exposure{
		newRequests: float64(decision.total.Requests),
		allRequests: float64(decision.total.Requests + decision.total.FormerRequests),
		elapsed:     decision.sinceStart(),
		remaining:   decision.rollout.timeLimit() - decision.sinceStart(),
	}
}

func (decision *decision) sinceStart() time.Duration {
	return time.Duration(decision.observation.NowMs-decision.rollout.StartMs) * time.Millisecond
}

func (decision *decision) sinceStep() time.Duration {
	return time.Duration(decision.observation.NowMs-decision.rollout.StepMs) * time.Millisecond
}

func (rollout *Rollout) timeLimit() time.Duration {
	return time.Duration(rollout.TermMs-rollout.StartMs) * time.Millisecond
}

// capacity is the number of concurrent requests that the warm backends of a service can run,
// without leaving ones: of the target version, and of all others.
type capacity struct{ target, others float64 }

func capacityOf(observation *Observation, service Service) capacity {
	capacity := capacity{}
	for index := range observation.Backends {
		backend := &observation.Backends[index]
		switch {
		case backend.Service != service.Name || backend.Leaving || backend.WarmAtMs > observation.NowMs:
		case backend.Revision != service.Rollout.Target:
			capacity.others += float64(max(1, backend.Capacity))
		default:
			capacity.target += float64(max(1, backend.Capacity))
		}
	}
	return capacity
}

// canServe reports whether the new version can serve a share of the requests.
func (capacity capacity) canServe(share float64) bool {
	needed := min(maxNeededCapacity, capacityHeadroom*share) * capacity.others
	return capacity.target > 0 && capacity.target >= needed
}
