package simulation

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"orchidjunction/agent"
	"orchidjunction/concurrent"
	"orchidjunction/consensus"
	"orchidjunction/control"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/replica"
	"orchidjunction/rpc"
)

// ObservedLeadership is one leadership that came to stand.
type ObservedLeadership struct {
	Core int
	Host string
	Term message.Term
	At   time.Time
}

// Core is one core machine of the world.
type Core struct {
	ID              int
	Host            string
	InternalAddress string
	OperatorAddress string
	Disk            *Disk
	Core            *control.Core
	Alive           bool
	Seeds           []string
	goroutines      *concurrent.Group
	servers         []*http.Server
	client          *rpc.Client
	starts          uint64
	jump            atomic.Int64
	wiped           bool
	gone            bool
	// returned is whether a removed machine was started again.
	returned  bool
	Forwarder *agent.Forwarder
}

// retireLimit is how long a core has from SIGTERM until it is killed.
const retireLimit = 6 * time.Second

func newCore(id int, host string, disk *Disk) *Core {
	return &Core{ID: id, Host: host, InternalAddress: host + ":41", OperatorAddress: host + ":42", Disk: disk}
}

// machines are the core machines of the deployment as they are now: one a seat,
// without those that were replaced.
func (world *World) machines() []*Core {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return append([]*Core{}, world.Cores...)
}

func (world *World) machine(index int) *Core {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.Cores[index]
}

// StartCore starts a core on whatever its disk holds.
func (world *World) StartCore(index int) { world.start(world.machine(index)) }

// start does nothing for a machine that runs already or is gone for good.
func (world *World) start(machine *Core) {
	if machine.life(world) != nil || world.isGone(machine) {
		return
	}
	config := world.corePlace(machine)
	machine.goroutines = concurrent.NewGroup()
	machine.client = rpc.NewClient(world.Net.Transport(machine.Host))
	counters := metrics.NewCounters()
	finder := world.coreFinder(machine, &config)
	config.OnMembershipChange = finder.ObserveMembership
	core, err := control.NewCore(config, machine.Disk, machine.client, machine.goroutines, counters)
	if err != nil {
		world.broke("core %d does not start: %v", machine.ID, err)
		return
	}
	server := rpc.NewServer(counters)
	core.Register(server)
	forwarder := agent.NewForwarder(finder, machine.client, counters).WithLimits(world.Limits)
	if len(config.Seeds) > 0 {
		forwarder.SetLocalLeader(core.Leader)
	}
	world.mutex.Lock()
	machine.Core, machine.Forwarder, machine.Alive = core, forwarder, true
	world.mutex.Unlock()
	operate := agent.NewOperatorAPI(fmt.Sprint(machine.ID), forwarder, counters, core.Settings, core.CanVote)
	machine.servers = []*http.Server{
		world.serve(machine.goroutines, machine.InternalAddress, server),
		world.serve(machine.goroutines, machine.OperatorAddress, operate),
	}
	finder.Run()
	core.Run()
}

func (world *World) corePlace(machine *Core) control.Config {
	config := control.Config{
		ID:                machine.ID,
		Zone:              "z",
		InternalAddress:   machine.InternalAddress,
		OperatorAddress:   machine.OperatorAddress,
		Bootstrap:         true,
		PlatformAddress:   world.platformAddress(),
		HeartbeatInterval: HeartbeatInterval,
		SuspicionTimeout:  SuspicionTimeout,
		Seed:              world.Seed + machine.starts*1000,
	}
	machine.starts++
	for _, other := range world.machines() {
		if other != machine {
			config.Peers = append(config.Peers, message.Peer{ID: other.ID, Address: other.InternalAddress})
		}
	}
	config.Wall = func() int64 { return time.Now().UnixMilli() + machine.jump.Load() }
	if world.Shape != nil {
		world.Shape(machine, &config)
		if err := config.Check(); err != nil {
			world.broke("%s: %v", machine.Host, err)
		}
	}
	config.OnRole = func(_ control.Role, term message.Term) { world.led(machine, term) }
	return config
}

// coreFinder knows at first what the core was told: all cores, or its seeds.
func (world *World) coreFinder(machine *Core, config *control.Config) *agent.LeaderFinder {
	addresses := append([]string{}, config.Seeds...)
	if len(addresses) == 0 {
		for _, other := range world.machines() {
			addresses = append(addresses, other.InternalAddress)
		}
	}
	return agent.NewLeaderFinder(machine.client, machine.goroutines, addresses).WithIntervals(world.Intervals)
}

// led judges each leadership as it comes to stand: its ballot must by then be
// lasting at a majority of the voters that it knows, in a step between two groups of
// both, and no register it left behind may be newer.
func (world *World) led(leader *Core, term message.Term) {
	own, err := replica.OpenStore(world.diskOf(leader).Copy())
	if err != nil {
		return
	}
	promised, rewritten := map[string]bool{}, map[string]bool{}
	for _, machine := range world.everyMachine() {
		store, err := replica.OpenStore(world.diskOf(machine).Copy())
		if err != nil {
			continue
		}
		state := store.State()
		promised[machine.InternalAddress] = !state.Promised.Less(term)
		rewritten[machine.InternalAddress] = !state.Accepted[message.SettingsRegister].Term.Less(term)
	}
	for _, group := range world.votersOf(own.State()) {
		if count, need := among(group, promised), len(group)/2+1; count < need {
			world.broke("core %d leads under %s, fenced at %d of %d", leader.ID, term, count, need)
		}
		if count, need := among(group, rewritten), len(group)/2+1; count < need {
			world.broke("core %d leads under %s, re-written at %d of %d", leader.ID, term, count, need)
		}
	}
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, other := range world.Leads {
		if other.Term == term {
			world.Broken = append(world.Broken, fmt.Sprintf("%s and %s both led under %s", other.Host, leader.Host, term))
		}
	}
	world.Leads = append(world.Leads, ObservedLeadership{Core: leader.ID, Host: leader.Host, Term: term, At: time.Now()})
}

// votersOf are the addresses of each group that decides by a core's state; where
// that has no membership, all cores that there are.
func (world *World) votersOf(state *consensus.State) [][]string {
	membership := state.Membership()
	if membership == nil {
		return [][]string{wires(world.machines())}
	}
	groups := [][]string{addressesOf(membership.Voters)}
	if len(membership.Next) > 0 {
		groups = append(groups, addressesOf(membership.Next))
	}
	return groups
}

func addressesOf(peers []message.Peer) []string {
	addresses := []string{}
	for _, peer := range peers {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}

func among(addresses []string, has map[string]bool) int {
	count := 0
	for _, address := range addresses {
		if has[address] {
			count++
		}
	}
	return count
}

func (world *World) diskOf(machine *Core) *Disk {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return machine.Disk
}

// voterDisks are the disks of the deployment's machines, and of those that are
// being replaced and have not ended yet.
func (world *World) voterDisks() []*Disk {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	disks := []*Disk{}
	for _, machine := range world.Cores {
		disks = append(disks, machine.Disk)
	}
	for _, machine := range world.Removed {
		if machine.Alive && !machine.returned {
			disks = append(disks, machine.Disk)
		}
	}
	return disks
}

// life is the core that runs on this machine now, nil when none does.
func (machine *Core) life(world *World) *control.Core {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if !machine.Alive {
		return nil
	}
	return machine.Core
}

// hold is what brings orders from this machine to the leader, nil when none runs.
func (machine *Core) hold(world *World) *agent.Forwarder {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if !machine.Alive {
		return nil
	}
	return machine.Forwarder
}

func (world *World) isGone(machine *Core) bool {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return machine.gone
}

// KillCore ends a core at once; with power lost only synced data stays.
func (world *World) KillCore(index int, power bool) { world.kill(world.machine(index), power) }

func (world *World) kill(machine *Core, power bool) {
	world.end(machine, power, world.Net.Kill)
}

// end ends a machine's process; disconnect is what becomes of its connections.
func (world *World) end(machine *Core, power bool, disconnect func(host string)) {
	if !world.ends(&machine.Alive) {
		return
	}
	world.mutex.Lock()
	machine.Disk = machine.Disk.Sever(power)
	world.mutex.Unlock()
	disconnect(machine.Host)
	machine.goroutines.Stop()
	for _, server := range machine.servers {
		_ = server.Close() // its listeners are the net's
	}
	machine.client.Close()
}

// TermCore is the platform's warning: the core steps down if it leads, then ends.
func (world *World) TermCore(index int) { world.term(world.machine(index)) }

func (world *World) term(machine *Core) {
	core := machine.life(world)
	if core == nil {
		return
	}
	core.Retire(retireLimit)
	world.kill(machine, false)
}

// WipeCore ends a core and gives it an empty disk.
func (world *World) WipeCore(index int) { world.wipe(world.machine(index)) }

func (world *World) wipe(machine *Core) {
	world.kill(machine, true)
	world.mutex.Lock()
	machine.Disk = NewDisk(world.Seed + uint64(machine.ID) + 76)
	machine.wiped = true
	world.mutex.Unlock()
}
