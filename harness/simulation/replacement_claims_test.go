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

// Spare is a core machine that is not a founding one: it has seeds and no ID.
type Spare struct {
	*Core
	counters *metrics.Counters
}

// StartSpare starts a core with an empty disk that finds the others through its seeds.
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
	operatorAPI := agent.NewOperatorAPI(fmt.Sprint("spare-", number), spare.Forwarder, spare.counters, core.Settings, core.CanVote)
	spare.servers = []*http.Server{
		world.serve(spare.goroutines, spare.InternalAddress, server),
		world.serve(spare.goroutines, spare.OperatorAddress, operatorAPI),
	}
	finder.Run()
	core.Run()
	return spare
}

// EndSpare kills a spare core.
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

// cutDaemons cuts a core off from all daemons, or joins them again.
func (world *World) cutDaemons(core *Core, cut bool) {
	for _, daemon := range world.Daemons {
		world.Net.Cut(core.Host, daemon.Host, cut)
	}
}

// hasAllClaims reports whether a core says that it holds all claims it should.
func hasAllClaims(core *Core) bool {
	response, err := rpc.Call(core.client, core.InternalAddress, message.MethodFetchClaims, time.Second, &message.FetchClaimsRequest{})
	return err == nil && response.Complete
}

// startWithKeyReplicas starts the system with a backend in each zone, and waits until all
// proxies are key replicas.
func (world *World) startWithKeyReplicas(test *testing.T) {
	test.Helper()
	for _, zone := range []string{"e1", "w1", "s1"} {
		world.AddBackend("meters", zone, standin.BackendConfig{WorkMs: 20, Room: 64})
	}
	world.startSystem(test, 8)
	if !world.Until(5*time.Second, func() bool { return world.keyReplicaCount() == 6 }) {
		test.Fatalf("%d key replicas, want 6", world.keyReplicaCount())
	}
	world.Sleep(time.Second)
}

// A core that the other cores cannot reach, but the proxies can, is replaced. Before and after
// that, keys are claimed at it and at one other core; then all proxies are killed and only the
// cores without these requests are reachable: they must know every key.
func TestReplacedCoresClaimsAreKept(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.startWithKeyReplicas(test)
		leader := world.Leader()
		leaderCore, staying, leaving := world.Cores[leader], world.Cores[(leader+1)%3], world.Cores[(leader+2)%3]
		world.cutDaemons(leaderCore, true)
		tries := world.sendPayments(10, 1000)
		world.Net.Cut(leaving.Host, leaderCore.Host, true)
		world.Net.Cut(leaving.Host, staying.Host, true)
		spare := world.StartSpare(1)
		defer world.EndSpare(spare)
		world.Net.Cut(leaving.Host, spare.Host, true)
		if !world.Until(10*time.Second, func() bool { return spare.Core.Core.CanVote() && hasAllClaims(spare.Core) }) {
			test.Fatal("the spare core does not vote with all claims")
		}
		tries = append(tries, world.sendPayments(20, 0)...)
		for _, daemon := range world.Daemons {
			world.KillDaemon(daemon)
		}
		world.KillCore((leader+2)%3, true)
		world.cutDaemons(leaderCore, false)
		world.cutDaemons(staying, true)
		for _, daemon := range world.Daemons {
			world.StartDaemon(daemon)
		}
		if !world.Until(15*time.Second, world.daemonsReady) {
			world.reportViolation("not ready in 15 s")
		}
		_, replays := world.resendPayments(tries)
		details := world.judge(nil, standin.LoadReport{Tries: tries})
		test.Logf("%s, %d replayed", details["no key charged twice"], replays)
		world.reportFailures(test)
	})
}

// Every core is replaced permanently, one after the other. Each new core gets all claims, and
// the last three know the keys that were claimed only at the first three.
func TestClaimsSurviveReplacementOfAllCores(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.startWithKeyReplicas(test)
		tries := world.sendPayments(20, 0)
		for number := range 3 {
			index := (int(seed) + number) % 3
			spare := world.replaceWithSpare(test, index, number+1)
			begin := time.Now()
			if !world.Until(10*time.Second, func() bool { return hasAllClaims(spare.Core) }) {
				test.Fatalf("replacement %d: the new core still lacks claims after 10 s", number+1)
			}
			test.Logf("replacement %d: all claims after another %v", number+1, time.Since(begin))
			world.Cores[index] = spare.Core
			tries = append(tries, world.sendPayments(10, 1000*(number+1))...)
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
		_, replays := world.resendPayments(tries)
		details := world.judge(nil, standin.LoadReport{Tries: tries})
		test.Logf("%s, %d replayed", details["no key charged twice"], replays)
		if replays == 0 {
			test.Error("no answer was replayed")
		}
		world.reportWithSpares(test)
	})
}
