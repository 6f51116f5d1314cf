package control

import (
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
)

// claimMemberships are a founding membership and one that replaces a voter of it.
func claimMemberships() (former, step message.AcceptedValue) {
	first := firstMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	next := first.withReplacement(3, "10.0.0.4:1")
	next.Version.Term = message.Term{Number: 4, Core: 1}
	return first.accepted(), next.accepted()
}

func openClaimsOn(test *testing.T, disk *modelDisk) *ClaimLog {
	test.Helper()
	log, err := openClaimLog(disk, 0, metrics.NewCounters())
	if err != nil {
		test.Fatal(err)
	}
	return log
}

// writeAtOnce lets the writing thread take the messages as one group and end.
func writeAtOnce(test *testing.T, log *ClaimLog, waits ...*pendingWrite) {
	test.Helper()
	for _, wait := range waits {
		if !log.queue.Put(wait) {
			test.Fatal("ring is full")
		}
	}
	goroutines := concurrent.NewGroup()
	goroutines.Start(log.runWriter)
	synctest.Wait()
	log.queue.Close()
	goroutines.Wait()
}

func (log *ClaimLog) holds(key string) bool {
	_, found := log.store.Held(claimOf(key).Claims[0].Record.Key)
	return found
}

// A group that the disk refuses keeps the membership that it raised and the voter that
// it makes whole: both last once the disk takes writes again.
func TestRefusedGroupKeepsItsMembership(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		former, step := claimMemberships()
		disk := newModelDisk()
		log := openClaimsOn(test, disk)
		disk.failing = true
		kept := &pendingWrite{request: claimOf("kept"), membership: step, completeAs: 2}
		late := &pendingWrite{request: claimOf("late"), membership: former}
		writeAtOnce(test, log, kept, late)
		if kept.err == nil || late.err == nil || log.Complete(2) {
			test.Fatalf("answered by a disk that refuses: %v, %v, whole %v", kept.err, late.err, log.Complete(2))
		}
		disk.failing = false
		time.Sleep(repairInterval)
		if err := log.repair(); err != nil || !log.Complete(2) {
			test.Fatalf("does not go on: %v, whole %v", err, log.Complete(2))
		}
		disk.losePower(0)
		log = openClaimsOn(test, disk)
		if log.membership.Version() != step.Version() || !log.Complete(2) || !log.holds("kept") || log.holds("late") {
			test.Errorf("after a restart: members %v, whole %v, kept %v, late %v", log.membership.Version(), log.Complete(2), log.holds("kept"), log.holds("late"))
		}
		again := &pendingWrite{request: claimOf("again"), membership: former}
		writeAtOnce(test, log, again)
		if !again.refused || again.err != nil {
			test.Errorf("under the former membership: refused %v, %v", again.refused, again.err)
		}
	})
}

// Of messages written as one group, those under a former membership are refused, and
// the others are told of their own claims.
func TestGroupTellsEachMessageItsClaims(test *testing.T) { synctest.Test(test, groupTellsEachMessage) }

func groupTellsEachMessage(test *testing.T) {
	former, step := claimMemberships()
	log := openClaimsOn(test, newModelDisk())
	taken := claimOf("first")
	taken.Claims[0].Record.ID = "another"
	first := &pendingWrite{request: claimOf("first"), membership: step}
	late := &pendingWrite{request: &message.RecordClaimsRequest{Claims: append(claimOf("late").Claims, claimOf("later").Claims...)}, membership: former}
	second := &pendingWrite{request: &message.RecordClaimsRequest{Claims: append(taken.Claims, claimOf("second").Claims...)}, membership: step}
	writeAtOnce(test, log, first, late, second)
	for _, wait := range []*pendingWrite{first, late, second} {
		if wait.err != nil || !wait.done || wait.refused != (wait == late) {
			test.Fatalf("done %v, refused %v, %v", wait.done, wait.refused, wait.err)
		}
	}
	if len(first.results) != 1 || !first.results[0].Granted || len(late.results) != 0 {
		test.Errorf("first %+v, late %+v", first.results, late.results)
	}
	if len(second.results) != 2 || second.results[0].Granted || second.results[0].Existing.ID != "id-first" || !second.results[1].Granted {
		test.Errorf("second %+v", second.results)
	}
	if log.holds("late") || log.holds("later") {
		test.Error("kept what was refused")
	}
}
