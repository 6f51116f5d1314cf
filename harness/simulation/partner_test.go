package simulation

import (
	"testing"
	"time"

	"orchidjunction/harness/standin"
)

// A partner short of front machines uses the other's idle ones; under a storm of
// its own the lender takes its room back; and when one partner falls whole, the
// other's traffic does not notice.
func TestPartnersLendFrontMachines(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		lender := NewWorld(seed, 3)
		defer lender.Close()
		borrower := lender.NewPartnerWorld(3)
		defer borrower.Close()
		for _, world := range []*World{lender, borrower} {
			for _, zone := range []string{"e1", "w1", "s1"} {
				world.AddBackend("meters", zone, standin.BackendConfig{WorkMs: 10, Room: 64})
			}
		}
		lender.up(test, 4)
		borrower.up(test, 2)
		guests := []*Daemon{}
		for index := range 2 {
			guest := borrower.AddDaemon("proxy", []string{"e1", "w1"}[index])
			guest.Lender = lender.Daemons[1+index]
			borrower.StartDaemon(guest)
			guests = append(guests, guest)
		}
		if !borrower.Until(5*time.Second, func() bool { return borrower.daemonsReady() }) {
			test.Fatal("guests not ready")
		}
		borrower.Sleep(2 * time.Second)
		calls := func(world *World, rate int, seconds float64) standin.LoadReport {
			plan := world.plan(rate, seconds)
			plan.Calls = plan.Calls[:2]
			generator, client := world.NewLoadGenerator(plan)
			report := generator.Run(world.goroutines.Sleep)
			client.CloseIdleConnections()
			return report
		}
		report := calls(borrower, 20, 5)
		lent := lender.Daemons[1].Counters.Get("lent") + lender.Daemons[2].Counters.Get("lent")
		if report.Served < report.Asked*98/100 || lent == 0 {
			borrower.reportViolation("%d of %d served, %d lent: %v", report.Served, report.Asked, lent, report.Statuses)
		}
		borrower.judge(nil, report)
		stormed := make(chan standin.LoadReport, 1)
		lender.goroutines.Start(func() { stormed <- calls(lender, 150, 6) })
		borrower.Sleep(2 * time.Second)
		pressed := calls(borrower, 20, 3)
		storm := <-stormed
		refused := lender.Daemons[1].Counters.Get("lending_refused") + lender.Daemons[2].Counters.Get("lending_refused")
		if refused == 0 {
			lender.reportViolation("a pressed lender went on lending")
		}
		if pressed.Served < pressed.Asked*9/10 {
			borrower.reportViolation("%d of %d served while the lender was pressed: %v", pressed.Served, pressed.Asked, pressed.Statuses)
		}
		if storm.Served < 6*40 {
			lender.reportViolation("the lender served %d below its floor: %v", storm.Served, storm.Statuses)
		}
		for _, member := range guests[0].Daemon.Version().Table.Members {
			if member.Guest && member.KeyReplica {
				borrower.reportViolation("%s keeps claims on the other partner's machine", member.Name)
			}
		}
		for index := range borrower.Cores {
			borrower.KillCore(index, true)
		}
		for _, daemon := range borrower.Daemons {
			borrower.KillDaemon(daemon)
		}
		alone := calls(lender, 20, 4)
		if alone.Served < alone.Asked*98/100 {
			lender.reportViolation("%d of %d served after the other partner fell: %v", alone.Served, alone.Asked, alone.Statuses)
		}
		test.Logf("%d lent, %d refused, storm %d of %d", lent, refused, storm.Served, storm.Asked)
		lender.report(test)
		borrower.report(test)
	})
}
