package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"orchidjunction/harness/checker"
	"orchidjunction/harness/standin"
	"orchidjunction/message"
	"orchidjunction/operator"
)

// CombinedFaults injects random faults into all kinds of processes of a deployment; each is
// healed before the next.
type CombinedFaults struct {
	world      *World
	coreFaults *RandomFaults
	ledger     *checker.ChangeRecorder
	random     *rand.Rand
	Injected   []string
	changes    int
}

// NewCombinedFaults returns an injector that follows the world's seed; some faults change
// settings through ledger.
func (world *World) NewCombinedFaults(ledger *checker.ChangeRecorder) *CombinedFaults {
	return &CombinedFaults{world: world, coreFaults: world.NewRandomFaults(), ledger: ledger, random: rand.New(rand.NewPCG(world.Seed, 71))}
}

// SystemFaults are the kinds of faults that CombinedFaults.Run chooses from; "core" stands for
// a fault of one core, one of CoreFaults.
var SystemFaults = []string{
	"core",
	"core",
	"clock",
	"disk-fails",
	"proxy-killed",
	"proxies-killed",
	"dir-killed",
	"proxy-stopped",
	"warned-then-killed",
	"proxy-frozen",
	"proxy-cut",
	"proxies-apart",
	"core-away",
	"zone-lost",
	"region-lost",
	"zone-emptied",
	"zone-lost-other-emptied",
	"backend-crash",
	"backends-cold-herd",
	"backend-frozen",
	"backend-leaves",
	"misbehave",
	"platform",
	"platform-usage",
	"lag",
	"keys",
	"all-down",
}

// Run injects random faults, one after another, until the span is over.
func (faults *CombinedFaults) Run(span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); {
		kind := SystemFaults[faults.random.IntN(len(SystemFaults))]
		faults.Injected = append(faults.Injected, kind)
		faults.Inject(kind)
		faults.world.Sleep(faults.randomSpan(300, 2500))
	}
}

func (faults *CombinedFaults) randomSpan(minimum, maximum int) time.Duration {
	return time.Duration(minimum+faults.random.IntN(maximum-minimum)) * time.Millisecond
}

func (faults *CombinedFaults) shuffledProxies() []*Daemon {
	proxies := []*Daemon{}
	for _, daemon := range faults.world.Daemons {
		if daemon.Kind == message.ProxyKind && daemon.Lender == nil {
			proxies = append(proxies, daemon)
		}
	}
	faults.random.Shuffle(len(proxies), func(left, right int) { proxies[left], proxies[right] = proxies[right], proxies[left] })
	return proxies
}

// restart kills daemons and starts them again after the span.
func (faults *CombinedFaults) restart(daemons []*Daemon, span time.Duration) {
	for _, daemon := range daemons {
		faults.world.KillDaemon(daemon)
	}
	faults.world.Sleep(span)
	for _, daemon := range daemons {
		faults.world.StartDaemon(daemon)
	}
}

// powerOffZones stops all daemons and backends of the zones and one core for a while.
func (faults *CombinedFaults) powerOffZones(zones ...string) {
	world := faults.world
	daemons := []*Daemon{}
	for _, daemon := range world.Daemons {
		if slices.Contains(zones, daemon.Zone) && daemon.Lender == nil {
			daemons = append(daemons, daemon)
		}
	}
	core := slices.Index([]string{"e1", "w1", "s1"}, zones[0]) % len(world.Cores)
	world.KillCore(core, true)
	for _, backend := range world.Backends {
		if slices.Contains(zones, backend.Listed.Zone) {
			world.StopBackend(backend)
		}
	}
	faults.restart(daemons, faults.randomSpan(800, 4000))
	world.StartCore(core)
	for _, backend := range world.Backends {
		if slices.Contains(zones, backend.Listed.Zone) {
			world.ReviveBackend(backend, 3000)
		}
	}
}

// changeSettings retries a patch until it is acknowledged, and returns that time in Unix
// milliseconds, or 0 after 60 attempts.
func (faults *CombinedFaults) changeSettings(body string) int64 {
	for range 60 {
		addresses := faults.world.OperatorAddresses()
		if len(addresses) == 0 {
			faults.world.Sleep(100 * time.Millisecond)
			continue
		}
		faults.changes++
		client := faults.world.Client(addresses[faults.random.IntN(len(addresses))])
		if settings, err := client.Read(false); err == nil && settings.Confirmed {
			change := operator.Change{Base: settings.Serial, Change: fmt.Sprint("all-", faults.changes), Settings: []byte(body)}
			patch := func(client *operator.Client) (*operator.Outcome, error) { return client.Patch(change) }
			if faults.ledger.Apply(change, client, faults.random, patch) == nil {
				return time.Now().UnixMilli()
			}
		}
		faults.world.Sleep(30 * time.Millisecond)
	}
	faults.world.reportViolation("settings change was not acknowledged: %s", body)
	return 0
}

// whileChanged runs meanwhile between a settings change and its reversal. The subjects of
// windows must not be served from 4.5 s after the change until the reversal.
func (faults *CombinedFaults) whileChanged(windows []checker.Window, apply, revert string, span time.Duration, meanwhile func()) {
	from := faults.changeSettings(apply)
	for index := range windows {
		windows[index].From = from + 4500
	}
	meanwhile()
	faults.world.Sleep(span)
	until := time.Now().UnixMilli()
	faults.changeSettings(revert)
	for index := range windows {
		windows[index].Until = until
	}
	faults.world.windows = append(faults.world.windows, windows...)
}

func (faults *CombinedFaults) whileDrained(zone string, meanwhile func()) {
	windows := []checker.Window{}
	for _, backend := range faults.world.Backends {
		if backend.Listed.Zone == zone {
			windows = append(windows, checker.Window{Kind: "backend", Subject: backend.Listed.Name})
		}
	}
	for _, daemon := range faults.world.Daemons {
		if daemon.Zone == zone && daemon.Kind == message.ProxyKind {
			windows = append(windows, checker.Window{Kind: "front", Subject: daemon.PublicAddress})
		}
	}
	faults.whileChanged(
		windows,
		fmt.Sprintf(`{"drained":{"zones":[%q]}}`, zone),
		`{"drained":{"zones":[]}}`,
		faults.randomSpan(5000, 7000),
		meanwhile,
	)
}

// Inject injects one fault and heals it.
func (faults *CombinedFaults) Inject(kind string) {
	world, random := faults.world, faults.random
	proxies, zones := faults.shuffledProxies(), []string{"e1", "w1", "s1"}
	random.Shuffle(len(zones), func(left, right int) { zones[left], zones[right] = zones[right], zones[left] })
	backend := world.Backends[random.IntN(len(world.Backends))]
	switch kind {
	case "core":
		faults.coreFaults.Inject(CoreFaults[random.IntN(len(CoreFaults))], random.IntN(len(world.Cores)))
	case "clock":
		jumps := []int64{-7_200_000, -180_000, -9_000, 9_000, 180_000, 7_200_000}
		world.Cores[random.IntN(len(world.Cores))].clockOffsetMs.Store(jumps[random.IntN(len(jumps))])
	case "disk-fails":
		index := random.IntN(len(world.Cores))
		world.Cores[index].Disk.Fail(true)
		world.Sleep(faults.randomSpan(300, 1500))
		world.KillCore(index, true)
		world.StartCore(index)
	case "proxy-killed":
		faults.restart(proxies[:1], faults.randomSpan(50, 2500))
	case "proxies-killed":
		faults.restart(proxies[:2+random.IntN(len(proxies)-2)], faults.randomSpan(50, 2500))
	case "dir-killed":
		faults.restart(world.Daemons[:1], faults.randomSpan(50, 1500))
	case "proxy-stopped":
		world.TerminateDaemon(proxies[0])
		world.StartDaemon(proxies[0])
	case "warned-then-killed":
		world.goroutines.Start(func() { proxies[0].Daemon.Leave() })
		world.Sleep(faults.randomSpan(50, 1200))
		faults.restart(proxies[:1], faults.randomSpan(50, 500))
	case "proxy-frozen":
		world.Net.Freeze(proxies[0].Host, true)
		world.Sleep(faults.randomSpan(200, 6000))
		world.Net.Freeze(proxies[0].Host, false)
	case "proxy-cut":
		world.isolateDaemons(
			proxies[:1],
			isolation{
				oneWay: random.IntN(3),
				span:   faults.randomSpan(500, 6000),
				flap:   time.Duration(random.IntN(2)) * 600 * time.Millisecond,
			},
		)
	case "proxies-apart", "core-away":
		setCut := func(cut bool) {
			for index, proxy := range proxies[:len(proxies)/2] {
				world.Net.Cut(proxy.Host, proxies[len(proxies)-1-index].Host, cut && kind == "proxies-apart")
			}
			for _, core := range world.Cores {
				for _, daemon := range world.Daemons {
					world.Net.Cut(core.Host, daemon.Host, cut && kind == "core-away")
				}
			}
		}
		setCut(true)
		world.Sleep(faults.randomSpan(500, 4000))
		setCut(false)
	case "zone-lost", "region-lost":
		faults.powerOffZones(zones[0])
	case "zone-emptied":
		faults.whileDrained(zones[0], func() {})
	case "zone-lost-other-emptied":
		faults.whileDrained(zones[0], func() { faults.powerOffZones(zones[1]) })
	case "backend-crash":
		world.StopBackend(backend)
		world.Sleep(faults.randomSpan(100, 2500))
		world.ReviveBackend(backend, 0)
	case "backends-cold-herd":
		crashed := world.Backends[:len(world.Backends)/2]
		for _, each := range crashed {
			world.StopBackend(each)
		}
		world.Sleep(faults.randomSpan(100, 1500))
		for _, each := range crashed {
			world.ReviveBackend(each, 4000)
		}
		faults.restart(proxies[:1], faults.randomSpan(200, 1500))
	case "backend-frozen":
		world.Net.Freeze(host(backend.Listed.Address), true)
		world.Sleep(faults.randomSpan(200, 3000))
		world.Net.Freeze(host(backend.Listed.Address), false)
	case "backend-leaves":
		backend.Backend.Leave()
		world.Sleep(faults.randomSpan(4000, 7000))
		world.StopBackend(backend)
		world.ReviveBackend(backend, 2000)
	case "misbehave":
		for range 6 {
			modes := standin.FaultModes
			world.Backends[random.IntN(len(world.Backends))].Backend.Misbehave(modes[random.IntN(len(modes))], 1+random.IntN(4))
			world.Sleep(faults.randomSpan(50, 300))
		}
	case "platform":
		world.Platform.Misbehave([]string{"gone", "refuse", "shift"}[random.IntN(3)], faults.randomSpan(500, 3000))
		world.Sleep(2 * time.Second)
	case "platform-usage":
		world.Platform.Misbehave(
			[]string{"usage-gone", "usage-refuse", "usage-slow", "usage-late"}[random.IntN(4)],
			faults.randomSpan(500, 3000),
		)
		world.Sleep(2 * time.Second)
	case "lag":
		world.Platform.SetLag([]time.Duration{200 * time.Millisecond, 3 * time.Second, 3 * time.Minute}[random.IntN(3)])
	case "keys":
		faults.whileChanged(
			[]checker.Window{{Kind: "tenant", Subject: "birch"}},
			`{"tenants":{"birch":{"keys":[]}}}`,
			fmt.Sprintf(`{"tenants":{"birch":{"keys":[%q]}}}`, digestOf("key-of-birch")),
			faults.randomSpan(5000, 6500),
			func() {},
		)
	case "all-down":
		for index := range world.Cores {
			world.KillCore(index, true)
		}
		daemons := []*Daemon{}
		for _, daemon := range world.Daemons {
			if daemon.Lender == nil {
				daemons = append(daemons, daemon)
			}
		}
		for _, daemon := range daemons {
			world.KillDaemon(daemon)
		}
		world.Sleep(faults.randomSpan(10, 500))
		for index := range world.Cores {
			world.StartCore(index)
		}
		for _, daemon := range daemons {
			world.StartDaemon(daemon)
		}
		if !world.Until(15*time.Second, world.daemonsReady) {
			world.reportViolation("daemons not ready 15 s after the restart of the whole deployment")
		}
	}
}
