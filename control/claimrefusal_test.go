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
	next := first.replaced(3, "10.0.0.4:1")
	next.Mark.Term = message.Term{Number: 4, Core: 1}
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
func writeAtOnce(test *testing.T, log *ClaimLog, waits ...*keepWait) {
	test.Helper()
	for _, wait := range waits {
		if !log.ring.Put(wait) {
			test.Fatal("ring is full")
		}
	}
	goroutines := concurrent.NewGroup()
	goroutines.Start(log.write)
	synctest.Wait()
	log.ring.Close()
	goroutines.Wait()
}

func (log *ClaimLog) holds(key string) bool {
	_, found := log.book.Held(claimOf(key).Claims[0].Record.Key)
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
		kept := &keepWait{message: claimOf("kept"), members: step, wholeAs: 2}
		late := &keepWait{message: claimOf("late"), members: former}
		writeAtOnce(test, log, kept, late)
		if kept.mishap == nil || late.mishap == nil || log.Whole(2) {
			test.Fatalf("answered by a disk that refuses: %v, %v, whole %v", kept.mishap, late.mishap, log.Whole(2))
		}
		disk.failing = false
		time.Sleep(repairPace)
		if err := log.repair(); err != nil || !log.Whole(2) {
			test.Fatalf("does not go on: %v, whole %v", err, log.Whole(2))
		}
		disk.losePower(0)
		log = openClaimsOn(test, disk)
		if log.members.Version() != step.Version() || !log.Whole(2) || !log.holds("kept") || log.holds("late") {
			test.Errorf("after a restart: members %v, whole %v, kept %v, late %v", log.members.Version(), log.Whole(2), log.holds("kept"), log.holds("late"))
		}
		again := &keepWait{message: claimOf("again"), members: former}
		writeAtOnce(test, log, again)
		if !again.refused || again.mishap != nil {
			test.Errorf("under the former membership: refused %v, %v", again.refused, again.mishap)
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
	first := &keepWait{message: claimOf("first"), members: step}
	late := &keepWait{message: &message.RecordClaimsRequest{Claims: append(claimOf("late").Claims, claimOf("later").Claims...)}, members: former}
	second := &keepWait{message: &message.RecordClaimsRequest{Claims: append(taken.Claims, claimOf("second").Claims...)}, members: step}
	writeAtOnce(test, log, first, late, second)
	for _, wait := range []*keepWait{first, late, second} {
		if wait.mishap != nil || !wait.done || wait.refused != (wait == late) {
			test.Fatalf("done %v, refused %v, %v", wait.done, wait.refused, wait.mishap)
		}
	}
	if len(first.told) != 1 || !first.told[0].Granted || len(late.told) != 0 {
		test.Errorf("first %+v, late %+v", first.told, late.told)
	}
	if len(second.told) != 2 || second.told[0].Granted || second.told[0].Existing.ID != "id-first" || !second.told[1].Granted {
		test.Errorf("second %+v", second.told)
	}
	if log.holds("late") || log.holds("later") {
		test.Error("kept what was refused")
	}
}
