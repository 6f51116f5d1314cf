package simulation

import (
	"sync/atomic"
	"testing"
	"time"

	"orchidjunction/harness/standin"
	"orchidjunction/operator"
)

// Every directory and proxy is terminated gracefully and restarted, one after the other, while
// tasks of nearly 5 s, large responses and payments are in flight: each is served completely.
func TestPlannedStopsLoseNoRequests(test *testing.T) {
	skipUnderRaceDetector(test)
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.plannedOnly = true
		for _, zone := range []string{"e1", "w1", "s1"} {
			world.AddBackend("meters", zone, standin.BackendConfig{WorkMs: 5, Room: 64})
		}
		world.startSystem(test, 6)
		if _, err := world.Client(world.Cores[0].OperatorAddress).
			Patch(operator.Change{Base: 1, Change: "hold", Settings: []byte(`{"rule":{"hold_ms":8000}}`)}); err != nil {
			test.Fatal(err)
		}
		plan := world.loadPlan(25, 600)
		plan.Patient, plan.Tries = true, 8
		plan.Calls[1].Weight = 35
		plan.Calls = append(
			plan.Calls,
			standin.Call{Weight: 20, Class: "pages", Method: "GET", Path: "/meters/slow/7?bytes=1500000&work=4700", LimitMs: 5500},
		)
		generator, client := world.NewLoadGenerator(plan)
		done := atomic.Bool{}
		world.goroutines.Start(func() {
			for _, daemon := range world.Daemons {
				world.Sleep(time.Duration(300+seed%7*100) * time.Millisecond)
				world.TerminateDaemon(daemon)
				world.Sleep(200 * time.Millisecond)
				world.StartDaemon(daemon)
				world.Sleep(2 * time.Second)
			}
			done.Store(true)
		})
		report := generator.Run(func(span time.Duration) bool { return world.Sleep(span) && !done.Load() })
		client.CloseIdleConnections()
		details := world.judge(nil, report)
		test.Logf("%s, statuses %v", details["no task in flight lost by planned work"], report.Statuses)
		world.reportFailures(test)
	})
}
