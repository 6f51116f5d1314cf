package control_test

import (
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/control"
	"orchidjunction/run"
	"orchidjunction/sim"
	"orchidjunction/wire"
)

// While a disk does not answer, who comes late is refused at once and who came early
// waits; what is synced can be read; once it answers the voter goes on.
func TestStalledVoterRefusesWhoComesLate(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		disk, threads := sim.NewDisk(1), run.NewThreads()
		store, mishap := control.OpenStore(disk)
		if mishap != nil {
			test.Fatal(mishap)
		}
		voter := control.NewVoter(store, func(mishap error) { test.Error(mishap) }, func(wire.Ballot) {})
		if mishap := voter.Found(wire.Ballot{}, [wire.Registers]wire.Accepted{}, nil); mishap != nil {
			test.Fatal(mishap)
		}
		disk.Stall(true)
		var early error
		threads.Start(func() { _, early = voter.Promise(&wire.Promise{Ballot: wire.Ballot{Round: 1, Core: 1}}) })
		threads.Rest(time.Second)
		begin := time.Now()
		for round := range uint64(20) {
			if _, mishap := voter.Accept(&wire.Accept{Ballot: wire.Ballot{Round: 2 + round, Core: 1}, Value: wire.Value{Serial: 1}}); mishap == nil || wire.KindOf(mishap) != wire.DiskFault {
				test.Fatalf("accept: %v", mishap)
			}
		}
		if !voter.Stalled() || voter.State().Promised.Round != 0 || time.Since(begin) > 0 {
			test.Errorf("stalled %v, promised %v, after %v", voter.Stalled(), voter.State().Promised, time.Since(begin))
		}
		disk.Stall(false)
		threads.Wait()
		if early != nil || voter.Stalled() || voter.State().Promised.Round != 1 {
			test.Errorf("then %v, stalled %v, promised %v", early, voter.Stalled(), voter.State().Promised)
		}
	})
}
