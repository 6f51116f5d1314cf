package simulation

import (
	"testing"
	"time"
)

// A core that missed writes returns just as the leader dies, alone or with a
// third core's disk: what was acknowledged without it must still win.
func TestStaleCoreNeverWins(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.up(test, 1)
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
		test.Logf("%d acknowledged, %d leaderships, faults %v", len(ledger.Acked), len(world.Leaderships), faults.Injected)
		world.report(test)
	})
}
