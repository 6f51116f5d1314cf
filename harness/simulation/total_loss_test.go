package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"orchidjunction/discovery"
	"orchidjunction/message"
)

// listFault is how reads of the platform's list fail after a total power loss.
type listTrouble string

const (
	listSound  listTrouble = "list available"
	listBusy   listTrouble = "list rate-limited"
	listSilent listTrouble = "list times out"
	listFaulty listTrouble = "list unavailable"
)

// totalLoss is a deployment whose machines all lose power shortly after an order.
type totalLoss struct {
	*World
	random  *rand.Rand
	version atomic.Uint64 // newest acknowledged
	list    atomic.Pointer[listState]
}

// listState is a fault of the list with its start and end.
type listState struct {
	trouble     listTrouble
	from, until time.Time
}

func newTotalLoss(test *testing.T, seed uint64, cores int) *totalLoss {
	test.Helper()
	loss := &totalLoss{World: NewFarWorld(seed, cores), random: rand.New(rand.NewPCG(seed, 97))}
	loss.version.Store(1)
	loss.list.Store(&listState{trouble: listSound})
	loss.Listed = loss.listed
	loss.farUp(test, 6)
	return loss
}

// listed returns the platform's list, or an error according to the current fault.
func (loss *totalLoss) listed(discovery.PageRequest) discovery.Page {
	state := loss.list.Load()
	if time.Now().After(state.from) && time.Now().Before(state.until) {
		switch state.trouble {
		case listBusy:
			return discovery.Page{Err: errors.New("too many calls"), RetryAfter: 300 * time.Millisecond}
		case listSilent:
			loss.Rest(2 * time.Second)
			return discovery.Page{Err: errors.New("no answer")}
		case listFaulty:
			return discovery.Page{Err: errors.New("unavailable")}
		}
	}
	backends := []message.Backend{}
	for index := range 5 {
		backends = append(backends, message.Backend{Name: fmt.Sprint("b", index), Service: "desk", Address: "10.9.9.9:80", Capacity: 4})
	}
	return discovery.Page{Backends: backends}
}

func (loss *totalLoss) span(least, most time.Duration) time.Duration {
	return least + time.Duration(loss.random.Int64N(int64(most-least)))
}

// powerOffAll cuts the power of all machines at the same moment.
func (loss *totalLoss) powerOffAll() {
	for _, machine := range loss.machines() {
		loss.end(machine, true, func(host string) { loss.Net.Vanish(host, true) })
		loss.Net.Vanish(machine.Host, true)
	}
	for _, one := range loss.Members {
		loss.PowerOffMember(one)
	}
}

// startShuffled starts all machines in random order, within the given time on average.
func (loss *totalLoss) returnAll(within time.Duration) {
	starts := []func(){}
	for _, machine := range loss.machines() {
		starts = append(starts, func() {
			loss.Net.Vanish(machine.Host, false)
			loss.start(machine)
		})
	}
	for _, one := range loss.Members {
		starts = append(starts, func() { loss.StartMember(one) })
	}
	loss.random.Shuffle(len(starts), func(left, right int) { starts[left], starts[right] = starts[right], starts[left] })
	for _, start := range starts {
		start()
		loss.Rest(loss.span(0, 2*within/time.Duration(len(starts))))
	}
}

// orderNext sends the next routing until it is acknowledged or the limit has passed, and
// reports whether it was acknowledged.
func (loss *totalLoss) orderNext(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); loss.Rest(orderRest) {
		if len(loss.holds()) == 0 {
			continue
		}
		version := loss.version.Load()
		if err := loss.Put(version+1, version); err == nil {
			loss.version.Store(version + 1)
			return true
		}
	}
	return false
}

// checkInForce checks that an acknowledged version is in force at all members, unless none has
// a list of backends yet: the leader distributes the list that one member knows to the others.
func (loss *totalLoss) judgeInForce(what string, wanted uint64) {
	serving := 0
	for _, one := range loss.Members {
		inForce := one.inForce.Load()
		if inForce > 0 {
			serving++
		}
		if inForce > 0 && inForce < wanted {
			version := one.Daemon.Version()
			loss.broke(
				"%s: %s serves with version %d, %d was acknowledged; routing serial %d, table %v, complete %v",
				what, one.Name, inForce, wanted, version.RoutingSerial, version.Table.Version, version.Table.Complete,
			)
		}
	}
	if serving > 0 && serving < len(loss.Members) {
		loss.broke("%s: only %d of %d members know the backends", what, serving, len(loss.Members))
	}
}

// All machines lose power 5 to 400 ms after an order was sent and restart in random order, in
// some cases while the platform's list cannot be read. Every connected member serves with the
// acknowledged version in time, whatever state it started from.
func TestAcknowledgedIsInForceAfterTotalLoss(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, trouble := range []listTrouble{listSound, listBusy, listSilent, listFaulty} {
			loss := newTotalLoss(test, seed, 3+2*int(seed%2))
			for round := range 3 {
				loss.calm(test)
				if seed%2 == 1 && round == 0 {
					loss.ReplaceCore(int(seed)%len(loss.Cores), time.Second)
					loss.calm(test)
				}
				loss.goroutines.Start(func() { loss.orderNext(30 * time.Second) })
				loss.Rest(loss.span(5*time.Millisecond, 400*time.Millisecond))
				loss.powerOffAll()
				loss.Rest(loss.span(400*time.Millisecond, 1500*time.Millisecond))
				from := time.Now().Add(loss.span(0, 800*time.Millisecond))
				until := from.Add(loss.span(time.Second, 20*time.Second))
				loss.list.Store(&listState{trouble: trouble, from: from, until: until})
				loss.returnAll(300 * time.Millisecond)
				back := time.Now()
				wanted := uint64(round) + 2
				if !loss.Until(20*time.Second, func() bool { return loss.version.Load() >= wanted }) {
					loss.broke("%s, round %d: version %d was not acknowledged within 20 s", trouble, round, wanted)
				}
				latest := back.Add(contactSpan)
				if now := time.Now(); now.After(latest) {
					latest = now
				}
				loss.Rest(time.Until(latest.Add(inForceSpan)))
				loss.judgeInForce(fmt.Sprintf("%s, round %d", trouble, round), wanted)
				loss.Rest(time.Until(until.Add(contactSpan + inForceSpan)))
				for _, one := range loss.Members {
					if inForce := one.inForce.Load(); inForce != wanted {
						loss.broke("%s, round %d: after recovery %s serves with version %d, %d was acknowledged", trouble, round, one.Name, inForce, wanted)
					}
				}
			}
			loss.report(test)
			loss.CloseFar()
		}
	})
}

// All machines, members included, lose power at the same moment, and as many cores as a quorum
// tolerates lose their disks, so that nothing is left in memory. Acknowledged orders are read
// back and in force, a resent order is recognized, and terms and IDs continue.
func TestAcknowledgedOutlivesPowerAndDisks(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		loss := newTotalLoss(test, seed, 3+2*int(seed%2))
		zones := []string{}
		for round := range 4 {
			loss.calm(test)
			zone := fmt.Sprint("z", round)
			if err := loss.Evacuate(zone, true); err != nil {
				test.Fatal(err)
			}
			zones = append(zones, zone)
			if !loss.orderNext(calmLimit) {
				test.Fatal("order not acknowledged by a stable quorum")
			}
			acknowledged := loss.version.Load()
			if round%2 == 1 {
				loss.goroutines.Start(func() { loss.orderNext(time.Second) })
				loss.Rest(loss.span(5*time.Millisecond, 400*time.Millisecond))
			}
			loss.powerOffAll()
			for offset := range len(loss.Cores) / 2 {
				loss.WipeCore((int(seed) + round + offset) % len(loss.Cores))
			}
			loss.Rest(loss.span(400*time.Millisecond, 1500*time.Millisecond))
			loss.returnAll(300 * time.Millisecond)
			loss.calm(test)
			loss.judgeBook(fmt.Sprint("round ", round), acknowledged, zones)
			loss.Rest(contactSpan + inForceSpan)
			loss.judgeInForce(fmt.Sprint("round ", round), acknowledged)
		}
		loss.report(test)
		loss.CloseFar()
	})
}

// checkReadBack checks that the confirmed routing has what was acknowledged, and that the
// newest order is acknowledged again when resent. Later orders build on what was read.
func (loss *totalLoss) judgeBook(what string, acknowledged uint64, zones []string) {
	state, err := loss.Book()
	if err != nil {
		loss.broke("%s: cannot read the routing back: %v", what, err)
		return
	}
	if state.Config.Version < acknowledged {
		loss.broke("%s: version %d was acknowledged, %d read back", what, acknowledged, state.Config.Version)
	}
	for _, zone := range zones {
		if !slices.Contains(state.Evacuated, zone) {
			loss.broke("%s: the acknowledged evacuation of %s is lost", what, zone)
		}
	}
	if err := loss.Put(acknowledged, acknowledged-1); err != nil {
		loss.broke("%s: version %d resent: %v", what, acknowledged, err)
	}
	loss.version.Store(state.Config.Version)
}
