package usage_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"orchidjunction/harness/simulation"
	"orchidjunction/message"
	"orchidjunction/storage"
	"orchidjunction/usage"
)

// processCounts are the cumulative counts of processes in one window.
type processCounts map[string]map[string]uint64 // by process and tenant

func knownCounts(windows *usage.Windows) processCounts {
	known := processCounts{}
	copies, _ := windows.ChangedSince(0)
	for _, process := range copies {
		known[process.Incarnation] = process.Windows[0].Tenants
	}
	return known
}

// covers returns an error if any count is lower than in other.
func (counts processCounts) covers(other processCounts) error {
	for incarnation, byTenant := range other {
		for tenant, requests := range byTenant {
			if counts[incarnation][tenant] < requests {
				return fmt.Errorf("%s, %s: %d, want %d", incarnation, tenant, counts[incarnation][tenant], requests)
			}
		}
	}
	return nil
}

func (counts processCounts) clone() processCounts {
	clone := map[string]map[string]uint64{}
	for incarnation, tenants := range counts {
		clone[incarnation] = maps.Clone(tenants)
	}
	return clone
}

// Guards against counts lost after a successful Append, or never reported, over repeated
// power losses that affect each file and name separately, with disk errors in between.
func TestWindowLogSurvivesPowerLoss(test *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		disk := simulation.NewDisk(seed)
		reported, durable := processCounts{}, processCounts{}
		for round := range 8 {
			windows := usage.NewWindows()
			log, err := usage.OpenWindowLog(disk, windows)
			if err != nil {
				test.Fatalf("seed %d, round %d: open: %v", seed, round, err)
			}
			known := knownCounts(windows)
			if err := known.covers(durable); err != nil {
				test.Fatalf("seed %d, round %d: durable count lost: %v", seed, round, err)
			}
			if err := reported.covers(known); err != nil {
				test.Fatalf("seed %d, round %d: count above what was reported: %v", seed, round, err)
			}
			reported = known.clone()
			for range random.IntN(40) {
				incarnation, tenant := fmt.Sprint("process-", random.IntN(4)), fmt.Sprint("tenant-", random.IntN(3))
				if reported[incarnation] == nil {
					reported[incarnation] = map[string]uint64{}
				}
				reported[incarnation][tenant] += uint64(random.IntN(300))
				windows.MergeCounts([]message.ProcessCounts{{
					Name: incarnation, Incarnation: incarnation,
					Windows: []message.WindowCount{{Window: 7, Tenants: map[string]uint64{tenant: reported[incarnation][tenant]}}},
				}})
				disk.SetFaults(simulation.DiskFaults{Syncs: random.IntN(6) == 0, Names: random.IntN(6) == 0})
				if random.IntN(2) == 0 && log.Append() == nil {
					durable = reported.clone()
				}
				disk.SetFaults(simulation.DiskFaults{})
				if random.IntN(4) == 0 {
					if err := log.Append(); err != nil {
						test.Fatalf("seed %d, round %d: append on a working disk: %v", seed, round, err)
					}
					durable = reported.clone()
				}
			}
			log.Close()
			disk = disk.Detach(true)
		}
	}
}

// Guards against a damaged snapshot that is read without an error, or that keeps the log
// from storing new counts.
func TestDamagedWindowLogIsSkipped(test *testing.T) {
	disk := simulation.NewDisk(1)
	file, err := disk.Create(storage.FileName("counts", 3))
	if err != nil {
		test.Fatal(err)
	}
	if _, err := file.Write([]byte("no frame at all")); err != nil {
		test.Fatal(err)
	}
	if _, err := usage.OpenWindowLog(disk, usage.NewWindows()); err == nil {
		test.Fatal("a damaged snapshot was read without an error")
	}
	windows := usage.NewWindows()
	log, _ := usage.OpenWindowLog(disk, windows)
	windows.MergeCounts([]message.ProcessCounts{{
		Incarnation: "one",
		Windows:     []message.WindowCount{{Window: 1, Tenants: map[string]uint64{"a": 2}}},
	}})
	if err := log.Append(); err != nil {
		test.Fatal(err)
	}
	reopened := usage.NewWindows()
	if _, err := usage.OpenWindowLog(disk, reopened); err != nil || reopened.Sum(1)["a"] != 2 {
		test.Fatalf("reopened log: %v, counts %v", err, reopened.Sum(1))
	}
}
