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

// meters is the platform that windows are reported to, and what was truly counted.
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
		Window:              5 * time.Second,
		SettleAfter:         3500 * time.Millisecond,
		TakeoverQuietPeriod: 3 * time.Second,
		Report:              made.report,
	}
	world.RequestCounts = made.windows
	return made
}

// begin counts requests that a member begins now, by its own clock.
func (meters *meters) begin(one *RegionalDaemon) {
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

// load begins a request at each living member again and again, for some time.
func (meters *meters) load(span, pause time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); meters.world.Sleep(pause) {
		for _, one := range meters.world.Members {
			if one.Alive {
				meters.begin(one)
			}
		}
	}
}

func (meters *meters) windows(one *RegionalDaemon) []message.WindowCount {
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

// windowsTold is how many windows were reported.
func (meters *meters) windowsTold() int {
	meters.mutex.Lock()
	defer meters.mutex.Unlock()
	return len(meters.told)
}

// fencesSeen is how many fences reports had.
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
		meters.world.reportViolation("%s and %s share fence %d", holder, report.Holder, report.Fence)
	}
	meters.fences[report.Fence] = report.Holder
	if report.Fence < meters.highest {
		return control.ReportFenced
	}
	meters.highest = report.Fence
	if before, found := meters.told[report.Window]; found && !maps.Equal(before.Tenants, report.Tenants) {
		meters.world.reportViolation("window %d: %v, then %v", report.Window, before.Tenants, report.Tenants)
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

// judge compares what was reported of some windows with what was truly begun.
func (meters *meters) judge(first, last int64, late int64, share float64) {
	meters.mutex.Lock()
	defer meters.mutex.Unlock()
	for window := first; window <= last; window++ {
		report, found := meters.told[window]
		if !found {
			meters.world.reportViolation("window %d was not reported", window)
			continue
		}
		sum := uint64(0)
		for _, requests := range report.Tenants {
			sum += requests
		}
		if begun := meters.begun[window]; float64(sum) < float64(begun)*(1-share) || float64(sum) > float64(begun)*(1+share) {
			meters.world.reportViolation("window %d: %d reported, %d begun", window, sum, begun)
		}
		if delay := meters.at[window] - (window+1)*meters.span; delay > late {
			meters.world.reportViolation("window %d: reported after %d ms", window, delay)
		}
	}
}

func (meters *meters) stop(down bool) {
	meters.mutex.Lock()
	meters.down = down
	meters.mutex.Unlock()
}

// Windows are reported once, whole and in time; over changes of leaders, a
// platform that is away and the loss of all cores, no window has two counts.
func TestWindowsAreSealedOnce(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		meters := newMeters(world)
		defer world.CloseRegional()
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
				world.goroutines.Start(func() { world.TerminateCore(leader); world.StartCore(leader) })
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

// A member that is silent as a window is sealed is waited for a while, and its
// counts are in; one that said farewell isn't.
func TestSilentMemberIsWaitedFor(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		meters := newMeters(world)
		defer world.CloseRegional()
		world.farUp(test, 2)
		world.Until(6*time.Second, func() bool { return time.Now().UnixMilli()%meters.span < 10 })
		world.Sleep(10 * time.Second)
		window := time.Now().UnixMilli() / meters.span
		begin := func(count int) {
			for range count {
				for _, one := range world.Members {
					meters.begin(one)
				}
				world.Sleep(10 * time.Millisecond)
			}
		}
		begin(100)
		world.Sleep(3 * time.Second)
		for _, core := range world.Cores {
			world.Net.Cut(core.Host, world.Members[0].Host, true)
		}
		begin(50)
		world.Sleep(3900 * time.Millisecond)
		for _, core := range world.Cores {
			world.Net.Cut(core.Host, world.Members[0].Host, false)
		}
		world.Sleep(5 * time.Second)
		meters.judge(window, window, 10_000, 0)
		world.report(test)
	})
}

// The first window that anything began in is reported, though the leader that
// took the first routing died at once.
func TestFirstWindowIsReported(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		meters := newMeters(world)
		defer world.CloseRegional()
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
		if err := world.PutRouting(1, 0); err != nil {
			test.Fatal(err)
		}
		world.KillCore(world.Leader(), true)
		window := time.Now().UnixMilli() / meters.span
		for range 20 {
			for _, one := range world.Members {
				meters.begin(one)
			}
			world.Sleep(10 * time.Millisecond)
		}
		world.Sleep(12 * time.Second)
		meters.judge(window, window, 12_000, 0)
		world.report(test)
	})
}

// A window that was sealed without a member's last counts is told again by the
// next leader exactly so, though the counts came meanwhile.
func TestSealedWindowNeverChanges(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		meters := newMeters(world)
		meters.sure = true
		defer world.CloseRegional()
		world.farUp(test, 2)
		for round := range 3 {
			world.Until(6*time.Second, func() bool { return time.Now().UnixMilli()%meters.span < 10 })
			world.Sleep(10 * time.Second)
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
					world.Sleep(10 * time.Millisecond)
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
				world.reportViolation("window %d was not reported", window)
			}
			cut(false)
			world.Sleep(1200 * time.Millisecond)
			leader := world.Leader()
			world.KillCore(leader, round%2 == 0)
			world.Sleep(8 * time.Second)
			world.StartCore(leader)
			meters.mutex.Lock()
			if tellers := meters.tellers[window]; len(tellers) < 2 {
				world.reportViolation("window %d was told by %v only", window, tellers)
			}
			meters.mutex.Unlock()
		}
		world.report(test)
	})
}

// Wall clocks are wrong by seconds or hours on one core and on members, and jump
// while all goes on: the time of day that all use stays near the true one.
func TestClocksThatJump(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		random := rand.New(rand.NewPCG(seed, 31))
		jump := func() int64 { return []int64{-7_200_000, -3000, 2500, 4_000_000}[random.IntN(4)] }
		wrong := int(seed) % 3
		world.Cores[wrong].clockOffsetMs.Store(jump())
		for range 4 {
			world.AddMember(random.IntN(3)).ClockOffsetMs = jump()
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
					world.reportViolation("%s: %s is off by %d ms", what, one.Name, off)
				}
			}
			for _, machine := range world.Cores {
				if core := machine.running(world); core != nil {
					if off := core.Now() - time.Now().UnixMilli(); off > most || off < -most {
						world.reportViolation("%s: core %d is off by %d ms", what, machine.ID, off)
					}
				}
			}
		}
		world.Sleep(2 * time.Second)
		near("started", 40)
		for round := range 8 {
			machine := world.Cores[(wrong+round)%3]
			machine.clockOffsetMs.Store(jump())
			switch round % 4 {
			case 1:
				world.KillCore(world.Leader(), true)
				world.Sleep(4 * time.Second)
				near("leader away", 60)
				for index, one := range world.Cores {
					if one.running(world) == nil {
						one.clockOffsetMs.Store(0)
						world.StartCore(index)
					}
				}
			case 3:
				world.KillCore(wrong, true)
				world.Cores[wrong].clockOffsetMs.Store(jump())
				world.StartCore(wrong)
			}
			world.Until(10*time.Second, func() bool { return world.Leader() >= 0 })
			world.Sleep(2 * time.Second)
			near(fmt.Sprint("round ", round), 60)
		}
		world.report(test)
	})
}

// A member that said farewell is out of the table at once, others by their silence.
func TestFarewellLeavesTheTable(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.farUp(test, 5)
		listed := func(one *RegionalDaemon) bool {
			for _, known := range world.Members[0].Daemon.Version().Table.Members {
				if known.Name == one.Name {
					return true
				}
			}
			return false
		}
		left := func(one *RegionalDaemon) time.Duration {
			begin := time.Now()
			if !listed(one) || !world.Until(10*time.Second, func() bool { return !listed(one) }) {
				world.reportViolation("%s is still listed", one.Name)
			}
			return time.Since(begin)
		}
		world.Sleep(2 * time.Second)
		world.Members[3].Daemon.Retire(100*time.Millisecond, time.Second, func(time.Duration) bool { return true })
		world.KillMember(world.Members[3])
		said := left(world.Members[3])
		world.KillMember(world.Members[4])
		silent := left(world.Members[4])
		if said > 600*time.Millisecond || silent < 1500*time.Millisecond || silent > 4*time.Second {
			world.reportViolation("left the table after %v with a farewell, %v without", said, silent)
		}
		world.report(test)
	})
}
