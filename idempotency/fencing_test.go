package idempotency

import (
	"testing"

	"orchidjunction/concurrent"
	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/storage"
)

// startTestLog opens a log and runs its writer goroutine. The function returned stops it
// and checks that the disk never failed.
func startTestLog(test *testing.T, folder string) (*Log, func()) {
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
			test.Error("disk error: ", log.journal.Err())
		}
		log.Close()
	}
}

func claimRequest(key string) *message.RecordClaimsRequest {
	record := message.ClaimRecord{
		Key:    message.ClaimKey{Tenant: "t", Service: "s", Key: key},
		ID:     "id-" + key,
		Holder: "p/1",
		Stage:  message.ClaimRunning,
	}
	return &message.RecordClaimsRequest{Claims: []message.ClaimRequest{{Record: record}}}
}

// Guards against claims recorded under a superseded membership, also after a restart: a
// core that has already copied the claims under the newer membership would never see them.
func TestClaimsAreFencedByMembership(test *testing.T) {
	previous := consensus.InitialMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	next := previous.WithReplacement(3, "10.0.0.4:1")
	next.Version.Term = message.Term{Number: 4, Core: 1}
	latest := consensus.InitialMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	latest.Version.Term = message.Term{Number: 6, Core: 2}
	folder := test.TempDir()
	log, stop := startTestLog(test, folder)
	for index, testCase := range []struct {
		under   *consensus.Membership
		restart bool
		refused bool
	}{
		{under: previous},
		{under: next},
		{under: previous, refused: true},
		{under: previous, restart: true, refused: true},
		{under: next},
		{under: latest},
		{under: next, restart: true, refused: true},
		{under: previous},
	} {
		if testCase.restart {
			stop()
			log, stop = startTestLog(test, folder)
		}
		write := &Write{Request: claimRequest(string(rune('a' + index))), Membership: testCase.under.Accepted()}
		if err := log.Submit(write); err != nil || write.Refused != testCase.refused {
			test.Errorf("write %d: refused %v, %v", index, write.Refused, err)
		}
		if _, found := log.store.Get(write.Request.Claims[0].Record.Key); found == testCase.refused {
			test.Errorf("write %d: stored %v", index, found)
		}
	}
	stop()
}

// Guards against a log that is complete for one voter being taken as complete for another
// voter ID, or for a core without a vote, on the same disk.
func TestLogIsCompleteForOneVoterOnly(test *testing.T) {
	folder := test.TempDir()
	members := consensus.InitialMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	log, stop := startTestLog(test, folder)
	if err := log.Submit(&Write{Request: &message.RecordClaimsRequest{}, Membership: members.Accepted(), CompleteAs: 2}); err != nil {
		test.Fatal(err)
	}
	for range 2 {
		if !log.CompleteFor(2) || log.CompleteFor(5) || log.CompleteFor(0) {
			test.Errorf(
				"complete for voter 2: %v, for 5: %v, without a vote: %v",
				log.CompleteFor(2),
				log.CompleteFor(5),
				log.CompleteFor(0),
			)
		}
		stop()
		log, stop = startTestLog(test, folder)
	}
	stop()
}
