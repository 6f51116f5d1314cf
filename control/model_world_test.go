package control

import (
	"net/netip"
	"slices"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// modelBounds limit a walk or an exploration.
type modelBounds struct {
	founders int
	spares   int
	// late is how many of the founders have yet to hear of the first membership.
	late       int
	registers  []message.Register
	candidates int
	orders     int
	crashes    int
	powerLoss  int
	wipes      int
	steps      int
	enlists    int
	mends      int
	surveys    int
	duplicates int
	giveUps    int
	// prompt has every answer arrive at once, but for so many that are lost. Otherwise
	// answers are messages like others.
	prompt bool
	losses int
	// timeOuts lets a process that waits for nothing more begin anew.
	timeOuts bool
	// cuts lets a walk cut machines off for a while.
	cuts int
}

// modelSpent is how often each bounded action was taken.
type modelSpent struct {
	candidates, orders, crashes, powerLoss, wipes, steps, enlists, mends, surveys, duplicates, giveUps, losses int
}

// modelPacket is one message on its way: a request, or the answer to one. Answers reach
// only the process and the call that asked; requests may arrive whenever, or never.
type modelPacket struct {
	from, to int
	life     int
	call     int
	// as is the ID that the asker counts the receiver by; 0 where it does not count it.
	as       int
	register message.Register
	message  any
	answers  bool
	// amnesiac marks an answer of a replica that voted under this ID and lost that disk.
	amnesiac bool
	digested string
}

// modelWorld is the state of all machines and of all that is on its way.
type modelWorld struct {
	rules    *modelRules
	bounds   *modelBounds
	machines []*modelMachine
	owned    modelIDs
	flight   []*modelPacket
	ledger   *modelLedger
	spent    modelSpent
	cut      [8][8]bool
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

// newModelWorld has founders that vote already, late ones whose disks are of the first
// start and know no membership yet, and spares with blank disks.
func newModelWorld(rules *modelRules, bounds *modelBounds) *modelWorld {
	world := &modelWorld{rules: rules, bounds: bounds}
	addresses := []string{}
	for index := range bounds.founders + bounds.spares {
		machine := newModelMachine(index, !rules.syncs)
		world.machines = append(world.machines, machine)
		if index < bounds.founders {
			addresses = append(addresses, machine.address)
		}
	}
	first := consensus.InitialMembership(addresses)
	world.ledger = newModelLedger(first)
	for index, machine := range world.machines {
		lying := machine.disk.Lying
		machine.disk.Lying = false
		machine.start()
		voter := machine.process.core.replica
		if index < bounds.founders {
			modelMust(voter.MarkSinceBootstrap())
		}
		if index < bounds.founders-bounds.late {
			modelMust(voter.Join(first.Accepted()))
		}
		machine.disk.Lying = lying
	}
	return world
}

// clone shares with this world what neither changes: each clones a machine before its
// first change of it.
func (world *modelWorld) clone() *modelWorld {
	next := *world
	world.owned, next.owned = 0, 0
	next.machines = slices.Clone(world.machines)
	next.flight = slices.Clone(world.flight)
	next.ledger = world.ledger.clone()
	next.trace = slices.Clip(world.trace)
	return &next
}

// modelMust ends the run where a step of the setting up failed.
func modelMust(err error) {
	if err != nil {
		panic(err)
	}
}

// own is a machine that may be changed.
func (world *modelWorld) own(index int) *modelMachine {
	if !world.owned.has(index) {
		world.machines[index] = world.machines[index].clone()
		world.owned = world.owned.with(index)
	}
	world.machines[index].digested = ""
	return world.machines[index]
}

func (world *modelWorld) send(packet *modelPacket) { world.flight = append(world.flight, packet) }

// ask sends a request of a call to a voter, counted by the voter's ID.
func (world *modelWorld) ask(machine *modelMachine, call int, peer message.Peer, request any) {
	packet := &modelPacket{
		from:    machine.index,
		to:      modelIndex(peer.Address),
		life:    machine.process.life,
		call:    call,
		as:      peer.ID,
		message: request,
	}
	if accept, offers := request.(*message.AcceptRequest); offers {
		packet.register = accept.Register
	}
	world.send(packet)
}

// answer sends what was told to the asker.
func (world *modelWorld) answer(request *modelPacket, response any) {
	amnesiac := request.as > 0 && world.machines[request.to].forgotten.has(request.as)
	world.send(
		&modelPacket{
			from:     request.to,
			to:       request.from,
			life:     request.life,
			call:     request.call,
			as:       request.as,
			register: request.register,
			message:  response,
			answers:  true,
			amnesiac: amnesiac,
		},
	)
}

// take removes a message that is on its way.
func (world *modelWorld) take(index int) *modelPacket {
	packet := world.flight[index]
	world.flight = slices.Delete(world.flight, index, index+1)
	return packet
}

// prune drops messages that can't matter any more.
func (world *modelWorld) prune() {
	world.flight = slices.DeleteFunc(world.flight, world.idle)
}

// idle is whether a message can't matter any more: an answer to a call that ended, or
// a request of such a call that is too old for a disk that will not be lost.
func (world *modelWorld) idle(packet *modelPacket) bool {
	asker := world.machines[packet.from].process
	if packet.answers {
		asker = world.machines[packet.to].process
	}
	if asker != nil && asker.life == packet.life && asker.waitsFor(packet.call) {
		return false
	}
	if packet.answers {
		return true
	}
	teller := world.machines[packet.to].process
	if teller == nil || world.spent.wipes < world.bounds.wipes {
		return false
	}
	promised := teller.core.replica.State().Promised
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

func (process *modelProcess) waitsFor(call int) bool {
	return call > 0 && (call == process.enlisting || process.survey != nil && process.survey.call == call ||
		process.candidacy != nil && process.candidacy.call == call || process.push != nil && process.push.call == call ||
		process.admission != nil && process.admission.call == call)
}
