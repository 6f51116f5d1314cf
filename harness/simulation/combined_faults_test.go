package simulation

import (
	"testing"
	"time"

	"orchidjunction/harness/standin"
)

// Two partners that lend to each other run under all system faults, drawn by seed and against
// every kind of process, with concurrent operators and load: all verdicts are checked. To
// repeat one seed: -run Everything -seed N -seeds 1 -v.
func TestEverythingAtOnce(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		worlds := []*World{NewWorld(seed, 3)}
		worlds = append(worlds, worlds[0].NewPartnerWorld(3))
		worlds[1].Seed = seed + 10_000
		for _, world := range worlds {
			defer world.Close()
			for index := range 6 {
				world.AddBackend("meters", []string{"e1", "w1", "s1"}[index%3], standin.BackendConfig{WorkMs: 10, Room: 64, GentleRate: 10})
			}
			world.startSystem(test, 8)
			world.checkUsageReports = true
		}
		for index, world := range worlds {
			guest := world.AddDaemon("proxy", "e1")
			guest.Lender = worlds[1-index].Daemons[1]
			world.StartDaemon(guest)
		}
		ended := 0
		span := 40 * time.Second
		if raceEnabled {
			span = 8 * time.Second
		}
		for _, world := range worlds {
			worlds[0].goroutines.Start(func() {
				world.runCombinedFaults(test, span)
				worlds[0].mutex.Lock()
				ended++
				worlds[0].mutex.Unlock()
			})
		}
		worlds[0].Until(5*time.Minute, func() bool {
			worlds[0].mutex.Lock()
			defer worlds[0].mutex.Unlock()
			return ended == 2
		})
		for _, world := range worlds {
			world.reportFailures(test)
		}
	})
}

// runCombinedFaults runs faults, operators and load in one world and checks the verdicts.
func (world *World) runCombinedFaults(test *testing.T, span time.Duration) {
	ledger := world.StartOperators(2, 600*time.Millisecond)
	plan := world.loadPlan(25, 600)
	plan.Eager, plan.Tries, plan.Patient = 10, 5, true
	generator, client := world.NewLoadGenerator(plan)
	faults := world.NewCombinedFaults(ledger)
	begin, done := time.Now(), false
	world.goroutines.Start(func() {
		faults.Run(span)
		world.Sleep(6 * time.Second)
		world.mutex.Lock()
		done = true
		world.mutex.Unlock()
	})
	report := generator.Run(func(span time.Duration) bool {
		world.mutex.Lock()
		ended := done
		world.mutex.Unlock()
		return world.Sleep(span) && !ended
	})
	ledger.Stop()
	client.CloseIdleConnections()
	world.Sleep(12 * time.Second)
	details := world.judge(ledger, report)
	if report.Served < report.Asked*6/10 {
		world.reportViolation("%d of %d requests served: %v", report.Served, report.Asked, report.Statuses)
	}
	test.Logf(
		"%v, %d of %d requests served, %d with unknown outcome, %s, %s, faults %v",
		time.Since(begin).Round(time.Second),
		report.Served,
		report.Asked,
		report.Unknown,
		details["operator calls answered within 1 s"],
		details["usage reported within 5% and 10 s, none missing"],
		faults.Injected,
	)
}
