package hostproxy

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"orchidjunction/message"
)

// maxStepCounts bounds the steps of a roll-out that are counted apart; later ones count for
// the last.
const maxStepCounts = 64

// rollout is the roll-out of a service as this proxy carries it out. It outlives views, so
// that its counts only rise and its share is kept across changes of the table.
type rollout struct {
	service string
	id      uint64

	mutex  sync.Mutex
	credit float64 // what is due to the target version; from 1 on, it gets the next request
	steps  []*stepCounts
	former []*target // backends of other versions
}

// stepCounts are what was counted during one step of a roll-out.
type stepCounts struct {
	step        int
	requests    atomic.Uint64
	items       atomic.Uint64
	exceedances atomic.Uint64
	failures    atomic.Uint64

	formerRequests atomic.Uint64
	formerItems    atomic.Uint64
	formerFailures atomic.Uint64
}

// canary is the version under test in a view: its candidates and its share of the requests.
type canary struct {
	rollout    *rollout
	counts     *stepCounts
	share      float64
	exclusive  bool // whether other versions get nothing any more
	candidates []candidate
}

// versionTurn is which version a request is to go to, by which roll-out, and whether it was
// sent to the version under test already.
type versionTurn struct {
	rollout     uint64
	toCanary    bool
	triedCanary bool
}

// newRollout starts with a random credit, so that proxies with few requests do not all reach
// the version under test at the same count of them.
func newRollout(order *message.Rollout) *rollout {
	return &rollout{service: order.Service, id: order.ID, credit: rand.Float64()}
}

// assign is whether the next request goes to the target version. Of any number of requests
// in a row, the part that goes there differs from the share by less than one request.
func (rollout *rollout) assign(share float64) bool {
	rollout.mutex.Lock()
	defer rollout.mutex.Unlock()
	rollout.credit += share
	if rollout.credit < 1 {
		return false
	}
	rollout.credit--
	return true
}

// countsOf returns the counts of a step, which are kept with the roll-out.
func (rollout *rollout) countsOf(step int) *stepCounts {
	rollout.mutex.Lock()
	defer rollout.mutex.Unlock()
	for _, counts := range rollout.steps {
		if counts.step == step {
			return counts
		}
	}
	if len(rollout.steps) == maxStepCounts {
		return rollout.steps[maxStepCounts-1]
	}
	counts := &stepCounts{step: step}
	rollout.steps = append(rollout.steps, counts)
	return counts
}

// report appends the counts of all steps.
func (rollout *rollout) report(all []message.RolloutCounts) []message.RolloutCounts {
	rollout.mutex.Lock()
	defer rollout.mutex.Unlock()
	running := 0
	for _, target := range rollout.former {
		running += target.inFlight()
	}
	for _, counts := range rollout.steps {
		all = append(all, counts.report(rollout, running))
	}
	return all
}

// report returns the counts of a step. What is part of another count is read before that, so
// that it is never more.
func (counts *stepCounts) report(rollout *rollout, formerInFlight int) message.RolloutCounts {
	report := message.RolloutCounts{
		Service:        rollout.service,
		ID:             rollout.id,
		Step:           counts.step,
		Exceedances:    counts.exceedances.Load(),
		Failures:       counts.failures.Load(),
		FormerFailures: counts.formerFailures.Load(),
		FormerInFlight: formerInFlight,
	}
	report.Items, report.FormerItems = counts.items.Load(), counts.formerItems.Load()
	report.Requests, report.FormerRequests = counts.requests.Load(), counts.formerRequests.Load()
	return report
}

// takes is whether a request is to go to the version under test. It is decided once for
// each roll-out; what was sent there already goes to the other version.
func (canary *canary) takes(request *request) bool {
	turn := &request.version
	if turn.rollout != canary.rollout.id {
		turn.rollout, turn.toCanary = canary.rollout.id, canary.rollout.assign(canary.share)
	}
	return turn.toCanary && !turn.triedCanary && canary.share > 0
}

// chooseVersion takes a place at a backend of the version that the request is to go to. A
// request of the version under test goes to the other one where that has no room; the
// reverse holds only once the version under test gets all requests. Where that is exclusive,
// the other one gets nothing, not even retries.
func (proxy *Proxy) chooseVersion(request *request, view *View, service int) (*candidate, choice) {
	former, canary := view.services[service], view.canaries[service]
	if canary == nil {
		return proxy.choose(request, former, request.tried)
	}
	if canary.exclusive {
		return proxy.choose(request, canary.candidates, request.tried)
	}
	preferred, fallback := former, []candidate(nil)
	if canary.takes(request) {
		preferred, fallback = canary.candidates, former
	} else if canary.share >= 1 {
		fallback = canary.candidates
	}
	held, how := proxy.chooseFrom(request, preferred, request.tried, fallback == nil)
	if held == nil && fallback != nil {
		var other choice
		held, other = proxy.chooseFrom(request, fallback, request.tried, true)
		how = min(how, other)
	}
	if held != nil && held.underTest {
		request.version.triedCanary = true
	}
	return held, how
}

// RolloutCounts returns what this process counted for the roll-outs in force, one entry for
// each step of each.
func (proxy *Proxy) RolloutCounts() []message.RolloutCounts {
	proxy.applyMutex.Lock()
	defer proxy.applyMutex.Unlock()
	all := []message.RolloutCounts{}
	for _, rollout := range proxy.rollouts {
		all = rollout.report(all)
	}
	return all
}

// versions are the versions of a service in a table: the one that serves, and the one that
// an order concerns, if there is one.
type versions struct {
	order    *message.Rollout
	standing string
}

// settleVersions returns the versions of each service that has backends.
func (proxy *Proxy) settleVersions(backends []message.Backend, orders []message.Rollout) map[string]versions {
	counts := map[string]map[string]int{}
	for index := range backends {
		backend := &backends[index]
		if counts[backend.Service] == nil {
			counts[backend.Service] = map[string]int{}
		}
		counts[backend.Service][backend.Revision]++
	}
	all := make(map[string]versions, len(counts))
	for service, revisions := range counts {
		settled := versions{order: orderOf(service, orders)}
		settled.standing = proxy.standingVersion(service, revisions, settled.order)
		all[service] = settled
	}
	return all
}

// orderOf returns the newest order for a service, nil if there is none.
func orderOf(service string, orders []message.Rollout) *message.Rollout {
	var newest *message.Rollout
	for index := range orders {
		if orders[index].Service == service && (newest == nil || orders[index].ID > newest.ID) {
			newest = &orders[index]
		}
	}
	return newest
}

// standingVersion returns the version of a service that serves without an order: the target
// of a complete roll-out, else the one that served before. Where none of that is listed, or
// a process knows of none, it is that of most backends: what no order allows gets no requests.
func (proxy *Proxy) standingVersion(service string, revisions map[string]int, order *message.Rollout) string {
	standing, known := proxy.stableVersions[service]
	switch {
	case order != nil && order.Phase == message.RolloutComplete && revisions[order.Target] > 0:
		standing = order.Target
	case known && revisions[standing] > 0 && !isTarget(order, standing):
	default:
		standing = mostFrequent(revisions, order)
	}
	proxy.stableVersions[service] = standing
	return standing
}

func isTarget(order *message.Rollout, revision string) bool {
	return order != nil && order.Target == revision
}

// mostFrequent returns the revision of most backends, other than an order's target; of two
// the first by name.
func mostFrequent(revisions map[string]int, order *message.Rollout) string {
	best, most := "", 0
	for revision, count := range revisions {
		if !isTarget(order, revision) && (count > most || count == most && revision < best) {
			best, most = revision, count
		}
	}
	return best
}

// followRollouts keeps the roll-outs that the orders name, and starts those that are new.
func (proxy *Proxy) followRollouts(orders []message.Rollout) {
	kept := make(map[string]*rollout, len(orders))
	for index := range orders {
		order := orderOf(orders[index].Service, orders)
		held := proxy.rollouts[order.Service]
		if held == nil || held.id != order.ID {
			held = newRollout(order)
		}
		kept[order.Service] = held
	}
	proxy.rollouts = kept
}

// addCanaries makes a view's canaries of the orders that are active.
func (proxy *Proxy) addCanaries(view *View, orders []message.Rollout) {
	view.canaries = make([]*canary, len(view.index.Services))
	for number, service := range view.index.Services {
		order := orderOf(service.Name, orders)
		if order == nil || order.Phase != message.RolloutActive {
			continue
		}
		held := proxy.rollouts[service.Name]
		view.canaries[number] = &canary{rollout: held, counts: held.countsOf(order.Step), share: order.Share, exclusive: order.Exclusive}
	}
}

// setFormer tells the roll-outs which backends are of other versions than their target.
func (proxy *Proxy) setFormer(backends []message.Backend, orders []message.Rollout) {
	for _, held := range proxy.rollouts {
		order := orderOf(held.service, orders)
		former := []*target{}
		for index := range backends {
			if backends[index].Service == held.service && backends[index].Revision != order.Target {
				former = append(former, proxy.targets[backends[index].Name])
			}
		}
		held.mutex.Lock()
		held.former = former
		held.mutex.Unlock()
	}
}
