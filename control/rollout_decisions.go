package control

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/message"
	"orchidjunction/rollout"
	"orchidjunction/rpc"
)

// rolloutDecisionInterval is the time between two of the leader's decisions on active rollouts.
const rolloutDecisionInterval = 150 * time.Millisecond

// decideRollouts takes the leader's next decision on each active rollout, and records the current
// version of each service.
func (core *Core) decideRollouts() {
	leadership, err := core.currentLeadership()
	if err != nil || leadership.check() != nil {
		return
	}
	current := leadership.currentRollouts()
	backends, isComplete := core.backends.Backends()
	if isComplete && core.observedBackends.isNew(leadership.term, backends) {
		core.observeVersions(leadership, backends)
	}
	if len(current.Active()) == 0 {
		return
	}
	rules := rollout.Rules{Bounds: core.config.Rollouts, Verdict: core.config.RolloutVerdict}
	waiting := []rollout.Waiting{}
	serial, err := leadership.writeRollouts(func(current *rollout.State) (next *rollout.State, err error) {
		next, waiting = rollout.Decide(current, core.observeRollouts(leadership, backends), rules)
		return next, nil
	})
	if err != nil {
		core.counters.Add("rollout_decisions_"+string(rpc.CodeOf(err)), 1)
		return
	}
	core.logRollouts(current, leadership.currentRollouts(), serial)
	core.logWaiting(waiting)
}

// logWaiting logs what rollouts wait for when that changes.
func (core *Core) logWaiting(waiting []rollout.Waiting) {
	if slices.Equal(waiting, core.waitingRollouts) {
		return
	}
	core.waitingRollouts = waiting
	for _, entry := range waiting {
		klog.Infof("roll-out of %s waits: %s", entry.Service, entry.Obstacle)
	}
}

// observeVersions records the current version of each service from a complete list.
func (core *Core) observeVersions(leadership *Leadership, backends []message.Backend) {
	if mixed := rollout.MixedVersions(backends); mixed != core.observedBackends.mixedVersions {
		core.observedBackends.mixedVersions = mixed
		klog.Infof("services listed at several versions: %s", cmp.Or(mixed, "none"))
	}
	if leadership.currentRollouts().ObserveVersions(backends) == nil {
		return
	}
	_, err := leadership.writeRollouts(func(current *rollout.State) (*rollout.State, error) {
		return current.ObserveVersions(backends), nil
	})
	if err != nil {
		core.observedBackends.reset()
	}
}

// observedBackends is the list whose versions were last recorded. It is used by one goroutine.
type observedBackends struct {
	list          listIdentity
	mixedVersions string // the services that are listed at several versions
}

// listIdentity identifies a list without comparing its entries: the slice stays the same until an
// entry changes.
type listIdentity struct {
	term  message.Term
	first *message.Backend
	count int
}

// isNew reports whether a list differs from that of the last call.
func (observed *observedBackends) isNew(term message.Term, backends []message.Backend) bool {
	if len(backends) == 0 {
		return false
	}
	next := listIdentity{term: term, first: &backends[0], count: len(backends)}
	isNew := observed.list != next
	observed.list = next
	return isNew
}

func (observed *observedBackends) reset() { observed.list = listIdentity{} }

// observeRollouts returns the leader's observations from which rollouts are decided.
func (core *Core) observeRollouts(leadership *Leadership, backends []message.Backend) *rollout.Observation {
	table := core.Table()
	observation := &rollout.Observation{
		NowMs:     core.Now(),
		IsSettled: table.Version.Term == leadership.term,
		Backends:  backends,
		Reported:  core.rolloutReports.countsOf,
	}
	for _, member := range table.Members {
		if member.Kind == message.ProxyKind && (member.Ready || member.Leaving) {
			age := core.rolloutReports.age(member.Incarnation)
			observation.Processes = append(observation.Processes, rollout.Process{Incarnation: member.Incarnation, Age: age})
		}
	}
	return observation
}

// logRollouts logs the decisions by which two states differ.
func (core *Core) logRollouts(before, after *rollout.State, serial uint64) {
	if before == after {
		return
	}
	for _, service := range before.Active() {
		former, next := service.Rollout, after.Service(service.Name).Rollout
		if former == next {
			continue
		}
		total := former.Total(core.rolloutReports.countsOf(former.ID))
		klog.Infof("roll-out %d of %s to %q: step %d, share %.3f, phase %s, serial %d, %d ms after the order; "+
			"requests %d of %d, items %d, exceedances %d, failures %d, of the former version %d of %d, %d in flight",
			next.ID, service.Name, next.Target, next.Step, next.Share, next.Phase, serial, core.Now()-next.StartMs,
			total.Requests, total.Requests+total.FormerRequests, total.Items, total.Exceedances, total.Failures,
			total.FormerFailures, total.FormerItems, total.FormerInFlight)
		core.counters.Add("rollout_steps", 1)
	}
}
