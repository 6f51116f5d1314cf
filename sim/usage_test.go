package sim

import (
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"orchidjunction/stand"
)

// Leaders and proxies die while usage is counted; what the platform was told is
// near to what backends saw, complete, and the same each time it was sent.
func TestUsageReports(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		zones := []string{"e1", "w1", "s1"}
		for index := range 6 {
			world.AddBackend("meters", zones[index%3], stand.BackendPlace{WorkMs: 5, Room: 32})
		}
		world.up(test, 6)
		origin, client := world.Origin(world.plan(60, 30))
		random := rand.New(rand.NewPCG(seed, 43))
		done := atomic.Bool{}
		world.threads.Start(func() {
			chaos := world.Chaos()
			for !done.Load() {
				world.Rest(time.Duration(1500+random.IntN(2500)) * time.Millisecond)
				switch random.IntN(4) {
				case 0:
					chaos.Harm("kill-leader", 0)
				case 1:
					if leader := world.Leader(); leader >= 0 {
						chaos.Harm("term", leader)
					}
				case 2:
					proxy := world.Daemons[1]
					world.KillDaemon(proxy)
					world.Rest(300 * time.Millisecond)
					world.StartDaemon(proxy)
				case 3:
					chaos.Harm("freeze", random.IntN(3))
				}
			}
		})
		report := origin.Run(world.threads.Rest)
		done.Store(true)
		client.CloseIdleConnections()
		world.Rest(12 * time.Second)
		seen := map[string]int{}
		tasks := map[string]bool{}
		for _, backend := range world.seen() {
			for _, arrival := range backend.Arrivals {
				if !tasks[arrival.Task] {
					tasks[arrival.Task] = true
					seen[arrival.Tenant]++
				}
			}
		}
		told, periods, last := map[string]int{}, map[string]map[int]bool{}, 0
		bodies, at := world.Platform.Told()
		for id, sent := range bodies {
			one := struct {
				Tenant string
				Period int
				Tasks  int
				ToMs   int64 `json:"to_ms"`
			}{}
			json.Unmarshal([]byte(sent[0]), &one)
			for _, body := range sent {
				if body != sent[0] {
					world.broke("%s sent with different counts", id)
				}
			}
			told[one.Tenant] += one.Tasks
			if periods[one.Tenant] == nil {
				periods[one.Tenant] = map[int]bool{}
			}
			periods[one.Tenant][one.Period] = true
			last = max(last, one.Period)
			if at[id]-one.ToMs > 6000 {
				world.broke("%s came %d ms after its period", id, at[id]-one.ToMs)
			}
		}
		for tenant, held := range periods {
			if len(held) != last {
				world.broke("%s has %d of %d periods", tenant, len(held), last)
			}
		}
		for tenant, count := range seen {
			if off := told[tenant] - count; off*20 > count || -off*20 > count {
				world.broke("%s told %d, seen %d", tenant, told[tenant], count)
			}
		}
		test.Logf("%d served, told %v, seen %v, %d periods, %d leaderships", report.Served, told, seen, last, len(world.Leads))
		world.report(test)
	})
}
