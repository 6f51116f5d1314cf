package simulation

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"orchidjunction/agent"
	"orchidjunction/message"
	"orchidjunction/routing"
)

// racer orders routings on top of what it reads, each by a number of its own.
type racer struct {
	world  *World
	mutex  sync.Mutex
	acked  map[uint64]uint64
	zones  map[string]bool
	unsure map[string]bool
	ended  int
}

// run orders until told to stop; an order without a clear answer is sent again
// unchanged, by another way.
func (racer *racer) run(number int, going func() bool) {
	world := racer.world
	random := rand.New(rand.NewPCG(world.Seed, uint64(100+number)))
	defer func() {
		racer.mutex.Lock()
		racer.ended++
		racer.mutex.Unlock()
	}()
	holds := func() []*agent.Forwarder {
		all := world.forwarders()
		for _, one := range world.Members {
			all = append(all, one.Daemon.Forwarder)
		}
		random.Shuffle(len(all), func(left, right int) { all[left], all[right] = all[right], all[left] })
		return all
	}
	zone := fmt.Sprint("z", number)
	for going() {
		world.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		if random.IntN(4) == 0 {
			begin := random.IntN(2) == 0
			_, err := world.evacuateThrough(holds(), zone, begin)
			racer.mutex.Lock()
			racer.zones[zone], racer.unsure[zone] = begin, err != nil
			racer.mutex.Unlock()
			continue
		}
		response, err := forward(world, holds(), message.MethodRoutingRead, &message.RoutingReadRequest{})
		if err != nil {
			continue
		}
		state, err := routing.DecodeState(response.Body)
		if err != nil {
			world.reportViolation("read back: %v", err)
			return
		}
		base := state.Config.Version
		racer.mutex.Lock()
		for version := range racer.acked {
			if version > base && racer.acked[version] < base {
				world.reportViolation("%d on %d was acknowledged, then %d read", version, racer.acked[version], base)
			}
		}
		racer.mutex.Unlock()
		version := base + 1 + uint64(random.IntN(3))*3 + uint64(number)
		if _, err := forward(world, holds(), message.MethodRoutingChange, NewRoutingChange(version, base)); err == nil {
			racer.mutex.Lock()
			racer.acked[version] = base
			racer.mutex.Unlock()
		}
	}
}

// Cores are harmed one after the other, and all at once, while operators race:
// what they were told lasts, no base is built on twice, and members follow.
func TestFarChaosKeepsWhatOperatorsWereTold(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3+2*int(seed%2))
		meters := newMeters(world)
		defer world.CloseRegional()
		world.farUp(test, 4)
		racers := &racer{world: world, acked: map[uint64]uint64{}, zones: map[string]bool{}, unsure: map[string]bool{}}
		stop := false
		going := func() bool {
			racers.mutex.Lock()
			defer racers.mutex.Unlock()
			return !stop
		}
		for number := range 3 {
			world.goroutines.Start(func() { racers.run(number, going) })
		}
		world.goroutines.Start(func() {
			for going() {
				for _, one := range world.Members {
					meters.begin(one)
				}
				world.Sleep(50 * time.Millisecond)
			}
		})
		faults := world.NewRandomFaults()
		for until := time.Now().Add(2 * chaosSpan()); time.Now().Before(until); {
			faults.Inject(CoreFaults[faults.random.IntN(len(CoreFaults))], faults.random.IntN(len(world.Cores)))
			world.Sleep(faults.randomSpan(100*time.Millisecond, 4*time.Second))
		}
		racers.mutex.Lock()
		stop = true
		racers.mutex.Unlock()
		if !world.Until(60*time.Second, func() bool { racers.mutex.Lock(); defer racers.mutex.Unlock(); return racers.ended == 3 }) {
			test.Fatal("operators have no answer")
		}
		state, err := world.ReadRouting()
		if err != nil {
			test.Fatal(err)
		}
		applied, bases := map[uint64]bool{}, map[uint64]uint64{}
		for _, one := range state.History.Entries() {
			applied[one.Version] = true
		}
		for version, base := range racers.acked {
			if !applied[version] {
				world.reportViolation("%d on %d was acknowledged and is not in the trail", version, base)
			}
			if other, found := bases[base]; found {
				world.reportViolation("%d and %d were both acknowledged on %d", other, version, base)
			}
			bases[base] = version
		}
		for zone, emptied := range racers.zones {
			held := false
			for _, one := range state.Evacuated {
				held = held || one == zone
			}
			if held != emptied && !racers.unsure[zone] {
				world.reportViolation("%s emptied %v, read back %v", zone, emptied, state.Evacuated)
			}
		}
		if took, whole := world.reached(state.Config.Version, 4*time.Second); !whole {
			world.reportViolation("routing %d is not everywhere after %v", state.Config.Version, took)
		}
		if len(racers.acked) < 15 {
			world.reportViolation("only %d routings were acknowledged", len(racers.acked))
		}
		if held := world.rosters(); len(held) != 1 {
			world.reportViolation("%v", held)
		}
		test.Logf(
			"%d acknowledged, %d leaderships, %d windows told, faults %v",
			len(racers.acked),
			len(world.Leaderships),
			meters.windowsTold(),
			faults.Injected,
		)
		world.report(test)
	})
}
