package control

import (
	"fmt"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// modelKind is a kind of step that the model can take.
type modelKind string

const (
	modelDeliver   modelKind = "deliver"
	modelRepeat    modelKind = "deliver and keep"
	modelUnheard   modelKind = "deliver and lose the answer"
	modelStand     modelKind = "stand"
	modelGiveUp    modelKind = "give up"
	modelTimeOut   modelKind = "time out"
	modelOrder     modelKind = "order"
	modelEnlist    modelKind = "enlist"
	modelReplace   modelKind = "replace"
	modelSettles   modelKind = "settle step"
	modelRestore   modelKind = "restore"
	modelMend      modelKind = "mend a copy"
	modelSurveyed  modelKind = "survey"
	modelCrash     modelKind = "crash"
	modelPowerLoss modelKind = "power loss while handling"
	modelWipe      modelKind = "wipe"
	modelRestart   modelKind = "restart"
)

// modelAction is one step: what, by which machine or of which message, and with what.
type modelAction struct {
	kind     modelKind
	machine  int
	other    int
	register message.Register
}

// actions are all steps that may be taken now, within the bounds.
func (world *modelWorld) actions(add func(modelAction)) {
	bounds, spent := world.bounds, &world.spent
	for index, packet := range world.flight {
		if world.cut[packet.from][packet.to] || world.machines[packet.to].process == nil {
			continue
		}
		add(modelAction{kind: modelDeliver, machine: index})
		if bounds.prompt && spent.losses < bounds.losses {
			add(modelAction{kind: modelUnheard, machine: index})
		}
		if !packet.answers && spent.duplicates < bounds.duplicates {
			add(modelAction{kind: modelRepeat, machine: index})
		}
		if !packet.answers && spent.powerLoss < bounds.powerLoss {
			add(modelAction{kind: modelPowerLoss, machine: index, other: spent.powerLoss % 3})
		}
	}
	for index, machine := range world.machines {
		if machine.process == nil {
			add(modelAction{kind: modelRestart, machine: index})
		} else if spent.crashes < bounds.crashes {
			add(modelAction{kind: modelCrash, machine: index})
		}
		if spent.wipes < bounds.wipes {
			add(modelAction{kind: modelWipe, machine: index})
		}
		if machine.process != nil {
			world.processActions(machine, add)
		}
	}
}

// processActions are the steps that a process may take of itself.
func (world *modelWorld) processActions(machine *modelMachine, add func(modelAction)) {
	process, bounds, spent := machine.process, world.bounds, &world.spent
	view, blank := process.core.membership(), process.core.replica.Blank()
	if !process.idle() && spent.giveUps < bounds.giveUps {
		add(modelAction{kind: modelGiveUp, machine: machine.index})
	}
	if bounds.timeOuts && world.stuck(machine) {
		add(modelAction{kind: modelTimeOut, machine: machine.index})
	}
	if process.leadership != nil {
		world.leaderActions(machine, view, add)
		return
	}
	if view.Votes() && !blank && spent.surveys < bounds.surveys {
		add(modelAction{kind: modelSurveyed, machine: machine.index})
	}
	if !process.idle() {
		return
	}
	if view.Votes() && !blank && world.rules.mayLead(view, view.ID) && spent.candidates < bounds.candidates {
		add(modelAction{kind: modelStand, machine: machine.index})
	}
	if view.Votes() && blank && spent.candidates < bounds.candidates {
		add(modelAction{kind: modelRestore, machine: machine.index})
	}
	if !view.Votes() && process.enlisting == 0 && spent.enlists < bounds.enlists {
		for _, other := range world.machines {
			if other.index != machine.index && other.process != nil {
				add(modelAction{kind: modelEnlist, machine: machine.index, other: other.index})
			}
		}
	}
}

// stuck is whether nothing is on its way any more that a process waits for, or whether
// its leadership is over and it has heard of that.
func (world *modelWorld) stuck(machine *modelMachine) bool {
	process := machine.process
	if process.idle() {
		return false
	}
	if process.leadership != nil && process.leadership.term.Less(process.core.replica.State().Promised) {
		return true
	}
	if process.leadership != nil && process.push == nil {
		return false
	}
	for _, packet := range world.flight {
		asker := packet.from
		if packet.answers {
			asker = packet.to
		}
		if asker == machine.index && packet.life == process.life && process.waitsFor(packet.call) {
			return false
		}
	}
	return true
}

func (world *modelWorld) leaderActions(machine *modelMachine, view *consensus.View, add func(modelAction)) {
	process, bounds, spent := machine.process, world.bounds, &world.spent
	if spent.mends < bounds.mends {
		for _, other := range world.machines {
			for _, register := range append([]message.Register{message.MembersRegister}, bounds.registers...) {
				if other.index != machine.index && other.process != nil {
					add(modelAction{kind: modelMend, machine: machine.index, other: other.index, register: register})
				}
			}
		}
	}
	if process.push != nil {
		return
	}
	if spent.orders < bounds.orders {
		for _, register := range bounds.registers {
			add(modelAction{kind: modelOrder, machine: machine.index, register: register})
		}
	}
	if view.Changing() {
		add(modelAction{kind: modelSettles, machine: machine.index})
		return
	}
	if spent.steps >= bounds.steps {
		return
	}
	for _, other := range world.machines {
		if other.process == nil || view.HasAddress(other.address) {
			continue
		}
		for _, leaving := range view.Voters {
			if leaving.ID != view.ID {
				add(modelAction{kind: modelReplace, machine: machine.index, other: other.index*64 + leaving.ID})
			}
		}
	}
}

// do takes one step and says whether all invariants still hold.
func (world *modelWorld) do(action modelAction) *modelViolation {
	if world.tracing {
		world.trace = append(world.trace, world.tell(action))
	}
	spent := &world.spent
	switch action.kind {
	case modelDeliver:
		world.deliver(world.take(action.machine))
		if world.bounds.prompt {
			world.answersAtOnce(false)
		}
	case modelUnheard:
		spent.losses++
		world.deliver(world.take(action.machine))
		world.answersAtOnce(true)
	case modelRepeat:
		spent.duplicates++
		world.deliver(world.flight[action.machine])
	case modelPowerLoss:
		spent.powerLoss++
		world.losesPower(world.take(action.machine), action.other)
	case modelCrash:
		spent.crashes++
		world.own(action.machine).process = nil
	case modelWipe:
		spent.wipes++
		world.own(action.machine).wipe()
	case modelRestart:
		machine := world.own(action.machine)
		machine.start()
		if voter := machine.process.core.replica; world.rules.blankDiskVotes && voter.Blank() {
			modelMust(voter.Join(newModelFirst(world.bounds).Accepted()))
		}
	case modelStand:
		spent.candidates++
		world.stand(world.own(action.machine))
	case modelSurveyed:
		spent.surveys++
		world.surveyed(world.own(action.machine))
	case modelRestore:
		spent.candidates++
		world.surveys(world.own(action.machine))
	case modelEnlist:
		spent.enlists++
		world.enlists(world.own(action.machine), action.other)
	case modelGiveUp:
		spent.giveUps++
		world.own(action.machine).process.revoke()
	case modelTimeOut:
		world.own(action.machine).process.revoke()
	case modelOrder:
		spent.orders++
		world.order(world.own(action.machine), action.register)
	case modelReplace:
		spent.steps++
		world.replaces(world.own(action.machine), action.other%64, action.other/64)
	case modelSettles:
		world.settles(world.own(action.machine))
	case modelMend:
		spent.mends++
		world.mends(world.own(action.machine), action.other, action.register)
	}
	world.prune()
	return world.ledger.broken
}

// answersAtOnce has the last message, where it is an answer, arrive or be lost. An
// answer can bring about another one, of a leader to a learner that waits.
func (world *modelWorld) answersAtOnce(lost bool) {
	for last := len(world.flight) - 1; last >= 0 && world.flight[last].answers; last = len(world.flight) - 1 {
		packet := world.take(last)
		if !lost {
			world.deliver(packet)
		}
	}
}

// losesPower cuts the power of a machine before what it does with a message is synced:
// nothing, a part or all of what it wrote may be there afterwards, and nobody hears.
func (world *modelWorld) losesPower(packet *modelPacket, much int) {
	machine := world.own(packet.to)
	before := len(world.flight)
	machine.disk.Failing = true
	world.deliver(packet)
	machine.process = nil
	machine.disk.LosePower([]int{0, 7, 1 << 20}[much])
	if !world.rules.syncs {
		return
	}
	world.flight = world.flight[:before]
	if request, offered := packet.message.(*message.AcceptRequest); offered && machine.holds(request) {
		world.ledger.accepted(machine.index, request)
	}
}

func newModelFirst(bounds *modelBounds) *consensus.Membership {
	addresses := []string{}
	for index := range bounds.founders {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:7000", index+1))
	}
	return consensus.InitialMembership(addresses)
}

// tell is an action in words, for the trace of a violation.
func (world *modelWorld) tell(action modelAction) string {
	switch action.kind {
	case modelDeliver, modelRepeat, modelPowerLoss, modelUnheard:
		packet := world.flight[action.machine]
		return fmt.Sprintf(
			"%s %d->%d as %d %T%+v",
			action.kind,
			packet.from+1,
			packet.to+1,
			packet.as,
			packet.message,
			modelBrief(packet.message),
		)
	case modelReplace:
		return fmt.Sprintf("machine %d: replace ID %d by machine %d", action.machine+1, action.other%64, action.other/64+1)
	case modelEnlist, modelMend:
		return fmt.Sprintf("machine %d: %s at machine %d, register %d", action.machine+1, action.kind, action.other+1, action.register)
	}
	return fmt.Sprintf("machine %d: %s", action.machine+1, action.kind)
}

func modelBrief(request any) string {
	switch request := request.(type) {
	case *message.PrepareRequest:
		return fmt.Sprintf(" ballot %s by membership %v", request.Term, request.Membership.Version())
	case *message.PrepareResponse:
		return fmt.Sprintf(" granted %v promised %s", request.Granted, request.Promised)
	case *message.AcceptRequest:
		return fmt.Sprintf(" register %d under %s serial %d", request.Register, request.Term, request.Value.Serial)
	case *message.AcceptResponse:
		return fmt.Sprintf(" taken %v", request.Accepted)
	case *message.JoinResponse:
		return fmt.Sprintf(" admitted %v under %s", request.Admitted, request.Term)
	case *message.HeartbeatRequest:
		return fmt.Sprintf(" under %s", request.Term)
	case *message.HeartbeatResponse:
		return fmt.Sprintf(" taken %v voter %v", request.Accepted, request.Voter)
	}
	return ""
}
