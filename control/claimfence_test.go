package control

import (
	"testing"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
)

// claimLogOn opens the claim log of a folder and runs its writing thread.
func claimLogOn(test *testing.T, folder string) (*ClaimLog, func()) {
	test.Helper()
	goroutines := concurrent.NewGroup()
	log, err := openClaimLog(Folder(folder), 0, metrics.NewCounters())
	if err != nil {
		test.Fatal(err)
	}
	goroutines.Start(log.write)
	return log, func() {
		log.ring.Close()
		goroutines.Wait()
		if log.journal.fault != nil || log.counters.All()["claim_disk_faults"] > 0 {
			test.Error("refused by the disk: ", log.journal.fault)
		}
		log.journal.Close()
	}
}

func claimOf(key string) *message.RecordClaimsRequest {
	claimed := message.ClaimRecord{Key: message.ClaimKey{Tenant: "t", Service: "s", Key: key}, ID: "id-" + key, Holder: "p/1", Stage: message.ClaimRunning}
	return &message.RecordClaimsRequest{Claims: []message.ClaimRequest{{Record: claimed}}}
}

// Once another core was told the claims under a membership, nothing is kept that is
// counted by an older one, also after a restart: the other core would never see it.
func TestClaimsAreFencedByMembership(test *testing.T) {
	former := firstMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	step := former.replaced(3, "10.0.0.4:1")
	step.Mark.Term = message.Term{Number: 4, Core: 1}
	again := firstMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	again.Mark.Term = message.Term{Number: 6, Core: 2}
	folder := test.TempDir()
	log, end := claimLogOn(test, folder)
	for number, try := range []struct {
		under   *Membership
		restart bool
		refused bool
	}{
		{under: former},
		{under: step},
		{under: former, refused: true},
		{under: former, restart: true, refused: true},
		{under: step},
		{under: again},
		{under: step, restart: true, refused: true},
		{under: former},
	} {
		if try.restart {
			end()
			log, end = claimLogOn(test, folder)
		}
		wait := &keepWait{message: claimOf(string(rune('a' + number))), members: try.under.accepted()}
		if err := log.put(wait); err != nil || wait.refused != try.refused {
			test.Errorf("try %d: refused %v, %v", number, wait.refused, err)
		}
		if _, found := log.book.Held(wait.message.Claims[0].Record.Key); found == try.refused {
			test.Errorf("try %d: kept %v", number, found)
		}
	}
	end()
}

// What made a voter whole says nothing of the same disk under another ID, nor of a
// core without a vote.
func TestWholeClaimsAreOneVoters(test *testing.T) {
	folder := test.TempDir()
	members := firstMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	log, end := claimLogOn(test, folder)
	if err := log.put(&keepWait{message: &message.RecordClaimsRequest{}, members: members.accepted(), wholeAs: 2}); err != nil {
		test.Fatal(err)
	}
	for range 2 {
		if !log.Whole(2) || log.Whole(5) || log.Whole(0) {
			test.Errorf("whole as 2: %v, as 5: %v, without a vote: %v", log.Whole(2), log.Whole(5), log.Whole(0))
		}
		end()
		log, end = claimLogOn(test, folder)
	}
	end()
}
