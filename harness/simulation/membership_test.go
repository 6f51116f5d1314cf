package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/replica"
)

// rosters are those that the disks hold now, each once, with how many hold it.
func (world *World) rosters() map[string]int {
	held := map[string]int{}
	for _, machine := range world.Cores {
		store, err := replica.OpenStore(machine.Disk.Copy())
		if err == nil && store.State().Membership() != nil {
			held[fmt.Sprint(store.State().Membership().Voters)]++
		}
	}
	return held
}

func (world *World) oneRoster(test *testing.T, what string, holders int) {
	test.Helper()
	if !world.Until(15*time.Second, func() bool {
		held := world.rosters()
		for _, count := range held {
			return len(held) == 1 && count >= holders
		}
		return false
	}) {
		world.reportViolation("%s: %v", what, world.rosters())
	}
	if !world.Until(10*time.Second, func() bool { return world.Leader() >= 0 }) {
		world.reportViolation("%s: no leader", what)
	} else if err := world.PutRouting(1, 0); err != nil {
		world.reportViolation("%s: %v", what, err)
	}
}

// beginning is one way in which a system starts for the first time.
type beginning struct {
	name   string
	apart  int
	before func(world *World)
	after  func(world *World)
}

// lonely cuts the last core from all seeds but one.
func lonely(shut bool) func(world *World) {
	return func(world *World) {
		last := world.Cores[len(world.Cores)-1]
		for _, seed := range world.Cores[:2] {
			world.Net.Cut(seed.Host, last.Host, shut && len(world.Cores) > 3)
		}
	}
}

// Cores that start together, apart, or with the founder killed and started
// again at any moment, found one roster, and all of them know it.
func TestMembershipIsInitializedOnce(test *testing.T) {
	nothing := func(*World) {}
	each(test, func(test *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 37))
		some := func(most int) time.Duration { return time.Duration(random.IntN(most)) * time.Millisecond }
		beginnings := []beginning{
			{"together", 80, nothing, nothing},
			{"a seed is slow", 80, nothing, func(world *World) {
				world.KillCore(int(seed)%3, false)
				world.Sleep(4 * time.Second)
				world.StartCore(int(seed) % 3)
			}},
			{"the founder is killed", 80, nothing, func(world *World) {
				for range 4 {
					world.Sleep(300*time.Millisecond + some(400))
					world.KillCore(0, true)
					world.Sleep(some(200))
					world.StartCore(0)
				}
			}},
			{"all are killed", 80, nothing, func(world *World) {
				for range 3 {
					world.Sleep(400*time.Millisecond + some(600))
					for index := range world.Cores {
						world.KillCore(index, true)
					}
					for index := range world.Cores {
						world.StartCore(index)
					}
				}
			}},
			{"the founder's links are cut", 80, nothing, func(world *World) {
				world.Sleep(700*time.Millisecond + some(500))
				world.isolateCore(0, true)
				world.Sleep(2 * time.Second)
				world.isolateCore(0, false)
			}},
			{"started again without word of the first start", 80, nothing, func(world *World) {
				world.Sleep(300 * time.Millisecond)
				for index := range world.Cores {
					world.KillCore(index, true)
					world.Cores[index].emptyDisk = true
					world.StartCore(index)
				}
			}},
		}
		for index := range 4 {
			beginnings = append(beginnings, beginning{"one core reaches one seed only", 1 + 20*index, lonely(true), func(world *World) {
				world.Sleep(5 * time.Second)
				lonely(false)(world)
			}})
		}
		for _, cores := range []int{3, 4, 5} {
			for _, beginning := range beginnings {
				world := NewRegionalWorld(seed, cores)
				beginning.before(world)
				for index := range world.Cores {
					world.StartCore(index)
					world.Sleep(some(beginning.apart))
				}
				beginning.after(world)
				world.oneRoster(test, fmt.Sprintf("%d cores, %s", cores, beginning.name), cores)
				world.report(test)
				world.CloseRegional()
			}
		}
	})
}

// A core that starts long after the others is not in the roster and doesn't
// vote; it brings operators' orders to the leader.
func TestLateCoreForwards(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 4)
		defer world.CloseRegional()
		for index := range 3 {
			world.StartCore(index)
		}
		world.oneRoster(test, "three of four", 3)
		world.StartCore(3)
		world.Sleep(3 * time.Second)
		late := world.Cores[3]
		if late.Core.CanVote() {
			world.reportViolation("a core outside the roster votes")
		}
		for version := uint64(2); version < 6; version++ {
			if _, err := forward(
				world,
				world.forwarders()[3:],
				message.MethodRoutingChange,
				NewRoutingChange(version, version-1),
			); err != nil {
				world.reportViolation("through the late core: %v", err)
			}
			leader := world.Leader()
			world.KillCore(leader, true)
			world.StartCore(leader)
		}
		if held := world.rosters(); len(held) != 1 {
			world.reportViolation("%v", held)
		}
		world.report(test)
	})
}

// A core back with a blank disk takes the roster from the others and votes only
// once it fenced so many that nothing it helped to decide is lost.
func TestBlankCoreComesBack(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			world := NewRegionalWorld(seed, cores)
			for index := range world.Cores {
				world.StartCore(index)
			}
			world.oneRoster(test, "at first", cores)
			for round := range 4 {
				lost := (int(seed) + round) % cores
				if err := world.PutRouting(uint64(round+2), uint64(round+1)); err != nil {
					world.reportViolation("%v", err)
				}
				world.WipeCore(lost)
				world.Sleep(time.Duration(round) * 400 * time.Millisecond)
				world.StartCore(lost)
				if !world.Until(15*time.Second, func() bool { return world.Cores[lost].Core.CanVote() }) {
					world.reportViolation("core %d does not vote again", lost)
				}
				state, err := world.ReadRouting()
				if err != nil || state.Config.Version != uint64(round+2) {
					world.reportViolation("read back %+v %v", state, err)
				}
			}
			if held := world.rosters(); len(held) != 1 {
				world.reportViolation("%v", held)
			}
			world.report(test)
			world.CloseRegional()
		}
	})
}

// While one of three is away nobody founds anything; one that lost its disk
// before there was a roster, and no longer counts as new, founds nothing either.
func TestNobodyFoundsAlone(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		away := int(seed) % 3
		for index := range world.Cores {
			if index != away {
				world.StartCore(index)
			}
		}
		world.Sleep(10 * time.Second)
		if held := world.rosters(); len(held) != 0 || world.Leader() >= 0 {
			world.reportViolation("two of three founded %v", held)
		}
		world.StartCore(away)
		world.oneRoster(test, "the third came", 3)
		world.report(test)
	})
}
