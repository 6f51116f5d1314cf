package simulation

import (
	"encoding/json"
	"testing"
	"time"

	"orchidjunction/harness/standin"
	"orchidjunction/operator"
)

// A storm of one class borrows idle room and gives it back: the other class is
// served throughout within its floor and in time, whichever of them storms.
func TestStormTakesNothingBelowFloors(test *testing.T) {
	long(test)
	each(test, func(test *testing.T, seed uint64) {
		for _, storming := range []string{"pages", "money"} {
			world := NewWorld(seed, 3)
			for _, zone := range []string{"e1", "w1", "s1"} {
				world.AddBackend("meters", zone, standin.BackendConfig{WorkMs: 100, Room: 4})
			}
			world.up(test, 4)
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
			calm, storm := world.plan(15, 10), world.plan(500, 10)
			calm.Calls, storm.Calls = calm.Calls[:1], storm.Calls[1:2]
			if storming == "money" {
				calm.Calls, storm.Calls = storm.Calls, calm.Calls
			}
			calm.Tries, storm.Tries, storm.Seed = 1, 1, seed+500
			first, firstClient := world.NewLoadGenerator(calm)
			second, secondClient := world.NewLoadGenerator(storm)
			ended := make(chan standin.LoadReport, 1)
			world.goroutines.Start(func() { ended <- second.Run(world.goroutines.Sleep) })
			served := first.Run(world.goroutines.Sleep)
			stormed := <-ended
			firstClient.CloseIdleConnections()
			secondClient.CloseIdleConnections()
			test.Logf(
				"storm of %s: %d of %d others served, p99 %.0f ms; of the storm %d of %d, %v",
				storming,
				served.Served,
				served.Asked,
				served.LatencyMs["p99"],
				stormed.Served,
				stormed.Asked,
				stormed.Statuses,
			)
			if served.Served < served.Asked*98/100 || served.LatencyMs["p99"] > 600 {
				world.reportViolation(
					"storm of %s: %d of %d others served, p99 %.0f ms: %v",
					storming,
					served.Served,
					served.Asked,
					served.LatencyMs["p99"],
					served.Statuses,
				)
			}
			if stormed.Served < 35*10 || stormed.Unserved == 0 {
				world.reportViolation("storm of %s: %d of it served, %d held back", storming, stormed.Served, stormed.Unserved)
			}
			world.report(test)
			world.Close()
		}
	})
}
