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

// listTrouble is what becomes of the platform's list after a total loss of power.
type listTrouble string

const (
	listSound  listTrouble = "list sound"
	listBusy   listTrouble = "list puts off"
	listSilent listTrouble = "list silent"
	listFaulty listTrouble = "list refuses"
)

// totalLoss is a deployment whose machines all lose power soon after an order.
type totalLoss struct {
	*World
	random  *rand.Rand
	version atomic.Uint64 // acknowledged
	list    atomic.Pointer[listState]
}

// listState is a trouble of the list, and when it begins and ends.
type listState struct {
	trouble     listTrouble
	from, until time.Time
}

func newTotalLoss(test *testing.T, seed uint64, cores int) *totalLoss {
	test.Helper()
	loss := &totalLoss{World: NewRegionalWorld(seed, cores), random: rand.New(rand.NewPCG(seed, 97))}
	loss.version.Store(1)
	loss.list.Store(&listState{trouble: listSound})
	loss.ListBackends = loss.listed
	loss.farUp(test, 6)
	return loss
}

// listed is the platform's list, or what its trouble makes of it.
func (loss *totalLoss) listed(discovery.PageRequest) discovery.Page {
	state := loss.list.Load()
	if time.Now().After(state.from) && time.Now().Before(state.until) {
		switch state.trouble {
		case listBusy:
			return discovery.Page{Err: errors.New("too many calls"), RetryAfter: 300 * time.Millisecond}
		case listSilent:
			loss.Sleep(2 * time.Second)
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

// powerOffAll takes the power of every machine at the same moment.
func (loss *totalLoss) powerOffAll() {
	for _, machine := range loss.machines() {
		loss.stopProcess(machine, true, func(host string) { loss.Net.Blackhole(host, true) })
		loss.Net.Blackhole(machine.Host, true)
	}
	for _, one := range loss.Members {
		loss.PowerOffMember(one)
	}
}

// returnAll starts all machines in any order within a time.
func (loss *totalLoss) returnAll(within time.Duration) {
	starts := []func(){}
	for _, machine := range loss.machines() {
		starts = append(starts, func() {
			loss.Net.Blackhole(machine.Host, false)
			loss.startMachine(machine)
		})
	}
	for _, one := range loss.Members {
		starts = append(starts, func() { loss.StartMember(one) })
	}
	loss.random.Shuffle(len(starts), func(left, right int) { starts[left], starts[right] = starts[right], starts[left] })
	for _, start := range starts {
		start()
		loss.Sleep(loss.span(0, 2*within/time.Duration(len(starts))))
	}
}

// orderNext sends the next routing until it is acknowledged or the time is over, and
// reports that it was.
func (loss *totalLoss) orderNext(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); loss.Sleep(orderRest) {
		if len(loss.forwarders()) == 0 {
			continue
		}
		version := loss.version.Load()
		if err := loss.PutRouting(version+1, version); err == nil {
			loss.version.Store(version + 1)
			return true
		}
	}
	return false
}

// judgeInForce wants an acknowledged version in force at all members, unless nobody has a
// list of backends yet: what one of them knows, the leader tells the others.
func (loss *totalLoss) judgeInForce(what string, wanted uint64) {
	serving := 0
	for _, one := range loss.Members {
		inForce := one.inForce.Load()
		if inForce > 0 {
			serving++
		}
		if inForce > 0 && inForce < wanted {
			version := one.Daemon.Version()
			loss.reportViolation(
				"%s: %s serves by %d, %d was acknowledged; it holds routing %d, table %v, complete %v",
				what, one.Name, inForce, wanted, version.RoutingSerial, version.Table.Version, version.Table.Complete,
			)
		}
	}
	if serving > 0 && serving < len(loss.Members) {
		loss.reportViolation("%s: %d of %d members know the backends", what, serving, len(loss.Members))
	}
}

// All machines lose power 5 to 400 ms after an order was sent and come back in any order,
// at times while the platform's list cannot be read. Every daemon in touch serves by the
// acknowledged version in time, whatever it began with.
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
				loss.Sleep(loss.span(5*time.Millisecond, 400*time.Millisecond))
				loss.powerOffAll()
				loss.Sleep(loss.span(400*time.Millisecond, 1500*time.Millisecond))
				from := time.Now().Add(loss.span(0, 800*time.Millisecond))
				until := from.Add(loss.span(time.Second, 20*time.Second))
				loss.list.Store(&listState{trouble: trouble, from: from, until: until})
				loss.returnAll(300 * time.Millisecond)
				back := time.Now()
				wanted := uint64(round) + 2
				if !loss.Until(20*time.Second, func() bool { return loss.version.Load() >= wanted }) {
					loss.reportViolation("%s, round %d: %d is not acknowledged", trouble, round, wanted)
				}
				latest := back.Add(contactSpan)
				if now := time.Now(); now.After(latest) {
					latest = now
				}
				loss.Sleep(time.Until(latest.Add(inForceSpan)))
				loss.judgeInForce(fmt.Sprintf("%s, round %d", trouble, round), wanted)
				loss.Sleep(time.Until(until.Add(contactSpan + inForceSpan)))
				for _, one := range loss.Members {
					if inForce := one.inForce.Load(); inForce != wanted {
						loss.reportViolation(
							"%s, round %d: in calm %s serves by %d, %d was acknowledged",
							trouble,
							round,
							one.Name,
							inForce,
							wanted,
						)
					}
				}
			}
			loss.report(test)
			loss.CloseRegional()
		}
	})
}

// All machines lose power at the same moment, daemons too, and as many cores lose their
// disks as a quorum outlives: no process remembers anything. What was acknowledged is read
// back and in force, an order sent again is known, and terms and IDs go on.
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
				test.Fatal("no acknowledgement in calm")
			}
			acknowledged := loss.version.Load()
			if round%2 == 1 {
				loss.goroutines.Start(func() { loss.orderNext(time.Second) })
				loss.Sleep(loss.span(5*time.Millisecond, 400*time.Millisecond))
			}
			loss.powerOffAll()
			for offset := range len(loss.Cores) / 2 {
				loss.WipeCore((int(seed) + round + offset) % len(loss.Cores))
			}
			loss.Sleep(loss.span(400*time.Millisecond, 1500*time.Millisecond))
			loss.returnAll(300 * time.Millisecond)
			loss.calm(test)
			loss.judgeBook(fmt.Sprint("round ", round), acknowledged, zones)
			loss.Sleep(contactSpan + inForceSpan)
			loss.judgeInForce(fmt.Sprint("round ", round), acknowledged)
		}
		loss.report(test)
		loss.CloseRegional()
	})
}

// judgeBook wants what was acknowledged in the confirmed routing, and the newest order
// acknowledged again when it is sent again. It goes on from what is in force.
func (loss *totalLoss) judgeBook(what string, acknowledged uint64, zones []string) {
	state, err := loss.ReadRouting()
	if err != nil {
		loss.reportViolation("%s: no read back: %v", what, err)
		return
	}
	if state.Config.Version < acknowledged {
		loss.reportViolation("%s: %d was acknowledged, %d read back", what, acknowledged, state.Config.Version)
	}
	for _, zone := range zones {
		if !slices.Contains(state.Evacuated, zone) {
			loss.reportViolation("%s: the evacuation of %s is lost", what, zone)
		}
	}
	if err := loss.PutRouting(acknowledged, acknowledged-1); err != nil {
		loss.reportViolation("%s: %d sent again: %v", what, acknowledged, err)
	}
	loss.version.Store(state.Config.Version)
}
