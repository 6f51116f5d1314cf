package control

import (
	"strings"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// Actions that a machine begins.

// campaign begins a candidacy, without the pre-check, which only saves rounds.
func (cluster *modelCluster) campaign(machine *modelMachine) {
	process := machine.process
	core, view := process.core, process.core.membership()
	term := cluster.rules.nextTerm(core, view)
	request := &message.PrepareRequest{Term: term, Membership: cluster.rules.prepareMembership(view)}
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
		term:     term,
		promises: map[int]*message.PrepareResponse{view.ID: own},
	}
	for _, peer := range view.Peers {
		cluster.sendRequest(machine, process.candidacy.call, peer, request)
	}
	cluster.handlePromises(machine)
}

// startRestore begins to restore a blank voter.
func (cluster *modelCluster) startRestore(machine *modelMachine) {
	process := machine.process
	view := process.core.membership()
	process.stateQuery = &modelStateQuery{call: process.nextCall(), view: view, responses: map[int]*message.ReplicaStateResponse{}}
	for _, peer := range view.Peers {
		cluster.sendRequest(
			machine,
			process.stateQuery.call,
			peer,
			&message.ReplicaStateRequest{Core: max(view.ID, 1), Membership: view.Version},
		)
	}
}

// join asks another core for the membership and, if it leads, for admission as a learner.
func (cluster *modelCluster) join(machine *modelMachine, through int) {
	process := machine.process
	process.joinCall = process.nextCall()
	request := &message.JoinRequest{
		Address:        machine.address,
		SinceBootstrap: process.core.sinceBootstrap(),
		Known:          process.core.membership().Version,
	}
	cluster.sendRequest(machine, process.joinCall, message.Peer{Address: cluster.machines[through].address}, request)
}

// write makes the leader write a new value of a register.
func (cluster *modelCluster) write(machine *modelMachine, register message.Register) {
	leadership := machine.process.leadership
	current := leadership.value(register)
	tag := byte('a' + cluster.counts.writes)
	value := message.Value{Serial: current.Serial + 1, Body: append([]byte(string(current.Body)), tag)}
	cluster.replicate(
		machine,
		&modelReplication{
			purpose: modelWrite,
			view:    machine.process.core.membership(),
			term:    leadership.term,
			values:  map[message.Register]message.Value{register: value},
		},
	)
}

func (cluster *modelCluster) replaceVoter(machine *modelMachine, leaving, learner int) {
	address := cluster.machines[learner].address
	replication := &modelReplication{purpose: modelCatchUp, learner: address, leavingID: leaving, values: cluster.currentValues(machine)}
	if !cluster.rules.catchesUpLearner {
		cluster.writeJointMembership(machine, replication)
		return
	}
	cluster.replicate(machine, replication)
}

// writeJointMembership writes the joint membership once the learner has caught up.
func (cluster *modelCluster) writeJointMembership(machine *modelMachine, former *modelReplication) {
	next := cluster.rules.withReplacement(machine.process.core.membership(), former.leavingID, former.learner)
	if !cluster.rules.usesJointMembership {
		joint := &consensus.View{Membership: next}
		next = cluster.rules.afterJoint(joint)
		next.Version.Serial = joint.Version.Serial
	}
	cluster.writeMembership(machine, modelWriteJoint, next)
}

// finishReplacement begins to end a joint membership.
func (cluster *modelCluster) finishReplacement(machine *modelMachine) {
	if !cluster.rules.rewritesValues {
		cluster.writeMembership(machine, modelWriteFinal, cluster.rules.afterJoint(machine.process.core.membership()))
		return
	}
	cluster.replicate(
		machine,
		&modelReplication{purpose: modelRewrite, view: machine.process.core.membership(), values: cluster.currentValues(machine)},
	)
}

func (cluster *modelCluster) writeMembership(machine *modelMachine, purpose modelPurpose, next *consensus.Membership) {
	process := machine.process
	view, err := cluster.rules.adopt(process.core, next, process.leadership.term)
	if err != nil {
		process.abort()
		return
	}
	values := map[message.Register]message.Value{message.MembersRegister: view.Accepted().Value}
	cluster.replicate(machine, &modelReplication{purpose: purpose, view: view, values: values})
}

// repair sends a leader's value to another core, whose response does not count.
func (cluster *modelCluster) repair(machine *modelMachine, to int, register message.Register) {
	leadership := machine.process.leadership
	request := &message.AcceptRequest{Term: leadership.term, Register: register, Value: leadership.value(register)}
	cluster.sendRequest(machine, 0, message.Peer{Address: cluster.machines[to].address}, request)
}

func (cluster *modelCluster) currentValues(machine *modelMachine) map[message.Register]message.Value {
	values := map[message.Register]message.Value{message.MembersRegister: machine.process.leadership.value(message.MembersRegister)}
	for _, register := range cluster.bounds.registers {
		values[register] = machine.process.leadership.value(register)
	}
	return values
}

// replicate sends values to every voter, including this one, or to one learner.
func (cluster *modelCluster) replicate(machine *modelMachine, replication *modelReplication) {
	process := machine.process
	replication.call = process.nextCall()
	replication.acceptedBy = map[message.Register]modelIDSet{}
	if process.leadership != nil {
		replication.term = process.leadership.term
	}
	process.replication = replication
	targets := []message.Peer{{Address: replication.learner}}
	if replication.purpose != modelCatchUp {
		targets = append([]message.Peer{{ID: replication.view.ID, Address: machine.address}}, replication.view.Peers...)
	}
	for register := range message.Registers {
		value, found := replication.values[register]
		if !found {
			continue
		}
		if replication.purpose != modelCatchUp {
			cluster.observer.recordProposal(replication.term, register, value, replication.view)
		}
		for _, peer := range targets {
			request := &message.AcceptRequest{Term: replication.term, Register: register, Value: value}
			if inherited := replication.inherited[register]; inherited != (message.Version{}) {
				request = request.ByReference(inherited)
			}
			cluster.sendRequest(machine, replication.call, peer, request)
		}
	}
}

// handlePromises begins to establish a leadership once a quorum has promised.
func (cluster *modelCluster) handlePromises(machine *modelMachine) {
	process := machine.process
	candidacy := process.candidacy
	has := consensus.Agreed(candidacy.promises, consensus.Granted)
	if candidacy.restoring {
		if !cluster.rules.fencesLostVoter(candidacy.view, candidacy.view.ID, has) {
			return
		}
		accepted, _ := cluster.rules.inheritedValues(candidacy.view, candidacy.promises)
		if cluster.rules.initialize(process.core, candidacy.term, accepted) != nil {
			process.abort()
			return
		}
		machine.lostIDs = machine.lostIDs.without(candidacy.view.ID)
		candidacy.promises[candidacy.view.ID] = &message.PrepareResponse{
			Granted:  true,
			Promised: candidacy.term,
			Accepted: process.core.replica.State().Accepted,
		}
	}
	if !cluster.rules.decides(candidacy.view, has) {
		return
	}
	process.candidacy = nil
	if !cluster.rules.mayLead(candidacy.view, candidacy.view.ID) {
		return
	}
	newest, _ := cluster.rules.inheritedValues(candidacy.view, candidacy.promises)
	replication := &modelReplication{
		purpose: modelEstablish,
		view:    candidacy.view,
		term:    candidacy.term,
		values:  map[message.Register]message.Value{},
	}
	replication.values[message.MembersRegister] = newest[message.MembersRegister].Value
	for _, register := range cluster.bounds.registers {
		replication.values[register] = newest[register].Value
		replication.inherited[register] = cluster.rules.inheritedVersion(newest[register])
	}
	cluster.replicate(machine, replication)
	if candidacy.restoring {
		cluster.recordRestoredVotes(machine, replication)
	}
}

// recordRestoredVotes counts the values that a restored voter stored under its new term as votes.
func (cluster *modelCluster) recordRestoredVotes(machine *modelMachine, replication *modelReplication) {
	accepted := machine.process.core.replica.State().Accepted
	for register, value := range replication.values {
		if accepted[register].Version() == (message.Version{Term: replication.term, Serial: value.Serial}) {
			cluster.observer.recordAcceptance(
				machine.index,
				&message.AcceptRequest{Term: replication.term, Register: register, Value: value},
			)
		}
	}
}

// recoverCommitted models runRoutingRecovery: a core serves the values that a quorum accepted
// under one term. All others are asked at the same moment.
func (cluster *modelCluster) recoverCommitted(machine *modelMachine) {
	core := machine.process.core
	own, view := core.replica.State(), core.membership()
	for _, register := range cluster.bounds.registers {
		accepted := own.Accepted[register]
		same := func(response *message.ReplicaStateResponse) bool {
			return response.Initialized && response.Versions[register] == accepted.Version()
		}
		responses := map[int]*message.ReplicaStateResponse{}
		for _, peer := range view.Peers {
			other := cluster.machines[modelIndex(peer.Address)]
			if other.process == nil || cluster.blocked[machine.index][other.index] || cluster.blocked[other.index][machine.index] {
				continue
			}
			if state, err := other.process.core.onReplicaState(
				&message.ReplicaStateRequest{Core: max(view.ID, 1), Membership: view.Version},
			); err == nil {
				responses[peer.ID] = state
				core.learnMembership(state.Membership)
			}
		}
		if accepted.Value.Serial > 0 && core.membership().SameVoters(view) && view.IsQuorumWithSelf(consensus.Agreed(responses, same)) {
			cluster.observer.checkServed(machine.index, register, accepted.Value)
		}
	}
}

// Handling of messages.

func (cluster *modelCluster) deliver(packet *modelPacket) {
	machine := cluster.ownMachine(packet.to)
	process := machine.process
	if process == nil {
		return
	}
	if packet.isResponse {
		if process.incarnation == packet.incarnation {
			cluster.handleResponse(machine, packet)
		}
		return
	}
	switch request := packet.message.(type) {
	case *message.PrepareRequest:
		if response, err := process.core.onPrepare(request); err == nil {
			cluster.recordVote(machine, packet, response.Granted)
			cluster.sendResponse(packet, response)
		}
	case *message.AcceptRequest:
		if accepted := process.core.replica.State().Accepted[request.Register]; cluster.rules.acceptsBySerial &&
			request.Inherited.Serial > 0 && request.Inherited.Serial == accepted.Value.Serial {
			request = request.ByReference(accepted.Version())
		}
		if response, err := process.core.onAccept(request); err == nil {
			cluster.recordVote(machine, packet, response.Accepted)
			if response.Accepted {
				cluster.observer.recordAcceptance(machine.index, request)
				cluster.observer.checkAccepted(request.Term, request.Register, process.core.replica.State().Accepted[request.Register])
			}
			cluster.sendResponse(packet, response)
		}
	case *message.HeartbeatRequest:
		if response, err := process.core.onHeartbeat(request); err == nil {
			cluster.recordVote(machine, packet, response.Accepted && response.Voter)
			for register, accepted := range process.core.committed {
				cluster.observer.checkServed(machine.index, message.Register(register), accepted.Value)
			}
			cluster.sendResponse(packet, response)
		}
	case *message.ReplicaStateRequest:
		if response, err := process.core.onReplicaState(request); err == nil {
			cluster.sendResponse(packet, response)
		}
	case *message.JoinRequest:
		cluster.handleJoin(machine, packet, request)
	}
}

// recordVote records that a replica's response counts for a voter ID.
func (cluster *modelCluster) recordVote(machine *modelMachine, packet *modelPacket, agrees bool) {
	if !agrees || packet.voterID == 0 {
		return
	}
	if machine.process.core.replica.Blank() {
		cluster.observer.report(
			onlyVotersCount,
			"machine %d answers %T for voter ID %d with a blank disk",
			machine.index+1,
			packet.message,
			packet.voterID,
		)
	}
	if cluster.observer.addresses[packet.voterID] == machine.address {
		machine.votedIDs = machine.votedIDs.with(packet.voterID)
	}
}

// handleJoin models onJoin. A leader answers a learner once a quorum has accepted a
// heartbeat sent after the request.
func (cluster *modelCluster) handleJoin(machine *modelMachine, packet *modelPacket, request *message.JoinRequest) {
	process := machine.process
	view := process.core.membership()
	if !view.HasMembership() {
		return
	}
	if process.leadership == nil || !cluster.rules.admits(view, request.Address) {
		cluster.sendResponse(packet, &message.JoinResponse{Membership: process.core.members.NewerThan(request.Known)})
		return
	}
	if process.admission != nil {
		return
	}
	process.admission = &modelAdmission{
		call:         process.nextCall(),
		view:         view,
		request:      packet,
		acknowledged: cluster.observer.acknowledged[message.SettingsRegister],
	}
	_, heartbeat := process.leadership.nextHeartbeat(view)
	for _, peer := range view.Peers {
		cluster.sendRequest(machine, process.admission.call, peer, heartbeat)
	}
	cluster.completeAdmission(machine)
}

// completeAdmission answers a waiting learner once the leadership is confirmed.
func (cluster *modelCluster) completeAdmission(machine *modelMachine) {
	process := machine.process
	admission := process.admission
	if cluster.rules.confirmsAdmission {
		if !cluster.rules.decides(admission.view, admission.confirmedBy.has) ||
			process.core.replica.State().Promised != process.leadership.term {
			return
		}
		if body := string(process.leadership.value(message.SettingsRegister).Body); !strings.HasPrefix(body, admission.acknowledged) {
			cluster.observer.report(
				confirmedReadIsCurrent,
				"machine %d holds %q, but %q was acknowledged",
				machine.index,
				body,
				admission.acknowledged,
			)
		}
	}
	process.admission = nil
	request := admission.request.message.(*message.JoinRequest)
	response := &message.JoinResponse{
		Term:     process.leadership.term,
		Admitted: cluster.rules.admits(process.core.membership(), request.Address),
	}
	response.Membership = process.core.members.NewerThan(request.Known)
	cluster.sendResponse(admission.request, response)
}

func (cluster *modelCluster) handleResponse(machine *modelMachine, packet *modelPacket) {
	process := machine.process
	if !process.awaits(packet.call) {
		return
	}
	if packet.amnesiac && modelIsAgreement(packet.message) {
		cluster.observer.report(
			onlyVotersCount,
			"%T of machine %d counts for voter ID %d, but the disk that voted under that ID is lost",
			packet.message,
			packet.from+1,
			packet.voterID,
		)
	}
	switch response := packet.message.(type) {
	case *message.PrepareResponse:
		for id, promise := range process.core.grantedPromises(map[int]*message.PrepareResponse{packet.voterID: response}) {
			process.candidacy.promises[id] = promise
			cluster.handlePromises(machine)
		}
	case *message.AcceptResponse:
		cluster.handleAcceptResponse(machine, packet, response)
	case *message.HeartbeatResponse:
		if process.leadership == nil {
			return
		}
		if response.Accepted && response.Voter {
			process.admission.confirmedBy = process.admission.confirmedBy.with(packet.voterID)
			cluster.completeAdmission(machine)
		}
	case *message.ReplicaStateResponse:
		cluster.handleReplicaState(machine, packet, response)
	case *message.JoinResponse:
		cluster.handleJoinResponse(machine, response)
	}
}

// modelIsAgreement reports whether a response counts for a quorum.
func modelIsAgreement(response any) bool {
	switch response := response.(type) {
	case *message.PrepareResponse:
		return response.Granted
	case *message.AcceptResponse:
		return response.Accepted
	case *message.HeartbeatResponse:
		return response.Accepted && response.Voter
	}
	return false
}

func (cluster *modelCluster) handleReplicaState(machine *modelMachine, packet *modelPacket, response *message.ReplicaStateResponse) {
	process := machine.process
	stateQuery, core := process.stateQuery, process.core
	core.observeTermNumber(response.Promised.Number)
	core.learnMembership(response.Membership)
	stateQuery.responses[packet.voterID] = response
	if !cluster.rules.mayRestore(core, stateQuery.view, stateQuery.responses) {
		return
	}
	process.stateQuery = nil
	term := cluster.rules.nextTerm(core, stateQuery.view)
	process.candidacy = &modelCandidacy{
		call:      process.nextCall(),
		view:      stateQuery.view,
		term:      term,
		promises:  map[int]*message.PrepareResponse{},
		restoring: true,
	}
	request := &message.PrepareRequest{Term: term, Membership: cluster.rules.prepareMembership(stateQuery.view)}
	for _, peer := range stateQuery.view.Peers {
		cluster.sendRequest(machine, process.candidacy.call, peer, request)
	}
}

// handleJoinResponse models adoptFirstMembership for a core without a membership, and
// followAsLearner for others.
func (cluster *modelCluster) handleJoinResponse(machine *modelMachine, response *message.JoinResponse) {
	process := machine.process
	core := process.core
	process.joinCall = 0
	membership, err := consensus.DecodeMembership(response.Membership)
	if !core.membership().HasMembership() && err == nil && membership != nil && core.replica.Blank() &&
		consensus.NewView(machine.address, membership).MayVoteWithoutRestore(core.sinceBootstrap()) {
		if core.replica.Join(response.Membership) != nil {
			return
		}
	}
	core.learnMembership(response.Membership)
	if cluster.rules.mayInitializeLearner(core, response) {
		cluster.rules.initializeLearner(core, response.Term)
	}
}

func (cluster *modelCluster) handleAcceptResponse(machine *modelMachine, packet *modelPacket, response *message.AcceptResponse) {
	process := machine.process
	replication := process.replication
	if response.LacksValue {
		request := &message.AcceptRequest{Term: replication.term, Register: packet.register, Value: replication.values[packet.register]}
		cluster.sendRequest(
			machine,
			replication.call,
			message.Peer{ID: packet.voterID, Address: cluster.machines[packet.from].address},
			request,
		)
		return
	}
	if !response.Accepted {
		process.core.observeTermNumber(response.Promised.Number)
		return
	}
	replication.acceptedBy[packet.register] = replication.acceptedBy[packet.register].with(packet.voterID)
	for register := range replication.values {
		accepted := replication.acceptedBy[register]
		if replication.purpose == modelCatchUp && accepted == 0 ||
			replication.purpose != modelCatchUp && !cluster.rules.decidedBy(replication.view, accepted.has) {
			return
		}
	}
	process.replication = nil
	if replication.purpose != modelCatchUp {
		for register := range replication.values {
			cluster.observer.checkCounted(replication, register)
		}
	}
	cluster.completeReplication(machine, replication)
}

// completeReplication takes the next step once all values are accepted.
func (cluster *modelCluster) completeReplication(machine *modelMachine, replication *modelReplication) {
	process := machine.process
	switch replication.purpose {
	case modelEstablish:
		if process.core.replica.State().Promised != replication.term ||
			cluster.rules.adoptRewritten(process.core, replication.view, replication.term) != nil {
			return
		}
		process.leadership = &Leadership{core: process.core, term: replication.term}
		for register, value := range replication.values {
			process.leadership.values[register] = value
		}
		cluster.observer.recordLeadership(machine.index, replication)
	case modelCatchUp:
		cluster.writeJointMembership(machine, replication)
	case modelRewrite:
		cluster.writeMembership(machine, modelWriteFinal, cluster.rules.afterJoint(replication.view))
	default:
		for register, value := range replication.values {
			process.leadership.values[register] = value
		}
	}
}
