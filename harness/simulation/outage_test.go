package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"orchidjunction/harness/standin"
)

// outage is a kind of total outage. before runs ahead of it and returns the payments sent;
// after runs ahead of the restart.
type outage struct {
	name   string
	before func(world *World) []standin.Try
	after  func(world *World)
}

// Payments are sent and some answers lost; then all cores lose power and all daemons are
// killed at once. After the restart every key is resent, at once and minutes later: no key is
// charged twice, and each gets its first answer or "unknown".
func TestMoneyOutlivesEverything(test *testing.T) {
	skipUnderRaceDetector(test)
	noChange, noTries := func(*World) {}, func(*World) []standin.Try { return nil }
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, kind := range []outage{
			{"power", noTries, noChange},
			{"one core's disk lost", noTries, func(world *World) { world.WipeCore(int(seed) % 3) }},
			{"one core down before the outage", func(world *World) []standin.Try { world.KillCore(int(seed)%3, true); return nil }, noChange},
			{"a disk stalls", func(world *World) []standin.Try { world.Cores[int(seed)%3].Disk.Stall(true); return nil }, noChange},
			{"a core is slow", func(world *World) []standin.Try {
				world.Net.SetRequestDelay(world.Cores[int(seed)%3].Host, 300*time.Millisecond)
				return nil
			}, noChange},
			{"all cores restarted first", func(world *World) []standin.Try {
				for index := range world.Cores {
					world.KillCore(index, true)
				}
				tries := world.sendPayments(20, 1000)
				for index := range world.Cores {
					world.StartCore(index)
				}
				world.Until(10*time.Second, func() bool { return world.Leader() >= 0 })
				world.Sleep(2 * time.Second)
				return tries
			}, noChange},
		} {
			world := NewWorld(seed, 3)
			for _, zone := range []string{"e1", "w1", "s1"} {
				world.AddBackend("meters", zone, standin.BackendConfig{WorkMs: 20, Room: 64})
			}
			world.startSystem(test, 8)
			world.Until(5*time.Second, func() bool { return world.keyReplicaCount() == 6 })
			world.Sleep(time.Second)
			tries := append(kind.before(world), world.sendPayments(40, 0)...)
			for index := range world.Cores {
				world.KillCore(index, true)
			}
			for _, daemon := range world.Daemons {
				world.KillDaemon(daemon)
			}
			world.Net.SetRequestDelay("", 0)
			kind.after(world)
			for index := range world.Cores {
				world.StartCore(index)
			}
			for _, daemon := range world.Daemons {
				world.StartDaemon(daemon)
			}
			begin := time.Now()
			if !world.Until(15*time.Second, world.daemonsReady) {
				world.reportViolation("%s: not ready in 15 s", kind.name)
			}
			ready := time.Since(begin)
			slowest, replays := world.resendPayments(tries)
			if kind.name == "power" {
				world.Sleep(2 * time.Minute)
			}
			later, _ := world.resendPayments(tries)
			if limit := 3 * time.Second; slowest > limit || later > limit || replays == 0 {
				world.reportViolation("%s: final answers after at most %v and %v, %d replayed", kind.name, slowest, later, replays)
			}
			before := len(world.Violations)
			details := world.judge(nil, standin.LoadReport{Tries: tries})
			for index := range world.Violations[before:] {
				world.Violations[before+index] = kind.name + ": " + world.Violations[before+index]
			}
			test.Logf(
				"%s: ready after %v, %s, final answers after %v and %v, %d replayed",
				kind.name,
				ready,
				details["no key charged twice"],
				slowest,
				later,
				replays,
			)
			world.reportFailures(test)
			world.Close()
		}
	})
}

// sendPayments sends keys to random proxies while backends lose answers. It does not wait for
// the last answers.
func (world *World) sendPayments(count, first int) []standin.Try {
	random := rand.New(rand.NewPCG(world.Seed, uint64(first)))
	plan := world.loadPlan(1, 1)
	plan.Calls = plan.Calls[:1]
	generator, client := world.NewLoadGenerator(plan)
	addresses := world.proxyAddresses()
	for number := range count {
		if random.IntN(3) == 0 {
			world.Backends[random.IntN(len(world.Backends))].Backend.Misbehave("lose", 1)
		}
		key, address := fmt.Sprintf("pay-%d", first+number), addresses[random.IntN(len(addresses))]
		world.goroutines.Start(func() { generator.Once(plan.Callers[0], plan.Calls[0], key, key+".0", address) })
		world.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
	client.CloseIdleConnections()
	tries := generator.Tries()
	for number := range count {
		key := fmt.Sprintf("pay-%d", first+number)
		found := false
		for _, try := range tries {
			found = found || try.Key == key
		}
		if !found {
			tries = append(tries, standin.Try{Key: key, Task: key, Tenant: plan.Callers[0].Tenant})
		}
	}
	return tries
}

func (world *World) proxyAddresses() []string {
	addresses := []string{}
	for _, daemon := range world.Daemons {
		if daemon.Kind == "proxy" {
			addresses = append(addresses, daemon.PublicAddress)
		}
	}
	return addresses
}

// resendPayments resends each key until its answer is final, and returns the longest wait and
// the number of replayed answers.
func (world *World) resendPayments(tries []standin.Try) (slowest time.Duration, replays int) {
	plan := world.loadPlan(1, 1)
	plan.Calls = plan.Calls[:1]
	generator, client := world.NewLoadGenerator(plan)
	defer client.CloseIdleConnections()
	addresses := world.proxyAddresses()
	for number, try := range tries {
		begin := time.Now()
		for attempt := range 100 {
			answer := generator.Once(
				plan.Callers[0],
				plan.Calls[0],
				try.Key,
				fmt.Sprintf("%s.%d-%d", try.Key, time.Now().UnixMilli(), attempt),
				addresses[(number+attempt)%len(addresses)],
			)
			if answer.Replay {
				replays++
			}
			if answer.Status == http.StatusOK || answer.Status == http.StatusGatewayTimeout && !answer.Retry {
				break
			}
			world.Sleep(50 * time.Millisecond)
		}
		slowest = max(slowest, time.Since(begin))
	}
	return slowest, replays
}
