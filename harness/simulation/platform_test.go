package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"orchidjunction/harness/standin"
)

// The list comes in pages, late, rate-limited, and changes between pages while
// leaders die. No daemon ever holds a part of a list, and none loses a backend
// that stayed listed; one that left is gone in the end.
func TestPlatformListWholeOrNot(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		random := rand.New(rand.NewPCG(seed, 47))
		stays := []standin.Listed{}
		for index := range 25 {
			stays = append(
				stays,
				standin.Listed{
					Name:    fmt.Sprintf("back-%03d", index),
					Service: "meters",
					Address: fmt.Sprintf("10.5.0.%d:80", index+1),
					Zone:    "e1",
				},
			)
		}
		world.Platform = standin.NewPlatform(7, 300*time.Millisecond, 2, stays)
		world.servers = append(world.servers, world.serve(world.goroutines, world.platformAddress(), world.Platform))
		for index := range world.Cores {
			world.StartCore(index)
		}
		daemon := world.AddDaemon("dir", "e1")
		world.StartDaemon(daemon)
		world.first(test)
		if !world.Until(30*time.Second, func() bool { return daemon.Daemon.Ready() }) {
			test.Fatal("not ready")
		}
		faults := world.NewRandomFaults()
		ends := time.Now().Add(60 * time.Second)
		sometimes := standin.Listed{Name: "aaa-sometimes", Service: "meters", Address: "10.5.1.1:80", Zone: "e1"}
		versions := 0
		for time.Now().Before(ends) {
			listed := random.IntN(2) == 0
			if listed {
				world.Platform.Set(append([]standin.Listed{sometimes}, stays...))
			} else {
				world.Platform.Set(stays)
			}
			if random.IntN(6) == 0 {
				faults.Inject("kill-leader", 0)
			}
			for until := time.Now().Add(time.Duration(random.IntN(3000)) * time.Millisecond); time.Now().Before(until); {
				held := map[string]bool{}
				for _, backend := range daemon.Daemon.Version().Table.Backends {
					held[backend.Name] = true
				}
				for _, backend := range stays {
					if !held[backend.Name] {
						world.reportViolation("%s stayed listed and is not held, %d are", backend.Name, len(held))
					}
				}
				versions++
				world.Sleep(50 * time.Millisecond)
				if len(world.Violations) > 0 {
					break
				}
			}
		}
		world.Platform.Set(stays[:24])
		if !world.Until(60*time.Second, func() bool {
			held := daemon.Daemon.Version().Table.Backends
			return len(held) == 24
		}) {
			world.reportViolation("a backend that left is still held: %d", len(daemon.Daemon.Version().Table.Backends))
		}
		test.Logf(
			"looked %d times, %d leaderships, %d reads refused by the platform",
			versions,
			len(world.Leaderships),
			world.Platform.Limited,
		)
		world.report(test)
	})
}
