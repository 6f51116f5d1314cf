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
type usageCollector struct {
	mutex           sync.Mutex
	world           *World
	random          *rand.Rand
	windowMs        int64
	countsByProcess map[string]map[int64]map[string]uint64
	startedByWindow map[int64]uint64
	reports         map[int64]control.WindowReport
	reportedAt      map[int64]int64
	holderByFence   map[uint64]string
	reporters       map[int64]map[string]bool
	highestFence    uint64
	unavailable     bool
	reliable        bool
}

func newUsageCollector(world *World) *usageCollector {
	collector := &usageCollector{
		world:           world,
		random:          rand.New(rand.NewPCG(world.Seed, 29)),
		windowMs:        5000,
		countsByProcess: map[string]map[int64]map[string]uint64{},
		startedByWindow: map[int64]uint64{},
		reports:         map[int64]control.WindowReport{},
		reportedAt:      map[int64]int64{},
		holderByFence:   map[uint64]string{},
		reporters:       map[int64]map[string]bool{},
	}
	world.Metering = control.Metering{
		Window:              5 * time.Second,
		SettleAfter:         3500 * time.Millisecond,
		TakeoverQuietPeriod: 3 * time.Second,
		Report:              collector.report,
	}
	world.RequestCounts = collector.windowCounts
	return collector
}

// startRequest counts a request that a member starts now, in the window of the member's clock.
func (collector *usageCollector) startRequest(member *RegionalDaemon) {
	window := member.Daemon.Now() / collector.windowMs
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	tenant := fmt.Sprint("tenant-", collector.random.IntN(3))
	process := member.Daemon.Incarnation()
	if collector.countsByProcess[process] == nil {
		collector.countsByProcess[process] = map[int64]map[string]uint64{}
	}
	if collector.countsByProcess[process][window] == nil {
		collector.countsByProcess[process][window] = map[string]uint64{}
	}
	collector.countsByProcess[process][window][tenant]++
	collector.startedByWindow[time.Now().UnixMilli()/collector.windowMs]++
}

// generateLoad starts requests at all running members for the given time.
func (collector *usageCollector) generateLoad(span, pause time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); collector.world.Sleep(pause) {
		for _, member := range collector.world.Members {
			if member.Alive {
				collector.startRequest(member)
			}
		}
	}
}

func (collector *usageCollector) windowCounts(member *RegionalDaemon) []message.WindowCount {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	counts := []message.WindowCount{}
	now := member.Daemon.Now() / collector.windowMs
	for window, tenants := range collector.countsByProcess[member.Daemon.Incarnation()] {
		if window > now-6 {
			counts = append(counts, message.WindowCount{Window: window, Tenants: maps.Clone(tenants)})
		}
	}
	return counts
}

// reportedWindows returns the number of windows reported.
func (collector *usageCollector) reportedWindows() int {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	return len(collector.reports)
}

// fenceCount returns the number of different fences seen in reports.
func (collector *usageCollector) fenceCount() int {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	return len(collector.holderByFence)
}

func (collector *usageCollector) report(report control.WindowReport) control.ReportResult {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	if collector.unavailable || !collector.reliable && collector.random.IntN(5) == 0 {
		return control.ReportRetry
	}
	if holder, found := collector.holderByFence[report.Fence]; found && holder != report.Holder {
		collector.world.reportViolation("%s and %s both report under fence %d", holder, report.Holder, report.Fence)
	}
	collector.holderByFence[report.Fence] = report.Holder
	if report.Fence < collector.highestFence {
		return control.ReportFenced
	}
	collector.highestFence = report.Fence
	if before, found := collector.reports[report.Window]; found && !maps.Equal(before.Tenants, report.Tenants) {
		collector.world.reportViolation("window %d: reported as %v, then as %v", report.Window, before.Tenants, report.Tenants)
	}
	if _, found := collector.reports[report.Window]; !found {
		collector.reportedAt[report.Window] = time.Now().UnixMilli()
	}
	collector.reports[report.Window] = report
	if collector.reporters[report.Window] == nil {
		collector.reporters[report.Window] = map[string]bool{}
	}
	collector.reporters[report.Window][report.Holder] = true
	return control.ReportAccepted
}

// checkWindows compares the reports of windows first to last with the requests started:
// delays of at most maxDelayMs, sums that deviate by at most maxDeviation.
func (collector *usageCollector) checkWindows(first, last int64, maxDelayMs int64, maxDeviation float64) {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	for window := first; window <= last; window++ {
		report, found := collector.reports[window]
		if !found {
			collector.world.reportViolation("window %d was not reported", window)
			continue
		}
		sum := uint64(0)
		for _, requests := range report.Tenants {
			sum += requests
		}
		if started := collector.startedByWindow[window]; float64(sum) < float64(started)*(1-maxDeviation) ||
			float64(sum) > float64(started)*(1+maxDeviation) {
			collector.world.reportViolation("window %d: %d requests reported, %d started", window, sum, started)
		}
		if delay := collector.reportedAt[window] - (window+1)*collector.windowMs; delay > maxDelayMs {
			collector.world.reportViolation("window %d: reported %d ms after its end", window, delay)
		}
	}
}

func (collector *usageCollector) setUnavailable(unavailable bool) {
	collector.mutex.Lock()
	collector.unavailable = unavailable
	collector.mutex.Unlock()
}

// Each window is reported completely, in time and with one result, across leader
// changes, platform outages and the loss of all cores.
func TestWindowsAreReportedOnce(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		collector := newUsageCollector(world)
		defer world.CloseRegional()
		world.startRegional(test, 4)
		load := func(span time.Duration) { collector.generateLoad(span, 20*time.Millisecond) }
		load(12 * time.Second)
		firstWindow := time.Now().UnixMilli()/collector.windowMs - 1
		load(20 * time.Second)
		collector.checkWindows(firstWindow, time.Now().UnixMilli()/collector.windowMs-3, 10_000, 0.02)
		for round := range 8 {
			leader := world.Leader()
			switch round % 4 {
			case 0:
				world.KillCore(leader, true)
				load(time.Second)
				world.StartCore(leader)
			case 1:
				collector.setUnavailable(true)
				load(4 * time.Second)
				world.goroutines.Start(func() { world.TerminateCore(leader); world.StartCore(leader) })
				load(2 * time.Second)
				collector.setUnavailable(false)
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
		collector.checkWindows(firstWindow, time.Now().UnixMilli()/collector.windowMs-4, 25_000, 0.02)
		test.Logf("%d windows, %d fences", collector.reportedWindows(), collector.fenceCount())
		world.reportFailures(test)
	})
}

// Sealing a window waits some time for an unreachable member, so that its counts are
// included; a retired member is not waited for.
func TestSealingWaitsForUnreachableMember(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		collector := newUsageCollector(world)
		defer world.CloseRegional()
		world.startRegional(test, 2)
		world.Until(6*time.Second, func() bool { return time.Now().UnixMilli()%collector.windowMs < 10 })
		world.Sleep(10 * time.Second)
		window := time.Now().UnixMilli() / collector.windowMs
		startRequests := func(count int) {
			for range count {
				for _, member := range world.Members {
					collector.startRequest(member)
				}
				world.Sleep(10 * time.Millisecond)
			}
		}
		startRequests(100)
		world.Sleep(3 * time.Second)
		for _, core := range world.Cores {
			world.Net.Cut(core.Host, world.Members[0].Host, true)
		}
		startRequests(50)
		world.Sleep(3900 * time.Millisecond)
		for _, core := range world.Cores {
			world.Net.Cut(core.Host, world.Members[0].Host, false)
		}
		world.Sleep(5 * time.Second)
		collector.checkWindows(window, window, 10_000, 0)
		world.reportFailures(test)
	})
}

// The first window with requests is reported although the leader that accepted the
// first routing is killed right after.
func TestFirstWindowIsReported(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		collector := newUsageCollector(world)
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
		world.Until(6*time.Second, func() bool { return time.Now().UnixMilli()%collector.windowMs > collector.windowMs-500 })
		if err := world.PutRouting(1, 0); err != nil {
			test.Fatal(err)
		}
		world.KillCore(world.Leader(), true)
		window := time.Now().UnixMilli() / collector.windowMs
		for range 20 {
			for _, member := range world.Members {
				collector.startRequest(member)
			}
			world.Sleep(10 * time.Millisecond)
		}
		world.Sleep(12 * time.Second)
		collector.checkWindows(window, window, 12_000, 0)
		world.reportFailures(test)
	})
}

// A window sealed without a member's last counts is reported unchanged by the next
// leader, even if the counts have arrived meanwhile.
func TestSealedWindowNeverChanges(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		collector := newUsageCollector(world)
		collector.reliable = true
		defer world.CloseRegional()
		world.startRegional(test, 2)
		for round := range 3 {
			world.Until(6*time.Second, func() bool { return time.Now().UnixMilli()%collector.windowMs < 10 })
			world.Sleep(10 * time.Second)
			window := time.Now().UnixMilli() / collector.windowMs
			cut := func(shut bool) {
				for _, core := range world.Cores {
					world.Net.Cut(core.Host, world.Members[0].Host, shut)
				}
			}
			startRequests := func(count int) {
				for range count {
					for _, member := range world.Members {
						collector.startRequest(member)
					}
					world.Sleep(10 * time.Millisecond)
				}
			}
			startRequests(100)
			cut(true)
			startRequests(100)
			if !world.Until(15*time.Second, func() bool {
				collector.mutex.Lock()
				defer collector.mutex.Unlock()
				_, response := collector.reports[window]
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
			collector.mutex.Lock()
			if reporters := collector.reporters[window]; len(reporters) < 2 {
				world.reportViolation("window %d was reported by %v only, want two leaders", window, reporters)
			}
			collector.mutex.Unlock()
		}
		world.reportFailures(test)
	})
}

// Wall clocks of one core and of members are off by seconds or hours and jump during
// operation: the time of day in use stays close to the true one.
func TestWallClockJumps(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		random := rand.New(rand.NewPCG(seed, 31))
		randomJump := func() int64 { return []int64{-7_200_000, -3000, 2500, 4_000_000}[random.IntN(4)] }
		skewed := int(seed) % 3
		world.Cores[skewed].clockOffsetMs.Store(randomJump())
		for range 4 {
			world.AddMember(random.IntN(3)).ClockOffsetMs = randomJump()
		}
		for index := range world.Cores {
			world.StartCore(index)
		}
		for _, member := range world.Members {
			world.StartMember(member)
		}
		world.Until(10*time.Second, func() bool { return world.Leader() >= 0 })
		checkClocks := func(phase string, limitMs int64) {
			for _, member := range world.Members {
				if offsetMs := member.Daemon.Now() - time.Now().UnixMilli(); offsetMs > limitMs || offsetMs < -limitMs {
					world.reportViolation("%s: the clock of %s is off by %d ms", phase, member.Name, offsetMs)
				}
			}
			for _, machine := range world.Cores {
				if core := machine.running(world); core != nil {
					if offsetMs := core.Now() - time.Now().UnixMilli(); offsetMs > limitMs || offsetMs < -limitMs {
						world.reportViolation("%s: the clock of core %d is off by %d ms", phase, machine.ID, offsetMs)
					}
				}
			}
		}
		world.Sleep(2 * time.Second)
		checkClocks("after start", 40)
		for round := range 8 {
			machine := world.Cores[(skewed+round)%3]
			machine.clockOffsetMs.Store(randomJump())
			switch round % 4 {
			case 1:
				world.KillCore(world.Leader(), true)
				world.Sleep(4 * time.Second)
				checkClocks("without the leader", 60)
				for index, machine := range world.Cores {
					if machine.running(world) == nil {
						machine.clockOffsetMs.Store(0)
						world.StartCore(index)
					}
				}
			case 3:
				world.KillCore(skewed, true)
				world.Cores[skewed].clockOffsetMs.Store(randomJump())
				world.StartCore(skewed)
			}
			world.Until(10*time.Second, func() bool { return world.Leader() >= 0 })
			world.Sleep(2 * time.Second)
			checkClocks(fmt.Sprint("round ", round), 60)
		}
		world.reportFailures(test)
	})
}

// A member that retires leaves the table at once, a killed one after its timeout.
func TestRetiredMemberLeavesTableAtOnce(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.startRegional(test, 5)
		listed := func(member *RegionalDaemon) bool {
			for _, known := range world.Members[0].Daemon.Version().Table.Members {
				if known.Name == member.Name {
					return true
				}
			}
			return false
		}
		timeToLeave := func(member *RegionalDaemon) time.Duration {
			begin := time.Now()
			if !listed(member) || !world.Until(10*time.Second, func() bool { return !listed(member) }) {
				world.reportViolation("%s is not listed at first, or still listed after 10 s", member.Name)
			}
			return time.Since(begin)
		}
		world.Sleep(2 * time.Second)
		world.Members[3].Daemon.Retire(100*time.Millisecond, time.Second, func(time.Duration) bool { return true })
		world.KillMember(world.Members[3])
		retired := timeToLeave(world.Members[3])
		world.KillMember(world.Members[4])
		killed := timeToLeave(world.Members[4])
		if retired > 600*time.Millisecond || killed < 1500*time.Millisecond || killed > 4*time.Second {
			world.reportViolation("left the table %v after retiring, %v after being killed", retired, killed)
		}
		world.reportFailures(test)
	})
}
