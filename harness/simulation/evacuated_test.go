package simulation

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"orchidjunction/harness/standin"
	"orchidjunction/operator"
)

// A zone is emptied: its fronts are named to nobody, and turn away those who
// come all the same; its backends get nothing more; refilled, both serve again.
func TestEmptiedZone(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		for _, zone := range []string{"e1", "w1", "s1"} {
			world.AddBackend("meters", zone, standin.BackendConfig{WorkMs: 5, Room: 32})
		}
		world.up(test, 5)
		_, client := world.NewLoadGenerator(world.plan(1, 1))
		defer client.CloseIdleConnections()
		front := world.Daemons[1]
		call := func(header string) (int, string) {
			return world.ask(client, "GET", "http://"+front.PublicAddress+"/meters/pages/1", "key-of-alder", header, "k", "")
		}
		drain := func(base uint64, zones []string) {
			body, _ := json.Marshal(map[string]any{"drained": map[string]any{"zones": zones}})
			if _, err := world.Client(world.Cores[1].OperatorAddress).
				Patch(operator.Change{Base: base, Change: fmt.Sprint("drain-", base), Settings: body}); err != nil {
				test.Fatal(err)
			}
		}
		if status, code := call(""); status != 200 {
			world.reportViolation("before: %d %s", status, code)
		}
		drain(1, []string{front.Zone})
		world.Sleep(time.Second)
		if status, code := call(""); status != 200 {
			world.reportViolation("callers whose placement still holds: %d %s", status, code)
		}
		world.Sleep(3 * time.Second)
		if status, code := call(""); status != 503 || code != "zone_emptied" {
			world.reportViolation("after 4 s: %d %s", status, code)
		}
		if status, code := call("Idempotency-Key"); status != 503 {
			world.reportViolation("a key after 4 s: %d %s", status, code)
		}
		drain(2, []string{})
		world.Sleep(time.Second)
		if status, code := call(""); status != 200 {
			world.reportViolation("refilled: %d %s", status, code)
		}
		world.report(test)
	})
}
