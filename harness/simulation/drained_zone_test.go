package simulation

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"orchidjunction/harness/standin"
	"orchidjunction/operator"
)

// Once a zone is drained, its proxies still serve callers whose placement is valid, and then
// refuse all requests. After the drain ends they serve again.
func TestDrainedZoneIsNotServed(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		for _, zone := range []string{"e1", "w1", "s1"} {
			world.AddBackend("meters", zone, standin.BackendConfig{WorkMs: 5, Room: 32})
		}
		world.startSystem(test, 5)
		_, client := world.NewLoadGenerator(world.loadPlan(1, 1))
		defer client.CloseIdleConnections()
		proxy := world.Daemons[1]
		call := func(header string) (int, string) {
			return world.send(client, "GET", "http://"+proxy.PublicAddress+"/meters/pages/1", "key-of-alder", header, "k", "")
		}
		drain := func(base uint64, zones []string) {
			body, _ := json.Marshal(map[string]any{"drained": map[string]any{"zones": zones}})
			if _, err := world.Client(world.Cores[1].OperatorAddress).
				Patch(operator.Change{Base: base, Change: fmt.Sprint("drain-", base), Settings: body}); err != nil {
				test.Fatal(err)
			}
		}
		if status, code := call(""); status != 200 {
			world.reportViolation("before the drain: %d %s", status, code)
		}
		drain(1, []string{proxy.Zone})
		world.Sleep(time.Second)
		if status, code := call(""); status != 200 {
			world.reportViolation("1 s after the drain, placement still valid: %d %s", status, code)
		}
		world.Sleep(3 * time.Second)
		if status, code := call(""); status != 503 || code != "zone_emptied" {
			world.reportViolation("4 s after the drain: %d %s", status, code)
		}
		if status, code := call("Idempotency-Key"); status != 503 {
			world.reportViolation("4 s after the drain, request with a key: %d %s", status, code)
		}
		drain(2, []string{})
		world.Sleep(time.Second)
		if status, code := call(""); status != 200 {
			world.reportViolation("after the end of the drain: %d %s", status, code)
		}
		world.reportFailures(test)
	})
}
