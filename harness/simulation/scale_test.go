package simulation

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/harness/standin"
	"orchidjunction/operator"
)

// Bounds the cost of a settings change and of a leader change by the number of daemons and the
// size of the settings. Time is virtual, so the machine's speed does not affect the figures.
func TestCostOfDelivery(test *testing.T) {
	skipUnderRaceDetector(test)
	sizes, perDaemon := []int{12, 36, 120}, map[int]float64{}
	if raceEnabled {
		sizes = sizes[:2]
	}
	for _, size := range sizes {
		synctest.Test(test, func(test *testing.T) {
			world := NewWorld(5, 3)
			defer world.Close()
			for range 3 {
				world.AddBackend("meters", "e1", standin.BackendConfig{WorkMs: 5, Room: 32})
			}
			world.startSystem(test, size)
			world.Sleep(5 * time.Second)
			messagesBefore, bytesBefore := world.Net.Count()
			probesBefore := world.probes()
			world.Sleep(10 * time.Second)
			probeRate := float64(world.probes()-probesBefore) / 10 / 3
			world.StopBackend(world.Backends[2])
			stoppedAt := time.Now()
			if !world.Until(10*time.Second, func() bool { return world.unhealthyEverywhere(world.Backends[2].Listed.Name) }) {
				test.Errorf("%d daemons: a dead backend is still considered healthy after 10 s", size)
			}
			test.Logf(
				"%d daemons: %.1f probes per second and backend, a dead one detected by all in %v",
				size,
				probeRate,
				time.Since(stoppedAt),
			)
			if probeRate > 60 {
				test.Errorf("%d daemons: %.1f probes per second and backend, want at most 60", size, probeRate)
			}
			messagesAfter, bytesAfter := world.Net.Count()
			perDaemon[size] = float64(messagesAfter-messagesBefore) / 10 / float64(size)
			slowest := time.Duration(0)
			for number := range 5 {
				outcome, err := world.Client(world.Cores[0].OperatorAddress).
					Put(operator.Change{Base: uint64(1 + number), Change: fmt.Sprint("scale-", number), Settings: Settings(2000 + number)})
				if err != nil {
					test.Fatal(err)
				}
				slowest = max(slowest, world.waitSerial(test, outcome.Serial))
			}
			large := map[string]any{}
			if err := json.Unmarshal(Settings(3000), &large); err != nil {
				test.Fatal(err)
			}
			routes := map[string]any{}
			for index := range 2000 {
				routes[fmt.Sprintf("bulk-%d", index)] = map[string]any{"method": "GET", "path": fmt.Sprintf("/bulk/%d", index)}
			}
			large["classes"].(map[string]any)["pages"].(map[string]any)["services"].(map[string]any)["bulk"] = map[string]any{
				"routes": routes,
			}
			body, _ := json.Marshal(large)
			outcome, err := world.Client(world.Cores[0].OperatorAddress).
				Put(operator.Change{Base: 6, Change: "scale-large", Settings: body})
			if err != nil {
				test.Fatal(err)
			}
			slowLarge := world.waitSerial(test, outcome.Serial)
			leader := world.Leader()
			world.KillCore(leader, true)
			begin := time.Now()
			world.Until(5*time.Second, func() bool { return world.Leader() >= 0 })
			gap := time.Since(begin)
			test.Logf(
				"%d daemons: %.1f messages and %.0f bytes per second and daemon, small change at all in %v, %d bytes in %v, new leader after %v",
				size,
				perDaemon[size],
				float64(bytesAfter-bytesBefore)/10/float64(size),
				slowest,
				len(body),
				slowLarge,
				gap,
			)
			if slowest > 2*time.Second || slowLarge > 4*time.Second {
				test.Errorf("%d daemons: small change at all daemons after %v, large one after %v", size, slowest, slowLarge)
			}
			if gap > time.Second {
				test.Errorf("%d daemons: %v without a leader", size, gap)
			}
		})
	}
	if last := sizes[len(sizes)-1]; perDaemon[last] > 1.5*perDaemon[sizes[0]] {
		test.Errorf("messages per daemon grow from %.1f to %.1f", perDaemon[sizes[0]], perDaemon[last])
	}
}

func (world *World) probes() (count uint64) {
	for _, daemon := range world.Daemons {
		count += daemon.Counters.Get("probes")
	}
	return count
}

// unhealthyEverywhere reports whether no proxy considers a backend healthy.
func (world *World) unhealthyEverywhere(name string) bool {
	for _, daemon := range world.Daemons {
		if daemon.Proxy == nil {
			continue
		}
		for _, probe := range daemon.Proxy.Probes() {
			if probe.Backend == name && probe.Healthy {
				return false
			}
		}
	}
	return true
}

// waitSerial waits until all daemons have the settings with a serial, and returns how long that
// took.
func (world *World) waitSerial(test *testing.T, serial uint64) time.Duration {
	test.Helper()
	begin := time.Now()
	if !world.Until(10*time.Second, func() bool {
		for _, daemon := range world.Daemons {
			if daemon.Daemon.Version().Serial < serial {
				return false
			}
		}
		return true
	}) {
		test.Errorf("serial %d is not at all daemons after 10 s", serial)
	}
	return time.Since(begin)
}
