package simulation

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"orchidjunction/harness/standin"
)

// Callers send the same key concurrently to several proxies, and again after lost
// answers, while proxies are killed, frozen, partitioned and restarted and while all
// cores are down for a time: no key is charged twice.
func TestKeysChargedOnceDuringProxyFailures(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		zones := []string{"e1", "w1", "s1"}
		for index := range 6 {
			world.AddBackend("meters", zones[index%3], standin.BackendConfig{WorkMs: 20, Room: 16})
		}
		world.startSystem(test, 8)
		if !world.Until(5*time.Second, func() bool { return world.keyReplicaCount() == 6 }) {
			test.Fatalf("%d key replicas, want 6", world.keyReplicaCount())
		}
		plan := world.loadPlan(30, 25)
		plan.Eager, plan.Tries = 40, 6
		plan.Calls = plan.Calls[:1]
		plan.Callers = plan.Callers[:1]
		generator, client := world.NewLoadGenerator(plan)
		random := rand.New(rand.NewPCG(seed, 37))
		done := atomic.Bool{}
		proxies := []*Daemon{}
		for _, daemon := range world.Daemons {
			if daemon.Kind == "proxy" {
				proxies = append(proxies, daemon)
			}
		}
		faultCounts := map[string]int{}
		world.goroutines.Start(func() {
			for !done.Load() {
				proxy := proxies[random.IntN(len(proxies))]
				downtime := time.Duration(100+random.IntN(2500)) * time.Millisecond
				kind := []string{"kill", "freeze", "cut", "lose", "core", "two"}[random.IntN(6)]
				faultCounts[kind]++
				switch kind {
				case "kill":
					world.KillDaemon(proxy)
					world.Sleep(downtime)
					world.StartDaemon(proxy)
				case "two":
					other := proxies[(random.IntN(len(proxies)-1)+1)%len(proxies)]
					world.KillDaemon(proxy)
					world.KillDaemon(other)
					world.Sleep(downtime)
					world.StartDaemon(proxy)
					if other != proxy {
						world.StartDaemon(other)
					}
				case "freeze":
					world.Net.Freeze(proxy.Host, true)
					world.Sleep(downtime)
					world.Net.Freeze(proxy.Host, false)
				case "cut":
					for _, other := range world.Daemons {
						if other != proxy && random.IntN(2) == 0 {
							world.Net.Cut(proxy.Host, other.Host, true)
							defer world.Net.Cut(proxy.Host, other.Host, false)
						}
					}
					world.Sleep(downtime)
					for _, other := range world.Daemons {
						world.Net.Cut(proxy.Host, other.Host, false)
					}
				case "core":
					for index := range world.Cores {
						world.KillCore(index, true)
					}
					world.Sleep(downtime)
					for index := range world.Cores {
						world.StartCore(index)
					}
				case "lose":
					world.Backends[random.IntN(6)].Backend.Misbehave("lose", 3)
				}
				world.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			}
		})
		report := generator.Run(world.goroutines.Sleep)
		done.Store(true)
		client.CloseIdleConnections()
		world.Sleep(4 * time.Second)
		world.judge(nil, report)
		if report.Served < report.Asked/2 {
			world.reportViolation("only %d of %d requests served: %v", report.Served, report.Asked, report.Statuses)
		}
		test.Logf(
			"%d requests, %d served, %d with unknown outcome, %d not served, faults %v, statuses %v",
			report.Asked,
			report.Served,
			report.Unknown,
			report.Unserved,
			faultCounts,
			report.Statuses,
		)
		world.reportFailures(test)
	})
}

// keyReplicaCount counts the members that hold key replicas.
func (world *World) keyReplicaCount() int {
	count := 0
	for _, member := range world.Daemons[0].Daemon.Version().Table.Members {
		if member.KeyReplica {
			count++
		}
	}
	return count
}
