package simulation

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

// absences are the ways in which a core misses changes.
var absences = []string{"restarted", "power", "wiped", "frozen", "cut"}

// diskBound is two segments, as a power loss may undo the last removal, and room for
// small snapshots: half of what 2,000 changes of these tests amount to.
const diskBound = 9 << 20

// away takes a core out of the system; the function it gives brings it back.
func (world *World) away(kind string, index int) func() {
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

// change puts so many routings in force, each on top of the last.
func (world *World) change(version *atomic.Uint64, count int) {
	for range count {
		last := version.Load()
		if err := world.PutRouting(last+1, last); err != nil {
			world.reportViolation("%d on %d: %v", last+1, last, err)
			return
		}
		version.Store(last + 1)
	}
}

// A core is away while 10, 400 and 2,000 changes are made, each way as the
// leader and as another (2,000 with the first seed only). It is back with all of them on its disk within
// seconds, while changes go on or none is made (by seed); the next leader, whoever it is, holds what was
// acknowledged last; and no disk ever holds more than a bounded number of bytes.
func TestCoreCatchesUpAfterManyChanges(test *testing.T) {
	counts := []int{10, 400, 2000}
	if raced {
		counts = counts[:1]
	}
	for _, count := range counts {
		for number, kind := range absences {
			test.Run(fmt.Sprint(count, " ", kind), func(test *testing.T) {
				eachWorld(test, func(seed uint64) func(test *testing.T) {
					return func(test *testing.T) {
						if count < 2000 || seed == uint64(*first) {
							catchUp(test, seed, kind, count, (int(seed)+number)%2 == 0)
						}
					}
				})
			})
		}
	}
}

func catchUp(test *testing.T, seed uint64, kind string, count int, leads bool) {
	world := NewRegionalWorld(seed, 3)
	defer world.CloseRegional()
	world.farUp(test, 3)
	version := atomic.Uint64{}
	version.Store(1)
	index := world.calm(test)
	if !leads {
		index = (index + 1) % 3
	}
	going := seed%2 == 1
	back := world.away(kind, index)
	world.change(&version, count)
	if !going {
		world.Sleep(5 * time.Second) // nobody tries to send it the last change any more
	}
	back()
	missed, begin := world.lasts((index+1)%3), time.Now()
	stop, ended := atomic.Bool{}, atomic.Bool{}
	world.goroutines.Start(func() {
		for !stop.Load() && going {
			world.change(&version, 1)
		}
		ended.Store(true)
	})
	if !world.Until(6*time.Second, func() bool { return world.lasts(index) >= missed }) {
		world.reportViolation("holds serial %d, %d were made while it was away", world.lasts(index), missed)
	}
	took := time.Since(begin)
	world.Sleep(2 * time.Second)
	stop.Store(true)
	world.Until(10*time.Second, ended.Load)
	leader, acknowledged := world.calm(test), version.Load()
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
		world.reportViolation("read back %+v after the leader was lost, %d was acknowledged: %v", state, acknowledged, err)
	}
	for _, machine := range world.Cores {
		if used := machine.Disk.PeakUsed(); used > diskBound {
			world.reportViolation("core %d used %d bytes of disk", machine.ID, used)
		}
	}
	test.Logf("caught up after %v, %d bytes of disk at most", took, world.Cores[index].Disk.PeakUsed())
	world.report(test)
}

// A member is away while many changes are made: it has the newest in force soon
// after it is back, never an older one than it had, by a bounded message.
func TestMemberCatchesUpAfterManyChanges(test *testing.T) {
	counts := []int{10, 400}
	if raced {
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
	world.farUp(test, 3)
	version := atomic.Uint64{}
	version.Store(1)
	one := world.Members[int(seed)%3]
	cut := func(shut bool) {
		for _, machine := range world.Cores {
			world.Net.Cut(one.Host, machine.Host, shut)
		}
	}
	switch kind {
	case "frozen":
		world.Net.Freeze(one.Host, true)
	case "cut":
		cut(true)
	default:
		world.KillMember(one)
	}
	world.change(&version, count)
	switch kind {
	case "frozen":
		world.Net.Freeze(one.Host, false)
	case "cut":
		cut(false)
	default:
		world.StartMember(one)
	}
	if took, whole := world.reached(version.Load(), 5*time.Second); !whole {
		world.reportViolation(
			"%s has routing serial %d in force after %v, version %d was acknowledged",
			one.Name,
			one.Daemon.Version().RoutingSerial,
			took,
			version.Load(),
		)
	}
	world.report(test)
}

// The leader is lost at the moment when a core comes back that missed changes: those
// two that are left hold what was acknowledged, whichever of them leads.
func TestReturnedCoreDoesNotLeadWithOldState(test *testing.T) {
	led := atomic.Int32{}
	counts := []int{10, 400}
	if raced {
		counts = []int{10, 20, 30, 40}
	}
	for _, count := range counts {
		for _, kind := range []string{"restarted", "power", "frozen", "cut"} {
			test.Run(fmt.Sprint(count, " ", kind), func(test *testing.T) {
				eachWorld(test, func(seed uint64) func(test *testing.T) {
					return func(test *testing.T) {
						if leadsWithNewState(test, seed, kind, count) {
							led.Add(1)
						}
					}
				})
			})
		}
	}
	if led.Load() == 0 {
		test.Error("no core that missed changes came to lead")
	}
}

// leadsWithNewState is whether the core that missed changes came to lead.
func leadsWithNewState(test *testing.T, seed uint64, kind string, count int) bool {
	world := NewRegionalWorld(seed, 3)
	defer world.CloseRegional()
	world.farUp(test, 3)
	version := atomic.Uint64{}
	version.Store(1)
	leader := world.calm(test)
	index := (leader + 1 + int(seed)%2) % 3
	back := world.away(kind, index)
	world.change(&version, count)
	leader = world.Leader()
	back()
	world.KillCore(leader, true)
	if !world.Until(10*time.Second, func() bool { return world.Leader() >= 0 }) {
		world.reportViolation("nobody leads")
	}
	state, err := world.ReadRouting()
	if err != nil || state.Config.Version != version.Load() {
		world.reportViolation("read back %+v, %d was acknowledged: %v", state, version.Load(), err)
	}
	world.report(test)
	return world.Leader() == index
}
