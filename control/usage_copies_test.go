package control

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/harness/testdisk"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/storage"
	"orchidjunction/usage"
)

// slowDisk counts file syncs and delays each of them.
type slowDisk struct {
	*testdisk.Disk
	syncs atomic.Int64
}

type slowFile struct {
	storage.File
	disk *slowDisk
}

func (disk *slowDisk) Create(name string) (storage.File, error) {
	file, err := disk.Disk.Create(name)
	return &slowFile{File: file, disk: disk}, err
}

func (file *slowFile) Sync() error {
	time.Sleep(5 * time.Millisecond)
	file.disk.syncs.Add(1)
	return file.File.Sync()
}

// Without a leader, all daemons report to cores that respond once the counts are on disk.
// Concurrent reports share a write, so that the disk has time for the election.
func TestConcurrentCountsShareAWrite(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		disk := &slowDisk{Disk: testdisk.New()}
		goroutines := concurrent.NewGroup()
		core := &Core{windows: usage.NewWindows(), counters: metrics.NewCounters(), goroutines: goroutines}
		core.usageCopies = newUsageCopies(core)
		core.usageCopies.open(usage.OpenWindowLog(disk, core.windows))
		begin := time.Now()
		const daemons = 200
		for number := range daemons {
			goroutines.Start(func() {
				request := &message.WindowCountsRequest{
					Incarnation: fmt.Sprint("process-", number),
					Windows:     []message.WindowCount{{Window: 5, Tenants: map[string]uint64{"a": 1}}},
				}
				if _, err := core.onWindowCounts(request); err != nil {
					test.Error(err)
				}
			})
		}
		goroutines.Wait()
		if took := time.Since(begin); took > 100*time.Millisecond || disk.syncs.Load() > 10 {
			test.Errorf("%d syncs in %v for %d reports, want at most 10 in 100 ms", disk.syncs.Load(), took, daemons)
		}
		reopened := usage.NewWindows()
		if _, err := usage.OpenWindowLog(disk, reopened); err != nil || reopened.Sum(5)["a"] != daemons {
			test.Errorf("error %v, counts on disk %v, want a=%d", err, reopened.Sum(5), daemons)
		}
	})
}
