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

// What a change and a leader change cost, by the number of daemons and the size
// of the settings. Virtual time: the machine's speed is not in the figures.
func TestCostOfDelivery(test *testing.T) {
	long(test)
	sizes, perDaemon := []int{12, 36, 120}, map[int]float64{}
	if raced {
		sizes = sizes[:2]
	}
	for _, size := range sizes {
		synctest.Test(test, func(test *testing.T) {
			world := NewWorld(5, 3)
			defer world.Close()
			for range 3 {
				world.AddBackend("meters", "e1", standin.BackendConfig{WorkMs: 5, Room: 32})
			}
			world.up(test, size)
			world.Sleep(5 * time.Second)
			calm, bytes := world.Net.Count()
			looked := world.probes()
			world.Sleep(10 * time.Second)
			looks := float64(world.probes()-looked) / 10 / 3
			world.StopBackend(world.Backends[2])
			gone := time.Now()
			if !world.Until(10*time.Second, func() bool { return world.left(world.Backends[2].Listed.Name) }) {
				test.Errorf("%d daemons: a dead backend is not left", size)
			}
			test.Logf("%d daemons: %.1f probes a second a backend, a dead one left by all in %v", size, looks, time.Since(gone))
			if looks > 60 {
				test.Errorf("%d daemons: %.1f probes a second a backend", size, looks)
			}
			later, laterBytes := world.Net.Count()
			perDaemon[size] = float64(later-calm) / 10 / float64(size)
			slowest := time.Duration(0)
			for number := range 5 {
				outcome, err := world.Client(world.Cores[0].OperatorAddress).
					Put(operator.Change{Base: uint64(1 + number), Change: fmt.Sprint("scale-", number), Settings: Settings(2000 + number)})
				if err != nil {
					test.Fatal(err)
				}
				slowest = max(slowest, world.everywhere(test, outcome.Serial))
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
			slowLarge := world.everywhere(test, outcome.Serial)
			leader := world.Leader()
			world.KillCore(leader, true)
			begin := time.Now()
			world.Until(5*time.Second, func() bool { return world.Leader() >= 0 })
			gap := time.Since(begin)
			test.Logf(
				"%d daemons: %.1f messages and %.0f bytes a second a daemon, small change everywhere in %v, %d bytes in %v, leader killed and followed in %v",
				size,
				perDaemon[size],
				float64(laterBytes-bytes)/10/float64(size),
				slowest,
				len(body),
				slowLarge,
				gap,
			)
			if slowest > 2*time.Second || slowLarge > 4*time.Second {
				test.Errorf("%d daemons: %v and %v to be everywhere", size, slowest, slowLarge)
			}
			if gap > time.Second {
				test.Errorf("%d daemons: %v without a leader", size, gap)
			}
		})
	}
	if last := sizes[len(sizes)-1]; perDaemon[last] > 1.5*perDaemon[sizes[0]] {
		test.Errorf("messages a daemon grow from %.1f to %.1f", perDaemon[sizes[0]], perDaemon[last])
	}
}

func (world *World) probes() (count uint64) {
	for _, daemon := range world.Daemons {
		count += daemon.Counters.Get("probes")
	}
	return count
}

// left is whether no proxy takes a backend for healthy any more.
func (world *World) left(name string) bool {
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

func (world *World) everywhere(test *testing.T, serial uint64) time.Duration {
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
		test.Errorf("serial %d is not everywhere after 10 s", serial)
	}
	return time.Since(begin)
}
