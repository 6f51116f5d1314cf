package simulation

import (
	"math/rand/v2"
	"testing"
	"time"

	"orchidjunction/harness/checker"
)

// Relays in a tree of thirty daemons are killed, frozen and restored while operators change
// settings: every running daemon has each change within 4 s, and none goes back to an old one.
func TestRelayFailures(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.startSystem(test, 30)
		ledger := world.StartOperators(1, 700*time.Millisecond)
		random := rand.New(rand.NewPCG(seed, 53))
		frozen := map[*Daemon]bool{}
		for range 12 {
			relay := world.Daemons[random.IntN(12)]
			if freeze := random.IntN(2) == 0; freeze {
				frozen[relay] = true
				world.Net.Freeze(relay.Host, true)
				world.awaitInForce(ledger, frozen)
				world.Net.Freeze(relay.Host, false)
				delete(frozen, relay)
			} else {
				world.KillDaemon(relay)
				world.awaitInForce(ledger, frozen)
				world.StartDaemon(relay)
			}
			world.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		}
		ledger.Stop()
		world.judge(ledger)
		world.awaitInForce(ledger, frozen)
		if len(ledger.Acked) < 5 {
			world.reportViolation("only %d changes acknowledged, want 5", len(ledger.Acked))
		}
		world.reportFailures(test)
	})
}

// awaitInForce waits until the newest acknowledged settings are in force at all running daemons.
func (world *World) awaitInForce(ledger *checker.ChangeRecorder, frozen map[*Daemon]bool) {
	newest := ledger.Newest()
	if !world.Until(4*time.Second, func() bool {
		for _, daemon := range world.Daemons {
			if daemon.Alive && !frozen[daemon] && daemon.Daemon.Version().Serial < newest {
				return false
			}
		}
		return true
	}) {
		world.reportViolation("serial %d is not in force at all daemons after 4 s", newest)
	}
	world.Sleep(500 * time.Millisecond)
}
