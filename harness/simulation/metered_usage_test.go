package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"orchidjunction/control"
	"orchidjunction/message"
)

// usageCollector stands in for the platform that receives usage reports. It also counts
// the requests that were really started, for comparison.
type meters struct {
	mutex   sync.Mutex
	world   *World
	random  *rand.Rand
	span    int64
	counted map[string]map[int64]map[string]uint64
	begun   map[int64]uint64
	told    map[int64]control.WindowReport
	at      map[int64]int64
	fences  map[uint64]string
	tellers map[int64]map[string]bool
	highest uint64
	down    bool
	sure    bool
}

func newMeters(world *World) *meters {
	made := &meters{
		world:   world,
		random:  rand.New(rand.NewPCG(world.Seed, 29)),
		span:    5000,
		counted: map[string]map[int64]map[string]uint64{},
		begun:   map[int64]uint64{},
		told:    map[int64]control.WindowReport{},
		at:      map[int64]int64{},
		fences:  map[uint64]string{},
		tellers: map[int64]map[string]bool{},
	}
	world.Metering = control.Metering{
		Window:        5 * time.Second,
		SettleAfter:   3500 * time.Millisecond,
		TakeoverQuiet: 3 * time.Second,
		Report:        made.report,
	}
	world.Requests = made.windows
	return made
}

// startRequest counts a request that a member starts now, in the window of the member's clock.
func (meters *meters) begin(one *FarDaemon) {
	window := one.Daemon.Now() / meters.span
	meters.mutex.Lock()
	defer meters.mutex.Unlock()
	tenant := fmt.Sprint("tenant-", meters.random.IntN(3))
	process := one.Daemon.Incarnation()
	if meters.counted[process] == nil {
		meters.counted[process] = map[int64]map[string]uint64{}
	}
	if meters.counted[process][window] == nil {
		meters.counted[process][window] = map[string]uint64{}
	}
	meters.counted[process][window][tenant]++
	meters.begun[time.Now().UnixMilli()/meters.span]++
}

// generateLoad starts requests at all running members for the given time.
func (meters *meters) load(span, pause time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); meters.world.Rest(pause) {
		for _, one := range meters.world.Members {
			if one.Alive {
				meters.begin(one)
			}
		}
	}
}

func (meters *meters) windows(one *FarDaemon) []message.WindowCount {
	meters.mutex.Lock()
	defer meters.mutex.Unlock()
	all := []message.WindowCount{}
	now := one.Daemon.Now() / meters.span
	for window, tenants := range meters.counted[one.Daemon.Incarnation()] {
		if window > now-6 {
			all = append(all, message.WindowCount{Window: window, Tenants: maps.Clone(tenants)})
		}
	}
	return all
}

// reportedWindows returns the number of windows reported.
func (meters *meters) windowsTold() int {
	meters.mutex.Lock()
	defer meters.mutex.Unlock()
	return len(meters.told)
}

// fenceCount returns the number of different fences seen in reports.
func (meters *meters) fencesSeen() int {
	meters.mutex.Lock()
	defer meters.mutex.Unlock()
	return len(meters.fences)
}

func (meters *meters) report(report control.WindowReport) control.ReportResult {
	meters.mutex.Lock()
	defer meters.mutex.Unlock()
	if meters.down || !meters.sure && meters.random.IntN(5) == 0 {
		return control.ReportRetry
	}
	if holder, found := meters.fences[report.Fence]; found && holder != report.Holder {
		meters.world.broke("%s and %s both report under fence %d", holder, report.Holder, report.Fence)
	}
	meters.fences[report.Fence] = report.Holder
	if report.Fence < meters.highest {
		return control.ReportFenced
	}
	meters.highest = report.Fence
	if before, found := meters.told[report.Window]; found && !maps.Equal(before.Tenants, report.Tenants) {
		meters.world.broke("window %d: reported as %v, then as %v", report.Window, before.Tenants, report.Tenants)
	}
	if _, found := meters.told[report.Window]; !found {
		meters.at[report.Window] = time.Now().UnixMilli()
	}
	meters.told[report.Window] = report
	if meters.tellers[report.Window] == nil {
		meters.tellers[report.Window] = map[string]bool{}
	}
	meters.tellers[report.Window][report.Holder] = true
	return control.ReportAccepted
}

// checkWindows compares the reports of windows first to last with the requests started:
// delays are at most late ms, sums deviate by at most share.
func (meters *meters) judge(first, last int64, late int64, share float64) {
	meters.mutex.Lock()
	defer meters.mutex.Unlock()
	for window := first; window <= last; window++ {
		report, found := meters.told[window]
		if !found {
			meters.world.broke("window %d was not reported", window)
			continue
		}
		sum := uint64(0)
		for _, requests := range report.Tenants {
			sum += requests
		}
		if begun := meters.begun[window]; float64(sum) < float64(begun)*(1-share) || float64(sum) > float64(begun)*(1+share) {
			meters.world.broke("window %d: %d requests reported, %d started", window, sum, begun)
		}
		if delay := meters.at[window] - (window+1)*meters.span; delay > late {
			meters.world.broke("window %d: reported %d ms after its end", window, delay)
		}
	}
}

func (meters *meters) stop(down bool) {
	meters.mutex.Lock()
	meters.down = down
	meters.mutex.Unlock()
}

// Each window is reported completely, in time and with one result, across leader
// changes, platform outages and the loss of all cores.
func TestWindowsAreSealedOnce(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3)
		meters := newMeters(world)
		defer world.CloseFar()
		world.farUp(test, 4)
		load := func(span time.Duration) { meters.load(span, 20*time.Millisecond) }
		load(12 * time.Second)
		calm := time.Now().UnixMilli()/meters.span - 1
		load(20 * time.Second)
		meters.judge(calm, time.Now().UnixMilli()/meters.span-3, 10_000, 0.02)
		for round := range 8 {
			leader := world.Leader()
			switch round % 4 {
			case 0:
				world.KillCore(leader, true)
				load(time.Second)
				world.StartCore(leader)
			case 1:
				meters.stop(true)
				load(4 * time.Second)
				world.goroutines.Start(func() { world.TermCore(leader); world.StartCore(leader) })
				load(2 * time.Second)
				meters.stop(false)
			case 2:
				world.Net.Freeze(world.Cores[leader].Host, true)
				load(3 * time.Second)
				world.Net.Freeze(world.Cores[leader].Host, false)
			case 3:
				for index := range world.Cores {
					world.KillCore(index, true)
				}
				load(time.Second)
				for index := range world.Cores {
					world.StartCore(index)
				}
			}
			load(time.Duration(seed*13%5+9) * time.Second)
			world.Until(10*time.Second, func() bool { return world.Leader() >= 0 })
		}
		load(12 * time.Second)
		meters.judge(calm, time.Now().UnixMilli()/meters.span-4, 25_000, 0.02)
		test.Logf("%d windows, %d fences", meters.windowsTold(), meters.fencesSeen())
		world.report(test)
	})
}

// Sealing a window waits some time for an unreachable member, so that its counts are
// included; a retired member is not waited for.
func TestSilentMemberIsWaitedFor(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3)
		meters := newMeters(world)
		defer world.CloseFar()
		world.farUp(test, 2)
		world.Until(6*time.Second, func() bool { return time.Now().UnixMilli()%meters.span < 10 })
		world.Rest(10 * time.Second)
		window := time.Now().UnixMilli() / meters.span
		begin := func(count int) {
			for range count {
				for _, one := range world.Members {
					meters.begin(one)
				}
				world.Rest(10 * time.Millisecond)
			}
		}
		begin(100)
		world.Rest(3 * time.Second)
		for _, core := range world.Cores {
			world.Net.Cut(core.Host, world.Members[0].Host, true)
		}
		begin(50)
		world.Rest(3900 * time.Millisecond)
		for _, core := range world.Cores {
			world.Net.Cut(core.Host, world.Members[0].Host, false)
		}
		world.Rest(5 * time.Second)
		meters.judge(window, window, 10_000, 0)
		world.report(test)
	})
}

// The first window with requests is reported although the leader that accepted the
// first routing is killed right after.
func TestFirstWindowIsReported(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3)
		meters := newMeters(world)
		defer world.CloseFar()
		for index := range world.Cores {
			world.StartCore(index)
		}
		for index := range 2 {
			world.StartMember(world.AddMember(index))
		}
		if !world.Until(10*time.Second, func() bool { return world.Leader() >= 0 }) {
			test.Fatal("no leader")
		}
		world.Until(6*time.Second, func() bool { return time.Now().UnixMilli()%meters.span > meters.span-500 })
		if err := world.Put(1, 0); err != nil {
			test.Fatal(err)
		}
		world.KillCore(world.Leader(), true)
		window := time.Now().UnixMilli() / meters.span
		for range 20 {
			for _, one := range world.Members {
				meters.begin(one)
			}
			world.Rest(10 * time.Millisecond)
		}
		world.Rest(12 * time.Second)
		meters.judge(window, window, 12_000, 0)
		world.report(test)
	})
}

// A window sealed without a member's last counts is reported unchanged by the next
// leader, even if the counts have arrived meanwhile.
func TestSealedWindowNeverChanges(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3)
		meters := newMeters(world)
		meters.sure = true
		defer world.CloseFar()
		world.farUp(test, 2)
		for round := range 3 {
			world.Until(6*time.Second, func() bool { return time.Now().UnixMilli()%meters.span < 10 })
			world.Rest(10 * time.Second)
			window := time.Now().UnixMilli() / meters.span
			cut := func(shut bool) {
				for _, core := range world.Cores {
					world.Net.Cut(core.Host, world.Members[0].Host, shut)
				}
			}
			begin := func(count int) {
				for range count {
					for _, one := range world.Members {
						meters.begin(one)
					}
					world.Rest(10 * time.Millisecond)
				}
			}
			begin(100)
			cut(true)
			begin(100)
			if !world.Until(15*time.Second, func() bool {
				meters.mutex.Lock()
				defer meters.mutex.Unlock()
				_, response := meters.told[window]
				return response
			}) {
				world.broke("window %d was not reported", window)
			}
			cut(false)
			world.Rest(1200 * time.Millisecond)
			leader := world.Leader()
			world.KillCore(leader, round%2 == 0)
			world.Rest(8 * time.Second)
			world.StartCore(leader)
			meters.mutex.Lock()
			if tellers := meters.tellers[window]; len(tellers) < 2 {
				world.broke("window %d was reported by %v only, want two leaders", window, tellers)
			}
			meters.mutex.Unlock()
		}
		world.report(test)
	})
}

// Wall clocks of one core and of members are off by seconds or hours and jump during
// operation: the time of day in use stays close to the true one.
func TestClocksThatJump(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3)
		defer world.CloseFar()
		random := rand.New(rand.NewPCG(seed, 31))
		jump := func() int64 { return []int64{-7_200_000, -3000, 2500, 4_000_000}[random.IntN(4)] }
		wrong := int(seed) % 3
		world.Cores[wrong].jump.Store(jump())
		for range 4 {
			world.AddMember(random.IntN(3)).Jump = jump()
		}
		for index := range world.Cores {
			world.StartCore(index)
		}
		for _, one := range world.Members {
			world.StartMember(one)
		}
		world.Until(10*time.Second, func() bool { return world.Leader() >= 0 })
		near := func(what string, most int64) {
			for _, one := range world.Members {
				if off := one.Daemon.Now() - time.Now().UnixMilli(); off > most || off < -most {
					world.broke("%s: the clock of %s is off by %d ms", what, one.Name, off)
				}
			}
			for _, machine := range world.Cores {
				if core := machine.life(world); core != nil {
					if off := core.Now() - time.Now().UnixMilli(); off > most || off < -most {
						world.broke("%s: the clock of core %d is off by %d ms", what, machine.ID, off)
					}
				}
			}
		}
		world.Rest(2 * time.Second)
		near("after start", 40)
		for round := range 8 {
			machine := world.Cores[(wrong+round)%3]
			machine.jump.Store(jump())
			switch round % 4 {
			case 1:
				world.KillCore(world.Leader(), true)
				world.Rest(4 * time.Second)
				near("without the leader", 60)
				for index, one := range world.Cores {
					if one.life(world) == nil {
						one.jump.Store(0)
						world.StartCore(index)
					}
				}
			case 3:
				world.KillCore(wrong, true)
				world.Cores[wrong].jump.Store(jump())
				world.StartCore(wrong)
			}
			world.Until(10*time.Second, func() bool { return world.Leader() >= 0 })
			world.Rest(2 * time.Second)
			near(fmt.Sprint("round ", round), 60)
		}
		world.report(test)
	})
}

// A member that retires leaves the table at once, a killed one after its timeout.
func TestFarewellLeavesTheTable(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3)
		defer world.CloseFar()
		world.farUp(test, 5)
		listed := func(one *FarDaemon) bool {
			for _, known := range world.Members[0].Daemon.Version().Table.Members {
				if known.Name == one.Name {
					return true
				}
			}
			return false
		}
		left := func(one *FarDaemon) time.Duration {
			begin := time.Now()
			if !listed(one) || !world.Until(10*time.Second, func() bool { return !listed(one) }) {
				world.broke("%s is not listed at first, or still listed after 10 s", one.Name)
			}
			return time.Since(begin)
		}
		world.Rest(2 * time.Second)
		world.Members[3].Daemon.Retire(100*time.Millisecond, time.Second, func(time.Duration) bool { return true })
		world.KillMember(world.Members[3])
		said := left(world.Members[3])
		world.KillMember(world.Members[4])
		silent := left(world.Members[4])
		if said > 600*time.Millisecond || silent < 1500*time.Millisecond || silent > 4*time.Second {
			world.broke("left the table %v after retiring, %v after being killed", said, silent)
		}
		world.report(test)
	})
}
