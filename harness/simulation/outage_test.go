package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"orchidjunction/harness/standin"
)

// outage is what goes on before everything dies, and what comes back.
type outage struct {
	name   string
	before func(world *World) []standin.Try
	after  func(world *World)
}

// Money is sent, some of its answers are lost, and everything of ours dies at
// once, power too. All is back; every key is sent again, at once and after
// minutes: no key is charged twice, and each gets the first answer or "unknown".
func TestMoneyOutlivesEverything(test *testing.T) {
	long(test)
	nothing, calm := func(*World) {}, func(*World) []standin.Try { return nil }
	each(test, func(test *testing.T, seed uint64) {
		for _, kind := range []outage{
			{"power", calm, nothing},
			{"a core's disk lost", calm, func(world *World) { world.WipeCore(int(seed) % 3) }},
			{"a core away until the end", func(world *World) []standin.Try { world.KillCore(int(seed)%3, true); return nil }, nothing},
			{"a disk stalls", func(world *World) []standin.Try { world.Cores[int(seed)%3].Disk.Stall(true); return nil }, nothing},
			{"a core is slow", func(world *World) []standin.Try {
				world.Net.SetRequestDelay(world.Cores[int(seed)%3].Host, 300*time.Millisecond)
				return nil
			}, nothing},
			{"the core gone and back", func(world *World) []standin.Try {
				for index := range world.Cores {
					world.KillCore(index, true)
				}
				tries := world.pay(20, 1000)
				for index := range world.Cores {
					world.StartCore(index)
				}
				world.Until(10*time.Second, func() bool { return world.Leader() >= 0 })
				world.Sleep(2 * time.Second)
				return tries
			}, nothing},
		} {
			world := NewWorld(seed, 3)
			for _, zone := range []string{"e1", "w1", "s1"} {
				world.AddBackend("meters", zone, standin.BackendConfig{WorkMs: 20, Room: 64})
			}
			world.up(test, 8)
			world.Until(5*time.Second, func() bool { return world.keepers() == 6 })
			world.Sleep(time.Second)
			tries := append(kind.before(world), world.pay(40, 0)...)
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
			slowest, replays := world.payAgain(tries)
			if kind.name == "power" {
				world.Sleep(2 * time.Minute)
			}
			later, _ := world.payAgain(tries)
			if most := 3 * time.Second; slowest > most || later > most || replays == 0 {
				world.reportViolation("%s: final answers after %v and %v, %d replayed", kind.name, slowest, later, replays)
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
			world.report(test)
			world.Close()
		}
	})
}

// pay sends keys at random fronts while backends lose answers; the last ones are
// cut short by whatever comes next.
func (world *World) pay(count, first int) []standin.Try {
	random := rand.New(rand.NewPCG(world.Seed, uint64(first)))
	plan := world.plan(1, 1)
	plan.Calls = plan.Calls[:1]
	generator, client := world.NewLoadGenerator(plan)
	fronts := world.fronts()
	for number := range count {
		if random.IntN(3) == 0 {
			world.Backends[random.IntN(len(world.Backends))].Backend.Misbehave("lose", 1)
		}
		key, front := fmt.Sprintf("pay-%d", first+number), fronts[random.IntN(len(fronts))]
		world.goroutines.Start(func() { generator.Once(plan.Callers[0], plan.Calls[0], key, key+".0", front) })
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

func (world *World) fronts() []string {
	fronts := []string{}
	for _, daemon := range world.Daemons {
		if daemon.Kind == "proxy" {
			fronts = append(fronts, daemon.PublicAddress)
		}
	}
	return fronts
}

// payAgain sends each key until its answer is final, and gives the longest time to it.
func (world *World) payAgain(tries []standin.Try) (slowest time.Duration, replays int) {
	plan := world.plan(1, 1)
	plan.Calls = plan.Calls[:1]
	generator, client := world.NewLoadGenerator(plan)
	defer client.CloseIdleConnections()
	fronts := world.fronts()
	for number, try := range tries {
		begin := time.Now()
		for again := range 100 {
			seen := generator.Once(
				plan.Callers[0],
				plan.Calls[0],
				try.Key,
				fmt.Sprintf("%s.%d-%d", try.Key, time.Now().UnixMilli(), again),
				fronts[(number+again)%len(fronts)],
			)
			if seen.Replay {
				replays++
			}
			if seen.Status == http.StatusOK || seen.Status == http.StatusGatewayTimeout && !seen.Retry {
				break
			}
			world.Sleep(50 * time.Millisecond)
		}
		slowest = max(slowest, time.Since(begin))
	}
	return slowest, replays
}
