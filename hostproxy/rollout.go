package hostproxy

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"orchidjunction/message"
)

// maxStepCounts limits the steps of a rollout that are counted separately; later steps are
// counted with the last.
const maxStepCounts = 64

// rollout is this proxy's state of a service's rollout. It outlives views, so that its
// counts are monotonic and its share is kept when the table changes.
type rollout struct {
	service string
	id      uint64

	mutex         sync.Mutex
	credit        float64 // at 1 or more, the target version gets the next request
	steps         []*stepCounts
	formerTargets []*target // backends of other versions
}

// stepCounts are the counters of one step of a rollout.
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

// canary is the version under test in a view, with its candidates and share of the requests.
type canary struct {
	rollout    *rollout
	counts     *stepCounts
	share      float64
	exclusive  bool // whether other versions get no requests
	candidates []candidate
}

// versionAssignment is the version a request is assigned to by a rollout, and whether the
// version under test was tried already.
type versionAssignment struct {
	rolloutID   uint64
	toCanary    bool
	triedCanary bool
}

// newRollout starts with a random credit, so that proxies with few requests do not all send
// to the version under test at the same request count.
func newRollout(order *message.Rollout) *rollout {
	return &rollout{service: order.Service, id: order.ID, credit: rand.Float64()}
}

// nextIsCanary reports whether the next request goes to the target version. Over any run of
// requests, the number sent there differs from the share by less than one request.
func (rollout *rollout) nextIsCanary(share float64) bool {
	rollout.mutex.Lock()
	defer rollout.mutex.Unlock()
	rollout.credit += share
	if rollout.credit < 1 {
		return false
	}
	rollout.credit--
	return true
}

// countsForStep returns the counters of a step, which are kept with the rollout.
func (rollout *rollout) countsForStep(step int) *stepCounts {
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

// report appends the counts of all steps to a list.
func (rollout *rollout) report(all []message.RolloutCounts) []message.RolloutCounts {
	rollout.mutex.Lock()
	defer rollout.mutex.Unlock()
	running := 0
	for _, target := range rollout.formerTargets {
		running += target.inFlight()
	}
	for _, counts := range rollout.steps {
		all = append(all, counts.report(rollout, running))
	}
	return all
}

// report returns the counts of a step. A count that is a subset of another is read first, so
// that it never exceeds it.
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

// shouldReceive reports whether a request goes to the version under test. This is decided
// once per rollout; a request that was already sent there goes to the other version.
func (canary *canary) shouldReceive(request *request) bool {
	turn := &request.version
	if turn.rolloutID != canary.rollout.id {
		turn.rolloutID, turn.toCanary = canary.rollout.id, canary.rollout.nextIsCanary(canary.share)
	}
	return turn.toCanary && !turn.triedCanary && canary.share > 0
}

// chooseVersion starts a request at a backend of its assigned version. A request assigned to
// the version under test falls back to the other version if there is no capacity; the reverse
// holds only once the version under test gets all requests. If it is exclusive, the other
// version gets nothing, not even retries.
func (proxy *Proxy) chooseVersion(request *request, view *routingView, service int) (*candidate, chooseResult) {
	former, canary := view.candidates[service], view.canaries[service]
	if canary == nil {
		return proxy.choose(request, former, request.tried)
	}
	if canary.exclusive {
		return proxy.choose(request, canary.candidates, request.tried)
	}
	preferred, fallback := former, []candidate(nil)
	if canary.shouldReceive(request) {
		preferred, fallback = canary.candidates, former
	} else if canary.share >= 1 {
		fallback = canary.candidates
	}
	picked, result := proxy.chooseFrom(request, preferred, request.tried, fallback == nil)
	if picked == nil && fallback != nil {
		var fallbackResult chooseResult
		picked, fallbackResult = proxy.chooseFrom(request, fallback, request.tried, true)
		result = min(result, fallbackResult)
	}
	if picked != nil && picked.underTest {
		request.version.triedCanary = true
	}
	return picked, result
}

// RolloutCounts returns this process's counts for the rollouts in force, one entry per
// rollout and step.
func (proxy *Proxy) RolloutCounts() []message.RolloutCounts {
	proxy.applyMutex.Lock()
	defer proxy.applyMutex.Unlock()
	all := []message.RolloutCounts{}
	for _, rollout := range proxy.rollouts {
		all = rollout.report(all)
	}
	return all
}

// serviceVersions are a service's rollout order, if any, and the current version, which
// serves without one.
type serviceVersions struct {
	order   *message.Rollout
	current string
}

// resolveVersions returns the versions of each service that has backends.
func (proxy *Proxy) resolveVersions(backends []message.Backend, orders []message.Rollout) map[string]serviceVersions {
	counts := map[string]map[string]int{}
	for index := range backends {
		backend := &backends[index]
		if counts[backend.Service] == nil {
			counts[backend.Service] = map[string]int{}
		}
		counts[backend.Service][backend.Revision]++
	}
	all := make(map[string]serviceVersions, len(counts))
	for service, revisions := range counts {
		resolved := serviceVersions{order: newestOrder(service, orders)}
		resolved.current = proxy.currentVersion(service, revisions, resolved.order)
		all[service] = resolved
	}
	return all
}

// newestOrder returns the newest order for a service, or nil.
func newestOrder(service string, orders []message.Rollout) *message.Rollout {
	var newest *message.Rollout
	for index := range orders {
		if orders[index].Service == service && (newest == nil || orders[index].ID > newest.ID) {
			newest = &orders[index]
		}
	}
	return newest
}

// currentVersion returns the version of a service that serves without an order: the target of
// a complete rollout, else the version that served before. If that has no backends or is
// unknown, it is the most common version that is not an order's target: a version that no
// order allows gets no requests.
func (proxy *Proxy) currentVersion(service string, revisions map[string]int, order *message.Rollout) string {
	current, known := proxy.stableVersions[service]
	switch {
	case order != nil && order.Phase == message.RolloutComplete && revisions[order.Target] > 0:
		current = order.Target
	case known && revisions[current] > 0 && !isTarget(order, current):
	default:
		current = mostCommonRevision(revisions, order)
	}
	proxy.stableVersions[service] = current
	return current
}

func isTarget(order *message.Rollout, revision string) bool {
	return order != nil && order.Target == revision
}

// mostCommonRevision returns the revision of most backends, other than an order's target;
// ties go to the first by name.
func mostCommonRevision(revisions map[string]int, order *message.Rollout) string {
	best, most := "", 0
	for revision, count := range revisions {
		if !isTarget(order, revision) && (count > most || count == most && revision < best) {
			best, most = revision, count
		}
	}
	return best
}

// updateRollouts keeps the rollouts named by the orders, adds new ones and drops the others.
func (proxy *Proxy) updateRollouts(orders []message.Rollout) {
	kept := make(map[string]*rollout, len(orders))
	for index := range orders {
		order := newestOrder(orders[index].Service, orders)
		current := proxy.rollouts[order.Service]
		if current == nil || current.id != order.ID {
			current = newRollout(order)
		}
		kept[order.Service] = current
	}
	proxy.rollouts = kept
}

// addCanaries adds a canary to a view for each active order.
func (proxy *Proxy) addCanaries(view *routingView, orders []message.Rollout) {
	view.canaries = make([]*canary, len(view.index.Services))
	for index, service := range view.index.Services {
		order := newestOrder(service.Name, orders)
		if order == nil || order.Phase != message.RolloutActive {
			continue
		}
		current := proxy.rollouts[service.Name]
		view.canaries[index] = &canary{
			rollout:   current,
			counts:    current.countsForStep(order.Step),
			share:     order.Share,
			exclusive: order.Exclusive,
		}
	}
}

// updateFormerTargets sets each rollout's targets of versions other than its target version.
func (proxy *Proxy) updateFormerTargets(backends []message.Backend, orders []message.Rollout) {
	for _, rollout := range proxy.rollouts {
		order := newestOrder(rollout.service, orders)
		former := []*target{}
		for index := range backends {
			if backends[index].Service == rollout.service && backends[index].Revision != order.Target {
				former = append(former, proxy.targets[backends[index].Name])
			}
		}
		rollout.mutex.Lock()
		rollout.formerTargets = former
		rollout.mutex.Unlock()
	}
}
