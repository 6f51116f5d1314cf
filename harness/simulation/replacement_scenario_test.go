package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"orchidjunction/agent"
	"orchidjunction/message"
	"orchidjunction/replica"
	"orchidjunction/rpc"
)

const (
	syncSpan           = 4 * time.Second
	replacementDelay   = time.Second
	orderLimit         = 8 * time.Second
	votersLimit        = 15 * time.Second
	orderRetryInterval = 100 * time.Millisecond
	evacuatedZone      = "z-kept"
)

// replacementScenario is a regional world whose cores are replaced while an operator orders a
// sequence of routings.
type replacementScenario struct {
	*World
	test          *testing.T
	name          string
	random        *rand.Rand
	newestVersion uint64
	orderCount    int
}

// newScenario starts a scenario with one zone evacuated and one routing ordered.
func newScenario(test *testing.T, seed uint64, cores, members int, name string) *replacementScenario {
	test.Helper()
	scenario := &replacementScenario{
		World:         NewRegionalWorld(seed, cores),
		test:          test,
		name:          fmt.Sprintf("%d cores, %s", cores, name),
		random:        rand.New(rand.NewPCG(seed, 53)),
		newestVersion: 1,
	}
	scenario.startRegional(test, members)
	scenario.waitStable(test)
	if err := scenario.Evacuate(evacuatedZone, true); err != nil {
		test.Fatal(scenario.name, err)
	}
	scenario.mustOrder("initial state")
	return scenario
}

// end reports violations and closes the world.
func (scenario *replacementScenario) end() {
	scenario.test.Helper()
	scenario.reportFailures(scenario.test)
	scenario.CloseRegional()
}

func (scenario *replacementScenario) reportViolation(format string, values ...any) {
	scenario.World.reportViolation("%s: %s", scenario.name, fmt.Sprintf(format, values...))
}

// randomDuration returns a duration between least and most, drawn by the seed.
func (scenario *replacementScenario) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(scenario.random.Int64N(int64(most-least)))
}

func (scenario *replacementScenario) restUntil(at time.Time) { scenario.Sleep(time.Until(at)) }

// order sends one routing through all running cores in turn until it is acknowledged. For one in
// three orders the first answer is lost on its way to the operator, who resends it.
func (scenario *replacementScenario) order(limit time.Duration) bool {
	random := rand.New(rand.NewPCG(scenario.Seed, scenario.newestVersion))
	lost := random.IntN(3) == 0
	for until, try := time.Now().Add(limit), random.IntN(9); time.Now().Before(until); try++ {
		forwarders := scenario.forwarders()
		if len(forwarders) == 0 {
			scenario.Sleep(orderRetryInterval)
			continue
		}
		_, err := agent.Forward(
			forwarders[try%len(forwarders)],
			message.MethodRoutingChange,
			NewRoutingChange(scenario.newestVersion+1, scenario.newestVersion),
		)
		switch {
		case err == nil && lost:
			lost = false
			continue
		case err == nil:
			scenario.newestVersion++
			scenario.orderCount++
			return true
		case rpc.AsError(err).RetryAfterMs == 0:
			scenario.reportViolation("version %d on base %d refused: %v", scenario.newestVersion+1, scenario.newestVersion, err)
			return false
		}
		scenario.Sleep(orderRetryInterval)
	}
	return false
}

// mustOrder sends an order that must be acknowledged, as a quorum is available.
func (scenario *replacementScenario) mustOrder(phase string) {
	if begin := time.Now(); !scenario.order(orderLimit) {
		scenario.reportViolation("%s: order not acknowledged within %v", phase, time.Since(begin))
	}
}

// checkAcknowledged checks that everything acknowledged is stored and in force at all members,
// and that a new order is acknowledged.
func (scenario *replacementScenario) checkAcknowledged(phase string) {
	scenario.mustOrder(phase)
	state, err := scenario.ReadRouting()
	switch {
	case err != nil:
		scenario.reportViolation("%s: cannot read the routing back: %v", phase, err)
	case state.Config.Version != scenario.newestVersion:
		scenario.reportViolation("%s: version %d was acknowledged, %d read back", phase, scenario.newestVersion, state.Config.Version)
	case !slices.Contains(state.Evacuated, evacuatedZone):
		scenario.reportViolation("%s: the acknowledged evacuation of %s is lost", phase, evacuatedZone)
	}
	if took, reached := scenario.waitRouting(scenario.newestVersion, settleTime+propagationLimit); !reached {
		scenario.reportViolation(
			"%s: members serve with versions %v after %v, %d was acknowledged",
			phase,
			scenario.servingVersions(),
			took,
			scenario.newestVersion,
		)
	} else if took > propagationLimit/2 {
		scenario.test.Logf("%s: %s: version %d in force after %v", scenario.name, phase, scenario.newestVersion, took)
	}
}

// servingVersions returns the version that each member serves with.
func (scenario *replacementScenario) servingVersions() []uint64 {
	held := []uint64{}
	for _, member := range scenario.Members {
		held = append(held, member.servingVersion())
	}
	return held
}

// voterAddresses returns the addresses of the voters on a disk, those of both memberships
// during a change.
func voterAddresses(disk *Disk) []string {
	store, err := replica.OpenStore(disk.Copy())
	if err != nil {
		return nil
	}
	membership := store.State().Membership()
	if membership == nil {
		return nil
	}
	addresses := peerAddresses(append(slices.Clone(membership.Voters), membership.Next...))
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// checkVoters waits until exactly these machines are voters on all of their disks, and vote.
func (scenario *replacementScenario) checkVoters(phase string, machines []*Core) {
	wanted := internalAddresses(machines)
	slices.Sort(wanted)
	agreed := func() bool {
		for _, machine := range machines {
			core := machine.running(scenario.World)
			if core == nil || !core.CanVote() || !slices.Equal(voterAddresses(machine.Disk), wanted) {
				return false
			}
		}
		return true
	}
	if scenario.Until(votersLimit, agreed) {
		return
	}
	for _, machine := range machines {
		core := machine.running(scenario.World)
		scenario.reportViolation(
			"%s: %s votes %v, voters on its disk %v, want %v",
			phase,
			machine.Host,
			core != nil && core.CanVote(),
			voterAddresses(machine.Disk),
			wanted,
		)
	}
}

// checkRecovered is checkAcknowledged and checkVoters for all machines of the deployment.
func (scenario *replacementScenario) checkRecovered(phase string) {
	scenario.checkAcknowledged(phase)
	scenario.checkVoters(phase, scenario.machines())
	scenario.checkAcknowledged(phase + ", all voting")
}

// checkSurvivesLoss loses the given cores permanently and checks that the others still have
// everything.
func (scenario *replacementScenario) checkSurvivesLoss(phase string, indexes ...int) {
	for _, index := range indexes {
		scenario.LoseCore(index)
	}
	scenario.checkAcknowledged(fmt.Sprintf("%s, then cores %v lost", phase, indexes))
}

// leader waits for a leader and returns its index.
func (scenario *replacementScenario) leader() int {
	if !scenario.Until(orderLimit, func() bool { return scenario.Leader() >= 0 }) {
		scenario.reportViolation("no leader within 8 s")
		return 0
	}
	return scenario.Leader()
}

// indexAfter returns the index offset places after another, cyclically.
func (scenario *replacementScenario) indexAfter(index, offset int) int {
	return (index + offset) % len(scenario.Cores)
}

// concurrently runs do concurrently; wait blocks until it has returned, for up to a minute.
func (scenario *replacementScenario) concurrently(do func()) (wait func()) {
	done := atomic.Bool{}
	scenario.goroutines.Start(func() {
		do()
		done.Store(true)
	})
	return func() {
		if !scenario.Until(time.Minute, done.Load) {
			scenario.reportViolation("a concurrent step did not end within a minute")
		}
	}
}
