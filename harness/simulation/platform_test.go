package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"orchidjunction/harness/standin"
)

// The platform's list is paged, slow and rate-limited, and changes between pages while leaders
// are killed. No daemon holds a partial list or loses a backend that stays listed; a backend
// that is removed from the list disappears in the end.
func TestPlatformListIsNeverPartial(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		random := rand.New(rand.NewPCG(seed, 47))
		permanent := []standin.Listed{}
		for index := range 25 {
			permanent = append(
				permanent,
				standin.Listed{
					Name:    fmt.Sprintf("back-%03d", index),
					Service: "meters",
					Address: fmt.Sprintf("10.5.0.%d:80", index+1),
					Zone:    "e1",
				},
			)
		}
		world.Platform = standin.NewPlatform(7, 300*time.Millisecond, 2, permanent)
		world.servers = append(world.servers, world.serve(world.goroutines, world.platformAddress(), world.Platform))
		for index := range world.Cores {
			world.StartCore(index)
		}
		daemon := world.AddDaemon("dir", "e1")
		world.StartDaemon(daemon)
		world.putFirstSettings(test)
		if !world.Until(30*time.Second, func() bool { return daemon.Daemon.Ready() }) {
			test.Fatal("not ready")
		}
		faults := world.NewRandomFaults()
		end := time.Now().Add(60 * time.Second)
		intermittent := standin.Listed{Name: "aaa-sometimes", Service: "meters", Address: "10.5.1.1:80", Zone: "e1"}
		checks := 0
		for time.Now().Before(end) {
			listed := random.IntN(2) == 0
			if listed {
				world.Platform.Set(append([]standin.Listed{intermittent}, permanent...))
			} else {
				world.Platform.Set(permanent)
			}
			if random.IntN(6) == 0 {
				faults.Inject("kill-leader", 0)
			}
			for until := time.Now().Add(time.Duration(random.IntN(3000)) * time.Millisecond); time.Now().Before(until); {
				held := map[string]bool{}
				for _, backend := range daemon.Daemon.Version().Table.Backends {
					held[backend.Name] = true
				}
				for _, backend := range permanent {
					if !held[backend.Name] {
						world.reportViolation("%s is listed but missing among the daemon's %d backends", backend.Name, len(held))
					}
				}
				checks++
				world.Sleep(50 * time.Millisecond)
				if len(world.Violations) > 0 {
					break
				}
			}
		}
		world.Platform.Set(permanent[:24])
		if !world.Until(60*time.Second, func() bool {
			held := daemon.Daemon.Version().Table.Backends
			return len(held) == 24
		}) {
			world.reportViolation("an unlisted backend is still held, %d in all", len(daemon.Daemon.Version().Table.Backends))
		}
		test.Logf(
			"%d checks, %d leaderships, %d reads refused by the platform",
			checks,
			len(world.Leaderships),
			world.Platform.Limited,
		)
		world.reportFailures(test)
	})
}
