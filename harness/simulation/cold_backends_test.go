package simulation

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"orchidjunction/harness/standin"
)

// Cold backends join under load while proxies start, restart and are cut off from the cores:
// in no second does a backend get more requests than its gentle rate.
func TestColdBackendsAreNotFlooded(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		for range 3 {
			world.AddBackend("meters", "e1", standin.BackendConfig{WorkMs: 5, Room: 32})
		}
		world.startSystem(test, 7)
		late := world.AddDaemon("proxy", "w1")
		plan := world.loadPlan(70, 14)
		plan.Calls = plan.Calls[1:2]
		generator, client := world.NewLoadGenerator(plan)
		world.goroutines.Start(func() {
			world.Sleep(time.Second)
			for range 2 {
				world.AddBackend("meters", "w1", standin.BackendConfig{WorkMs: 5, Room: 32, ColdMs: 9000, GentleRate: 6})
			}
			world.PublishBackends()
			world.Sleep(2 * time.Second)
			world.StartDaemon(late)
			world.Sleep(time.Second)
			world.KillDaemon(world.Daemons[1])
			world.Sleep(500 * time.Millisecond)
			world.StartDaemon(world.Daemons[1])
			for _, core := range world.Cores {
				world.Net.Cut(world.Daemons[2].Host, core.Host, true)
			}
			world.Sleep(3 * time.Second)
			for _, core := range world.Cores {
				world.Net.Cut(world.Daemons[2].Host, core.Host, false)
			}
		})
		report := generator.Run(world.goroutines.Sleep)
		client.CloseIdleConnections()
		detail := world.judge(nil, report)["cold backends within their gentle_rate"]
		if used, _ := strconv.Atoi(strings.Fields(detail)[0]); used < 20 {
			world.reportViolation("cold backends got fewer than 20 requests: %s", detail)
		}
		test.Logf("%d of %d served, %s", report.Served, report.Asked, detail)
		world.reportFailures(test)
	})
}
