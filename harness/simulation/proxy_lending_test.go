package simulation

import (
	"testing"
	"time"

	"orchidjunction/harness/standin"
)

// A deployment with too few proxies uses idle ones of its partner. Under load of its own the
// lender takes its capacity back, and a total failure of the borrower leaves the lender's
// traffic unaffected.
func TestPartnersLendProxies(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		lender := NewWorld(seed, 3)
		defer lender.Close()
		borrower := lender.NewPartnerWorld(3)
		defer borrower.Close()
		for _, world := range []*World{lender, borrower} {
			for _, zone := range []string{"e1", "w1", "s1"} {
				world.AddBackend("meters", zone, standin.BackendConfig{WorkMs: 10, Room: 64})
			}
		}
		lender.startSystem(test, 4)
		borrower.startSystem(test, 2)
		guests := []*Daemon{}
		for index := range 2 {
			guest := borrower.AddDaemon("proxy", []string{"e1", "w1"}[index])
			guest.Lender = lender.Daemons[1+index]
			borrower.StartDaemon(guest)
			guests = append(guests, guest)
		}
		if !borrower.Until(5*time.Second, func() bool { return borrower.daemonsReady() }) {
			test.Fatal("borrowed proxies not ready")
		}
		borrower.Sleep(2 * time.Second)
		runLoad := func(world *World, rate int, seconds float64) standin.LoadReport {
			plan := world.loadPlan(rate, seconds)
			plan.Calls = plan.Calls[:2]
			generator, client := world.NewLoadGenerator(plan)
			report := generator.Run(world.goroutines.Sleep)
			client.CloseIdleConnections()
			return report
		}
		report := runLoad(borrower, 20, 5)
		lent := lender.Daemons[1].Counters.Get("lent") + lender.Daemons[2].Counters.Get("lent")
		if report.Served < report.Asked*98/100 || lent == 0 {
			borrower.reportViolation("%d of %d requests served, %d lent: %v", report.Served, report.Asked, lent, report.Statuses)
		}
		borrower.judge(nil, report)
		overloadReports := make(chan standin.LoadReport, 1)
		lender.goroutines.Start(func() { overloadReports <- runLoad(lender, 150, 6) })
		borrower.Sleep(2 * time.Second)
		duringOverload := runLoad(borrower, 20, 3)
		overload := <-overloadReports
		refused := lender.Daemons[1].Counters.Get("lending_refused") + lender.Daemons[2].Counters.Get("lending_refused")
		if refused == 0 {
			lender.reportViolation("the lender refused no lending while overloaded")
		}
		if duringOverload.Served < duringOverload.Asked*9/10 {
			borrower.reportViolation(
				"%d of %d requests served while the lender was overloaded: %v",
				duringOverload.Served,
				duringOverload.Asked,
				duringOverload.Statuses,
			)
		}
		if overload.Served < 6*40 {
			lender.reportViolation("the lender served only %d requests under load, want 240: %v", overload.Served, overload.Statuses)
		}
		for _, member := range guests[0].Daemon.Version().Table.Members {
			if member.Guest && member.KeyReplica {
				borrower.reportViolation("%s is a key replica on the partner's machine", member.Name)
			}
		}
		for index := range borrower.Cores {
			borrower.KillCore(index, true)
		}
		for _, daemon := range borrower.Daemons {
			borrower.KillDaemon(daemon)
		}
		afterFailure := runLoad(lender, 20, 4)
		if afterFailure.Served < afterFailure.Asked*98/100 {
			lender.reportViolation(
				"%d of %d requests served after the partner failed: %v",
				afterFailure.Served,
				afterFailure.Asked,
				afterFailure.Statuses,
			)
		}
		test.Logf("%d lent, %d refused, %d of %d served under load", lent, refused, overload.Served, overload.Asked)
		lender.reportFailures(test)
		borrower.reportFailures(test)
	})
}
