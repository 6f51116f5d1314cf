package control

import (
	"strings"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// What a machine does of itself.

// stand begins a candidacy; the pre-check, which only saves rounds, is left out.
func (world *modelWorld) stand(machine *modelMachine) {
	process := machine.process
	core, view := process.core, process.core.membership()
	term := world.rules.nextTerm(core, view)
	request := &message.PrepareRequest{Term: term, Membership: world.rules.askedMembers(view)}
	own, err := core.replica.Prepare(request)
	if err != nil || !own.Granted {
		if err == nil {
			core.observeTermNumber(own.Promised.Number)
		}
		return
	}
	process.candidacy = &modelCandidacy{
		call:     process.nextCall(),
		view:     view,
		ballot:   term,
		promises: map[int]*message.PrepareResponse{view.ID: own},
	}
	for _, peer := range view.Peers {
		world.ask(machine, process.candidacy.call, peer, request)
	}
	world.fenced(machine)
}

// surveys begins the return of a blank voter.
func (world *modelWorld) surveys(machine *modelMachine) {
	process := machine.process
	view := process.core.membership()
	process.survey = &modelSurvey{call: process.nextCall(), view: view, response: map[int]*message.ReplicaStateResponse{}}
	for _, peer := range view.Peers {
		world.ask(machine, process.survey.call, peer, &message.ReplicaStateRequest{Core: max(view.ID, 1), Membership: view.Version})
	}
}

// enlists asks any other core who votes and, at the leader, to become a learner.
func (world *modelWorld) enlists(machine *modelMachine, at int) {
	process := machine.process
	process.enlisting = process.nextCall()
	request := &message.JoinRequest{
		Address:        machine.address,
		SinceBootstrap: process.core.sinceBootstrap(),
		Known:          process.core.membership().Version,
	}
	world.ask(machine, process.enlisting, message.Peer{Address: world.machines[at].address}, request)
}

// order has the leader write an operator's order.
func (world *modelWorld) order(machine *modelMachine, register message.Register) {
	leadership := machine.process.leadership
	current := leadership.value(register)
	tag := byte('a' + world.spent.orders)
	value := message.Value{Serial: current.Serial + 1, Body: append([]byte(string(current.Body)), tag)}
	world.pushes(
		machine,
		&modelPush{
			purpose: modelWrite,
			view:    machine.process.core.membership(),
			ballot:  leadership.term,
			values:  map[message.Register]message.Value{register: value},
		},
	)
}

// replaces begins to give a voter's place to a learner.
func (world *modelWorld) replaces(machine *modelMachine, leaving, learner int) {
	address := world.machines[learner].address
	push := &modelPush{purpose: modelCatchUp, learner: address, leaving: leaving, values: world.held(machine)}
	if !world.rules.catchesUp {
		world.steps(machine, push)
		return
	}
	world.pushes(machine, push)
}

// steps writes the joint membership once the learner has everything.
func (world *modelWorld) steps(machine *modelMachine, former *modelPush) {
	next := world.rules.replaced(machine.process.core.membership(), former.leaving, former.learner)
	if !world.rules.beginsByStep {
		joint := &consensus.View{Membership: next}
		next = world.rules.settled(joint)
		next.Version.Serial = joint.Version.Serial
	}
	world.writesMembers(machine, modelStep, next)
}

// settles ends a step between two memberships.
func (world *modelWorld) settles(machine *modelMachine) {
	if !world.rules.rewrites {
		world.writesMembers(machine, modelSettle, world.rules.settled(machine.process.core.membership()))
		return
	}
	world.pushes(machine, &modelPush{purpose: modelRewrite, view: machine.process.core.membership(), values: world.held(machine)})
}

func (world *modelWorld) writesMembers(machine *modelMachine, purpose modelPurpose, next *consensus.Membership) {
	process := machine.process
	view, err := world.rules.countsBy(process.core, next, process.leadership.term)
	if err != nil {
		process.revoke()
		return
	}
	values := map[message.Register]message.Value{message.MembersRegister: view.Accepted().Value}
	world.pushes(machine, &modelPush{purpose: purpose, view: view, values: values})
}

// mends sends a leader's value to a core that seems to lack it; nobody counts that.
func (world *modelWorld) mends(machine *modelMachine, to int, register message.Register) {
	leadership := machine.process.leadership
	request := &message.AcceptRequest{Term: leadership.term, Register: register, Value: leadership.value(register)}
	world.ask(machine, 0, message.Peer{Address: world.machines[to].address}, request)
}

// held are the values that a leadership holds.
func (world *modelWorld) held(machine *modelMachine) map[message.Register]message.Value {
	values := map[message.Register]message.Value{message.MembersRegister: machine.process.leadership.value(message.MembersRegister)}
	for _, register := range world.bounds.registers {
		values[register] = machine.process.leadership.value(register)
	}
	return values
}

// pushes sends values to every voter of a membership, this one too, or to one learner.
func (world *modelWorld) pushes(machine *modelMachine, push *modelPush) {
	process := machine.process
	push.call = process.nextCall()
	push.took = map[message.Register]modelIDs{}
	if process.leadership != nil {
		push.ballot = process.leadership.term
	}
	process.push = push
	targets := []message.Peer{{Address: push.learner}}
	if push.purpose != modelCatchUp {
		targets = append([]message.Peer{{ID: push.view.ID, Address: machine.address}}, push.view.Peers...)
	}
	for register := range message.Registers {
		value, found := push.values[register]
		if !found {
			continue
		}
		if push.purpose != modelCatchUp {
			world.ledger.proposed(push.ballot, register, value, push.view)
		}
		for _, peer := range targets {
			request := &message.AcceptRequest{Term: push.ballot, Register: register, Value: value}
			if inherited := push.inherited[register]; inherited != (message.Version{}) {
				request = request.ByReference(inherited)
			}
			world.ask(machine, push.call, peer, request)
		}
	}
}

// fenced goes on to establish once a quorum promised.
func (world *modelWorld) fenced(machine *modelMachine) {
	process := machine.process
	candidacy := process.candidacy
	has := consensus.Agreed(candidacy.promises, consensus.Granted)
	if candidacy.restores {
		if !world.rules.fencesWithout(candidacy.view, candidacy.view.ID, has) {
			return
		}
		accepted, _ := world.rules.takenOver(candidacy.view, candidacy.promises)
		if world.rules.found(process.core, candidacy.ballot, accepted) != nil {
			process.revoke()
			return
		}
		machine.forgotten = machine.forgotten.without(candidacy.view.ID)
		candidacy.promises[candidacy.view.ID] = &message.PrepareResponse{
			Granted:  true,
			Promised: candidacy.ballot,
			Accepted: process.core.replica.State().Accepted,
		}
	}
	if !world.rules.decides(candidacy.view, has) {
		return
	}
	process.candidacy = nil
	if !world.rules.mayLead(candidacy.view, candidacy.view.ID) {
		return
	}
	newest, _ := world.rules.takenOver(candidacy.view, candidacy.promises)
	push := &modelPush{
		purpose: modelEstablish,
		view:    candidacy.view,
		ballot:  candidacy.ballot,
		values:  map[message.Register]message.Value{},
	}
	push.values[message.MembersRegister] = newest[message.MembersRegister].Value
	for _, register := range world.bounds.registers {
		push.values[register] = newest[register].Value
		push.inherited[register] = world.rules.refersTo(newest[register])
	}
	world.pushes(machine, push)
	if candidacy.restores {
		world.holdsCopies(machine, push)
	}
}

// holdsCopies notes what a restored voter holds under its own ballot: that is a vote.
func (world *modelWorld) holdsCopies(machine *modelMachine, push *modelPush) {
	accepted := machine.process.core.replica.State().Accepted
	for register, value := range push.values {
		if accepted[register].Version() == (message.Version{Term: push.ballot, Serial: value.Serial}) {
			world.ledger.accepted(machine.index, &message.AcceptRequest{Term: push.ballot, Register: register, Value: value})
		}
	}
}

// surveyed is the rule of a core that heard of no leader: it serves what a quorum
// accepted under one ballot. The others are asked at one moment.
func (world *modelWorld) surveyed(machine *modelMachine) {
	core := machine.process.core
	own, view := core.replica.State(), core.membership()
	for _, register := range world.bounds.registers {
		accepted := own.Accepted[register]
		same := func(response *message.ReplicaStateResponse) bool {
			return response.Initialized && response.Versions[register] == accepted.Version()
		}
		response := map[int]*message.ReplicaStateResponse{}
		for _, peer := range view.Peers {
			other := world.machines[modelIndex(peer.Address)]
			if other.process == nil || world.cut[machine.index][other.index] || world.cut[other.index][machine.index] {
				continue
			}
			if answer, err := other.process.core.onReplicaState(
				&message.ReplicaStateRequest{Core: max(view.ID, 1), Membership: view.Version},
			); err == nil {
				response[peer.ID] = answer
				core.learnMembership(answer.Membership)
			}
		}
		if accepted.Value.Serial > 0 && core.membership().SameVoters(view) && view.Decides(consensus.Agreed(response, same)) {
			world.ledger.serves(machine.index, register, accepted.Value)
		}
	}
}

// What a machine does with a message.

func (world *modelWorld) deliver(packet *modelPacket) {
	machine := world.own(packet.to)
	process := machine.process
	if process == nil {
		return
	}
	if packet.answers {
		if process.life == packet.life {
			world.hears(machine, packet)
		}
		return
	}
	switch request := packet.message.(type) {
	case *message.PrepareRequest:
		if response, err := process.core.onPrepare(request); err == nil {
			world.counts(machine, packet, response.Granted)
			world.answer(packet, response)
		}
	case *message.AcceptRequest:
		if held := process.core.replica.State().Accepted[request.Register]; world.rules.acceptsBySerial &&
			request.Inherited.Serial > 0 && request.Inherited.Serial == held.Value.Serial {
			request = request.ByReference(held.Version())
		}
		if response, err := process.core.onAccept(request); err == nil {
			world.counts(machine, packet, response.Accepted)
			if response.Accepted {
				world.ledger.accepted(machine.index, request)
				world.ledger.holds(request.Term, request.Register, process.core.replica.State().Accepted[request.Register])
			}
			world.answer(packet, response)
		}
	case *message.HeartbeatRequest:
		if response, err := process.core.onHeartbeat(request); err == nil {
			world.counts(machine, packet, response.Accepted && response.Voter)
			for register, accepted := range process.core.committed {
				world.ledger.serves(machine.index, message.Register(register), accepted.Value)
			}
			world.answer(packet, response)
		}
	case *message.ReplicaStateRequest:
		if response, err := process.core.onReplicaState(request); err == nil {
			world.answer(packet, response)
		}
	case *message.JoinRequest:
		world.hearsEnlist(machine, packet, request)
	}
}

// counts notes that the answer of a replica counts for an ID.
func (world *modelWorld) counts(machine *modelMachine, packet *modelPacket, agrees bool) {
	if !agrees || packet.as == 0 {
		return
	}
	if machine.process.core.replica.Blank() {
		world.ledger.violated(onlyVotersCount, "machine %d answers %T as ID %d on a blank disk", machine.index+1, packet.message, packet.as)
	}
	if world.ledger.given[packet.as] == machine.address {
		machine.voted = machine.voted.with(packet.as)
	}
}

// hearsEnlist is onEnlist: a leader answers a learner once a heartbeat begun later was
// taken by a quorum.
func (world *modelWorld) hearsEnlist(machine *modelMachine, packet *modelPacket, request *message.JoinRequest) {
	process := machine.process
	view := process.core.membership()
	if !view.Known() {
		return
	}
	if process.leadership == nil || !world.rules.admits(view, request.Address) {
		world.answer(packet, &message.JoinResponse{Membership: process.core.members.NewerThan(request.Known)})
		return
	}
	if process.admission != nil {
		return
	}
	process.admission = &modelAdmission{
		call:    process.nextCall(),
		view:    view,
		asked:   packet,
		history: world.ledger.acknowledged[message.SettingsRegister],
	}
	_, beat := process.leadership.nextHeartbeat(view)
	for _, peer := range view.Peers {
		world.ask(machine, process.admission.call, peer, beat)
	}
	world.confirmed(machine)
}

// confirmed answers a learner that waits.
func (world *modelWorld) confirmed(machine *modelMachine) {
	process := machine.process
	admission := process.admission
	if world.rules.confirms {
		if !world.rules.decides(admission.view, admission.took.has) || process.core.replica.State().Promised != process.leadership.term {
			return
		}
		if body := string(process.leadership.value(message.SettingsRegister).Body); !strings.HasPrefix(body, admission.history) {
			world.ledger.violated(confirmedReadIsNewest, "machine %d holds %q, acknowledged was %q", machine.index, body, admission.history)
		}
	}
	process.admission = nil
	request := admission.asked.message.(*message.JoinRequest)
	response := &message.JoinResponse{
		Term:     process.leadership.term,
		Admitted: world.rules.admits(process.core.membership(), request.Address),
	}
	response.Membership = process.core.members.NewerThan(request.Known)
	world.answer(admission.asked, response)
}

// hears is what a process does with an answer to its call.
func (world *modelWorld) hears(machine *modelMachine, packet *modelPacket) {
	process := machine.process
	if !process.waitsFor(packet.call) {
		return
	}
	if packet.amnesiac && modelAgrees(packet.message) {
		world.ledger.violated(
			onlyVotersCount,
			"%T of machine %d counts for ID %d without the disk that voted so",
			packet.message,
			packet.from+1,
			packet.as,
		)
	}
	switch response := packet.message.(type) {
	case *message.PrepareResponse:
		for id, promise := range process.core.grantedPromises(map[int]*message.PrepareResponse{packet.as: response}) {
			process.candidacy.promises[id] = promise
			world.fenced(machine)
		}
	case *message.AcceptResponse:
		world.hearsAccept(machine, packet, response)
	case *message.HeartbeatResponse:
		if process.leadership == nil {
			return
		}
		if response.Accepted && response.Voter {
			process.admission.took = process.admission.took.with(packet.as)
			world.confirmed(machine)
		}
	case *message.ReplicaStateResponse:
		world.hearsSurvey(machine, packet, response)
	case *message.JoinResponse:
		world.hearsEnlisted(machine, response)
	}
}

// modelAgrees is whether an answer would count.
func modelAgrees(request any) bool {
	switch response := request.(type) {
	case *message.PrepareResponse:
		return response.Granted
	case *message.AcceptResponse:
		return response.Accepted
	case *message.HeartbeatResponse:
		return response.Accepted && response.Voter
	}
	return false
}

func (world *modelWorld) hearsSurvey(machine *modelMachine, packet *modelPacket, response *message.ReplicaStateResponse) {
	process := machine.process
	survey, core := process.survey, process.core
	core.observeTermNumber(response.Promised.Number)
	core.learnMembership(response.Membership)
	survey.response[packet.as] = response
	if !world.rules.mayRestore(core, survey.view, survey.response) {
		return
	}
	process.survey = nil
	term := world.rules.nextTerm(core, survey.view)
	process.candidacy = &modelCandidacy{
		call:     process.nextCall(),
		view:     survey.view,
		ballot:   term,
		promises: map[int]*message.PrepareResponse{},
		restores: true,
	}
	request := &message.PrepareRequest{Term: term, Membership: world.rules.askedMembers(survey.view)}
	for _, peer := range survey.view.Peers {
		world.ask(machine, process.candidacy.call, peer, request)
	}
}

// hearsEnlisted is join for a core that knew no membership, and learn for others.
func (world *modelWorld) hearsEnlisted(machine *modelMachine, response *message.JoinResponse) {
	process := machine.process
	core := process.core
	process.enlisting = 0
	membership, err := consensus.DecodeMembership(response.Membership)
	if !core.membership().Known() && err == nil && membership != nil && core.replica.Blank() &&
		consensus.NewView(machine.address, membership).MayVoteAtOnce(core.sinceBootstrap()) {
		if core.replica.Join(response.Membership) != nil {
			return
		}
	}
	core.learnMembership(response.Membership)
	if world.rules.mayBeginEmpty(core, response) {
		world.rules.beginEmpty(core, response.Term)
	}
}

func (world *modelWorld) hearsAccept(machine *modelMachine, packet *modelPacket, response *message.AcceptResponse) {
	process := machine.process
	push := process.push
	if response.LacksValue {
		request := &message.AcceptRequest{Term: push.ballot, Register: packet.register, Value: push.values[packet.register]}
		world.ask(machine, push.call, message.Peer{ID: packet.as, Address: world.machines[packet.from].address}, request)
		return
	}
	if !response.Accepted {
		process.core.observeTermNumber(response.Promised.Number)
		return
	}
	push.took[packet.register] = push.took[packet.register].with(packet.as)
	for register := range push.values {
		took := push.took[register]
		if push.purpose == modelCatchUp && took == 0 || push.purpose != modelCatchUp && !world.rules.pushed(push.view, took.has) {
			return
		}
	}
	process.push = nil
	if push.purpose != modelCatchUp {
		for register := range push.values {
			world.ledger.counted(push, register)
		}
	}
	world.pushed(machine, push)
}

// pushed is what follows once a quorum took all values of a push.
func (world *modelWorld) pushed(machine *modelMachine, push *modelPush) {
	process := machine.process
	switch push.purpose {
	case modelEstablish:
		if process.core.replica.State().Promised != push.ballot || world.rules.leadsBy(process.core, push.view, push.ballot) != nil {
			return
		}
		process.leadership = &Leadership{core: process.core, term: push.ballot}
		for register, value := range push.values {
			process.leadership.values[register] = value
		}
		world.ledger.leads(machine.index, push)
	case modelCatchUp:
		world.steps(machine, push)
	case modelRewrite:
		world.writesMembers(machine, modelSettle, world.rules.settled(push.view))
	default:
		for register, value := range push.values {
			process.leadership.values[register] = value
		}
	}
}
