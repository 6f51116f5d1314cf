package control

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/message"
	"orchidjunction/rollout"
	"orchidjunction/rpc"
)

// decideInterval is how often the leader decides on active roll-outs.
const decideInterval = 150 * time.Millisecond

// rolloutsCache keeps the decoded content of the committed roll-outs. It is safe for
// concurrent use.
type rolloutsCache struct {
	mutex  sync.Mutex
	serial uint64
	state  *rollout.State
}

// get returns the decoded content of a value.
func (cache *rolloutsCache) get(value message.Value) (*rollout.State, error) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if cache.state != nil && cache.serial == value.Serial {
		return cache.state, nil
	}
	state, err := rollout.DecodeState(value.Body)
	if err != nil {
		return nil, err
	}
	cache.serial, cache.state = value.Serial, state
	return state, nil
}

// listedBackends keeps which of the platform's backends proxies may know of, as long as
// neither the list nor the roll-outs change. It is used by one goroutine.
type listedBackends struct {
	serial uint64
	source []message.Backend
	listed []message.Backend
}

// of returns the backends of a list that the roll-outs of a serial let proxies know of.
func (kept *listedBackends) of(backends []message.Backend, serial uint64, state *rollout.State) []message.Backend {
	isSame := len(backends) > 0 && len(kept.source) == len(backends) && &kept.source[0] == &backends[0]
	if !isSame || kept.serial != serial {
		kept.serial, kept.source, kept.listed = serial, backends, state.Listed(backends)
	}
	return kept.listed
}

// Rollouts returns the serial and the content of the committed roll-outs as this core holds
// them, 0 and an empty one if they can't be read.
func (core *Core) Rollouts() (uint64, *rollout.State) {
	core.mutex.Lock()
	value := core.committed[message.RolloutsRegister].Value
	core.mutex.Unlock()
	state, err := core.rolloutsCache.get(value)
	if err != nil {
		core.counters.Add("rollouts_unreadable", 1)
		return 0, &rollout.State{}
	}
	return value.Serial, state
}

// addRollouts adds the committed roll-outs to a response if they are newer than a serial.
func (core *Core) addRollouts(response *message.FetchResponse, than uint64) {
	if than == everything {
		return
	}
	if serial, state := core.Rollouts(); serial > than {
		response.Rollouts, response.RolloutList = serial, state.Messages()
	}
}

// addWatchedRollouts adds the committed roll-outs to the response to a watch if they are newer
// than a serial.
func (core *Core) addWatchedRollouts(response *message.WatchResponse, than uint64) {
	if serial, state := core.Rollouts(); serial > than {
		response.Rollouts, response.RolloutList = serial, state.Messages()
	}
}

// currentRollouts returns the roll-outs that the leadership wrote or inherited.
func (leadership *Leadership) currentRollouts() *rollout.State {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.rollouts
}

// writeRollouts writes the roll-outs that build makes of the current ones and returns the
// serial that holds them; if build makes none, that is the current serial.
func (leadership *Leadership) writeRollouts(build func(current *rollout.State) (*rollout.State, error)) (uint64, error) {
	currentSerial := uint64(0)
	serial, err := leadership.write(message.RolloutsRegister, func(current message.Value) (*proposal, error) {
		currentSerial = current.Serial
		next, err := build(leadership.currentRollouts())
		if err != nil || next == nil {
			return nil, err
		}
		body, err := rpc.Marshal(next)
		if err != nil {
			return nil, err
		}
		value := message.Value{Serial: current.Serial + 1, Body: body}
		return &proposal{value: value, accepted: func() { leadership.rollouts = next }}, nil
	})
	if err == nil && serial == 0 {
		serial = currentSerial
	}
	return serial, err
}

// onRolloutOrder begins a roll-out or ends one. What needs no write, a repeated or a refused
// order, is answered only by who still leads.
func (core *Core) onRolloutOrder(order *message.RolloutOrder) (*message.RolloutOrderResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	if order.QueryOnly {
		return &message.RolloutOrderResponse{ID: leadership.currentRollouts().NewestID(order.Service)}, nil
	}
	response, isDecided := &message.RolloutOrderResponse{}, false
	response.Serial, err = leadership.writeRollouts(func(current *rollout.State) (*rollout.State, error) {
		next, err := leadership.applyRolloutOrder(current, order)
		isDecided = next == nil
		response.Duplicate, response.ID = next == nil && err == nil, current.NewestID(order.Service)
		if next != nil {
			response.ID = next.NewestID(order.Service)
		}
		return next, err
	})
	if isDecided {
		err = leadership.confirmDecision(err)
	}
	if err != nil {
		core.counters.Add("rollout_orders_"+string(rpc.CodeOf(err)), 1)
		return nil, err
	}
	if !response.Duplicate {
		core.counters.Add("rollout_orders_taken", 1)
		klog.Infof("roll-out %d of %s: ordered %q in %d ms, abort %v", response.ID, order.Service, order.Target, order.TermMs, order.Abort)
	}
	return response, nil
}

// applyRolloutOrder returns the roll-outs after an order, nil if it was taken before.
func (leadership *Leadership) applyRolloutOrder(current *rollout.State, order *message.RolloutOrder) (*rollout.State, error) {
	if !leadership.hasService(order.Service) {
		return nil, rpc.Errorf(rpc.NotFound, "no service %.200q", order.Service)
	}
	return current.Order(order, leadership.core.Now())
}

// hasService reports whether the routing has a service.
func (leadership *Leadership) hasService(name string) bool {
	for _, service := range leadership.currentRouting().Config.Services {
		if service.Name == name {
			return true
		}
	}
	return false
}

// onRolloutRead returns the confirmed newest roll-out of a service.
func (core *Core) onRolloutRead(request *message.RolloutReadRequest) (*message.RolloutReadResponse, error) {
	leadership, err := core.confirmedLeadership()
	if err != nil {
		return nil, err
	}
	service := leadership.currentRollouts().Service(request.Service)
	if service == nil || service.Rollout == nil {
		return nil, rpc.Errorf(rpc.NotFound, "%.200q had no roll-out", request.Service)
	}
	return &message.RolloutReadResponse{
		Rollout: service.Rollout.Message(service.Name),
		Counts:  service.Rollout.Total(core.rolloutReports.of(service.Rollout.ID)),
	}, nil
}

// decideRollouts is the leader's task to take the next decision on each active roll-out, and
// to note at which version each service is.
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

// logWaiting logs what roll-outs wait for when that changed.
func (core *Core) logWaiting(waiting []rollout.Waiting) {
	if slices.Equal(waiting, core.waitingRollouts) {
		return
	}
	core.waitingRollouts = waiting
	for _, one := range waiting {
		klog.Infof("roll-out of %s waits: %s", one.Service, one.Obstacle)
	}
}

// observeVersions notes at which version each service of a complete list is.
func (core *Core) observeVersions(leadership *Leadership, backends []message.Backend) {
	if mixed := rollout.MixedVersions(backends); mixed != core.observedBackends.mixed {
		core.observedBackends.mixed = mixed
		klog.Infof("services listed at several versions: %s", cmp.Or(mixed, "none"))
	}
	if leadership.currentRollouts().ObserveVersions(backends) == nil {
		return
	}
	_, err := leadership.writeRollouts(func(current *rollout.State) (*rollout.State, error) {
		return current.ObserveVersions(backends), nil
	})
	if err != nil {
		core.observedBackends.forget()
	}
}

// observedBackends is the list of which the versions were noted last. It is used by one
// goroutine.
type observedBackends struct {
	list  observedList
	mixed string // the services that are listed at several versions
}

// observedList tells one list from another: it is the same slice as long as nothing changes.
type observedList struct {
	term  message.Term
	first *message.Backend
	count int
}

// isNew reports whether a list differs from the one of the last call.
func (observed *observedBackends) isNew(term message.Term, backends []message.Backend) bool {
	if len(backends) == 0 {
		return false
	}
	next := observedList{term: term, first: &backends[0], count: len(backends)}
	isNew := observed.list != next
	observed.list = next
	return isNew
}

func (observed *observedBackends) forget() { observed.list = observedList{} }

// observeRollouts returns what the leader knows that roll-outs are decided by.
func (core *Core) observeRollouts(leadership *Leadership, backends []message.Backend) *rollout.Observation {
	table := core.Table()
	observation := &rollout.Observation{
		NowMs:     core.Now(),
		IsSettled: table.Version.Term == leadership.term,
		Backends:  backends,
		Reported:  core.rolloutReports.of,
	}
	for _, member := range table.Members {
		if member.Kind == message.ProxyKind && (member.Ready || member.Leaving) {
			age := core.rolloutReports.age(member.Incarnation)
			observation.Processes = append(observation.Processes, rollout.Process{Incarnation: member.Incarnation, Age: age})
		}
	}
	return observation
}

// logRollouts logs the decisions that made one state of another.
func (core *Core) logRollouts(before, after *rollout.State, serial uint64) {
	if before == after {
		return
	}
	for _, service := range before.Active() {
		former, next := service.Rollout, after.Service(service.Name).Rollout
		if former == next {
			continue
		}
		total := former.Total(core.rolloutReports.of(former.ID))
		klog.Infof("roll-out %d of %s to %q: step %d, share %.3f, phase %s, serial %d, %d ms after the order; "+
			"requests %d of %d, items %d, exceedances %d, failures %d, of the former version %d of %d, %d in flight",
			next.ID, service.Name, next.Target, next.Step, next.Share, next.Phase, serial, core.Now()-next.StartMs,
			total.Requests, total.Requests+total.FormerRequests, total.Items, total.Exceedances, total.Failures,
			total.FormerFailures, total.FormerItems, total.FormerInFlight)
		core.counters.Add("rollout_steps", 1)
	}
}

// reportsTTL is how long the counts of a process are kept that reports no more.
const reportsTTL = 5 * time.Minute

// relayTime is how much later than a newer report an older one may come, by way of another
// core. What comes later still with an earlier time is of a process whose clock was set back.
const relayTime = 2 * time.Second

// rolloutReports is what processes of proxies reported for roll-outs, the newest report of
// each. Its zero value has none. It is safe for concurrent use.
type rolloutReports struct {
	mutex     sync.Mutex
	processes map[string]rolloutReport // by incarnation
}

// rolloutReport is one process's newest report, by the process's clock and by this core's.
type rolloutReport struct {
	sentMs     int64
	receivedAt time.Time
	counts     []message.RolloutCounts
}

// add takes what a process counted so far, unless a newer report is known.
func (reports *rolloutReports) add(incarnation string, sentMs int64, age time.Duration, counts []message.RolloutCounts) {
	reports.mutex.Lock()
	defer reports.mutex.Unlock()
	receivedAt := time.Now().Add(-age)
	former, found := reports.processes[incarnation]
	if found && former.sentMs > sentMs && receivedAt.Sub(former.receivedAt) <= relayTime {
		return
	}
	if reports.processes == nil {
		reports.processes = map[string]rolloutReport{}
	}
	reports.processes[incarnation] = rolloutReport{sentMs: sentMs, receivedAt: receivedAt, counts: counts}
	for process, report := range reports.processes {
		if time.Since(report.receivedAt) > reportsTTL {
			delete(reports.processes, process)
		}
	}
}

// of returns what each process reported for a roll-out, in the order in which counts are kept.
func (reports *rolloutReports) of(id uint64) []rollout.ProcessCounts {
	reports.mutex.Lock()
	defer reports.mutex.Unlock()
	counts := []rollout.ProcessCounts{}
	for incarnation, report := range reports.processes {
		for _, one := range report.counts {
			if one.ID == id {
				counts = append(counts, rollout.ProcessCounts{Incarnation: incarnation, Counts: one})
			}
		}
	}
	return rollout.Sorted(counts)
}

// age returns how old the newest report of a process is.
func (reports *rolloutReports) age(incarnation string) time.Duration {
	reports.mutex.Lock()
	defer reports.mutex.Unlock()
	report, found := reports.processes[incarnation]
	if !found {
		return reportsTTL
	}
	return time.Since(report.receivedAt)
}
