package simulation

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"orchidjunction/agent"
	"orchidjunction/concurrent"
	"orchidjunction/control"
	"orchidjunction/harness/standin"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// Spare is a core machine beside the founding ones: it has seeds and no ID.
type Spare struct {
	*Core
	counters *metrics.Counters
}

// StartSpare starts a core on an empty disk that finds the others by its seeds.
func (world *World) StartSpare(number int) *Spare {
	host := fmt.Sprintf("10.%d.1.%d", world.Subnet, number)
	spare := &Spare{
		Core: &Core{
			Host:            host,
			InternalAddress: host + ":41",
			OperatorAddress: host + ":42",
			Disk:            NewDisk(world.Seed + uint64(100+number)),
		},
		counters: metrics.NewCounters(),
	}
	seeds := []string{}
	for _, core := range world.Cores {
		seeds = append(seeds, core.InternalAddress)
	}
	config := control.Config{
		Zone:              "z",
		InternalAddress:   spare.InternalAddress,
		OperatorAddress:   spare.OperatorAddress,
		Seeds:             seeds,
		MinFounders:       1,
		PlatformAddress:   world.platformAddress(),
		HeartbeatInterval: HeartbeatInterval,
		SuspicionTimeout:  SuspicionTimeout,
		Seed:              world.Seed + uint64(number)*7919,
	}
	if err := config.Check(); err != nil {
		world.reportViolation("spare %d: %v", number, err)
	}
	spare.goroutines, spare.client = concurrent.NewGroup(), rpc.NewClient(world.Net.Transport(host))
	finder := agent.NewLeaderFinder(spare.client, spare.goroutines, seeds)
	config.OnMembershipChange = finder.ObserveMembership
	core, err := control.NewCore(config, spare.Disk, spare.client, spare.goroutines, spare.counters)
	if err != nil {
		world.reportViolation("spare %d does not start: %v", number, err)
		return spare
	}
	spare.Core.Core, spare.Alive = core, true
	server := rpc.NewServer(spare.counters)
	core.Register(server)
	spare.Forwarder = agent.NewForwarder(finder, spare.client, spare.counters)
	operate := agent.NewOperatorAPI(fmt.Sprint("spare-", number), spare.Forwarder, spare.counters, core.Settings, core.CanVote)
	spare.servers = []*http.Server{
		world.serve(spare.goroutines, spare.InternalAddress, server),
		world.serve(spare.goroutines, spare.OperatorAddress, operate),
	}
	finder.Run()
	core.Run()
	return spare
}

// EndSpare ends a spare core at once.
func (world *World) EndSpare(spare *Spare) {
	if !world.markStopped(&spare.Alive) {
		return
	}
	world.Net.Kill(spare.Host)
	spare.goroutines.Stop()
	for _, server := range spare.servers {
		_ = server.Close()
	}
	spare.client.Close()
}

// cutDaemons cuts a core from every daemon, or joins it to them again.
func (world *World) cutDaemons(core *Core, cut bool) {
	for _, daemon := range world.Daemons {
		world.Net.Cut(core.Host, daemon.Host, cut)
	}
}

// wholeClaims is whether a core says that it lacks no claim it should hold.
func wholeClaims(core *Core) bool {
	response, err := rpc.Call(core.client, core.InternalAddress, message.MethodFetchClaims, time.Second, &message.FetchClaimsRequest{})
	return err == nil && response.Complete
}

// upWithKeepers starts the system with a backend in each zone, and waits until all
// proxies keep keys.
func (world *World) upWithKeepers(test *testing.T) {
	test.Helper()
	for _, zone := range []string{"e1", "w1", "s1"} {
		world.AddBackend("meters", zone, standin.BackendConfig{WorkMs: 20, Room: 64})
	}
	world.up(test, 8)
	if !world.Until(5*time.Second, func() bool { return world.keepers() == 6 }) {
		test.Fatalf("%d keepers", world.keepers())
	}
	world.Sleep(time.Second)
}

// A core that the others lost, but not the proxies, is replaced. Before and after
// that, keys are claimed at this core and at one other; then every proxy dies, and
// only the cores that were not asked are there: no key may be new to them.
func TestReplacedCoreKeepsNoClaimToItself(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.upWithKeepers(test)
		leader := world.Leader()
		leads, stays, goes := world.Cores[leader], world.Cores[(leader+1)%3], world.Cores[(leader+2)%3]
		world.cutDaemons(leads, true)
		tries := world.pay(10, 1000)
		world.Net.Cut(goes.Host, leads.Host, true)
		world.Net.Cut(goes.Host, stays.Host, true)
		spare := world.StartSpare(1)
		defer world.EndSpare(spare)
		world.Net.Cut(goes.Host, spare.Host, true)
		if !world.Until(10*time.Second, func() bool { return spare.Core.Core.CanVote() && wholeClaims(spare.Core) }) {
			test.Fatal("the spare core does not vote with all claims")
		}
		tries = append(tries, world.pay(20, 0)...)
		for _, daemon := range world.Daemons {
			world.KillDaemon(daemon)
		}
		world.KillCore((leader+2)%3, true)
		world.cutDaemons(leads, false)
		world.cutDaemons(stays, true)
		for _, daemon := range world.Daemons {
			world.StartDaemon(daemon)
		}
		if !world.Until(15*time.Second, world.daemonsReady) {
			world.reportViolation("not ready in 15 s")
		}
		_, replays := world.payAgain(tries)
		details := world.judge(nil, standin.LoadReport{Tries: tries})
		test.Logf("%s, %d replayed", details["no key charged twice"], replays)
		world.report(test)
	})
}

// Every core is replaced, one after the other, each for good. Each newcomer comes to
// lack no claim, and the last three know the keys that only the first three were told.
func TestClaimsOutliveEveryFoundingCore(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.upWithKeepers(test)
		tries := world.pay(20, 0)
		for number := range 3 {
			index := (int(seed) + number) % 3
			spare := world.replaceCore(test, index, number+1)
			begin := time.Now()
			if !world.Until(10*time.Second, func() bool { return wholeClaims(spare.Core) }) {
				test.Fatalf("replacement %d: the newcomer still lacks claims", number+1)
			}
			test.Logf("replacement %d: whole after another %v", number+1, time.Since(begin))
			world.Cores[index] = spare.Core
			tries = append(tries, world.pay(10, 1000*(number+1))...)
		}
		for _, daemon := range world.Daemons {
			world.KillDaemon(daemon)
		}
		for _, daemon := range world.Daemons {
			world.StartDaemon(daemon)
		}
		if !world.Until(15*time.Second, world.daemonsReady) {
			world.reportViolation("not ready in 15 s")
		}
		_, replays := world.payAgain(tries)
		details := world.judge(nil, standin.LoadReport{Tries: tries})
		test.Logf("%s, %d replayed", details["no key charged twice"], replays)
		if replays == 0 {
			test.Error("nothing was replayed")
		}
		world.reportWithSpares(test)
	})
}
