package control

import (
	"fmt"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

type modelActionKind string

const (
	modelDeliver           modelActionKind = "deliver"
	modelDuplicate         modelActionKind = "deliver a duplicate"
	modelLoseResponse      modelActionKind = "deliver and lose the response"
	modelCampaign          modelActionKind = "campaign"
	modelAbort             modelActionKind = "abort"
	modelTimeout           modelActionKind = "timeout"
	modelStartWrite        modelActionKind = "write"
	modelJoin              modelActionKind = "join"
	modelReplace           modelActionKind = "replace"
	modelFinishReplacement modelActionKind = "finish replacement"
	modelRestore           modelActionKind = "restore"
	modelRepair            modelActionKind = "repair a replica"
	modelRecoverCommitted  modelActionKind = "recover committed"
	modelCrash             modelActionKind = "crash"
	modelPowerLoss         modelActionKind = "power loss while handling a message"
	modelWipe              modelActionKind = "wipe disk"
	modelRestart           modelActionKind = "restart"
)

type modelAction struct {
	kind modelActionKind
	// target is the index of a message in flight or of a machine, depending on kind.
	target   int
	argument int
	register message.Register
}

// possibleActions calls add for each action that is possible now, within the bounds.
func (cluster *modelCluster) possibleActions(add func(modelAction)) {
	bounds, counts := cluster.bounds, &cluster.counts
	for index, packet := range cluster.inFlight {
		if cluster.blocked[packet.from][packet.to] || cluster.machines[packet.to].process == nil {
			continue
		}
		add(modelAction{kind: modelDeliver, target: index})
		if bounds.promptResponses && counts.lostResponses < bounds.lostResponses {
			add(modelAction{kind: modelLoseResponse, target: index})
		}
		if !packet.isResponse && counts.duplicates < bounds.duplicates {
			add(modelAction{kind: modelDuplicate, target: index})
		}
		if !packet.isResponse && counts.powerLosses < bounds.powerLosses {
			add(modelAction{kind: modelPowerLoss, target: index, argument: counts.powerLosses % 3})
		}
	}
	for index, machine := range cluster.machines {
		if machine.process == nil {
			add(modelAction{kind: modelRestart, target: index})
		} else if counts.crashes < bounds.crashes {
			add(modelAction{kind: modelCrash, target: index})
		}
		if counts.wipes < bounds.wipes {
			add(modelAction{kind: modelWipe, target: index})
		}
		if machine.process != nil {
			cluster.processActions(machine, add)
		}
	}
}

// processActions calls add for each action that a running process can begin.
func (cluster *modelCluster) processActions(machine *modelMachine, add func(modelAction)) {
	process, bounds, counts := machine.process, cluster.bounds, &cluster.counts
	view, blank := process.core.membership(), process.core.replica.Blank()
	if !process.isIdle() && counts.aborts < bounds.aborts {
		add(modelAction{kind: modelAbort, target: machine.index})
	}
	if bounds.timeouts && cluster.isStuck(machine) {
		add(modelAction{kind: modelTimeout, target: machine.index})
	}
	if process.leadership != nil {
		cluster.leaderActions(machine, view, add)
		return
	}
	if view.IsVoter() && !blank && counts.recoveries < bounds.recoveries {
		add(modelAction{kind: modelRecoverCommitted, target: machine.index})
	}
	if !process.isIdle() {
		return
	}
	if view.IsVoter() && !blank && cluster.rules.mayLead(view, view.ID) && counts.candidacies < bounds.candidacies {
		add(modelAction{kind: modelCampaign, target: machine.index})
	}
	if view.IsVoter() && blank && counts.candidacies < bounds.candidacies {
		add(modelAction{kind: modelRestore, target: machine.index})
	}
	if !view.IsVoter() && process.joinCall == 0 && counts.joins < bounds.joins {
		for _, other := range cluster.machines {
			if other.index != machine.index && other.process != nil {
				add(modelAction{kind: modelJoin, target: machine.index, argument: other.index})
			}
		}
	}
}

// isStuck reports whether no message that a process waits for is in flight, or its replica has
// promised a later term than that of its leadership.
func (cluster *modelCluster) isStuck(machine *modelMachine) bool {
	process := machine.process
	if process.isIdle() {
		return false
	}
	if process.leadership != nil && process.leadership.term.Less(process.core.replica.State().Promised) {
		return true
	}
	if process.leadership != nil && process.replication == nil {
		return false
	}
	for _, packet := range cluster.inFlight {
		requester := packet.from
		if packet.isResponse {
			requester = packet.to
		}
		if requester == machine.index && packet.incarnation == process.incarnation && process.awaits(packet.call) {
			return false
		}
	}
	return true
}

func (cluster *modelCluster) leaderActions(machine *modelMachine, view *consensus.View, add func(modelAction)) {
	process, bounds, counts := machine.process, cluster.bounds, &cluster.counts
	if counts.repairs < bounds.repairs {
		for _, other := range cluster.machines {
			for _, register := range append([]message.Register{message.MembersRegister}, bounds.registers...) {
				if other.index != machine.index && other.process != nil {
					add(modelAction{kind: modelRepair, target: machine.index, argument: other.index, register: register})
				}
			}
		}
	}
	if process.replication != nil {
		return
	}
	if counts.writes < bounds.writes {
		for _, register := range bounds.registers {
			add(modelAction{kind: modelStartWrite, target: machine.index, register: register})
		}
	}
	if view.IsJoint() {
		add(modelAction{kind: modelFinishReplacement, target: machine.index})
		return
	}
	if counts.replacements >= bounds.replacements {
		return
	}
	for _, other := range cluster.machines {
		if other.process == nil || view.HasAddress(other.address) {
			continue
		}
		for _, leaving := range view.Voters {
			if leaving.ID != view.ID {
				add(modelAction{kind: modelReplace, target: machine.index, argument: other.index*64 + leaving.ID})
			}
		}
	}
}

// apply takes one action and returns the first violated invariant, or nil.
func (cluster *modelCluster) apply(action modelAction) *modelViolation {
	if cluster.tracing {
		cluster.trace = append(cluster.trace, cluster.describe(action))
	}
	counts := &cluster.counts
	switch action.kind {
	case modelDeliver:
		cluster.deliver(cluster.takePacket(action.target))
		if cluster.bounds.promptResponses {
			cluster.finishResponses(false)
		}
	case modelLoseResponse:
		counts.lostResponses++
		cluster.deliver(cluster.takePacket(action.target))
		cluster.finishResponses(true)
	case modelDuplicate:
		counts.duplicates++
		cluster.deliver(cluster.inFlight[action.target])
	case modelPowerLoss:
		counts.powerLosses++
		cluster.losePower(cluster.takePacket(action.target), action.argument)
	case modelCrash:
		counts.crashes++
		cluster.ownMachine(action.target).process = nil
	case modelWipe:
		counts.wipes++
		cluster.ownMachine(action.target).wipe()
	case modelRestart:
		machine := cluster.ownMachine(action.target)
		machine.start()
		if replica := machine.process.core.replica; cluster.rules.blankDiskVotes && replica.Blank() {
			modelMust(replica.Join(modelInitialMembership(cluster.bounds).Accepted()))
		}
	case modelCampaign:
		counts.candidacies++
		cluster.campaign(cluster.ownMachine(action.target))
	case modelRecoverCommitted:
		counts.recoveries++
		cluster.recoverCommitted(cluster.ownMachine(action.target))
	case modelRestore:
		counts.candidacies++
		cluster.startRestore(cluster.ownMachine(action.target))
	case modelJoin:
		counts.joins++
		cluster.join(cluster.ownMachine(action.target), action.argument)
	case modelAbort:
		counts.aborts++
		cluster.ownMachine(action.target).process.abort()
	case modelTimeout:
		cluster.ownMachine(action.target).process.abort()
	case modelStartWrite:
		counts.writes++
		cluster.write(cluster.ownMachine(action.target), action.register)
	case modelReplace:
		counts.replacements++
		cluster.replaceVoter(cluster.ownMachine(action.target), action.argument%64, action.argument/64)
	case modelFinishReplacement:
		cluster.finishReplacement(cluster.ownMachine(action.target))
	case modelRepair:
		counts.repairs++
		cluster.repair(cluster.ownMachine(action.target), action.argument, action.register)
	}
	cluster.dropObsolete()
	return cluster.observer.violation
}

// finishResponses delivers or drops the last message in flight while it is a response. A
// delivered response can cause another one, from a leader to a waiting learner.
func (cluster *modelCluster) finishResponses(lost bool) {
	for last := len(cluster.inFlight) - 1; last >= 0 && cluster.inFlight[last].isResponse; last = len(cluster.inFlight) - 1 {
		packet := cluster.takePacket(last)
		if !lost {
			cluster.deliver(packet)
		}
	}
}

// losePower stops a machine while it handles a message, before its writes are synced. None,
// some or all of the written bytes survive, and no response is sent.
func (cluster *modelCluster) losePower(packet *modelPacket, written int) {
	machine := cluster.ownMachine(packet.to)
	before := len(cluster.inFlight)
	machine.disk.FailSyncs = true
	cluster.deliver(packet)
	machine.process = nil
	machine.disk.LosePower([]int{0, 7, 1 << 20}[written])
	if !cluster.rules.syncs {
		return
	}
	cluster.inFlight = cluster.inFlight[:before]
	if request, proposed := packet.message.(*message.AcceptRequest); proposed && machine.hasAccepted(request) {
		cluster.observer.recordAcceptance(machine.index, request)
	}
}

func modelInitialMembership(bounds *modelBounds) *consensus.Membership {
	addresses := []string{}
	for index := range bounds.founders {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:7000", index+1))
	}
	return consensus.InitialMembership(addresses)
}

// describe formats an action for the trace of a violation.
func (cluster *modelCluster) describe(action modelAction) string {
	switch action.kind {
	case modelDeliver, modelDuplicate, modelPowerLoss, modelLoseResponse:
		packet := cluster.inFlight[action.target]
		return fmt.Sprintf(
			"%s %d->%d voter ID %d %T%+v",
			action.kind,
			packet.from+1,
			packet.to+1,
			packet.voterID,
			packet.message,
			modelSummary(packet.message),
		)
	case modelReplace:
		return fmt.Sprintf("machine %d: replace ID %d by machine %d", action.target+1, action.argument%64, action.argument/64+1)
	case modelJoin, modelRepair:
		return fmt.Sprintf("machine %d: %s at machine %d, register %d", action.target+1, action.kind, action.argument+1, action.register)
	}
	return fmt.Sprintf("machine %d: %s", action.target+1, action.kind)
}

func modelSummary(body any) string {
	switch body := body.(type) {
	case *message.PrepareRequest:
		return fmt.Sprintf(" term %s membership %v", body.Term, body.Membership.Version())
	case *message.PrepareResponse:
		return fmt.Sprintf(" granted %v promised %s", body.Granted, body.Promised)
	case *message.AcceptRequest:
		return fmt.Sprintf(" register %d term %s serial %d", body.Register, body.Term, body.Value.Serial)
	case *message.AcceptResponse:
		return fmt.Sprintf(" accepted %v", body.Accepted)
	case *message.JoinResponse:
		return fmt.Sprintf(" admitted %v term %s", body.Admitted, body.Term)
	case *message.HeartbeatRequest:
		return fmt.Sprintf(" term %s", body.Term)
	case *message.HeartbeatResponse:
		return fmt.Sprintf(" accepted %v voter %v", body.Accepted, body.Voter)
	}
	return ""
}
