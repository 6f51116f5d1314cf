package control

import (
	"net/http"
	"testing"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

// newSingleCore returns a core that is a system of its own, and the group that runs its
// goroutines.
func newSingleCore(test *testing.T) (*Core, *concurrent.Group) {
	test.Helper()
	goroutines := concurrent.NewGroup()
	config := Config{
		ID:                1,
		InternalAddress:   "127.0.0.1:1",
		Bootstrap:         true,
		HeartbeatInterval: 10 * time.Millisecond,
		SuspicionTimeout:  30 * time.Millisecond,
	}
	client := rpc.NewClient(http.DefaultTransport)
	core, err := NewCore(config, storage.Folder(test.TempDir()), client, goroutines, metrics.NewCounters())
	if err != nil {
		test.Fatal(err)
	}
	return core, goroutines
}
