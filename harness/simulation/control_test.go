package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"orchidjunction/agent"
	"orchidjunction/control"
	"orchidjunction/message"
	"orchidjunction/replica"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

const (
	settleTime             = 5 * time.Second
	propagationLimit       = 4 * time.Second
	faultPropagationMargin = 10 * time.Second
	ackLimit               = 5 * time.Second
	leaseDuration          = 3 * time.Second
)

// faultInterval is the time that a fault affects some cores or members; a zero end means that it goes on.
type faultInterval struct {
	cores      []int
	members    []*RegionalDaemon
	begin, end time.Time
}

// operatorRequest is an operator's request and its outcome.
type operatorRequest struct {
	target        string
	version, base uint64
	evacuated     bool
	serial        uint64
	begin, end    time.Time
	err           error
}

// usageReport is a report to the platform that its fencing check did not refuse.
type usageReport struct {
	holder string
	at     time.Time
}

// ControlChecker runs the control plane under faults and checks its guarantees.
type ControlChecker struct {
	world  *World
	meters *usageCollector

	mutex    sync.Mutex
	faults   []*faultInterval
	requests []*operatorRequest
	reports  []usageReport
	versions map[uint64]uint64
	tables   map[message.TableVersion]string
	stopped  bool
	running  int

	// resendsAcknowledged makes operators repeat some acknowledged requests, as if the responses were lost.
	resendsAcknowledged bool
}

func (world *World) newControlChecker() *ControlChecker {
	checker := &ControlChecker{world: world, versions: map[uint64]uint64{}, tables: map[message.TableVersion]string{}}
	checker.meters = newUsageCollector(world)
	world.Metering.Report = checker.checkReport
	return checker
}

// duringFault records which cores and members are affected while do runs.
func (checker *ControlChecker) duringFault(cores []int, members []*RegionalDaemon, do func()) {
	interval := &faultInterval{cores: cores, members: members, begin: time.Now()}
	checker.mutex.Lock()
	checker.faults = append(checker.faults, interval)
	checker.mutex.Unlock()
	do()
	checker.mutex.Lock()
	interval.end = time.Now()
	checker.mutex.Unlock()
}

// unaffected returns how many cores had no fault in a period, and whether the member had none.
func (checker *ControlChecker) unaffected(from, until time.Time, member *RegionalDaemon) (int, bool) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	affected, unaffected := map[int]bool{}, true
	for _, fault := range checker.faults {
		if fault.begin.After(until) || !fault.end.IsZero() && fault.end.Before(from) {
			continue
		}
		for _, index := range fault.cores {
			affected[index] = true
		}
		unaffected = unaffected && !slices.Contains(fault.members, member)
	}
	return len(checker.world.Cores) - len(affected), unaffected
}

func (checker *ControlChecker) quorum() int { return len(checker.world.Cores)/2 + 1 }

func (checker *ControlChecker) startLoop(step func() bool) {
	checker.mutex.Lock()
	checker.running++
	checker.mutex.Unlock()
	checker.world.goroutines.Start(func() {
		for step() {
			checker.mutex.Lock()
			stopped := checker.stopped
			checker.mutex.Unlock()
			if stopped {
				break
			}
		}
		checker.mutex.Lock()
		checker.running--
		checker.mutex.Unlock()
	})
}

func (checker *ControlChecker) stop(limit time.Duration) bool {
	checker.mutex.Lock()
	checker.stopped = true
	checker.mutex.Unlock()
	return checker.world.Until(limit, func() bool { checker.mutex.Lock(); defer checker.mutex.Unlock(); return checker.running == 0 })
}

// newestAcknowledged returns the highest version and serial that were acknowledged by a time.
func (checker *ControlChecker) newestAcknowledged(by time.Time) (version, serial uint64) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	for _, request := range checker.requests {
		if request.err == nil && !request.end.IsZero() && !request.end.After(by) {
			version, serial = max(version, request.version), max(serial, request.serial)
		}
	}
	return version, serial
}

func (checker *ControlChecker) finishRequest(request *operatorRequest, serial uint64, err error) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	request.serial, request.err, request.end = serial, err, time.Now()
}

func (checker *ControlChecker) startRequest(request *operatorRequest) *operatorRequest {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	request.begin = time.Now()
	checker.requests = append(checker.requests, request)
	return request
}

// changeRouting reads the routing and sends a change based on it.
func (checker *ControlChecker) changeRouting(forwarders []*agent.Forwarder, random *rand.Rand, number uint64) {
	if len(forwarders) == 0 {
		return
	}
	begin := time.Now()
	response, err := forward(checker.world, forwarders, message.MethodRoutingRead, &message.RoutingReadRequest{})
	if err != nil {
		return
	}
	state, err := routing.DecodeState(response.Body)
	if err != nil {
		checker.world.reportViolation("decode the routing: %v", err)
		return
	}
	base := state.Config.Version
	if acknowledged, _ := checker.newestAcknowledged(begin); base < acknowledged {
		checker.world.reportViolation("version %d was acknowledged, a later read returned %d", acknowledged, base)
	}
	request := checker.startRequest(&operatorRequest{target: "routing", base: base, version: base + 1 + uint64(random.IntN(3))*8 + number})
	accepted, err := forward(checker.world, forwarders, message.MethodRoutingChange, NewRoutingChange(request.version, base))
	if err != nil {
		checker.finishRequest(request, 0, err)
		return
	}
	checker.finishRequest(request, accepted.Serial, nil)
	if checker.resendsAcknowledged && random.IntN(4) == 0 {
		checker.resend(forwarders, request)
	}
}

// resend repeats a request through other cores and members, as an operator does that got no
// response.
func (checker *ControlChecker) resend(forwarders []*agent.Forwarder, acknowledged *operatorRequest) {
	request := checker.startRequest(&operatorRequest{target: acknowledged.target, base: acknowledged.base, version: acknowledged.version})
	response, err := forward(
		checker.world,
		append(forwarders[1:], forwarders[0]),
		message.MethodRoutingChange,
		NewRoutingChange(request.version, request.base),
	)
	if err != nil {
		checker.finishRequest(request, 0, err)
		return
	}
	checker.finishRequest(request, response.Serial, nil)
}

// operatorLoop returns the step of an operator that uses all cores and members in random order.
func (checker *ControlChecker) operatorLoop(number uint64) func() bool {
	random := rand.New(rand.NewPCG(checker.world.Seed, 100+number))
	zone, evacuate := fmt.Sprint("z", number), false
	return func() bool {
		checker.world.Sleep(time.Duration(100+random.IntN(1400)) * time.Millisecond)
		forwarders := checker.world.forwarders()
		for _, member := range checker.world.Members {
			forwarders = append(forwarders, member.Daemon.Forwarder)
		}
		random.Shuffle(len(forwarders), func(left, right int) { forwarders[left], forwarders[right] = forwarders[right], forwarders[left] })
		if random.IntN(3) > 0 {
			checker.changeRouting(forwarders, random, number)
			return true
		}
		evacuate = !evacuate
		request := checker.startRequest(&operatorRequest{target: zone, evacuated: evacuate})
		response, err := checker.world.evacuateThrough(forwarders, zone, evacuate)
		if err != nil {
			checker.finishRequest(request, 0, err)
			return true
		}
		checker.finishRequest(request, response.Serial, nil)
		return true
	}
}

// durableCopies returns how many disks would keep a serial after a power loss now, and how
// many are blank.
func (checker *ControlChecker) durableCopies(serial uint64) (copies, blank int) {
	for _, disk := range checker.world.voterDisks() {
		store, err := replica.OpenStore(disk.Copy())
		if err != nil || !store.State().Initialized {
			blank++
		} else if store.State().Accepted[message.RoutingRegister].Value.Serial >= serial {
			copies++
		}
	}
	return copies, blank
}

// checkMembers checks the routing that members have in force.
func (checker *ControlChecker) checkMembers() bool {
	now := time.Now()
	checker.world.checkTables(checker.tables)
	for _, member := range checker.world.Members {
		version := member.Daemon.Version()
		if version.Routing == nil {
			continue
		}
		checker.mutex.Lock()
		if known, found := checker.versions[version.RoutingSerial]; found && known != version.Routing.Config.Version {
			checker.world.reportViolation(
				"serial %d is version %d, but %d at %s",
				version.RoutingSerial,
				known,
				version.Routing.Config.Version,
				member.Name,
			)
		}
		_, seen := checker.versions[version.RoutingSerial]
		checker.versions[version.RoutingSerial] = version.Routing.Config.Version
		checker.mutex.Unlock()
		if seen {
			continue
		}
		if copies, blank := checker.durableCopies(version.RoutingSerial); copies+blank < checker.quorum() {
			checker.world.reportViolation(
				"%s has serial %d in force, which only %d cores have stored",
				member.Name,
				version.RoutingSerial,
				copies,
			)
		}
	}
	for _, member := range checker.world.Members {
		cores, unaffected := checker.unaffected(now.Add(-settleTime), now, member)
		if !unaffected || !member.Alive {
			continue
		}
		limit := propagationLimit
		if cores < len(checker.world.Cores) {
			limit += faultPropagationMargin
			if cores, _ = checker.unaffected(now.Add(-limit-settleTime), now, member); cores < checker.quorum() {
				continue
			}
		}
		if _, serial := checker.newestAcknowledged(now.Add(-limit)); member.Daemon.Version().RoutingSerial < serial {
			checker.world.reportViolation(
				"%s has serial %d in force, %d was acknowledged over %v ago",
				member.Name,
				member.Daemon.Version().RoutingSerial,
				serial,
				limit,
			)
		}
	}
	checker.world.Sleep(100 * time.Millisecond)
	return true
}

// checkReport counts a report and checks that holders do not alternate within a lease's duration.
func (checker *ControlChecker) checkReport(report control.WindowReport) control.ReportResult {
	result := checker.meters.report(report)
	if result == control.ReportFenced {
		return result
	}
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.reports = append(checker.reports, usageReport{report.Holder, time.Now()})
	other := false
	for index := len(checker.reports) - 1; index >= 0 && time.Since(checker.reports[index].at) < leaseDuration; index-- {
		if checker.reports[index].holder != report.Holder {
			other = true
		} else if other {
			checker.world.reportViolation(
				"%s reported, then another, then %s again within %v",
				report.Holder,
				report.Holder,
				time.Since(checker.reports[index].at),
			)
		}
	}
	return result
}

// checkRequests checks, at the end, all responses to operators.
func (checker *ControlChecker) checkRequests(test *testing.T) {
	world := checker.world
	state, err := world.ReadRouting()
	if err != nil {
		test.Fatal(err)
	}
	applied, digests, versionByBase, lastByZone := map[uint64]bool{1: true},
		map[routing.ShortDigest]bool{},
		map[uint64]uint64{},
		map[string]*operatorRequest{}
	for _, entry := range state.History.Entries() {
		applied[entry.Version], digests[entry.Digest] = true, true
	}
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	acknowledged, late, slowest := 0, 0, time.Duration(0)
	for _, request := range checker.requests {
		took := request.end.Sub(request.begin)
		mustBeTimely := request.err == nil || rpc.AsError(request.err).RetryAfterMs > 0
		if took > ackLimit && mustBeTimely {
			late++
			checker.mutex.Unlock()
			if cores, _ := checker.unaffected(
				request.begin.Add(-settleTime),
				request.begin.Add(ackLimit),
				nil,
			); cores >= checker.quorum() {
				world.reportViolation(
					"%s version %d on base %d at %v took %v while %d cores had no fault: %v",
					request.target,
					request.version,
					request.base,
					request.begin,
					took,
					cores,
					request.err,
				)
			}
			checker.mutex.Lock()
		}
		if request.target != "routing" {
			lastByZone[request.target] = request
			continue
		}
		inHistory := digests[routing.DigestOf(fmt.Sprintf("%d on %d", request.version, request.base))]
		if request.err != nil {
			if inHistory && rpc.AsError(request.err).RetryAfterMs == 0 {
				world.reportViolation(
					"version %d on base %d was refused and is in the history: %v",
					request.version,
					request.base,
					request.err,
				)
			}
			continue
		}
		acknowledged, slowest = acknowledged+1, max(slowest, took)
		if !inHistory {
			world.reportViolation("version %d on base %d was acknowledged and is not in the history", request.version, request.base)
		}
		if other, found := versionByBase[request.base]; found && other != request.version {
			world.reportViolation("versions %d and %d were both acknowledged on base %d", other, request.version, request.base)
		}
		versionByBase[request.base] = request.version
	}
	for zone, request := range lastByZone {
		if evacuated := slices.Contains(state.Evacuated, zone); request.err == nil && evacuated != request.evacuated {
			world.reportViolation("%s: evacuation %v was acknowledged, read %v", zone, request.evacuated, state.Evacuated)
		}
	}
	for serial, version := range checker.versions {
		if !applied[version] {
			world.reportViolation("version %d was in force as serial %d and is not in the history", version, serial)
		}
	}
	if state.History.Forgotten > 0 || acknowledged < 15 {
		world.reportViolation(
			"%d routings acknowledged, want at least 15; %d in the history, want none forgotten",
			acknowledged,
			state.History.Count,
		)
	}
	if memberships := world.storedMemberships(); len(memberships) != 1 {
		world.reportViolation("cores store differing memberships: %v", memberships)
	}
	test.Logf(
		"%d requests, %d acknowledged routings, %d late, slowest %v, %d leaderships, %d usage windows reported",
		len(checker.requests),
		acknowledged,
		late,
		slowest,
		len(world.Leaderships),
		checker.meters.reportedWindows(),
	)
}

// start starts operators, requests and the checks of members.
func (checker *ControlChecker) start() {
	for number := range uint64(3) {
		checker.startLoop(checker.operatorLoop(number))
	}
	checker.startLoop(checker.checkMembers)
	checker.startLoop(func() bool {
		for _, member := range checker.world.Members {
			checker.meters.startRequest(member)
		}
		return checker.world.Sleep(100 * time.Millisecond)
	})
}

// Runs the control plane across regions under all faults: acknowledged changes last and are
// in force in time, no version is rolled back, and usage reports have one holder at a time.
func TestControlPlaneUnderAllFaults(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3+2*int(seed%2))
		checker := world.newControlChecker()
		defer world.CloseRegional()
		world.startRegional(test, 6)
		world.Sleep(settleTime)
		checker.start()
		faults, linkFaults := checker.newInjector(0, ControlFaults, CoreFaults), checker.newInjector(1, ControlLinkFaults, CoreLinkFaults)
		ended := false
		world.goroutines.Start(func() {
			linkFaults.Run(2 * faultDuration())
			checker.mutex.Lock()
			ended = true
			checker.mutex.Unlock()
		})
		faults.Run(2 * faultDuration())
		world.Until(time.Minute, func() bool { checker.mutex.Lock(); defer checker.mutex.Unlock(); return ended })
		world.Sleep(settleTime + propagationLimit)
		if !checker.stop(60 * time.Second) {
			test.Fatal("operator requests did not end within 60 s")
		}
		checker.checkRequests(test)
		test.Logf("faults %v, link faults %v", faults.randomFaults.Injected, linkFaults.randomFaults.Injected)
		world.reportFailures(test)
	})
}
