package simulation

import (
	"slices"
	"testing"
	"time"
)

// The limits of the time without a leader: median and maximum.
const (
	medianLeaderless = 1500 * time.Millisecond
	worstLeaderless  = 1700 * time.Millisecond
)

// electionTime returns how long there is no leader after the leader loses power.
func (world *World) electionTime(test *testing.T) time.Duration {
	leader := world.waitStable(test)
	machine := world.Cores[leader]
	begin, before := time.Now(), world.leadershipCount()
	world.stopProcess(machine, true, func(host string) { world.Net.Blackhole(host, true) })
	world.Net.Blackhole(machine.Host, true)
	if !world.Until(20*time.Second, func() bool { return world.leadershipCount() > before && world.Leader() >= 0 }) {
		world.reportViolation("no leader within 20 s")
	}
	took := time.Since(begin)
	world.Net.Blackhole(machine.Host, false)
	world.startMachine(machine)
	return took
}

// Guards against duelling candidates: the leader's machine vanishes, so that calls to it hang,
// and the others become candidates at nearly the same time. One gives way, and the next
// leader is elected soon.
func TestCandidatesGiveWayWhileACoreHangs(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			world := NewRegionalWorld(seed, cores)
			world.startRegional(test, 0)
			spans := []time.Duration{}
			for range 12 {
				spans = append(spans, world.electionTime(test))
				world.Sleep(2 * time.Second)
			}
			slices.Sort(spans)
			median, worst := spans[len(spans)/2], spans[len(spans)-1]
			test.Logf("%d cores: without a leader for a median of %v, at most %v", cores, median, worst)
			if median > medianLeaderless || worst > worstLeaderless {
				world.reportViolation("%d cores: too long without a leader: %v", cores, spans)
			}
			world.reportFailures(test)
			world.CloseRegional()
		}
	})
}
