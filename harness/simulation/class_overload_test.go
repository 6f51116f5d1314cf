package simulation

import (
	"encoding/json"
	"testing"
	"time"

	"orchidjunction/harness/standin"
	"orchidjunction/operator"
)

// An overload of one class borrows idle capacity and gives it back: the other class is served
// within its floor and in time throughout, whichever class is overloaded.
func TestOverloadOfOneClassKeepsTheOthersFloor(test *testing.T) {
	skipUnderRaceDetector(test)
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, overloaded := range []string{"pages", "money"} {
			world := NewWorld(seed, 3)
			for _, zone := range []string{"e1", "w1", "s1"} {
				world.AddBackend("meters", zone, standin.BackendConfig{WorkMs: 100, Room: 4})
			}
			world.startSystem(test, 4)
			body, _ := json.Marshal(
				map[string]any{
					"classes": map[string]any{
						"money": map[string]any{"floor_rps": 30, "borrow_rps": 1000},
						"pages": map[string]any{"floor_rps": 40, "borrow_rps": 1000},
					},
				},
			)
			if _, err := world.Client(world.Cores[0].OperatorAddress).
				Patch(operator.Change{Base: 1, Change: "borrow", Settings: body}); err != nil {
				test.Fatal(err)
			}
			world.Sleep(2 * time.Second)
			normalPlan, overloadPlan := world.loadPlan(15, 10), world.loadPlan(500, 10)
			normalPlan.Calls, overloadPlan.Calls = normalPlan.Calls[:1], overloadPlan.Calls[1:2]
			if overloaded == "money" {
				normalPlan.Calls, overloadPlan.Calls = overloadPlan.Calls, normalPlan.Calls
			}
			normalPlan.Tries, overloadPlan.Tries, overloadPlan.Seed = 1, 1, seed+500
			normal, normalClient := world.NewLoadGenerator(normalPlan)
			overload, overloadClient := world.NewLoadGenerator(overloadPlan)
			ended := make(chan standin.LoadReport, 1)
			world.goroutines.Start(func() { ended <- overload.Run(world.goroutines.Sleep) })
			normalReport := normal.Run(world.goroutines.Sleep)
			overloadReport := <-ended
			normalClient.CloseIdleConnections()
			overloadClient.CloseIdleConnections()
			test.Logf(
				"overload of %s: %d of %d others served, p99 %.0f ms; %d of %d of the overload served, %v",
				overloaded,
				normalReport.Served,
				normalReport.Asked,
				normalReport.LatencyMs["p99"],
				overloadReport.Served,
				overloadReport.Asked,
				overloadReport.Statuses,
			)
			if normalReport.Served < normalReport.Asked*98/100 || normalReport.LatencyMs["p99"] > 600 {
				world.reportViolation(
					"overload of %s: %d of %d others served, p99 %.0f ms: %v",
					overloaded,
					normalReport.Served,
					normalReport.Asked,
					normalReport.LatencyMs["p99"],
					normalReport.Statuses,
				)
			}
			if overloadReport.Served < 35*10 || overloadReport.Unserved == 0 {
				world.reportViolation(
					"overload of %s: %d of it served, %d not served",
					overloaded,
					overloadReport.Served,
					overloadReport.Unserved,
				)
			}
			world.reportFailures(test)
			world.Close()
		}
	})
}
