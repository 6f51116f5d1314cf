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

// slowDisk counts the syncs of files, each of which takes a while.
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

// While no leader is there all daemons report to cores that answer once the counts are on
// their disk. Those that come together share a write, so that the disk has time for the
// election.
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
			test.Errorf("%d syncs in %v for %d reports", disk.syncs.Load(), took, daemons)
		}
		reopened := usage.NewWindows()
		if _, err := usage.OpenWindowLog(disk, reopened); err != nil || reopened.Sum(5)["a"] != daemons {
			test.Errorf("%v, %v on the disk", err, reopened.Sum(5))
		}
	})
}
