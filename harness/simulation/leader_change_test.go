package simulation

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"orchidjunction/operator"
)

// Measures how long an operator waits for a change sent through a daemon just as the leader
// is stopped: by SIGTERM, killed, or frozen.
func TestLeaderChangeAsOperatorsSeeIt(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.startSystem(test, 2)
		ended := atomic.Bool{}
		ended.Store(true)
		waits, serial := map[string][]time.Duration{}, uint64(1)
		for round := range 12 {
			kind := []string{"planned", "killed", "frozen"}[round%3]
			if !world.Until(5*time.Second, func() bool { return world.Leader() >= 0 }) {
				test.Fatal("no leader")
			}
			world.Sleep(time.Second)
			leader := world.Leader()
			switch kind {
			case "planned":
				ended.Store(false)
				world.goroutines.Start(func() {
					world.TerminateCore(leader)
					ended.Store(true)
				})
			case "killed":
				world.KillCore(leader, true)
			case "frozen":
				world.Net.Freeze(world.Cores[leader].Host, true)
			}
			world.Sleep(time.Duration(seed%10) * time.Millisecond)
			change := operator.Change{Base: serial, Change: fmt.Sprint("during-", round), Settings: Settings(2000 + round)}
			begin := time.Now()
			outcome, err := world.Client(world.Daemons[1].OperatorAddress).Put(change)
			wait := time.Since(begin)
			for try := 0; err != nil && try < 5; try++ {
				world.Sleep(100 * time.Millisecond)
				outcome, err = world.Client(world.Daemons[1].OperatorAddress).Put(change)
			}
			if err != nil {
				test.Fatalf("%s: %v", kind, err)
			}
			serial = outcome.Serial
			waits[kind] = append(waits[kind], wait)
			if kind == "planned" && wait > 100*time.Millisecond || wait > time.Second {
				world.reportViolation("%s leader: an operator waited %v", kind, wait)
			}
			switch kind {
			case "frozen":
				world.Net.Freeze(world.Cores[leader].Host, false)
			default:
				world.Until(8*time.Second, ended.Load)
				world.StartCore(leader)
			}
		}
		for _, kind := range []string{"planned", "killed", "frozen"} {
			slices.Sort(waits[kind])
			test.Logf("%s: %v", kind, waits[kind])
		}
		world.reportFailures(test)
	})
}
