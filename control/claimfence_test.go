package control

import (
	"testing"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/storage"
)

// claimLogOn opens the claim log of a folder and runs its writing thread.
func claimLogOn(test *testing.T, folder string) (*ClaimLog, func()) {
	test.Helper()
	goroutines := concurrent.NewGroup()
	log, err := openClaimLog(storage.Folder(folder), 0, metrics.NewCounters())
	if err != nil {
		test.Fatal(err)
	}
	goroutines.Start(log.runWriter)
	return log, func() {
		log.queue.Close()
		goroutines.Wait()
		if log.journal.Err() != nil || log.counters.All()["claim_disk_faults"] > 0 {
			test.Error("refused by the disk: ", log.journal.Err())
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
	step := former.withReplacement(3, "10.0.0.4:1")
	step.Version.Term = message.Term{Number: 4, Core: 1}
	again := firstMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	again.Version.Term = message.Term{Number: 6, Core: 2}
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
		wait := &pendingWrite{request: claimOf(string(rune('a' + number))), membership: try.under.accepted()}
		if err := log.submit(wait); err != nil || wait.refused != try.refused {
			test.Errorf("try %d: refused %v, %v", number, wait.refused, err)
		}
		if _, found := log.store.Held(wait.request.Claims[0].Record.Key); found == try.refused {
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
	if err := log.submit(&pendingWrite{request: &message.RecordClaimsRequest{}, membership: members.accepted(), completeAs: 2}); err != nil {
		test.Fatal(err)
	}
	for range 2 {
		if !log.Complete(2) || log.Complete(5) || log.Complete(0) {
			test.Errorf("whole as 2: %v, as 5: %v, without a vote: %v", log.Complete(2), log.Complete(5), log.Complete(0))
		}
		end()
		log, end = claimLogOn(test, folder)
	}
	end()
}
