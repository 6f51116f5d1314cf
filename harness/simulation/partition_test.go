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

// Proxies are partitioned from the cores and the other daemons, but still reach callers and
// backends, while a tenant's keys are revoked, a zone is drained and settings change. They must
// stop serving what may be outdated within 4 s, and serve again once healed.
func TestPartitionedProxiesStopServing(test *testing.T) {
	skipUnderRaceDetector(test)
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, cut := range []isolation{{"alone", 1, 0, 0, healAfter}, {"region", 3, 0, 0, healAfter}, {"fewer than half", 4, 0, 0, healAfter}, {"deaf", 1, 1, 0, healAfter}, {"mute", 1, 2, 0, healAfter}, {"flapping", 2, 0, 700 * time.Millisecond, healAfter}} {
			world := NewWorld(seed, 3)
			for _, zone := range []string{"e1", "w1", "s1"} {
				world.AddBackend("meters", zone, standin.BackendConfig{WorkMs: 5, Room: 64})
			}
			world.startSystem(test, 12)
			isolated := world.pickProxies(cut.proxies, int(seed))
			plan := world.loadPlan(40, 16)
			plan.Calls = plan.Calls[1:2]
			plan.Calls[0].Class, plan.Tries = "", 1
			for _, daemon := range isolated {
				plan.Fronts = append(plan.Fronts, daemon.PublicAddress)
			}
			generator, client := world.NewLoadGenerator(plan)
			ledger := world.StartOperators(2, 400*time.Millisecond)
			world.goroutines.Start(func() {
				world.Sleep(2 * time.Second)
				world.isolateDaemons(isolated, cut)
				world.Sleep(100 * time.Millisecond)
				world.revokeKeys(ledger, "birch")
			})
			report := generator.Run(world.Sleep)
			ledger.Stop()
			client.CloseIdleConnections()
			before := len(world.Violations)
			details := world.judge(ledger, report)
			for index := range world.Violations[before:] {
				world.Violations[before+index] = cut.name + ": " + world.Violations[before+index]
			}
			servedAfterHealing := 0
			for _, try := range report.Tries {
				if try.Tenant == "alder" && try.Status == 200 && try.Front == isolated[0].PublicAddress &&
					try.AtMs > report.Tries[len(report.Tries)-1].AtMs-2000 {
					servedAfterHealing++
				}
			}
			if servedAfterHealing < 5 {
				world.reportViolation("%s: the first proxy served %d requests after healing, want 5", cut.name, servedAfterHealing)
			}
			test.Logf("%s: %s; %v", cut.name, details["acknowledged settings in force within 4 s"], report.Statuses)
			world.reportFailures(test)
			world.Close()
		}
	})
}

// pickProxies selects the proxies to partition.
func (world *World) pickProxies(count, seed int) (picked []*Daemon) {
	proxies := []*Daemon{}
	for _, daemon := range world.Daemons {
		if daemon.Kind == "proxy" {
			proxies = append(proxies, daemon)
		}
	}
	for index := range proxies {
		if index < count {
			picked = append(picked, proxies[(index+seed)%len(proxies)])
		}
	}
	return picked
}

// revokeKeys removes a tenant's keys and records the time from which it may not be served.
func (world *World) revokeKeys(ledger *checker.ChangeRecorder, tenant string) {
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
	world.reportViolation("the keys could not be revoked in 50 attempts")
}

// The cores are unreachable for 8 s: all proxies go on serving requests and payments.
func TestTrafficContinuesWithoutCores(test *testing.T) {
	skipUnderRaceDetector(test)
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		for _, zone := range []string{"e1", "w1", "s1"} {
			world.AddBackend("meters", zone, standin.BackendConfig{WorkMs: 5, Room: 64})
		}
		world.startSystem(test, 9)
		world.Until(5*time.Second, func() bool { return world.keyReplicaCount() == 6 })
		plan := world.loadPlan(40, 14)
		plan.Patient = true
		generator, client := world.NewLoadGenerator(plan)
		setCut := func(shut bool) {
			for _, core := range world.Cores {
				for _, daemon := range world.Daemons {
					world.Net.Cut(core.Host, daemon.Host, shut)
				}
			}
		}
		world.goroutines.Start(func() {
			world.Sleep(2 * time.Second)
			setCut(true)
			world.Sleep(8 * time.Second)
			setCut(false)
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
		test.Logf("%d of %d requests served, statuses %v", report.Served, report.Asked, report.Statuses)
		world.reportFailures(test)
	})
}
