package simulation

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

// outageKinds are the ways in which a core misses changes.
var outageKinds = []string{"restarted", "power", "wiped", "frozen", "cut"}

// diskLimit is in bytes: two log segments, as a power loss may undo the last removal, and room
// for small snapshots. It is half of what 2,000 changes of these tests write.
const diskLimit = 9 << 20

// takeDown stops, wipes, freezes or isolates a core; the function it returns restores the core.
func (world *World) takeDown(kind string, index int) func() {
	machine := world.Cores[index]
	switch kind {
	case "frozen":
		world.Net.Freeze(machine.Host, true)
		return func() { world.Net.Freeze(machine.Host, false) }
	case "cut":
		world.isolateCore(index, true)
		return func() { world.isolateCore(index, false) }
	case "wiped":
		world.WipeCore(index)
	default:
		world.KillCore(index, kind == "power")
	}
	return func() { world.StartCore(index) }
}

// putRoutings puts count routings in force, each based on the one before.
func (world *World) putRoutings(version *atomic.Uint64, count int) {
	for range count {
		last := version.Load()
		if err := world.PutRouting(last+1, last); err != nil {
			world.reportViolation("put of version %d on base %d: %v", last+1, last, err)
			return
		}
		version.Store(last + 1)
	}
}

// A core, the leader or another, misses 10, 400 or 2,000 changes (2,000 with the first seed
// only). After its return it stores all of them within seconds, while changes continue or
// stop (by seed). The next leader, whoever it is, holds the last acknowledged change, and
// disk use stays bounded.
func TestCoreCatchesUpAfterManyChanges(test *testing.T) {
	counts := []int{10, 400, 2000}
	if raceEnabled {
		counts = counts[:1]
	}
	for _, count := range counts {
		for position, kind := range outageKinds {
			test.Run(fmt.Sprint(count, " ", kind), func(test *testing.T) {
				eachWorld(test, func(seed uint64) func(test *testing.T) {
					return func(test *testing.T) {
						if count < 2000 || seed == uint64(*firstSeed) {
							coreCatchesUp(test, seed, kind, count, (int(seed)+position)%2 == 0)
						}
					}
				})
			})
		}
	}
}

func coreCatchesUp(test *testing.T, seed uint64, kind string, count int, isLeader bool) {
	world := NewRegionalWorld(seed, 3)
	defer world.CloseRegional()
	world.startRegional(test, 3)
	version := atomic.Uint64{}
	version.Store(1)
	index := world.waitStable(test)
	if !isLeader {
		index = (index + 1) % 3
	}
	continued := seed%2 == 1
	restore := world.takeDown(kind, index)
	world.putRoutings(&version, count)
	if !continued {
		world.Sleep(5 * time.Second) // past the retries of the last change
	}
	restore()
	wanted, begin := world.durableSerial((index+1)%3), time.Now()
	stop, ended := atomic.Bool{}, atomic.Bool{}
	world.goroutines.Start(func() {
		for !stop.Load() && continued {
			world.putRoutings(&version, 1)
		}
		ended.Store(true)
	})
	if !world.Until(6*time.Second, func() bool { return world.durableSerial(index) >= wanted }) {
		world.reportViolation("returned core has serial %d, the others had %d at its return", world.durableSerial(index), wanted)
	}
	took := time.Since(begin)
	world.Sleep(2 * time.Second)
	stop.Store(true)
	world.Until(10*time.Second, ended.Load)
	leader, acknowledged := world.waitStable(test), version.Load()
	other := 3 - index - leader
	if leader == index {
		other = (index + 1) % 3
	}
	world.KillCore(other, true)
	world.KillCore(leader, true)
	if leader != index {
		world.StartCore(other)
	} else {
		world.StartCore(leader)
	}
	state, err := world.ReadRouting()
	if err != nil || state.Config.Version != acknowledged {
		world.reportViolation("read %+v after the loss of the leader, version %d was acknowledged: %v", state, acknowledged, err)
	}
	for _, machine := range world.Cores {
		if used := machine.Disk.PeakUsed(); used > diskLimit {
			world.reportViolation("core %d used %d bytes of disk", machine.ID, used)
		}
	}
	test.Logf("caught up after %v, %d bytes of disk at most", took, world.Cores[index].Disk.PeakUsed())
	world.reportFailures(test)
}

// A member misses many changes: soon after its return it has the newest routing in force,
// never an older one than before, and the message that brings it is bounded.
func TestMemberCatchesUpAfterManyChanges(test *testing.T) {
	counts := []int{10, 400}
	if raceEnabled {
		counts = counts[:1]
	}
	for _, count := range counts {
		for _, kind := range []string{"restarted", "frozen", "cut"} {
			test.Run(fmt.Sprint(count, " ", kind), func(test *testing.T) {
				eachWorld(test, func(seed uint64) func(test *testing.T) {
					return func(test *testing.T) { memberCatchesUp(test, seed, kind, count) }
				})
			})
		}
	}
}

func memberCatchesUp(test *testing.T, seed uint64, kind string, count int) {
	world := NewRegionalWorld(seed, 3)
	defer world.CloseRegional()
	world.startRegional(test, 3)
	version := atomic.Uint64{}
	version.Store(1)
	member := world.Members[int(seed)%3]
	setCut := func(cut bool) {
		for _, machine := range world.Cores {
			world.Net.Cut(member.Host, machine.Host, cut)
		}
	}
	switch kind {
	case "frozen":
		world.Net.Freeze(member.Host, true)
	case "cut":
		setCut(true)
	default:
		world.KillMember(member)
	}
	world.putRoutings(&version, count)
	switch kind {
	case "frozen":
		world.Net.Freeze(member.Host, false)
	case "cut":
		setCut(false)
	default:
		world.StartMember(member)
	}
	if took, reached := world.waitRouting(version.Load(), 5*time.Second); !reached {
		world.reportViolation(
			"%s has routing serial %d in force %v after its return, version %d was acknowledged",
			member.Name,
			member.Daemon.Version().RoutingSerial,
			took,
			version.Load(),
		)
	}
	world.reportFailures(test)
}

// The leader is lost at the moment when a core that missed changes returns: the two that are
// left hold what was acknowledged, whichever of them leads.
func TestReturnedCoreDoesNotLeadWithOldState(test *testing.T) {
	led := atomic.Int32{}
	counts := []int{10, 400}
	if raceEnabled {
		counts = []int{10, 20, 30, 40}
	}
	for _, count := range counts {
		for _, kind := range []string{"restarted", "power", "frozen", "cut"} {
			test.Run(fmt.Sprint(count, " ", kind), func(test *testing.T) {
				eachWorld(test, func(seed uint64) func(test *testing.T) {
					return func(test *testing.T) {
						if returnedCoreLeads(test, seed, kind, count) {
							led.Add(1)
						}
					}
				})
			})
		}
	}
	if led.Load() == 0 {
		test.Error("no core that missed changes was elected leader in any run")
	}
}

// returnedCoreLeads reports whether the core that missed changes was elected leader.
func returnedCoreLeads(test *testing.T, seed uint64, kind string, count int) bool {
	world := NewRegionalWorld(seed, 3)
	defer world.CloseRegional()
	world.startRegional(test, 3)
	version := atomic.Uint64{}
	version.Store(1)
	leader := world.waitStable(test)
	index := (leader + 1 + int(seed)%2) % 3
	restore := world.takeDown(kind, index)
	world.putRoutings(&version, count)
	leader = world.Leader()
	restore()
	world.KillCore(leader, true)
	if !world.Until(10*time.Second, func() bool { return world.Leader() >= 0 }) {
		world.reportViolation("no leader within 10 s")
	}
	state, err := world.ReadRouting()
	if err != nil || state.Config.Version != version.Load() {
		world.reportViolation("read %+v, version %d was acknowledged: %v", state, version.Load(), err)
	}
	world.reportFailures(test)
	return world.Leader() == index
}
