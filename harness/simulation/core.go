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

// ObservedLeadership records that a core became leader.
type ObservedLeadership struct {
	Core int
	Host string
	Term message.Term
	At   time.Time
}

// Core is a simulated core machine.
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
	clockOffsetMs   atomic.Int64
	emptyDisk       bool
	removedForGood  bool
	// returned says that the machine was removed and then started again.
	returned  bool
	Forwarder *agent.Forwarder
}

// retireTimeout is the time from SIGTERM until a core is killed.
const retireTimeout = 6 * time.Second

func newCore(id int, host string, disk *Disk) *Core {
	return &Core{ID: id, Host: host, InternalAddress: host + ":41", OperatorAddress: host + ":42", Disk: disk}
}

// machines returns the current core machines of the deployment, without those that were
// replaced.
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

// StartCore starts a core from the present content of its disk.
func (world *World) StartCore(index int) { world.startMachine(world.machine(index)) }

// startMachine does nothing if the machine is already running or permanently removed.
func (world *World) startMachine(machine *Core) {
	if machine.running(world) != nil || world.isRemovedForGood(machine) {
		return
	}
	config := world.coreConfig(machine)
	machine.goroutines = concurrent.NewGroup()
	machine.client = rpc.NewClient(world.Net.Transport(machine.Host))
	counters := metrics.NewCounters()
	finder := world.newLeaderFinder(machine, &config)
	config.OnMembershipChange = finder.ObserveMembership
	core, err := control.NewCore(config, machine.Disk, machine.client, machine.goroutines, counters)
	if err != nil {
		world.reportViolation("core %d failed to start: %v", machine.ID, err)
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
	operatorAPI := agent.NewOperatorAPI(fmt.Sprint(machine.ID), forwarder, counters, core.Settings, core.CanVote)
	machine.servers = []*http.Server{
		world.serve(machine.goroutines, machine.InternalAddress, server),
		world.serve(machine.goroutines, machine.OperatorAddress, operatorAPI),
	}
	finder.Run()
	core.Run()
}

func (world *World) coreConfig(machine *Core) control.Config {
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
	config.Wall = func() int64 { return time.Now().UnixMilli() + machine.clockOffsetMs.Load() }
	if world.AdjustCoreConfig != nil {
		world.AdjustCoreConfig(machine, &config)
		if err := config.Check(); err != nil {
			world.reportViolation("configuration of core %s is invalid: %v", machine.Host, err)
		}
	}
	config.OnRole = func(_ control.Role, term message.Term) { world.checkLeadership(machine, term) }
	return config
}

// newLeaderFinder starts with the core's seeds, or without seeds with all cores.
func (world *World) newLeaderFinder(machine *Core, config *control.Config) *agent.LeaderFinder {
	addresses := append([]string{}, config.Seeds...)
	if len(addresses) == 0 {
		for _, other := range world.machines() {
			addresses = append(addresses, other.InternalAddress)
		}
	}
	return agent.NewLeaderFinder(machine.client, machine.goroutines, addresses).WithIntervals(world.Intervals)
}

// checkLeadership checks that a majority of a new leader's voters, of the old and of the new
// ones during a membership change, have durably promised its term and accepted the settings
// register in it, and that no other core led in the same term.
func (world *World) checkLeadership(leader *Core, term message.Term) {
	own, err := replica.OpenStore(world.diskOf(leader).Copy())
	if err != nil {
		return
	}
	promised, accepted := map[string]bool{}, map[string]bool{}
	for _, machine := range world.allMachines() {
		store, err := replica.OpenStore(world.diskOf(machine).Copy())
		if err != nil {
			continue
		}
		state := store.State()
		promised[machine.InternalAddress] = !state.Promised.Less(term)
		accepted[machine.InternalAddress] = !state.Accepted[message.SettingsRegister].Term.Less(term)
	}
	for _, group := range world.voterGroups(own.State()) {
		if count, required := countMarked(group, promised), len(group)/2+1; count < required {
			world.reportViolation(
				"core %d leads under %s, but only %d of the required %d voters promised the term",
				leader.ID,
				term,
				count,
				required,
			)
		}
		if count, required := countMarked(group, accepted), len(group)/2+1; count < required {
			world.reportViolation(
				"core %d leads under %s, but only %d of the required %d voters accepted the settings in it",
				leader.ID,
				term,
				count,
				required,
			)
		}
	}
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, other := range world.Leaderships {
		if other.Term == term {
			world.Violations = append(world.Violations, fmt.Sprintf("%s and %s were both leader in term %s", other.Host, leader.Host, term))
		}
	}
	world.Leaderships = append(world.Leaderships, ObservedLeadership{Core: leader.ID, Host: leader.Host, Term: term, At: time.Now()})
}

// voterGroups returns the addresses of the voters in a core's state: one group, or two
// during a membership change. Without a membership the group is all cores.
func (world *World) voterGroups(state *consensus.State) [][]string {
	membership := state.Membership()
	if membership == nil {
		return [][]string{internalAddresses(world.machines())}
	}
	groups := [][]string{peerAddresses(membership.Voters)}
	if len(membership.Next) > 0 {
		groups = append(groups, peerAddresses(membership.Next))
	}
	return groups
}

func peerAddresses(peers []message.Peer) []string {
	addresses := []string{}
	for _, peer := range peers {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}

func countMarked(addresses []string, marked map[string]bool) int {
	count := 0
	for _, address := range addresses {
		if marked[address] {
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

// voterDisks returns the disks of the current machines, and of those that are being
// replaced but still running.
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

// running returns the core that is running on this machine, or nil.
func (machine *Core) running(world *World) *control.Core {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if !machine.Alive {
		return nil
	}
	return machine.Core
}

// runningForwarder returns the machine's forwarder to the leader, or nil if no core is running.
func (machine *Core) runningForwarder(world *World) *agent.Forwarder {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if !machine.Alive {
		return nil
	}
	return machine.Forwarder
}

func (world *World) isRemovedForGood(machine *Core) bool {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return machine.removedForGood
}

// KillCore kills a core's process; with powerLoss, unsynced data may be lost.
func (world *World) KillCore(index int, powerLoss bool) {
	world.killMachine(world.machine(index), powerLoss)
}

func (world *World) killMachine(machine *Core, powerLoss bool) {
	world.stopProcess(machine, powerLoss, world.Net.Kill)
}

// stopProcess ends a machine's process; disconnect breaks its connections.
func (world *World) stopProcess(machine *Core, powerLoss bool, disconnect func(host string)) {
	if !world.markStopped(&machine.Alive) {
		return
	}
	world.mutex.Lock()
	machine.Disk = machine.Disk.Detach(powerLoss)
	world.mutex.Unlock()
	disconnect(machine.Host)
	machine.goroutines.Stop()
	for _, server := range machine.servers {
		_ = server.Close() // the network has closed its listeners
	}
	machine.client.Close()
}

// TerminateCore simulates SIGTERM: the core steps down if it is the leader, then exits.
func (world *World) TerminateCore(index int) { world.terminate(world.machine(index)) }

func (world *World) terminate(machine *Core) {
	core := machine.running(world)
	if core == nil {
		return
	}
	core.Retire(retireTimeout)
	world.killMachine(machine, false)
}

// WipeCore kills a core and replaces its disk by an empty one.
func (world *World) WipeCore(index int) { world.wipeMachine(world.machine(index)) }

func (world *World) wipeMachine(machine *Core) {
	world.killMachine(machine, true)
	world.mutex.Lock()
	machine.Disk = NewDisk(world.Seed + uint64(machine.ID) + 76)
	machine.emptyDisk = true
	world.mutex.Unlock()
}
