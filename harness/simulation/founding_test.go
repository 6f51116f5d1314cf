package simulation

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A new system never started if the core that founds it lost its disk at once: nobody else might
// found it. Whichever core loses its disk while the system starts, while another one may lose
// power and keep its disk, one membership is chosen and orders are taken.
func TestCoreLosesDiskAtFirstStart(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			world := NewRegionalWorld(seed, cores)
			random := rand.New(rand.NewPCG(seed, uint64(cores)))
			pause := func(limitMs int) { world.Sleep(time.Duration(random.IntN(limitMs)) * time.Millisecond) }
			for index := range world.Cores {
				world.StartCore(index)
			}
			wiped := random.IntN(cores)
			if random.IntN(2) == 0 {
				wiped = 0 // the first to found
			}
			restarted := (wiped + 1 + random.IntN(cores-1)) % cores
			pause(1200)
			if random.IntN(2) == 0 {
				world.KillCore(restarted, true)
				pause(300)
				world.StartCore(restarted)
				pause(300)
			}
			world.WipeCore(wiped)
			pause(800)
			world.StartCore(wiped)
			if !world.Until(8*time.Second, func() bool { return world.PutRouting(1, 0) == nil }) {
				world.reportViolation("%d cores, disk of core %d lost: no order is taken within 8 s", cores, wiped)
			}
			for index := range world.Cores {
				if !world.Until(15*time.Second, func() bool { return world.Cores[index].Core.CanVote() }) {
					world.reportViolation("%d cores, disk of core %d lost: core %d does not vote within 15 s", cores, wiped, index)
				}
			}
			if memberships := world.storedMemberships(); len(memberships) != 1 {
				world.reportViolation("cores store differing memberships: %v", memberships)
			}
			world.reportFailures(test)
			world.CloseRegional()
		}
	})
}
