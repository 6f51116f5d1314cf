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
type listFault string

const (
	listHealthy     listFault = "list available"
	listRateLimited listFault = "list rate-limited"
	listTimeout     listFault = "list times out"
	listUnavailable listFault = "list unavailable"
)

// totalLoss is a deployment whose machines all lose power shortly after an order.
type totalLoss struct {
	*World
	random       *rand.Rand
	acknowledged atomic.Uint64 // newest acknowledged
	list         atomic.Pointer[listState]
}

// listState is a fault of the list with its start and end.
type listState struct {
	fault       listFault
	from, until time.Time
}

func newTotalLoss(test *testing.T, seed uint64, cores int) *totalLoss {
	test.Helper()
	loss := &totalLoss{World: NewRegionalWorld(seed, cores), random: rand.New(rand.NewPCG(seed, 97))}
	loss.acknowledged.Store(1)
	loss.list.Store(&listState{fault: listHealthy})
	loss.ListBackends = loss.listed
	loss.startRegional(test, 6)
	return loss
}

// listed returns the platform's list, or an error according to the current fault.
func (loss *totalLoss) listed(discovery.PageRequest) discovery.Page {
	state := loss.list.Load()
	if time.Now().After(state.from) && time.Now().Before(state.until) {
		switch state.fault {
		case listRateLimited:
			return discovery.Page{Err: errors.New("too many calls"), RetryAfter: 300 * time.Millisecond}
		case listTimeout:
			loss.Sleep(2 * time.Second)
			return discovery.Page{Err: errors.New("no answer")}
		case listUnavailable:
			return discovery.Page{Err: errors.New("unavailable")}
		}
	}
	backends := []message.Backend{}
	for index := range 5 {
		backends = append(backends, message.Backend{Name: fmt.Sprint("b", index), Service: "desk", Address: "10.9.9.9:80", Capacity: 4})
	}
	return discovery.Page{Backends: backends}
}

func (loss *totalLoss) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(loss.random.Int64N(int64(most-least)))
}

// powerOffAll cuts the power of all machines at the same moment.
func (loss *totalLoss) powerOffAll() {
	for _, machine := range loss.machines() {
		loss.stopProcess(machine, true, func(host string) { loss.Net.Blackhole(host, true) })
		loss.Net.Blackhole(machine.Host, true)
	}
	for _, member := range loss.Members {
		loss.PowerOffMember(member)
	}
}

// startShuffled starts all machines in random order, within the given time on average.
func (loss *totalLoss) startShuffled(within time.Duration) {
	starts := []func(){}
	for _, machine := range loss.machines() {
		starts = append(starts, func() {
			loss.Net.Blackhole(machine.Host, false)
			loss.startMachine(machine)
		})
	}
	for _, member := range loss.Members {
		starts = append(starts, func() { loss.StartMember(member) })
	}
	loss.random.Shuffle(len(starts), func(left, right int) { starts[left], starts[right] = starts[right], starts[left] })
	for _, start := range starts {
		start()
		loss.Sleep(loss.randomDuration(0, 2*within/time.Duration(len(starts))))
	}
}

// orderNext sends the next routing until it is acknowledged or the limit has passed, and
// reports whether it was acknowledged.
func (loss *totalLoss) orderNext(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); loss.Sleep(orderRetryInterval) {
		if len(loss.forwarders()) == 0 {
			continue
		}
		version := loss.acknowledged.Load()
		if err := loss.PutRouting(version+1, version); err == nil {
			loss.acknowledged.Store(version + 1)
			return true
		}
	}
	return false
}

// checkInForce checks that an acknowledged version is in force at all members, unless none has
// a list of backends yet: the leader distributes the list that one member knows to the others.
func (loss *totalLoss) checkInForce(phase string, wanted uint64) {
	serving := 0
	for _, member := range loss.Members {
		inForce := member.inForce.Load()
		if inForce > 0 {
			serving++
		}
		if inForce > 0 && inForce < wanted {
			version := member.Daemon.Version()
			loss.reportViolation(
				"%s: %s serves with version %d, %d was acknowledged; routing serial %d, table %v, complete %v",
				phase, member.Name, inForce, wanted, version.RoutingSerial, version.Table.Version, version.Table.Complete,
			)
		}
	}
	if serving > 0 && serving < len(loss.Members) {
		loss.reportViolation("%s: only %d of %d members know the backends", phase, serving, len(loss.Members))
	}
}

// All machines lose power 5 to 400 ms after an order was sent and restart in random order, in
// some cases while the platform's list cannot be read. Every connected member serves with the
// acknowledged version in time, whatever state it started from.
func TestAcknowledgedIsInForceAfterTotalLoss(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, fault := range []listFault{listHealthy, listRateLimited, listTimeout, listUnavailable} {
			loss := newTotalLoss(test, seed, 3+2*int(seed%2))
			for round := range 3 {
				loss.waitStable(test)
				if seed%2 == 1 && round == 0 {
					loss.ReplaceCore(int(seed)%len(loss.Cores), time.Second)
					loss.waitStable(test)
				}
				loss.goroutines.Start(func() { loss.orderNext(30 * time.Second) })
				loss.Sleep(loss.randomDuration(5*time.Millisecond, 400*time.Millisecond))
				loss.powerOffAll()
				loss.Sleep(loss.randomDuration(400*time.Millisecond, 1500*time.Millisecond))
				from := time.Now().Add(loss.randomDuration(0, 800*time.Millisecond))
				until := from.Add(loss.randomDuration(time.Second, 20*time.Second))
				loss.list.Store(&listState{fault: fault, from: from, until: until})
				loss.startShuffled(300 * time.Millisecond)
				restarted := time.Now()
				wanted := uint64(round) + 2
				if !loss.Until(20*time.Second, func() bool { return loss.acknowledged.Load() >= wanted }) {
					loss.reportViolation("%s, round %d: version %d was not acknowledged within 20 s", fault, round, wanted)
				}
				latest := restarted.Add(settleTime)
				if now := time.Now(); now.After(latest) {
					latest = now
				}
				loss.Sleep(time.Until(latest.Add(propagationLimit)))
				loss.checkInForce(fmt.Sprintf("%s, round %d", fault, round), wanted)
				loss.Sleep(time.Until(until.Add(settleTime + propagationLimit)))
				for _, member := range loss.Members {
					if inForce := member.inForce.Load(); inForce != wanted {
						loss.reportViolation(
							"%s, round %d: after recovery %s serves with version %d, %d was acknowledged",
							fault,
							round,
							member.Name,
							inForce,
							wanted,
						)
					}
				}
			}
			loss.reportFailures(test)
			loss.CloseRegional()
		}
	})
}

// All machines, members included, lose power at the same moment, and as many cores as a quorum
// tolerates lose their disks, so that nothing is left in memory. Acknowledged orders are read
// back and in force, a resent order is recognized, and terms and IDs continue.
func TestAcknowledgedSurvivesPowerAndDiskLoss(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		loss := newTotalLoss(test, seed, 3+2*int(seed%2))
		zones := []string{}
		for round := range 4 {
			loss.waitStable(test)
			zone := fmt.Sprint("z", round)
			if err := loss.Evacuate(zone, true); err != nil {
				test.Fatal(err)
			}
			zones = append(zones, zone)
			if !loss.orderNext(orderLimit) {
				test.Fatal("order not acknowledged by a stable quorum")
			}
			acknowledged := loss.acknowledged.Load()
			if round%2 == 1 {
				loss.goroutines.Start(func() { loss.orderNext(time.Second) })
				loss.Sleep(loss.randomDuration(5*time.Millisecond, 400*time.Millisecond))
			}
			loss.powerOffAll()
			for offset := range len(loss.Cores) / 2 {
				loss.WipeCore((int(seed) + round + offset) % len(loss.Cores))
			}
			loss.Sleep(loss.randomDuration(400*time.Millisecond, 1500*time.Millisecond))
			loss.startShuffled(300 * time.Millisecond)
			loss.waitStable(test)
			loss.checkReadBack(fmt.Sprint("round ", round), acknowledged, zones)
			loss.Sleep(settleTime + propagationLimit)
			loss.checkInForce(fmt.Sprint("round ", round), acknowledged)
		}
		loss.reportFailures(test)
		loss.CloseRegional()
	})
}

// checkReadBack checks that the confirmed routing has what was acknowledged, and that the
// newest order is acknowledged again when resent. Later orders build on what was read.
func (loss *totalLoss) checkReadBack(phase string, acknowledged uint64, zones []string) {
	state, err := loss.ReadRouting()
	if err != nil {
		loss.reportViolation("%s: cannot read the routing back: %v", phase, err)
		return
	}
	if state.Config.Version < acknowledged {
		loss.reportViolation("%s: version %d was acknowledged, %d read back", phase, acknowledged, state.Config.Version)
	}
	for _, zone := range zones {
		if !slices.Contains(state.Evacuated, zone) {
			loss.reportViolation("%s: the acknowledged evacuation of %s is lost", phase, zone)
		}
	}
	if err := loss.PutRouting(acknowledged, acknowledged-1); err != nil {
		loss.reportViolation("%s: version %d resent: %v", phase, acknowledged, err)
	}
	loss.acknowledged.Store(state.Config.Version)
}
