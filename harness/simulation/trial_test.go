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

// trial is a far world whose cores are replaced while an operator orders one
// routing on top of the other.
type trial struct {
	*World
	test   *testing.T
	name   string
	random *rand.Rand
	newest uint64
	orders int
}

// newTrial is up, with one zone evacuated and one routing in force.
func newTrial(test *testing.T, seed uint64, cores, members int, name string) *trial {
	test.Helper()
	one := &trial{
		World:  NewRegionalWorld(seed, cores),
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
	one.mustOrder("at first")
	return one
}

// end reports what broke, and closes the world.
func (one *trial) end() {
	one.test.Helper()
	one.report(one.test)
	one.CloseRegional()
}

func (one *trial) reportViolation(format string, values ...any) {
	one.World.reportViolation("%s: %s", one.name, fmt.Sprintf(format, values...))
}

// span is a length of time by the seed.
func (one *trial) span(least, most time.Duration) time.Duration {
	return least + time.Duration(one.random.Int64N(int64(most-least)))
}

func (one *trial) restUntil(at time.Time) { one.Sleep(time.Until(at)) }

// order sends one routing by all doors in turn until it is acknowledged. Every
// third answer is lost on its way to the operator, who sends the same again.
func (one *trial) order(limit time.Duration) bool {
	random := rand.New(rand.NewPCG(one.Seed, one.newest))
	lost := random.IntN(3) == 0
	for until, try := time.Now().Add(limit), random.IntN(9); time.Now().Before(until); try++ {
		holds := one.forwarders()
		if len(holds) == 0 {
			one.Sleep(orderRest)
			continue
		}
		_, err := agent.Forward(holds[try%len(holds)], message.MethodRoutingChange, NewRoutingChange(one.newest+1, one.newest))
		switch {
		case err == nil && lost:
			lost = false
			continue
		case err == nil:
			one.newest++
			one.orders++
			return true
		case rpc.AsError(err).RetryAfterMs == 0:
			one.reportViolation("%d on %d is refused: %v", one.newest+1, one.newest, err)
			return false
		}
		one.Sleep(orderRest)
	}
	return false
}

// mustOrder is an order in calm.
func (one *trial) mustOrder(what string) {
	if begin := time.Now(); !one.order(calmLimit) {
		one.reportViolation("%s: no acknowledgement in %v of calm", what, time.Since(begin))
	}
}

// keepsAll is whether all that was acknowledged is there and known everywhere, and
// orders are acknowledged.
func (one *trial) keepsAll(what string) {
	one.mustOrder(what)
	state, err := one.ReadRouting()
	switch {
	case err != nil:
		one.reportViolation("%s: no read back: %v", what, err)
	case state.Config.Version != one.newest:
		one.reportViolation("%s: %d was acknowledged, %d read back", what, one.newest, state.Config.Version)
	case !slices.Contains(state.Evacuated, evacuatedOne):
		one.reportViolation("%s: the evacuation of %s is lost", what, evacuatedOne)
	}
	if took, whole := one.reached(one.newest, contactSpan+inForceSpan); !whole {
		one.reportViolation("%s: members hold %v after %v, %d was acknowledged", what, one.routings(), took, one.newest)
	} else if took > inForceSpan/2 {
		one.test.Logf("%s: %s: %d in force after %v", one.name, what, one.newest, took)
	}
}

func (one *trial) routings() []uint64 {
	held := []uint64{}
	for _, member := range one.Members {
		held = append(held, member.serves())
	}
	return held
}

// seats are the addresses of those that vote by what a disk holds, in a step between
// two groups those of both.
func seats(disk *Disk) []string {
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

// votes waits until exactly these machines have a seat by all of their disks, and
// use it.
func (one *trial) votes(what string, machines []*Core) {
	wanted := internalAddresses(machines)
	slices.Sort(wanted)
	agreed := func() bool {
		for _, machine := range machines {
			core := machine.running(one.World)
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
		core := machine.running(one.World)
		one.reportViolation(
			"%s: %s votes %v, its disk has the seats %v, want %v",
			what,
			machine.Host,
			core != nil && core.CanVote(),
			seats(machine.Disk),
			wanted,
		)
	}
}

// settled is keepsAll, with a vote for each machine of the deployment.
func (one *trial) settled(what string) {
	one.keepsAll(what)
	one.votes(what, one.machines())
	one.keepsAll(what + ", all vote")
}

// survives loses machines for good, of those that were there before the newcomers,
// and wants the rest to go on with everything.
func (one *trial) survives(what string, indexes ...int) {
	for _, index := range indexes {
		one.LoseCore(index)
	}
	one.keepsAll(fmt.Sprintf("%s, then cores %v are lost", what, indexes))
}

// leader is the index of the core that leads.
func (one *trial) leader() int {
	if !one.Until(calmLimit, func() bool { return one.Leader() >= 0 }) {
		one.reportViolation("no leader")
		return 0
	}
	return one.Leader()
}

// after is the index some places behind another.
func (one *trial) after(index, offset int) int { return (index + offset) % len(one.Cores) }

// meanwhile does something at the same time; wait is until that has ended.
func (one *trial) meanwhile(do func()) (wait func()) {
	done := atomic.Bool{}
	one.goroutines.Start(func() {
		do()
		done.Store(true)
	})
	return func() {
		if !one.Until(time.Minute, done.Load) {
			one.reportViolation("what went on meanwhile does not end")
		}
	}
}
