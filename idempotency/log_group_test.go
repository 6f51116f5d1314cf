package idempotency

import (
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/consensus"
	"orchidjunction/harness/testdisk"
	"orchidjunction/message"
	"orchidjunction/metrics"
)

// testMemberships returns an initial membership and one with a voter replaced.
func testMemberships() (previous, replacement message.AcceptedValue) {
	first := consensus.InitialMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	next := first.WithReplacement(3, "10.0.0.4:1")
	next.Version.Term = message.Term{Number: 4, Core: 1}
	return first.Accepted(), next.Accepted()
}

func mustOpenLog(test *testing.T, disk *testdisk.Disk) *Log {
	test.Helper()
	log, err := OpenLog(disk, 0, metrics.NewCounters())
	if err != nil {
		test.Fatal(err)
	}
	return log
}

// writeAsGroup lets the writer goroutine write the messages as one group and stops it.
func writeAsGroup(test *testing.T, log *Log, writes ...*Write) {
	test.Helper()
	for _, write := range writes {
		if !log.queue.Put(write) {
			test.Fatal("claim log queue is full")
		}
	}
	goroutines := concurrent.NewGroup()
	goroutines.Start(log.RunWriter)
	synctest.Wait()
	log.Stop()
	goroutines.Wait()
}

func (log *Log) holds(key string) bool {
	_, found := log.store.Get(claimRequest(key).Claims[0].Record.Key)
	return found
}

// Guards against losing a group's membership and the voter for which it completes the log
// if the group's first write fails: both must be durable after the disk is repaired.
func TestUnwrittenGroupKeepsMembershipAfterRepair(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		previous, next := testMemberships()
		disk := testdisk.New()
		log := mustOpenLog(test, disk)
		disk.FailSyncs = true
		kept := &Write{Request: claimRequest("kept"), Membership: next, CompleteAs: 2}
		late := &Write{Request: claimRequest("late"), Membership: previous}
		writeAsGroup(test, log, kept, late)
		if kept.err == nil || late.err == nil || log.CompleteFor(2) {
			test.Fatalf(
				"writes on a failing disk: errors %v, %v, want two; complete %v, want false",
				kept.err,
				late.err,
				log.CompleteFor(2),
			)
		}
		disk.FailSyncs = false
		time.Sleep(diskRetryInterval)
		if err := log.repair(); err != nil || !log.CompleteFor(2) {
			test.Fatalf("repair after the disk recovered: %v, complete %v", err, log.CompleteFor(2))
		}
		disk.LosePower(0)
		log = mustOpenLog(test, disk)
		if log.membership.Version() != next.Version() || !log.CompleteFor(2) || !log.holds("kept") || log.holds("late") {
			test.Errorf(
				"after a restart: membership %v, complete %v, has kept %v, has late %v",
				log.membership.Version(),
				log.CompleteFor(2),
				log.holds("kept"),
				log.holds("late"),
			)
		}
		again := &Write{Request: claimRequest("again"), Membership: previous}
		writeAsGroup(test, log, again)
		if !again.Refused || again.err != nil {
			test.Errorf("write under the superseded membership: refused %v, %v", again.Refused, again.err)
		}
	})
}

// Guards against results given to the wrong message of a group: messages under a
// superseded membership are refused, and each other one gets the results of its claims.
func TestGroupedWritesGetTheirOwnResults(test *testing.T) { synctest.Test(test, checkGroupedWrites) }

func checkGroupedWrites(test *testing.T) {
	previous, next := testMemberships()
	log := mustOpenLog(test, testdisk.New())
	taken := claimRequest("first")
	taken.Claims[0].Record.ID = "another"
	first := &Write{Request: claimRequest("first"), Membership: next}
	late := &Write{
		Request:    &message.RecordClaimsRequest{Claims: append(claimRequest("late").Claims, claimRequest("later").Claims...)},
		Membership: previous,
	}
	second := &Write{
		Request:    &message.RecordClaimsRequest{Claims: append(taken.Claims, claimRequest("second").Claims...)},
		Membership: next,
	}
	writeAsGroup(test, log, first, late, second)
	for _, write := range []*Write{first, late, second} {
		if write.err != nil || !write.done || write.Refused != (write == late) {
			test.Fatalf("write done %v, refused %v, error %v", write.done, write.Refused, write.err)
		}
	}
	if len(first.Results) != 1 || !first.Results[0].Granted || len(late.Results) != 0 {
		test.Errorf("results of the first write %+v, of the refused one %+v", first.Results, late.Results)
	}
	if len(second.Results) != 2 || second.Results[0].Granted || second.Results[0].Existing.ID != "id-first" || !second.Results[1].Granted {
		test.Errorf("results of the second write %+v", second.Results)
	}
	if log.holds("late") || log.holds("later") {
		test.Error("claims of a refused write were stored")
	}
}
