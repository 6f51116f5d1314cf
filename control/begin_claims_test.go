package control

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/run"
	"orchidjunction/wire"
)

// A voter that began while the claims' ring was full marks its claims as whole later:
// nobody else mends them at the first start, when no other core is whole either.
func TestClaimsBeginOnceTheRingHasRoom(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		threads, counts := run.NewThreads(), run.NewCounts()
		core, err := NewCore(Place{ID: 1, Wire: "127.0.0.1:1", Found: true}, Folder(test.TempDir()), wire.NewClient(http.DefaultTransport), threads, counts)
		if err != nil {
			test.Fatal(err)
		}
		for core.claims.ring.Put(&keepWait{message: &wire.RecordClaimsRequest{}}) {
		}
		core.beginClaims(1)
		if core.claims.Whole(1) || counts.Get("claims_not_begun") != 1 {
			test.Errorf("whole %v, not begun %d times", core.claims.Whole(1), counts.Get("claims_not_begun"))
		}
		threads.OnStop(core.claims.ring.Close)
		threads.Start(core.claims.write)
		threads.Rest(2 * repairPace)
		if !core.claims.Whole(1) {
			test.Error("not whole though the ring has room")
		}
		time.Sleep(time.Minute)
		if count := counts.Get("claims_not_begun"); count != 1 {
			test.Errorf("%d times not begun", count)
		}
		threads.Stop()
		threads.Wait()
		core.Close()
	})
}
