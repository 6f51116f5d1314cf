package idempotency

import (
	"testing"

	"orchidjunction/concurrent"
	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/storage"
)

// claimLogOn opens the claim log of a folder and runs its writing thread.
func claimLogOn(test *testing.T, folder string) (*Log, func()) {
	test.Helper()
	goroutines := concurrent.NewGroup()
	log, err := OpenLog(storage.Folder(folder), 0, metrics.NewCounters())
	if err != nil {
		test.Fatal(err)
	}
	goroutines.Start(log.RunWriter)
	return log, func() {
		log.Stop()
		goroutines.Wait()
		if log.journal.Err() != nil || log.counters.All()["claim_disk_faults"] > 0 {
			test.Error("refused by the disk: ", log.journal.Err())
		}
		log.Close()
	}
}

func claimOf(key string) *message.RecordClaimsRequest {
	claimed := message.ClaimRecord{
		Key:    message.ClaimKey{Tenant: "t", Service: "s", Key: key},
		ID:     "id-" + key,
		Holder: "p/1",
		Stage:  message.ClaimRunning,
	}
	return &message.RecordClaimsRequest{Claims: []message.ClaimRequest{{Record: claimed}}}
}

// Once another core was told the claims under a membership, nothing is kept that is
// counted by an older one, also after a restart: the other core would never see it.
func TestClaimsAreFencedByMembership(test *testing.T) {
	former := consensus.InitialMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	step := former.WithReplacement(3, "10.0.0.4:1")
	step.Version.Term = message.Term{Number: 4, Core: 1}
	again := consensus.InitialMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	again.Version.Term = message.Term{Number: 6, Core: 2}
	folder := test.TempDir()
	log, end := claimLogOn(test, folder)
	for number, try := range []struct {
		under   *consensus.Membership
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
		wait := &Write{Request: claimOf(string(rune('a' + number))), Membership: try.under.Accepted()}
		if err := log.Submit(wait); err != nil || wait.Refused != try.refused {
			test.Errorf("try %d: refused %v, %v", number, wait.Refused, err)
		}
		if _, found := log.store.Get(wait.Request.Claims[0].Record.Key); found == try.refused {
			test.Errorf("try %d: kept %v", number, found)
		}
	}
	end()
}

// What made a voter whole says nothing of the same disk under another ID, nor of a
// core without a vote.
func TestWholeClaimsAreOneVoters(test *testing.T) {
	folder := test.TempDir()
	members := consensus.InitialMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	log, end := claimLogOn(test, folder)
	if err := log.Submit(&Write{Request: &message.RecordClaimsRequest{}, Membership: members.Accepted(), CompleteAs: 2}); err != nil {
		test.Fatal(err)
	}
	for range 2 {
		if !log.CompleteFor(2) || log.CompleteFor(5) || log.CompleteFor(0) {
			test.Errorf("whole as 2: %v, as 5: %v, without a vote: %v", log.CompleteFor(2), log.CompleteFor(5), log.CompleteFor(0))
		}
		end()
		log, end = claimLogOn(test, folder)
	}
	end()
}
