package replica_test

import (
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/harness/simulation"
	"orchidjunction/message"
	"orchidjunction/replica"
	"orchidjunction/rpc"
)

// While a disk does not answer, who comes late is refused at once and who came early
// waits; what is synced can be read; once it answers the voter goes on.
func TestStalledVoterRefusesWhoComesLate(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		disk, goroutines := simulation.NewDisk(1), concurrent.NewGroup()
		store, err := replica.OpenStore(disk)
		if err != nil {
			test.Fatal(err)
		}
		voter := replica.New(store, failing(test))
		if err := voter.Initialize(message.Term{}, [message.Registers]message.AcceptedValue{}, nil); err != nil {
			test.Fatal(err)
		}
		disk.Stall(true)
		var early error
		goroutines.Start(func() { _, early = voter.Prepare(&message.PrepareRequest{Term: message.Term{Number: 1, Core: 1}}) })
		goroutines.Sleep(time.Second)
		begin := time.Now()
		for round := range uint64(20) {
			if _, err := voter.Accept(
				&message.AcceptRequest{Term: message.Term{Number: 2 + round, Core: 1}, Value: message.Value{Serial: 1}},
			); err == nil ||
				rpc.CodeOf(err) != rpc.DiskFailure {
				test.Fatalf("accept: %v", err)
			}
		}
		if !voter.Stalled() || voter.State().Promised.Number != 0 || time.Since(begin) > 0 {
			test.Errorf("stalled %v, promised %v, after %v", voter.Stalled(), voter.State().Promised, time.Since(begin))
		}
		disk.Stall(false)
		goroutines.Wait()
		if early != nil || voter.Stalled() || voter.State().Promised.Number != 1 {
			test.Errorf("then %v, stalled %v, promised %v", early, voter.Stalled(), voter.State().Promised)
		}
	})
}
