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

// claimMemberships are a founding membership and one that replaces a voter of it.
func claimMemberships() (former, step message.AcceptedValue) {
	first := consensus.InitialMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	next := first.WithReplacement(3, "10.0.0.4:1")
	next.Version.Term = message.Term{Number: 4, Core: 1}
	return first.Accepted(), next.Accepted()
}

func openClaimsOn(test *testing.T, disk *testdisk.Disk) *Log {
	test.Helper()
	log, err := OpenLog(disk, 0, metrics.NewCounters())
	if err != nil {
		test.Fatal(err)
	}
	return log
}

// writeAtOnce lets the writing thread take the messages as one group and end.
func writeAtOnce(test *testing.T, log *Log, waits ...*Write) {
	test.Helper()
	for _, wait := range waits {
		if !log.queue.Put(wait) {
			test.Fatal("ring is full")
		}
	}
	goroutines := concurrent.NewGroup()
	goroutines.Start(log.RunWriter)
	synctest.Wait()
	log.Stop()
	goroutines.Wait()
}

func (log *Log) holds(key string) bool {
	_, found := log.store.Get(claimOf(key).Claims[0].Record.Key)
	return found
}

// A group that the disk refuses keeps the membership that it raised and the voter that
// it makes whole: both last once the disk takes writes again.
func TestRefusedGroupKeepsItsMembership(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		former, step := claimMemberships()
		disk := testdisk.New()
		log := openClaimsOn(test, disk)
		disk.Failing = true
		kept := &Write{Request: claimOf("kept"), Membership: step, CompleteAs: 2}
		late := &Write{Request: claimOf("late"), Membership: former}
		writeAtOnce(test, log, kept, late)
		if kept.err == nil || late.err == nil || log.CompleteFor(2) {
			test.Fatalf("answered by a disk that refuses: %v, %v, whole %v", kept.err, late.err, log.CompleteFor(2))
		}
		disk.Failing = false
		time.Sleep(repairInterval)
		if err := log.repair(); err != nil || !log.CompleteFor(2) {
			test.Fatalf("does not go on: %v, whole %v", err, log.CompleteFor(2))
		}
		disk.LosePower(0)
		log = openClaimsOn(test, disk)
		if log.membership.Version() != step.Version() || !log.CompleteFor(2) || !log.holds("kept") || log.holds("late") {
			test.Errorf(
				"after a restart: members %v, whole %v, kept %v, late %v",
				log.membership.Version(),
				log.CompleteFor(2),
				log.holds("kept"),
				log.holds("late"),
			)
		}
		again := &Write{Request: claimOf("again"), Membership: former}
		writeAtOnce(test, log, again)
		if !again.Refused || again.err != nil {
			test.Errorf("under the former Membership: refused %v, %v", again.Refused, again.err)
		}
	})
}

// Of messages written as one group, those under a former membership are refused, and
// the others are told of their own claims.
func TestGroupTellsEachMessageItsClaims(test *testing.T) { synctest.Test(test, groupTellsEachMessage) }

func groupTellsEachMessage(test *testing.T) {
	former, step := claimMemberships()
	log := openClaimsOn(test, testdisk.New())
	taken := claimOf("first")
	taken.Claims[0].Record.ID = "another"
	first := &Write{Request: claimOf("first"), Membership: step}
	late := &Write{
		Request:    &message.RecordClaimsRequest{Claims: append(claimOf("late").Claims, claimOf("later").Claims...)},
		Membership: former,
	}
	second := &Write{Request: &message.RecordClaimsRequest{Claims: append(taken.Claims, claimOf("second").Claims...)}, Membership: step}
	writeAtOnce(test, log, first, late, second)
	for _, wait := range []*Write{first, late, second} {
		if wait.err != nil || !wait.done || wait.Refused != (wait == late) {
			test.Fatalf("done %v, refused %v, %v", wait.done, wait.Refused, wait.err)
		}
	}
	if len(first.Results) != 1 || !first.Results[0].Granted || len(late.Results) != 0 {
		test.Errorf("first %+v, late %+v", first.Results, late.Results)
	}
	if len(second.Results) != 2 || second.Results[0].Granted || second.Results[0].Existing.ID != "id-first" || !second.Results[1].Granted {
		test.Errorf("second %+v", second.Results)
	}
	if log.holds("late") || log.holds("later") {
		test.Error("kept what was refused")
	}
}
