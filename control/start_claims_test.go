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

// claimsAboveQueueCapacity is more than the queue of claims holds.
const claimsAboveQueueCapacity = 5000

// A voter that began while the claims' ring was full marks its claims as whole later:
// nobody else mends them at the first start, when no other core is whole either.
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
			test.Errorf("whole %v, not begun %d times", core.claims.CompleteFor(1), counters.Get("claims_not_begun"))
		}
		goroutines.OnStop(core.claims.Stop)
		goroutines.Start(core.claims.RunWriter)
		goroutines.Sleep(2 * repairInterval)
		if !core.claims.CompleteFor(1) {
			test.Error("not whole though the ring has room")
		}
		time.Sleep(time.Minute)
		if count := counters.Get("claims_not_begun"); count != 1 {
			test.Errorf("%d times not begun", count)
		}
		goroutines.Stop()
		goroutines.Wait()
		core.Close()
	})
}
