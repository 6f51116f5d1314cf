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

// counted is what a core was told and its log has answered for.
type counted map[string]map[string]uint64 // by process and tenant

// countsOf returns the counts that windows know.
func countsOf(windows *usage.Windows) counted {
	known := counted{}
	copies, _ := windows.ChangedSince(0)
	for _, process := range copies {
		known[process.Incarnation] = process.Windows[0].Tenants
	}
	return known
}

// covers returns an error if a count is below one of other counts.
func (counted counted) covers(other counted) error {
	for incarnation, tenants := range other {
		for tenant, requests := range tenants {
			if counted[incarnation][tenant] < requests {
				return fmt.Errorf("%s, %s: %d, want %d", incarnation, tenant, counted[incarnation][tenant], requests)
			}
		}
	}
	return nil
}

func (counted counted) clone() counted {
	clone := map[string]map[string]uint64{}
	for incarnation, tenants := range counted {
		clone[incarnation] = maps.Clone(tenants)
	}
	return clone
}

// Power is lost again and again, with each file's and each name's fate drawn by itself and
// writes refused at times: what Append answered for is there, and nothing that was not told.
func TestWindowLogLastsFileByFile(test *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		disk := simulation.NewDisk(seed)
		told, durable := counted{}, counted{}
		for loss := range 8 {
			windows := usage.NewWindows()
			log, err := usage.OpenWindowLog(disk, windows)
			if err != nil {
				test.Fatalf("seed %d, loss %d: %v", seed, loss, err)
			}
			known := countsOf(windows)
			if err := known.covers(durable); err != nil {
				test.Fatalf("seed %d, loss %d: of what was durable, %v", seed, loss, err)
			}
			if err := told.covers(known); err != nil {
				test.Fatalf("seed %d, loss %d: of what was told, %v", seed, loss, err)
			}
			told = known.clone()
			for range random.IntN(40) {
				incarnation, tenant := fmt.Sprint("process-", random.IntN(4)), fmt.Sprint("tenant-", random.IntN(3))
				if told[incarnation] == nil {
					told[incarnation] = map[string]uint64{}
				}
				told[incarnation][tenant] += uint64(random.IntN(300))
				windows.AddCopies([]message.ProcessCounts{{
					Name: incarnation, Incarnation: incarnation,
					Windows: []message.WindowCount{{Window: 7, Tenants: map[string]uint64{tenant: told[incarnation][tenant]}}},
				}})
				disk.Refuse(simulation.Refusal{Syncs: random.IntN(6) == 0, Names: random.IntN(6) == 0})
				if random.IntN(2) == 0 && log.Append() == nil {
					durable = told.clone()
				}
				disk.Refuse(simulation.Refusal{})
				if random.IntN(4) == 0 {
					if err := log.Append(); err != nil {
						test.Fatalf("seed %d, loss %d: refuses though the disk does not: %v", seed, loss, err)
					}
					durable = told.clone()
				}
			}
			log.Close()
			disk = disk.Sever(true)
		}
	}
}

// A damaged log is left behind: its error is told, and the log takes counts all the same.
func TestDamagedWindowLogIsLeftBehind(test *testing.T) {
	disk := simulation.NewDisk(1)
	file, err := disk.Create(storage.FileName("counts", 3))
	if err != nil {
		test.Fatal(err)
	}
	if _, err := file.Write([]byte("no frame at all")); err != nil {
		test.Fatal(err)
	}
	if _, err := usage.OpenWindowLog(disk, usage.NewWindows()); err == nil {
		test.Fatal("a damaged snapshot was taken")
	}
	windows := usage.NewWindows()
	log, _ := usage.OpenWindowLog(disk, windows)
	windows.AddCopies([]message.ProcessCounts{{
		Incarnation: "one",
		Windows:     []message.WindowCount{{Window: 1, Tenants: map[string]uint64{"a": 2}}},
	}})
	if err := log.Append(); err != nil {
		test.Fatal(err)
	}
	again := usage.NewWindows()
	if _, err := usage.OpenWindowLog(disk, again); err != nil || again.Sum(1)["a"] != 2 {
		test.Fatalf("%v, %v", err, again.Sum(1))
	}
}
