package sim

import (
	"fmt"
	"testing"
	"time"

	"orchidjunction/control"
	"orchidjunction/wire"
)

// rosters are those that the disks hold now, each once, with how many hold it.
func (world *World) rosters() map[string]int {
	held := map[string]int{}
	for _, machine := range world.Cores {
		store, mishap := control.OpenStore(machine.Disk.Copy())
		if mishap == nil && len(store.State().Roster) > 0 {
			held[fmt.Sprint(store.State().Roster)]++
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
		world.broke("%s: %v", what, world.rosters())
	}
	if !world.Until(10*time.Second, func() bool { return world.Leader() >= 0 }) {
		world.broke("%s: no leader", what)
	} else if mishap := world.Put(1, 0); mishap != nil {
		world.broke("%s: %v", what, mishap)
	}
}

// Cores that start together, apart, or with the founder killed and started
// again at any moment, found one roster, and all of them are in it.
func TestRosterIsFoundedOnce(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 4, 5} {
			for name, start := range map[string]func(world *World){
				"together": func(*World) {},
				"a seed is slow": func(world *World) {
					world.KillCore(int(seed)%3, false)
					world.Rest(4 * time.Second)
					world.StartCore(int(seed) % 3)
				},
				"the founder is killed": func(world *World) {
					for range 4 {
						world.Rest(time.Duration(300+seed*7%40*10) * time.Millisecond)
						world.KillCore(0, true)
						world.Rest(time.Duration(seed*31%200) * time.Millisecond)
						world.StartCore(0)
					}
				},
				"all are killed": func(world *World) {
					for range 3 {
						world.Rest(time.Duration(400+seed*13%60*10) * time.Millisecond)
						for index := range world.Cores {
							world.KillCore(index, true)
						}
						for index := range world.Cores {
							world.StartCore(index)
						}
					}
				},
				"the founder's links are cut": func(world *World) {
					world.Rest(time.Duration(700+seed*17%50*10) * time.Millisecond)
					world.isolate(0, true)
					world.Rest(2 * time.Second)
					world.isolate(0, false)
				},
				"one core reaches one seed only": func(world *World) {
					last := len(world.Cores) - 1
					for index := range 2 {
						world.Net.Cut(world.Cores[index].Host, world.Cores[last].Host, last > 2)
					}
					world.Rest(5 * time.Second)
					for index := range 2 {
						world.Net.Cut(world.Cores[index].Host, world.Cores[last].Host, false)
					}
				},
				"started again without word of the first start": func(world *World) {
					world.Rest(300 * time.Millisecond)
					for index := range world.Cores {
						world.KillCore(index, true)
						world.Cores[index].wiped = true
						world.StartCore(index)
					}
				},
			} {
				what := fmt.Sprintf("%d cores, %s", cores, name)
				world := NewFarWorld(seed, cores)
				for index := range world.Cores {
					world.StartCore(index)
				}
				start(world)
				world.oneRoster(test, what, cores)
				world.report(test)
				world.CloseFar()
			}
		}
	})
}

// A core that starts long after the others is not in the roster and doesn't
// vote; it brings operators' orders to the leader.
func TestLateCoreForwards(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 4)
		defer world.CloseFar()
		for index := range 3 {
			world.StartCore(index)
		}
		world.oneRoster(test, "three of four", 3)
		world.StartCore(3)
		world.Rest(3 * time.Second)
		late := world.Cores[3]
		if late.Core.Sound() {
			world.broke("a core outside the roster votes")
		}
		for version := uint64(2); version < 6; version++ {
			if _, mishap := order[wire.RouteChange, wire.RouteChangeTold](world, world.holds()[3:], "routechange", Whole(version, version-1)); mishap != nil {
				world.broke("through the late core: %v", mishap)
			}
			leader := world.Leader()
			world.KillCore(leader, true)
			world.StartCore(leader)
		}
		if held := world.rosters(); len(held) != 1 {
			world.broke("%v", held)
		}
		world.report(test)
	})
}

// A core back with a blank disk takes the roster from the others and votes only
// once it fenced so many that nothing it helped to decide is lost.
func TestBlankCoreComesBack(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			world := NewFarWorld(seed, cores)
			for index := range world.Cores {
				world.StartCore(index)
			}
			world.oneRoster(test, "at first", cores)
			for round := range 4 {
				lost := (int(seed) + round) % cores
				if mishap := world.Put(uint64(round+2), uint64(round+1)); mishap != nil {
					world.broke("%v", mishap)
				}
				world.WipeCore(lost)
				world.Rest(time.Duration(round) * 400 * time.Millisecond)
				world.StartCore(lost)
				if !world.Until(15*time.Second, func() bool { return world.Cores[lost].Core.Sound() }) {
					world.broke("core %d does not vote again", lost)
				}
				book, mishap := world.Book()
				if mishap != nil || book.Config.Version != uint64(round+2) {
					world.broke("read back %+v %v", book, mishap)
				}
			}
			if held := world.rosters(); len(held) != 1 {
				world.broke("%v", held)
			}
			world.report(test)
			world.CloseFar()
		}
	})
}

// While one of three is away nobody founds anything; one that lost its disk
// before there was a roster, and no longer counts as new, founds nothing either.
func TestNobodyFoundsAlone(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3)
		defer world.CloseFar()
		away := int(seed) % 3
		for index := range world.Cores {
			if index != away {
				world.StartCore(index)
			}
		}
		world.Rest(10 * time.Second)
		if held := world.rosters(); len(held) != 0 || world.Leader() >= 0 {
			world.broke("two of three founded %v", held)
		}
		world.StartCore(away)
		world.oneRoster(test, "the third came", 3)
		world.report(test)
	})
}
