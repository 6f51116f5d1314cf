package simulation

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"orchidjunction/agent"
	"orchidjunction/message"
	"orchidjunction/routing"
)

// operatorRace runs concurrent operators that order routings on top of the one they read, each with
// versions of its own, and records the answers.
type operatorRace struct {
	world         *World
	mutex         sync.Mutex
	baseByVersion map[uint64]uint64
	zones         map[string]bool
	uncertain     map[string]bool
	finished      int
}

// run sends orders while isRunning returns true. An order without a definite answer is resent
// unchanged through another core or member.
func (operators *operatorRace) run(number int, isRunning func() bool) {
	world := operators.world
	random := rand.New(rand.NewPCG(world.Seed, uint64(100+number)))
	defer func() {
		operators.mutex.Lock()
		operators.finished++
		operators.mutex.Unlock()
	}()
	forwarders := func() []*agent.Forwarder {
		shuffled := world.forwarders()
		for _, member := range world.Members {
			shuffled = append(shuffled, member.Daemon.Forwarder)
		}
		random.Shuffle(len(shuffled), func(left, right int) { shuffled[left], shuffled[right] = shuffled[right], shuffled[left] })
		return shuffled
	}
	zone := fmt.Sprint("z", number)
	for isRunning() {
		world.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		if random.IntN(4) == 0 {
			evacuate := random.IntN(2) == 0
			_, err := world.evacuateThrough(forwarders(), zone, evacuate)
			operators.mutex.Lock()
			operators.zones[zone], operators.uncertain[zone] = evacuate, err != nil
			operators.mutex.Unlock()
			continue
		}
		response, err := forward(world, forwarders(), message.MethodRoutingRead, &message.RoutingReadRequest{})
		if err != nil {
			continue
		}
		state, err := routing.DecodeState(response.Body)
		if err != nil {
			world.reportViolation("cannot decode the state read: %v", err)
			return
		}
		base := state.Config.Version
		operators.mutex.Lock()
		for version := range operators.baseByVersion {
			if version > base && operators.baseByVersion[version] < base {
				world.reportViolation(
					"version %d on base %d was acknowledged, then %d was read",
					version,
					operators.baseByVersion[version],
					base,
				)
			}
		}
		operators.mutex.Unlock()
		version := base + 1 + uint64(random.IntN(3))*3 + uint64(number)
		if _, err := forward(world, forwarders(), message.MethodRoutingChange, NewRoutingChange(version, base)); err == nil {
			operators.mutex.Lock()
			operators.baseByVersion[version] = base
			operators.mutex.Unlock()
		}
	}
}

// Faults hit cores one after the other and all at once while operators send conflicting
// orders: acknowledged orders last, no two are acknowledged on one base, and members follow.
func TestAcknowledgedOrdersSurviveCoreFaults(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3+2*int(seed%2))
		collector := newUsageCollector(world)
		defer world.CloseRegional()
		world.startRegional(test, 4)
		operators := &operatorRace{world: world, baseByVersion: map[uint64]uint64{}, zones: map[string]bool{}, uncertain: map[string]bool{}}
		stopped := false
		isRunning := func() bool {
			operators.mutex.Lock()
			defer operators.mutex.Unlock()
			return !stopped
		}
		for number := range 3 {
			world.goroutines.Start(func() { operators.run(number, isRunning) })
		}
		world.goroutines.Start(func() {
			for isRunning() {
				for _, member := range world.Members {
					collector.startRequest(member)
				}
				world.Sleep(50 * time.Millisecond)
			}
		})
		faults := world.NewRandomFaults()
		for until := time.Now().Add(2 * faultDuration()); time.Now().Before(until); {
			faults.Inject(CoreFaults[faults.random.IntN(len(CoreFaults))], faults.random.IntN(len(world.Cores)))
			world.Sleep(faults.randomSpan(100*time.Millisecond, 4*time.Second))
		}
		operators.mutex.Lock()
		stopped = true
		operators.mutex.Unlock()
		if !world.Until(
			60*time.Second,
			func() bool { operators.mutex.Lock(); defer operators.mutex.Unlock(); return operators.finished == 3 },
		) {
			test.Fatal("operators have no final answer after 60 s")
		}
		state, err := world.ReadRouting()
		if err != nil {
			test.Fatal(err)
		}
		applied, versionByBase := map[uint64]bool{}, map[uint64]uint64{}
		for _, entry := range state.History.Entries() {
			applied[entry.Version] = true
		}
		for version, base := range operators.baseByVersion {
			if !applied[version] {
				world.reportViolation("version %d on base %d was acknowledged but is not in the history", version, base)
			}
			if other, found := versionByBase[base]; found {
				world.reportViolation("versions %d and %d were both acknowledged on base %d", other, version, base)
			}
			versionByBase[base] = version
		}
		for zone, evacuated := range operators.zones {
			held := false
			for _, entry := range state.Evacuated {
				held = held || entry == zone
			}
			if held != evacuated && !operators.uncertain[zone] {
				world.reportViolation("zone %s: evacuated %v acknowledged, read back %v", zone, evacuated, state.Evacuated)
			}
		}
		if took, reached := world.waitRouting(state.Config.Version, 4*time.Second); !reached {
			world.reportViolation("routing %d is not in force at all members after %v", state.Config.Version, took)
		}
		if len(operators.baseByVersion) < 15 {
			world.reportViolation("only %d routings were acknowledged", len(operators.baseByVersion))
		}
		if held := world.storedMemberships(); len(held) != 1 {
			world.reportViolation("memberships differ: %v", held)
		}
		test.Logf(
			"%d acknowledged, %d leaderships, %d windows reported, faults %v",
			len(operators.baseByVersion),
			len(world.Leaderships),
			collector.reportedWindows(),
			faults.Injected,
		)
		world.reportFailures(test)
	})
}
