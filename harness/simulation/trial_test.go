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
	syncSpan     = 4 * time.Second
	newcomerGap  = time.Second
	calmLimit    = 8 * time.Second
	seatsLimit   = 15 * time.Second
	orderRest    = 100 * time.Millisecond
	evacuatedOne = "z-kept"
)

// replacementScenario is a far world whose cores are replaced while an operator orders a
// sequence of routings.
type trial struct {
	*World
	test   *testing.T
	name   string
	random *rand.Rand
	newest uint64
	orders int
}

// newScenario starts a scenario with one zone evacuated and one routing ordered.
func newTrial(test *testing.T, seed uint64, cores, members int, name string) *trial {
	test.Helper()
	one := &trial{
		World:  NewFarWorld(seed, cores),
		test:   test,
		name:   fmt.Sprintf("%d cores, %s", cores, name),
		random: rand.New(rand.NewPCG(seed, 53)),
		newest: 1,
	}
	one.farUp(test, members)
	one.calm(test)
	if err := one.Evacuate(evacuatedOne, true); err != nil {
		test.Fatal(one.name, err)
	}
	one.mustOrder("initial state")
	return one
}

// end reports violations and closes the world.
func (one *trial) end() {
	one.test.Helper()
	one.report(one.test)
	one.CloseFar()
}

func (one *trial) broke(format string, values ...any) {
	one.World.broke("%s: %s", one.name, fmt.Sprintf(format, values...))
}

// randomDuration returns a duration between least and most, drawn by the seed.
func (one *trial) span(least, most time.Duration) time.Duration {
	return least + time.Duration(one.random.Int64N(int64(most-least)))
}

func (one *trial) restUntil(at time.Time) { one.Rest(time.Until(at)) }

// order sends one routing through all daemons in turn until it is acknowledged. For every third
// order the first answer is lost on its way to the operator, who resends it.
func (one *trial) order(limit time.Duration) bool {
	random := rand.New(rand.NewPCG(one.Seed, one.newest))
	lost := random.IntN(3) == 0
	for until, try := time.Now().Add(limit), random.IntN(9); time.Now().Before(until); try++ {
		holds := one.holds()
		if len(holds) == 0 {
			one.Rest(orderRest)
			continue
		}
		_, err := agent.Forward(holds[try%len(holds)], message.MethodRoutingChange, WholeChange(one.newest+1, one.newest))
		switch {
		case err == nil && lost:
			lost = false
			continue
		case err == nil:
			one.newest++
			one.orders++
			return true
		case rpc.AsError(err).RetryAfterMs == 0:
			one.broke("version %d on base %d refused: %v", one.newest+1, one.newest, err)
			return false
		}
		one.Rest(orderRest)
	}
	return false
}

// mustOrder sends an order that must be acknowledged, as a quorum is available.
func (one *trial) mustOrder(what string) {
	if begin := time.Now(); !one.order(calmLimit) {
		one.broke("%s: order not acknowledged within %v", what, time.Since(begin))
	}
}

// checkAcknowledged checks that everything acknowledged is stored and in force at all members,
// and that a new order is acknowledged.
func (one *trial) keepsAll(what string) {
	one.mustOrder(what)
	state, err := one.Book()
	switch {
	case err != nil:
		one.broke("%s: cannot read the routing back: %v", what, err)
	case state.Config.Version != one.newest:
		one.broke("%s: version %d was acknowledged, %d read back", what, one.newest, state.Config.Version)
	case !slices.Contains(state.Evacuated, evacuatedOne):
		one.broke("%s: the acknowledged evacuation of %s is lost", what, evacuatedOne)
	}
	if took, whole := one.reached(one.newest, contactSpan+inForceSpan); !whole {
		one.broke("%s: members serve with versions %v after %v, %d was acknowledged", what, one.routings(), took, one.newest)
	} else if took > inForceSpan/2 {
		one.test.Logf("%s: %s: version %d in force after %v", one.name, what, one.newest, took)
	}
}

// servingVersions returns the version that each member serves with.
func (one *trial) routings() []uint64 {
	held := []uint64{}
	for _, member := range one.Members {
		held = append(held, member.serves())
	}
	return held
}

// voterAddresses returns the addresses of the voters on a disk, those of both memberships
// during a change.
func seats(disk *Disk) []string {
	store, err := replica.OpenStore(disk.Copy())
	if err != nil {
		return nil
	}
	membership := store.State().Membership()
	if membership == nil {
		return nil
	}
	addresses := addressesOf(append(slices.Clone(membership.Voters), membership.Next...))
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// checkVoters waits until exactly these machines are voters on all of their disks, and vote.
func (one *trial) votes(what string, machines []*Core) {
	wanted := wires(machines)
	slices.Sort(wanted)
	agreed := func() bool {
		for _, machine := range machines {
			core := machine.life(one.World)
			if core == nil || !core.CanVote() || !slices.Equal(seats(machine.Disk), wanted) {
				return false
			}
		}
		return true
	}
	if one.Until(seatsLimit, agreed) {
		return
	}
	for _, machine := range machines {
		core := machine.life(one.World)
		one.broke(
			"%s: %s votes %v, voters on its disk %v, want %v",
			what,
			machine.Host,
			core != nil && core.CanVote(),
			seats(machine.Disk),
			wanted,
		)
	}
}

// checkRecovered is checkAcknowledged and checkVoters for all machines of the deployment.
func (one *trial) settled(what string) {
	one.keepsAll(what)
	one.votes(what, one.machines())
	one.keepsAll(what + ", all voting")
}

// checkSurvivesLoss loses the given cores permanently and checks that the others still have
// everything.
func (one *trial) survives(what string, indexes ...int) {
	for _, index := range indexes {
		one.LoseCore(index)
	}
	one.keepsAll(fmt.Sprintf("%s, then cores %v lost", what, indexes))
}

// leader waits for a leader and returns its index.
func (one *trial) leader() int {
	if !one.Until(calmLimit, func() bool { return one.Leader() >= 0 }) {
		one.broke("no leader within 8 s")
		return 0
	}
	return one.Leader()
}

// indexAfter returns the index offset places after another, cyclically.
func (one *trial) after(index, offset int) int { return (index + offset) % len(one.Cores) }

// concurrently runs do concurrently; wait blocks until it has returned, for up to a minute.
func (one *trial) meanwhile(do func()) (wait func()) {
	done := atomic.Bool{}
	one.goroutines.Start(func() {
		do()
		done.Store(true)
	})
	return func() {
		if !one.Until(time.Minute, done.Load) {
			one.broke("a concurrent step did not end within a minute")
		}
	}
}
