package simulation

import (
	"slices"
	"testing"
	"time"
)

// The bounds of the time without a leader: half of all cases, and the worst.
const (
	middleLeaderless = 1500 * time.Millisecond
	worstLeaderless  = 1700 * time.Millisecond
)

// leaderless is how long nobody leads after the power of the leader is gone.
func (world *World) leaderless(test *testing.T) time.Duration {
	leader := world.calm(test)
	machine := world.Cores[leader]
	begin, before := time.Now(), world.leads()
	world.stopProcess(machine, true, func(host string) { world.Net.Blackhole(host, true) })
	world.Net.Blackhole(machine.Host, true)
	if !world.Until(20*time.Second, func() bool { return world.leads() > before && world.Leader() >= 0 }) {
		world.reportViolation("nobody leads")
	}
	took := time.Since(begin)
	world.Net.Blackhole(machine.Host, false)
	world.startMachine(machine)
	return took
}

// The leader's machine falls silent, so that every question to it hangs, and the others
// stand at nearly the same time: one gives way, and the next leader is there soon.
func TestCandidatesGiveWayWhileACoreHangs(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			world := NewRegionalWorld(seed, cores)
			world.farUp(test, 0)
			spans := []time.Duration{}
			for range 12 {
				spans = append(spans, world.leaderless(test))
				world.Sleep(2 * time.Second)
			}
			slices.Sort(spans)
			middle, worst := spans[len(spans)/2], spans[len(spans)-1]
			test.Logf("%d cores: without a leader for %v, at most %v", cores, middle, worst)
			if middle > middleLeaderless || worst > worstLeaderless {
				world.reportViolation("%d cores: without a leader for %v", cores, spans)
			}
			world.report(test)
			world.CloseRegional()
		}
	})
}
