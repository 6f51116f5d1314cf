package control

import (
	"net/netip"
	"slices"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// modelBounds limits a walk or an exploration.
type modelBounds struct {
	founders int
	spares   int
	// lateFounders is the number of founders that do not know the first membership yet.
	lateFounders int
	registers    []message.Register
	candidacies  int
	writes       int
	crashes      int
	powerLosses  int
	wipes        int
	replacements int
	joins        int
	repairs      int
	recoveries   int
	duplicates   int
	aborts       int
	// promptResponses delivers each response immediately, except for up to lostResponses.
	// Otherwise responses are delivered like requests.
	promptResponses bool
	lostResponses   int
	// timeouts lets a process abort its attempt or leadership when it is stuck.
	timeouts bool
	// partitions, if not 0, lets a walk partition the machines.
	partitions int
}

// modelCounts has the number of times each bounded action was taken.
type modelCounts struct {
	candidacies, writes, crashes, powerLosses, wipes, replacements, joins, repairs, recoveries, duplicates, aborts, lostResponses int
}

// modelPacket is a request or a response in flight. A response reaches only the process and the
// call that sent the request. A request can arrive at any time, or never.
type modelPacket struct {
	from, to    int
	incarnation int
	call        int
	// voterID is the ID for which the response counts, or 0.
	voterID    int
	register   message.Register
	message    any
	isResponse bool
	// amnesiac marks a response of a replica that lost the disk which voted under this ID.
	amnesiac     bool
	cachedDigest string
}

// modelCluster is the state of all machines and of the messages in flight.
type modelCluster struct {
	rules    *modelRules
	bounds   *modelBounds
	machines []*modelMachine
	owned    modelIDSet
	inFlight []*modelPacket
	observer *modelObserver
	counts   modelCounts
	blocked  [8][8]bool
	trace    []string
	tracing  bool
}

func modelIndex(address string) int {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return 63
	}
	return int(parsed.Addr().As4()[3]) - 1
}

// newModelCluster returns a cluster of founders that are voters, late founders that know no
// membership yet, and spares with blank disks that do not date from the first start.
func newModelCluster(rules *modelRules, bounds *modelBounds) *modelCluster {
	cluster := &modelCluster{rules: rules, bounds: bounds}
	addresses := []string{}
	for index := range bounds.founders + bounds.spares {
		machine := newModelMachine(index, !rules.syncs)
		cluster.machines = append(cluster.machines, machine)
		if index < bounds.founders {
			addresses = append(addresses, machine.address)
		}
	}
	first := consensus.InitialMembership(addresses)
	cluster.observer = newModelObserver(first)
	for index, machine := range cluster.machines {
		lying := machine.disk.SkipSyncs
		machine.disk.SkipSyncs = false
		machine.start()
		replica := machine.process.core.replica
		if index < bounds.founders {
			modelMust(replica.MarkSinceBootstrap())
		}
		if index < bounds.founders-bounds.lateFounders {
			modelMust(replica.Join(first.Accepted()))
		}
		machine.disk.SkipSyncs = lying
	}
	return cluster
}

// clone returns a copy that shares machines with the original until either changes them
// through ownMachine.
func (cluster *modelCluster) clone() *modelCluster {
	next := *cluster
	cluster.owned, next.owned = 0, 0
	next.machines = slices.Clone(cluster.machines)
	next.inFlight = slices.Clone(cluster.inFlight)
	next.observer = cluster.observer.clone()
	next.trace = slices.Clip(cluster.trace)
	return &next
}

// modelMust panics if an operation that sets up the model fails.
func modelMust(err error) {
	if err != nil {
		panic(err)
	}
}

// ownMachine returns a machine to change, after copying it if it is shared.
func (cluster *modelCluster) ownMachine(index int) *modelMachine {
	if !cluster.owned.has(index) {
		cluster.machines[index] = cluster.machines[index].clone()
		cluster.owned = cluster.owned.with(index)
	}
	cluster.machines[index].cachedDigest = ""
	return cluster.machines[index]
}

func (cluster *modelCluster) send(packet *modelPacket) {
	cluster.inFlight = append(cluster.inFlight, packet)
}

// sendRequest sends a request of a call to a peer. A response counts for the peer's ID.
func (cluster *modelCluster) sendRequest(machine *modelMachine, call int, peer message.Peer, request any) {
	packet := &modelPacket{
		from:        machine.index,
		to:          modelIndex(peer.Address),
		incarnation: machine.process.incarnation,
		call:        call,
		voterID:     peer.ID,
		message:     request,
	}
	if accept, isAccept := request.(*message.AcceptRequest); isAccept {
		packet.register = accept.Register
	}
	cluster.send(packet)
}

func (cluster *modelCluster) sendResponse(request *modelPacket, response any) {
	amnesiac := request.voterID > 0 && cluster.machines[request.to].lostIDs.has(request.voterID)
	cluster.send(
		&modelPacket{
			from:        request.to,
			to:          request.from,
			incarnation: request.incarnation,
			call:        request.call,
			voterID:     request.voterID,
			register:    request.register,
			message:     response,
			isResponse:  true,
			amnesiac:    amnesiac,
		},
	)
}

func (cluster *modelCluster) takePacket(index int) *modelPacket {
	packet := cluster.inFlight[index]
	cluster.inFlight = slices.Delete(cluster.inFlight, index, index+1)
	return packet
}

func (cluster *modelCluster) dropObsolete() {
	cluster.inFlight = slices.DeleteFunc(cluster.inFlight, cluster.isObsolete)
}

// isObsolete reports whether a message can no longer have an effect: a response to an ended
// call, or a request of one that is too old for a receiver whose disk can no longer be lost.
func (cluster *modelCluster) isObsolete(packet *modelPacket) bool {
	requester := cluster.machines[packet.from].process
	if packet.isResponse {
		requester = cluster.machines[packet.to].process
	}
	if requester != nil && requester.incarnation == packet.incarnation && requester.awaits(packet.call) {
		return false
	}
	if packet.isResponse {
		return true
	}
	receiver := cluster.machines[packet.to].process
	if receiver == nil || cluster.counts.wipes < cluster.bounds.wipes {
		return false
	}
	promised := receiver.core.replica.State().Promised
	switch request := packet.message.(type) {
	case *message.PrepareRequest:
		return request.Term.Less(promised)
	case *message.AcceptRequest:
		return request.Term.Less(promised)
	case *message.HeartbeatRequest, *message.ReplicaStateRequest:
		return true
	}
	return false
}

func (process *modelProcess) awaits(call int) bool {
	return call > 0 && (call == process.joinCall || process.stateQuery != nil && process.stateQuery.call == call ||
		process.candidacy != nil && process.candidacy.call == call || process.replication != nil && process.replication.call == call ||
		process.admission != nil && process.admission.call == call)
}
