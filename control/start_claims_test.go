package control

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/idempotency"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

// claimsAboveQueueCapacity is more claims than the queue holds.
const claimsAboveQueueCapacity = 5000

// A voter that starts while its claim queue is full must mark its claims complete later: at
// the first start no other core has complete claims to repair them from.
func TestClaimsMarkedCompleteOnceQueueHasRoom(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		goroutines, counters := concurrent.NewGroup(), metrics.NewCounters()
		core, err := NewCore(
			Config{ID: 1, InternalAddress: "127.0.0.1:1", Bootstrap: true},
			storage.Folder(test.TempDir()),
			rpc.NewClient(http.DefaultTransport),
			goroutines,
			counters,
		)
		if err != nil {
			test.Fatal(err)
		}
		for range claimsAboveQueueCapacity {
			goroutines.Start(func() {
				_ = core.claims.Submit(&idempotency.Write{Request: &message.RecordClaimsRequest{}}) // refused once the queue is full
			})
		}
		synctest.Wait()
		core.startClaims(1)
		if core.claims.CompleteFor(1) || counters.Get("claims_not_begun") != 1 {
			test.Errorf("complete %v, claims_not_begun %d, want false and 1", core.claims.CompleteFor(1), counters.Get("claims_not_begun"))
		}
		goroutines.OnStop(core.claims.Stop)
		goroutines.Start(core.claims.RunWriter)
		goroutines.Sleep(2 * repairInterval)
		if !core.claims.CompleteFor(1) {
			test.Error("claims not complete although the queue has room")
		}
		time.Sleep(time.Minute)
		if count := counters.Get("claims_not_begun"); count != 1 {
			test.Errorf("claims_not_begun %d, want 1", count)
		}
		goroutines.Stop()
		goroutines.Wait()
		core.Close()
	})
}
