package simulation

import (
	"testing"
	"time"
)

// A core that missed writes returns just as the leader dies, alone or together with a third
// core's disk: the writes acknowledged without it must survive.
func TestStaleCoreNeverOverwritesAcknowledged(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.startSystem(test, 1)
		ledger := world.StartOperators(3, 100*time.Millisecond)
		faults := world.NewRandomFaults()
		for round := range 8 {
			kind := "stale-leader-lost"
			if round%2 == 1 {
				kind = "stale-disk-lost"
			}
			if !world.Until(10*time.Second, func() bool { return world.Leader() >= 0 }) {
				world.reportViolation("no leader before round %d", round)
			}
			world.Sleep(500 * time.Millisecond)
			faults.Inject(kind, 0)
		}
		ledger.Stop()
		world.judge(ledger)
		test.Logf("%d changes acknowledged, %d leaderships, faults %v", len(ledger.Acked), len(world.Leaderships), faults.Injected)
		world.reportFailures(test)
	})
}
