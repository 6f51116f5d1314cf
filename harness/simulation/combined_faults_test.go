package simulation

import (
	"testing"
	"time"

	"orchidjunction/harness/standin"
)

// Both partners, lending to each other, under every harm of the brief, drawn by
// seed against every kind of process, while operators race and callers call:
// all lines are judged. One seed again: -run Everything -seed N -seeds 1 -v.
func TestEverythingAtOnce(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		worlds := []*World{NewWorld(seed, 3)}
		worlds = append(worlds, worlds[0].NewPartnerWorld(3))
		worlds[1].Seed = seed + 10_000
		for _, world := range worlds {
			defer world.Close()
			for index := range 6 {
				world.AddBackend("meters", []string{"e1", "w1", "s1"}[index%3], standin.BackendConfig{WorkMs: 10, Room: 64, GentleRate: 10})
			}
			world.up(test, 8)
			world.checkUsageReports = true
		}
		for index, world := range worlds {
			guest := world.AddDaemon("proxy", "e1")
			guest.Lender = worlds[1-index].Daemons[1]
			world.StartDaemon(guest)
		}
		ended := 0
		span := 40 * time.Second
		if raced {
			span = 8 * time.Second
		}
		for _, world := range worlds {
			worlds[0].goroutines.Start(func() {
				world.everything(test, span)
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
			world.report(test)
		}
	})
}

// everything harms one partner and judges it.
func (world *World) everything(test *testing.T, span time.Duration) {
	ledger := world.StartOperators(2, 600*time.Millisecond)
	plan := world.plan(25, 600)
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
		world.reportViolation("%d of %d served: %v", report.Served, report.Asked, report.Statuses)
	}
	test.Logf(
		"%v, %d of %d served, %d unknown, %s, %s, faults %v",
		time.Since(begin).Round(time.Second),
		report.Served,
		report.Asked,
		report.Unknown,
		details["operator calls answered within 1 s"],
		details["usage reported within 5% and 10 s, none missing"],
		faults.Injected,
	)
}
