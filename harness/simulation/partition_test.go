package simulation

import (
	"fmt"
	"testing"
	"time"

	"orchidjunction/harness/checker"
	"orchidjunction/harness/standin"
	"orchidjunction/operator"
)

const healAfter = 8 * time.Second

// Some daemons lose touch with the core and the rest while callers stay with
// them and backends answer them: a key is withdrawn, a zone emptied and settings
// changed meanwhile, and what the lone ones do not know ends within 4 s. Healed,
// they serve again.
func TestCutOffStops(test *testing.T) {
	long(test)
	each(test, func(test *testing.T, seed uint64) {
		for _, cut := range []isolation{{"alone", 1, 0, 0, healAfter}, {"region", 3, 0, 0, healAfter}, {"fewer than half", 4, 0, 0, healAfter}, {"deaf", 1, 1, 0, healAfter}, {"mute", 1, 2, 0, healAfter}, {"flapping", 2, 0, 700 * time.Millisecond, healAfter}} {
			world := NewWorld(seed, 3)
			for _, zone := range []string{"e1", "w1", "s1"} {
				world.AddBackend("meters", zone, standin.BackendConfig{WorkMs: 5, Room: 64})
			}
			world.up(test, 12)
			lone := world.apart(cut.proxies, int(seed))
			plan := world.plan(40, 16)
			plan.Calls = plan.Calls[1:2]
			plan.Calls[0].Class, plan.Tries = "", 1
			for _, daemon := range lone {
				plan.Fronts = append(plan.Fronts, daemon.PublicAddress)
			}
			generator, client := world.NewLoadGenerator(plan)
			ledger := world.StartOperators(2, 400*time.Millisecond)
			world.goroutines.Start(func() {
				world.Sleep(2 * time.Second)
				world.isolateDaemons(lone, cut)
				world.Sleep(100 * time.Millisecond)
				world.withdraw(ledger, "birch")
			})
			report := generator.Run(world.Sleep)
			ledger.Stop()
			client.CloseIdleConnections()
			before := len(world.Violations)
			details := world.judge(ledger, report)
			for index := range world.Violations[before:] {
				world.Violations[before+index] = cut.name + ": " + world.Violations[before+index]
			}
			again := 0
			for _, try := range report.Tries {
				if try.Tenant == "alder" && try.Status == 200 && try.Front == lone[0].PublicAddress &&
					try.AtMs > report.Tries[len(report.Tries)-1].AtMs-2000 {
					again++
				}
			}
			if again < 5 {
				world.reportViolation("%s: healed, it served %d", cut.name, again)
			}
			test.Logf("%s: %s; %v", cut.name, details["acknowledged settings in force within 4 s"], report.Statuses)
			world.report(test)
			world.Close()
		}
	})
}

// apart names proxies to cut off.
func (world *World) apart(count, seed int) (lone []*Daemon) {
	proxies := []*Daemon{}
	for _, daemon := range world.Daemons {
		if daemon.Kind == "proxy" {
			proxies = append(proxies, daemon)
		}
	}
	for index := range proxies {
		if index < count {
			lone = append(lone, proxies[(index+seed)%len(proxies)])
		}
	}
	return lone
}

// withdraw takes a tenant's keys away and says since when nothing of it may be served.
func (world *World) withdraw(ledger *checker.ChangeRecorder, tenant string) {
	body := []byte(fmt.Sprintf(`{"tenants":{%q:{"keys":[]}}}`, tenant))
	for try := range 50 {
		client := world.Client(world.Cores[try%len(world.Cores)].OperatorAddress)
		settings, err := client.Read(false)
		if err == nil && settings.Confirmed {
			if _, err = client.Patch(
				operator.Change{Base: settings.Serial, Change: fmt.Sprint("withdraw-", try), Settings: body},
			); err == nil {
				world.windows = append(world.windows, checker.Window{Kind: "tenant", Subject: tenant, From: time.Now().UnixMilli() + 4500})
				return
			}
		}
		world.Sleep(20 * time.Millisecond)
	}
	world.reportViolation("keys not withdrawn")
}

// The core alone is out of reach for a while: traffic and money go on at all fronts.
func TestCoreOutOfReachStopsNothing(test *testing.T) {
	long(test)
	each(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		for _, zone := range []string{"e1", "w1", "s1"} {
			world.AddBackend("meters", zone, standin.BackendConfig{WorkMs: 5, Room: 64})
		}
		world.up(test, 9)
		world.Until(5*time.Second, func() bool { return world.keepers() == 6 })
		plan := world.plan(40, 14)
		plan.Patient = true
		generator, client := world.NewLoadGenerator(plan)
		turn := func(shut bool) {
			for _, core := range world.Cores {
				for _, daemon := range world.Daemons {
					world.Net.Cut(core.Host, daemon.Host, shut)
				}
			}
		}
		world.goroutines.Start(func() {
			world.Sleep(2 * time.Second)
			turn(true)
			world.Sleep(8 * time.Second)
			turn(false)
		})
		report := generator.Run(world.Sleep)
		client.CloseIdleConnections()
		world.plannedOnly = true
		world.judge(nil, report)
		for _, try := range report.Tries {
			if try.Status == 504 {
				test.Logf("%+v", try)
			}
		}
		test.Logf("%d of %d served, %v", report.Served, report.Asked, report.Statuses)
		world.report(test)
	})
}
