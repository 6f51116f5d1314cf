package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/replica"
)

// storedMemberships returns the distinct memberships on the cores' disks, each with the number of disks.
func (world *World) storedMemberships() map[string]int {
	counts := map[string]int{}
	for _, machine := range world.Cores {
		store, err := replica.OpenStore(machine.Disk.Copy())
		if err == nil && store.State().Membership() != nil {
			counts[fmt.Sprint(store.State().Membership().Voters)]++
		}
	}
	return counts
}

func (world *World) requireOneMembership(test *testing.T, scenario string, holders int) {
	test.Helper()
	if !world.Until(15*time.Second, func() bool {
		memberships := world.storedMemberships()
		for _, count := range memberships {
			return len(memberships) == 1 && count >= holders
		}
		return false
	}) {
		world.reportViolation("%s: want one membership, stored on enough cores: %v", scenario, world.storedMemberships())
	}
	if !world.Until(10*time.Second, func() bool { return world.Leader() >= 0 }) {
		world.reportViolation("%s: no leader within 10 s", scenario)
	} else if err := world.PutRouting(1, 0); err != nil {
		world.reportViolation("%s: put: %v", scenario, err)
	}
}

// startScenario is one way in which a system starts for the first time; its cores start up to
// maxDelayMs apart.
type startScenario struct {
	name       string
	maxDelayMs int
	before     func(world *World)
	after      func(world *World)
}

// isolateLastCore cuts the last of four or more cores off from all seeds but one.
func isolateLastCore(cut bool) func(world *World) {
	return func(world *World) {
		last := world.Cores[len(world.Cores)-1]
		for _, seed := range world.Cores[:2] {
			world.Net.Cut(seed.Host, last.Host, cut && len(world.Cores) > 3)
		}
	}
}

// Cores that start together, apart, or while the bootstrapping core is killed and restarted at
// any moment initialize one membership, and all of them store it.
func TestMembershipIsInitializedOnce(test *testing.T) {
	nothing := func(*World) {}
	forEachSeed(test, func(test *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 37))
		randomDelay := func(most int) time.Duration { return time.Duration(random.IntN(most)) * time.Millisecond }
		scenarios := []startScenario{
			{"together", 80, nothing, nothing},
			{"a seed is slow", 80, nothing, func(world *World) {
				world.KillCore(int(seed)%3, false)
				world.Sleep(4 * time.Second)
				world.StartCore(int(seed) % 3)
			}},
			{"the bootstrapping core is killed", 80, nothing, func(world *World) {
				for range 4 {
					world.Sleep(300*time.Millisecond + randomDelay(400))
					world.KillCore(0, true)
					world.Sleep(randomDelay(200))
					world.StartCore(0)
				}
			}},
			{"all are killed", 80, nothing, func(world *World) {
				for range 3 {
					world.Sleep(400*time.Millisecond + randomDelay(600))
					for index := range world.Cores {
						world.KillCore(index, true)
					}
					for index := range world.Cores {
						world.StartCore(index)
					}
				}
			}},
			{"the bootstrapping core's links are cut", 80, nothing, func(world *World) {
				world.Sleep(700*time.Millisecond + randomDelay(500))
				world.isolateCore(0, true)
				world.Sleep(2 * time.Second)
				world.isolateCore(0, false)
			}},
			{"restarted, no longer counted as a first start", 80, nothing, func(world *World) {
				world.Sleep(300 * time.Millisecond)
				for index := range world.Cores {
					world.KillCore(index, true)
					world.Cores[index].emptyDisk = true
					world.StartCore(index)
				}
			}},
		}
		for index := range 4 {
			scenarios = append(
				scenarios,
				startScenario{"one core reaches one seed only", 1 + 20*index, isolateLastCore(true), func(world *World) {
					world.Sleep(5 * time.Second)
					isolateLastCore(false)(world)
				}},
			)
		}
		for _, cores := range []int{3, 4, 5} {
			for _, scenario := range scenarios {
				world := NewRegionalWorld(seed, cores)
				scenario.before(world)
				for index := range world.Cores {
					world.StartCore(index)
					world.Sleep(randomDelay(scenario.maxDelayMs))
				}
				scenario.after(world)
				world.requireOneMembership(test, fmt.Sprintf("%d cores, %s", cores, scenario.name), cores)
				world.reportFailures(test)
				world.CloseRegional()
			}
		}
	})
}

// A core that starts long after the others is not a member and doesn't vote; it forwards
// operators' requests to the leader.
func TestLateCoreForwards(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 4)
		defer world.CloseRegional()
		for index := range 3 {
			world.StartCore(index)
		}
		world.requireOneMembership(test, "three of four started", 3)
		world.StartCore(3)
		world.Sleep(3 * time.Second)
		late := world.Cores[3]
		if late.Core.CanVote() {
			world.reportViolation("a core that is not a member votes")
		}
		for version := uint64(2); version < 6; version++ {
			if _, err := forward(
				world,
				world.forwarders()[3:],
				message.MethodRoutingChange,
				NewRoutingChange(version, version-1),
			); err != nil {
				world.reportViolation("change through the late core: %v", err)
			}
			leader := world.Leader()
			world.KillCore(leader, true)
			world.StartCore(leader)
		}
		if memberships := world.storedMemberships(); len(memberships) != 1 {
			world.reportViolation("cores store differing memberships: %v", memberships)
		}
		world.reportFailures(test)
	})
}

// A core that returns with a blank disk takes the membership from the others and votes only
// once it has fenced enough of them that nothing it helped to decide is lost.
func TestWipedCoreRejoins(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			world := NewRegionalWorld(seed, cores)
			for index := range world.Cores {
				world.StartCore(index)
			}
			world.requireOneMembership(test, "after the start", cores)
			for round := range 4 {
				wiped := (int(seed) + round) % cores
				if err := world.PutRouting(uint64(round+2), uint64(round+1)); err != nil {
					world.reportViolation("%v", err)
				}
				world.WipeCore(wiped)
				world.Sleep(time.Duration(round) * 400 * time.Millisecond)
				world.StartCore(wiped)
				if !world.Until(15*time.Second, func() bool { return world.Cores[wiped].Core.CanVote() }) {
					world.reportViolation("core %d does not vote again within 15 s", wiped)
				}
				state, err := world.ReadRouting()
				if err != nil || state.Config.Version != uint64(round+2) {
					world.reportViolation("read %+v %v after a core was wiped", state, err)
				}
			}
			if memberships := world.storedMemberships(); len(memberships) != 1 {
				world.reportViolation("cores store differing memberships: %v", memberships)
			}
			world.reportFailures(test)
			world.CloseRegional()
		}
	})
}

// No membership is initialized while one of three cores is missing.
func TestMembershipIsNotInitializedWhileACoreIsMissing(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		missing := int(seed) % 3
		for index := range world.Cores {
			if index != missing {
				world.StartCore(index)
			}
		}
		world.Sleep(10 * time.Second)
		if memberships := world.storedMemberships(); len(memberships) != 0 || world.Leader() >= 0 {
			world.reportViolation("two of three cores initialized %v", memberships)
		}
		world.StartCore(missing)
		world.requireOneMembership(test, "after the third core started", 3)
		world.reportFailures(test)
	})
}
