package simulation

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"orchidjunction/harness/standin"
)

// Guards the fleet-wide retry budget: half of the backends lose every response while proxies
// start and are killed. In any 10 s, resends stay within 20% of the first sends plus 60.
func TestResendsInAnyTenSeconds(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		for range 6 {
			world.AddBackend("meters", "e1", standin.BackendConfig{WorkMs: 5, Room: 32})
		}
		world.startSystem(test, 5)
		late := world.AddDaemon("proxy", "w1")
		world.goroutines.Start(func() {
			world.Sleep(3 * time.Second)
			for _, backend := range world.Backends[:3] {
				backend.Backend.Misbehave("lose", 1_000_000)
			}
			world.Sleep(3 * time.Second)
			world.StartDaemon(late)
			world.Sleep(2 * time.Second)
			world.KillDaemon(world.Daemons[1])
			world.Sleep(time.Second)
			world.StartDaemon(world.Daemons[1])
		})
		plan := world.loadPlan(35, 22)
		plan.Calls, plan.Tries = plan.Calls[1:2], 3
		generator, client := world.NewLoadGenerator(plan)
		report := generator.Run(world.goroutines.Sleep)
		client.CloseIdleConnections()
		verdicts := world.judge(nil, report)
		if resends, _ := strconv.Atoi(strings.Fields(verdicts["resends in 10 s at most 20% of first sends + 60"])[0]); resends < 30 {
			world.reportViolation("only %d resends", resends)
		}
		test.Logf("%s, %v", verdicts["resends in 10 s at most 20% of first sends + 60"], report.Statuses)
		world.reportFailures(test)
	})
}

// Callers retry up to six times without a pause, with pages and money, while half of the
// backends lose every response for 36 s: resends stay bounded in any 10 s and no key is
// charged twice.
func TestHastyCallersInAPartialOutage(test *testing.T) {
	skipUnderRaceDetector(test)
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		for range 6 {
			world.AddBackend("meters", "e1", standin.BackendConfig{WorkMs: 5, Room: 32})
		}
		world.startSystem(test, 5)
		world.goroutines.Start(func() {
			world.Sleep(3 * time.Second)
			for _, backend := range world.Backends[:3] {
				backend.Backend.Misbehave("lose", 1_000_000)
			}
			world.Sleep(36 * time.Second)
			for _, backend := range world.Backends[:3] {
				backend.Backend.Misbehave("", 0)
			}
		})
		plan := world.loadPlan(40, 45)
		plan.Calls, plan.Tries, plan.Hasty, plan.Patient, plan.Eager = plan.Calls[:2], 6, true, true, 20
		generator, client := world.NewLoadGenerator(plan)
		report := generator.Run(world.goroutines.Sleep)
		client.CloseIdleConnections()
		verdicts := world.judge(nil, report)
		test.Logf(
			"%s; %s; %d attempts for %d requests, %v",
			verdicts["resends in 10 s at most 20% of first sends + 60"],
			verdicts["no key charged twice"],
			len(report.Tries),
			report.Asked,
			report.Statuses,
		)
		world.reportFailures(test)
	})
}
