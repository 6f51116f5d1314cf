package control

import (
	"slices"
	"testing"

	"orchidjunction/message"
)

// modelScript takes chosen steps of a world, for states that random walks rarely reach.
// Machines are named by their numbers, from 1.
type modelScript struct {
	world *modelWorld
	fail  func(format string, values ...any)
}

// among delivers everything between the given machines until nothing is on its way.
func (script *modelScript) among(machines ...int) {
	within := func(packet *modelPacket) bool {
		return slices.Contains(machines, packet.from+1) && slices.Contains(machines, packet.to+1)
	}
	for {
		index := slices.IndexFunc(script.world.flight, within)
		if index < 0 {
			return
		}
		script.do(modelAction{kind: modelDeliver, machine: index})
	}
}

// deliver delivers the oldest message that is meant.
func (script *modelScript) deliver(meant func(packet *modelPacket) bool) {
	index := slices.IndexFunc(script.world.flight, meant)
	if index < 0 {
		script.fail("no such message is on its way")
		return
	}
	script.do(modelAction{kind: modelDeliver, machine: index})
}

func (script *modelScript) do(action modelAction) {
	if violation := script.world.do(action); violation != nil {
		script.fail("%v", violation)
	}
}

// leads has a machine stand until it leads, with the help of others.
func (script *modelScript) leads(machine int, others ...int) {
	for range 5 {
		script.do(modelAction{kind: modelStand, machine: machine - 1})
		script.among(append(others, machine)...)
		if script.world.machines[machine-1].process.leadership != nil {
			return
		}
		script.do(modelAction{kind: modelTimeOut, machine: machine - 1})
	}
	script.fail("machine %d does not lead", machine)
}

// joins has a machine become a learner of a leader.
func (script *modelScript) joins(machine, leader int, others ...int) {
	script.do(modelAction{kind: modelEnlist, machine: machine - 1, other: leader - 1})
	script.among(append(others, machine, leader)...)
}

// replaces has a leader give the place of an ID to a machine.
func (script *modelScript) replaces(leader, id, machine int, others ...int) {
	script.do(modelAction{kind: modelReplace, machine: leader - 1, other: (machine-1)*64 + id})
	script.among(append(others, leader, machine)...)
	script.do(modelAction{kind: modelSettles, machine: leader - 1})
	script.among(append(others, leader, machine)...)
}

// orders has a leader write an order.
func (script *modelScript) orders(leader int, others ...int) {
	script.do(modelAction{kind: modelOrder, machine: leader - 1, register: message.SettingsRegister})
	script.among(append(others, leader)...)
}

func (script *modelScript) crashes(machine int) {
	script.do(modelAction{kind: modelCrash, machine: machine - 1})
}

// renews replaces a machine's disk by an empty one and starts it.
func (script *modelScript) renews(machine int) {
	script.do(modelAction{kind: modelWipe, machine: machine - 1})
	script.do(modelAction{kind: modelRestart, machine: machine - 1})
}

// modelTwoReplaced replaces founders 1 and 2 of 3 by newcomers 4 and 5. Founder 1 led
// first, was cut off all the time since, and still goes by the first membership.
func modelTwoReplaced(world *modelWorld) {
	script := &modelScript{world: world, fail: func(string, ...any) {}}
	script.leads(1, 2, 3)
	script.leads(2, 3)
	script.orders(2, 3)
	script.joins(4, 2, 3)
	script.replaces(2, 1, 4, 3)
	script.crashes(2)
	script.leads(3, 4)
	script.joins(5, 3, 4)
	script.replaces(3, 2, 5, 4)
	world.flight, world.spent = nil, modelSpent{}
}

// modelStrayStep leaves a joint step of a leader that died at one other voter alone.
func modelStrayStep(world *modelWorld) {
	script := &modelScript{world: world, fail: func(string, ...any) {}}
	script.leads(1, 2, 3)
	script.orders(1, 2, 3)
	script.joins(4, 1, 2, 3)
	script.do(modelAction{kind: modelReplace, machine: 0, other: 3*64 + 2})
	for world.machines[0].process.push.purpose == modelCatchUp {
		script.deliver(func(packet *modelPacket) bool { return packet.from+1 == 4 || packet.to+1 == 4 })
	}
	script.deliver(func(packet *modelPacket) bool { return packet.from+1 == 1 && packet.to+1 == 3 && packet.as == 3 })
	script.crashes(1)
	script.do(modelAction{kind: modelRestart, machine: 0})
	world.flight, world.spent = nil, modelSpent{}
}

// modelTwoEmptied goes on from there: founder 2 has a new, empty disk, and is running.
func modelTwoEmptied(world *modelWorld) {
	modelTwoReplaced(world)
	script := &modelScript{world: world, fail: func(string, ...any) {}}
	script.renews(2)
	world.flight, world.spent = nil, modelSpent{}
}

// A founder that was replaced comes back with an empty disk, begins as a learner and
// stops at once. Another founder, cut off since before the first replacement, asks it
// for a promise by the first membership: together they were a majority of that.
func TestModelEmptyLearnerKnowsTheMembership(test *testing.T) {
	modelQuiet(test)
	bounds := modelMany(3, 2, 0)
	world := newModelWorld(modelRealRules(), &bounds)
	modelTwoReplaced(world)
	if world.ledger.version.Version.Serial != 5 {
		test.Fatalf("the preparation ends at membership %v", world.ledger.version)
	}
	script := &modelScript{world: world, fail: func(format string, values ...any) { test.Fatalf(format, values...) }}
	world.ledger.outcomesOnly = true
	script.renews(2)
	script.joins(2, 3, 4)
	if world.machines[1].process.core.replica.Blank() {
		test.Fatal("machine 2 is no learner")
	}
	script.crashes(2)
	script.do(modelAction{kind: modelRestart, machine: 1})
	for range 3 {
		script.do(modelAction{kind: modelTimeOut, machine: 0})
		script.do(modelAction{kind: modelStand, machine: 0})
		script.among(1, 2)
	}
	if world.machines[0].process.core.membership().Version.Serial == 1 {
		test.Error("machine 1 still goes by the first membership")
	}
}

// The prepared states of walks are what their names say.
func TestModelPreparations(test *testing.T) {
	modelQuiet(test)
	bounds := modelMany(3, 1, 0)
	world := newModelWorld(modelRealRules(), &bounds)
	modelStrayStep(world)
	serials := []uint64{}
	for _, machine := range world.machines[:3] {
		serials = append(serials, machine.process.core.membership().Version.Serial)
	}
	if !slices.Equal(serials, []uint64{1, 1, 2}) {
		test.Errorf("machines know memberships %v", serials)
	}
	bounds = modelMany(3, 2, 0)
	world = newModelWorld(modelRealRules(), &bounds)
	modelTwoEmptied(world)
	if world.ledger.version.Version.Serial != 5 || !world.machines[1].process.core.replica.Blank() ||
		world.machines[0].process.leadership == nil {
		test.Errorf(
			"membership %v, machine 2 blank %v, machine 1 leads %v",
			world.ledger.version,
			world.machines[1].process.core.replica.Blank(),
			world.machines[0].process.leadership,
		)
	}
}
