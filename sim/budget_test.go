package sim

import (
	"sort"
	"testing"
	"time"

	"orchidjunction/stand"
)

// Half of all backends break every answer while proxies join and die: in no ten
// seconds do backends see more resends than a fifth of the rest and sixty.
func TestResendsInAnyTenSeconds(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		for range 6 {
			world.AddBackend("meters", "e1", stand.BackendPlace{WorkMs: 5, Room: 32})
		}
		world.up(test, 5)
		late := world.AddDaemon("proxy", "w1")
		world.threads.Start(func() {
			world.Rest(3 * time.Second)
			for _, backend := range world.Backends[:3] {
				backend.Backend.Misbehave("lose", 1_000_000)
			}
			world.Rest(3 * time.Second)
			world.StartDaemon(late)
			world.Rest(2 * time.Second)
			world.KillDaemon(world.Daemons[1])
			world.Rest(time.Second)
			world.StartDaemon(world.Daemons[1])
		})
		plan := world.plan(35, 22)
		plan.Calls, plan.Tries = plan.Calls[1:2], 3
		origin, client := world.Origin(plan)
		report := origin.Run(world.threads.Rest)
		client.CloseIdleConnections()
		arrivals := []stand.Arrival{}
		for _, backend := range world.seen() {
			arrivals = append(arrivals, backend.Arrivals...)
		}
		sort.Slice(arrivals, func(left, right int) bool { return arrivals[left].AtMs < arrivals[right].AtMs })
		known, again, all := map[string]bool{}, make([]bool, len(arrivals)), 0
		for index, arrival := range arrivals {
			again[index] = known[arrival.Task]
			known[arrival.Task] = true
			if again[index] {
				all++
			}
		}
		tail, first, resent, most := 0, 0, 0, 0
		for index, arrival := range arrivals {
			if again[index] {
				resent++
			} else {
				first++
			}
			for arrivals[tail].AtMs <= arrival.AtMs-10_000 {
				if again[tail] {
					resent--
				} else {
					first--
				}
				tail++
			}
			most = max(most, resent)
			if float64(resent) > 0.2*float64(first)+60 {
				world.broke("%d resends beside %d first sends in ten seconds", resent, first)
				break
			}
		}
		if all < 30 {
			world.broke("only %d resends", all)
		}
		test.Logf("%d resends, %d at most in ten seconds, %v", all, most, report.Statuses)
		world.report(test)
	})
}
