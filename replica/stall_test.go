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

// While a disk is stalled, a replica rejects new requests at once, an earlier request
// waits, and the state can be read. The replica continues once the disk responds.
func TestStalledReplicaRejectsNewRequests(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		disk, goroutines := simulation.NewDisk(1), concurrent.NewGroup()
		store, err := replica.OpenStore(disk)
		if err != nil {
			test.Fatal(err)
		}
		voter := replica.New(store, failOnDiskError(test))
		if err := voter.Initialize(message.Term{}, [message.Registers]message.AcceptedValue{}, nil); err != nil {
			test.Fatal(err)
		}
		disk.Stall(true)
		var earlierErr error
		goroutines.Start(func() { _, earlierErr = voter.Prepare(&message.PrepareRequest{Term: message.Term{Number: 1, Core: 1}}) })
		goroutines.Sleep(time.Second)
		begin := time.Now()
		for index := range uint64(20) {
			if _, err := voter.Accept(
				&message.AcceptRequest{Term: message.Term{Number: 2 + index, Core: 1}, Value: message.Value{Serial: 1}},
			); err == nil ||
				rpc.CodeOf(err) != rpc.DiskFailure {
				test.Fatalf("accept on a stalled disk: error %v, want code disk_fault", err)
			}
		}
		if !voter.Stalled() || voter.State().Promised.Number != 0 || time.Since(begin) > 0 {
			test.Errorf(
				"during the stall: stalled %v, promised %v, rejections took %v",
				voter.Stalled(),
				voter.State().Promised,
				time.Since(begin),
			)
		}
		disk.Stall(false)
		goroutines.Wait()
		if earlierErr != nil || voter.Stalled() || voter.State().Promised.Number != 1 {
			test.Errorf("after the stall: error %v, stalled %v, promised %v", earlierErr, voter.Stalled(), voter.State().Promised)
		}
	})
}
