package simulation

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"orchidjunction/agent"
	"orchidjunction/message"
	"orchidjunction/routing"
)

// partitionedWorld is a deployment whose cores are partitioned into two groups. Operators and
// daemons reach both.
type partitionedWorld struct {
	*World
	random       *rand.Rand
	acknowledged atomic.Uint64 // newest version
	reads        atomic.Int64  // answered reads
	refused      atomic.Int64
}

// partition separates the cores of a group from the others, or rejoins them.
func (world *partitionedWorld) partition(group map[int]bool, cut bool) {
	machines := world.machines()
	for left := range machines {
		for right := range left {
			if group[left] != group[right] {
				world.Net.Cut(machines[left].Host, machines[right].Host, cut)
			}
		}
	}
}

// readAt reads the configuration at one core's entry point. The read must return at least the
// version that was acknowledged before it, or fail.
func (world *partitionedWorld) readAt(forwarder *agent.Forwarder) {
	wanted := world.acknowledged.Load()
	response, err := agent.Forward(forwarder, message.MethodRoutingRead, &message.RoutingReadRequest{})
	if err != nil {
		world.refused.Add(1)
		return
	}
	world.reads.Add(1)
	state, err := routing.DecodeState(response.Body)
	if err != nil || state.Config.Version < wanted {
		world.reportViolation("read version %d (%v), %d was acknowledged before the read", state.Config.Version, err, wanted)
	}
}

// sendChanges sends routings one after the other, through random cores' entry points, until a
// deadline.
func (world *partitionedWorld) sendChanges(until time.Time) {
	random := rand.New(rand.NewPCG(world.Seed, 103))
	for time.Now().Before(until) {
		if forwarders := world.forwarders(); len(forwarders) > 0 {
			version := world.acknowledged.Load()
			forwarder := forwarders[random.IntN(len(forwarders))]
			if _, err := agent.Forward(forwarder, message.MethodRoutingChange, NewRoutingChange(version+1, version)); err == nil {
				world.acknowledged.Store(version + 1)
			}
		}
		world.Sleep(100 * time.Millisecond)
	}
}

// The cores are partitioned into two groups at random times, and at times a core loses power
// meanwhile, while changes and reads reach every core. No read returns less than was
// acknowledged before it, no acknowledged change is lost, and both continue once the
// partition heals.
func TestReadsDuringPartitionAreNewestOrRefused(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			world := &partitionedWorld{World: NewRegionalWorld(seed, cores), random: rand.New(rand.NewPCG(seed, 101))}
			world.startRegional(test, 3)
			world.acknowledged.Store(1)
			end := time.Now().Add(40 * time.Second)
			world.goroutines.Start(func() { world.sendChanges(end) })
			for index := range world.Cores {
				world.goroutines.Start(func() {
					for time.Now().Before(end) {
						if forwarder := world.machine(index).runningForwarder(world.World); forwarder != nil {
							world.readAt(forwarder)
						}
						world.Sleep(70 * time.Millisecond)
					}
				})
			}
			for time.Now().Before(end.Add(-10 * time.Second)) {
				group := map[int]bool{}
				for _, index := range world.random.Perm(cores)[:cores/2] {
					group[index] = true
				}
				world.partition(group, true)
				lost := world.random.IntN(2 * cores)
				if lost < cores {
					world.KillCore(lost, true)
				}
				world.Sleep(time.Duration(200+world.random.IntN(4000)) * time.Millisecond)
				world.partition(group, false)
				world.startAll()
				world.Sleep(time.Duration(200+world.random.IntN(3000)) * time.Millisecond)
			}
			world.Sleep(time.Until(end) + 2*time.Second)
			world.waitStable(test)
			wanted := world.acknowledged.Load()
			if state, err := world.ReadRouting(); err != nil || state.Config.Version < wanted {
				world.reportViolation("%d cores: read %+v %v, version %d was acknowledged", cores, state, err, wanted)
			}
			if wanted < 20 || world.reads.Load() < 100 || world.refused.Load() < 5 {
				world.reportViolation(
					"%d cores: %d changes, %d reads, %d refused: too few for the test to be valid",
					cores,
					wanted,
					world.reads.Load(),
					world.refused.Load(),
				)
			}
			test.Logf("%d cores: %d changes, %d reads, %d refused", cores, wanted, world.reads.Load(), world.refused.Load())
			world.reportFailures(test)
			world.CloseRegional()
		}
	})
}
