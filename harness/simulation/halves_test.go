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

// halves is a deployment whose cores are cut into two groups. Operators and daemons reach
// both.
type halves struct {
	*World
	random       *rand.Rand
	acknowledged atomic.Uint64 // the newest version
	reads        atomic.Int64  // that were answered
	refused      atomic.Int64
}

// cut cuts the cores into those of a group and the others, or joins them.
func (halves *halves) cut(group map[int]bool, cut bool) {
	machines := halves.machines()
	for left := range machines {
		for right := range left {
			if group[left] != group[right] {
				halves.Net.Cut(machines[left].Host, machines[right].Host, cut)
			}
		}
	}
}

// readAt reads the configuration at one core's entry point: the newest that was acknowledged
// before the question, a newer one, or no clear answer.
func (halves *halves) readAt(forwarder *agent.Forwarder) {
	wanted := halves.acknowledged.Load()
	response, err := agent.Forward(forwarder, message.MethodRoutingRead, &message.RoutingReadRequest{})
	if err != nil {
		halves.refused.Add(1)
		return
	}
	halves.reads.Add(1)
	state, err := routing.DecodeState(response.Body)
	if err != nil || state.Config.Version < wanted {
		halves.reportViolation("read %d (%v), %d was acknowledged before", state.Config.Version, err, wanted)
	}
}

// order sends routings one after the other, by any core's entry point, until a time.
func (halves *halves) order(until time.Time) {
	random := rand.New(rand.NewPCG(halves.Seed, 103))
	for time.Now().Before(until) {
		if holds := halves.forwarders(); len(holds) > 0 {
			version := halves.acknowledged.Load()
			hold := holds[random.IntN(len(holds))]
			if _, err := agent.Forward(hold, message.MethodRoutingChange, NewRoutingChange(version+1, version)); err == nil {
				halves.acknowledged.Store(version + 1)
			}
		}
		halves.Sleep(100 * time.Millisecond)
	}
}

// The cores are cut into halves at any moment, at times one-sided losses of power overlap,
// while orders and reads come to every core. No read is older than what was acknowledged
// before it, no order is lost, and both go on once the cut is healed.
func TestReadsInHalvesAreNewestOrRefused(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			halves := &halves{World: NewRegionalWorld(seed, cores), random: rand.New(rand.NewPCG(seed, 101))}
			halves.farUp(test, 3)
			halves.acknowledged.Store(1)
			end := time.Now().Add(40 * time.Second)
			halves.goroutines.Start(func() { halves.order(end) })
			for index := range halves.Cores {
				halves.goroutines.Start(func() {
					for time.Now().Before(end) {
						if hold := halves.machine(index).runningForwarder(halves.World); hold != nil {
							halves.readAt(hold)
						}
						halves.Sleep(70 * time.Millisecond)
					}
				})
			}
			for time.Now().Before(end.Add(-10 * time.Second)) {
				group := map[int]bool{}
				for _, index := range halves.random.Perm(cores)[:cores/2] {
					group[index] = true
				}
				halves.cut(group, true)
				lost := halves.random.IntN(2 * cores)
				if lost < cores {
					halves.KillCore(lost, true)
				}
				halves.Sleep(time.Duration(200+halves.random.IntN(4000)) * time.Millisecond)
				halves.cut(group, false)
				halves.startAll()
				halves.Sleep(time.Duration(200+halves.random.IntN(3000)) * time.Millisecond)
			}
			halves.Sleep(time.Until(end) + 2*time.Second)
			halves.calm(test)
			wanted := halves.acknowledged.Load()
			if state, err := halves.ReadRouting(); err != nil || state.Config.Version < wanted {
				halves.reportViolation("%d cores: read back %+v %v, %d was acknowledged", cores, state, err, wanted)
			}
			if wanted < 20 || halves.reads.Load() < 100 || halves.refused.Load() < 5 {
				halves.reportViolation(
					"%d cores: %d orders, %d reads, %d refused: too few to tell",
					cores,
					wanted,
					halves.reads.Load(),
					halves.refused.Load(),
				)
			}
			test.Logf("%d cores: %d orders, %d reads, %d refused", cores, wanted, halves.reads.Load(), halves.refused.Load())
			halves.report(test)
			halves.CloseRegional()
		}
	})
}
