package simulation

import (
	"math/rand/v2"
	"testing"
	"time"

	"orchidjunction/harness/checker"
)

// Relays die, freeze and return in a tree of thirty while operators change
// settings: every daemon that lives has each change within 4 s, and none slides back.
func TestRelaysDie(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.up(test, 30)
		ledger := world.StartOperators(1, 700*time.Millisecond)
		random := rand.New(rand.NewPCG(seed, 53))
		frozen := map[*Daemon]bool{}
		for range 12 {
			relay := world.Daemons[random.IntN(12)]
			if freeze := random.IntN(2) == 0; freeze {
				frozen[relay] = true
				world.Net.Freeze(relay.Host, true)
				world.settled(ledger, frozen)
				world.Net.Freeze(relay.Host, false)
				delete(frozen, relay)
			} else {
				world.KillDaemon(relay)
				world.settled(ledger, frozen)
				world.StartDaemon(relay)
			}
			world.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		}
		ledger.Stop()
		world.judge(ledger)
		world.settled(ledger, frozen)
		if len(ledger.Acked) < 5 {
			world.reportViolation("only %d changes", len(ledger.Acked))
		}
		world.report(test)
	})
}

// settled waits until what is acknowledged now is in force at all that live.
func (world *World) settled(ledger *checker.ChangeRecorder, frozen map[*Daemon]bool) {
	last := ledger.Newest()
	if !world.Until(4*time.Second, func() bool {
		for _, daemon := range world.Daemons {
			if daemon.Alive && !frozen[daemon] && daemon.Daemon.Version().Serial < last {
				return false
			}
		}
		return true
	}) {
		world.reportViolation("serial %d is not in force everywhere after 4 s", last)
	}
	world.Sleep(500 * time.Millisecond)
}
