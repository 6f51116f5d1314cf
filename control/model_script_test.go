package control

import (
	"slices"
	"testing"

	"orchidjunction/message"
)

// modelScript reaches states that random walks rarely reach. Machines are numbered from 1.
type modelScript struct {
	cluster *modelCluster
	fail    func(format string, values ...any)
}

// deliverAmong delivers all messages between the given machines until none is in flight.
func (script *modelScript) deliverAmong(machines ...int) {
	within := func(packet *modelPacket) bool {
		return slices.Contains(machines, packet.from+1) && slices.Contains(machines, packet.to+1)
	}
	for {
		index := slices.IndexFunc(script.cluster.inFlight, within)
		if index < 0 {
			return
		}
		script.apply(modelAction{kind: modelDeliver, target: index})
	}
}

// deliver delivers the oldest message that matches.
func (script *modelScript) deliver(matches func(packet *modelPacket) bool) {
	index := slices.IndexFunc(script.cluster.inFlight, matches)
	if index < 0 {
		script.fail("no matching message is in flight")
		return
	}
	script.apply(modelAction{kind: modelDeliver, target: index})
}

func (script *modelScript) apply(action modelAction) {
	if violation := script.cluster.apply(action); violation != nil {
		script.fail("%v", violation)
	}
}

// elect makes a machine campaign among the given others until it leads.
func (script *modelScript) elect(machine int, others ...int) {
	for range 5 {
		script.apply(modelAction{kind: modelCampaign, target: machine - 1})
		script.deliverAmong(append(others, machine)...)
		if script.cluster.machines[machine-1].process.leadership != nil {
			return
		}
		script.apply(modelAction{kind: modelTimeout, target: machine - 1})
	}
	script.fail("machine %d does not lead after 5 candidacies", machine)
}

// join makes a machine a learner of a leader.
func (script *modelScript) join(machine, leader int, others ...int) {
	script.apply(modelAction{kind: modelJoin, target: machine - 1, argument: leader - 1})
	script.deliverAmong(append(others, machine, leader)...)
}

// replaceVoter makes a leader replace the voter with the given ID by a machine.
func (script *modelScript) replaceVoter(leader, id, machine int, others ...int) {
	script.apply(modelAction{kind: modelReplace, target: leader - 1, argument: (machine-1)*64 + id})
	script.deliverAmong(append(others, leader, machine)...)
	script.apply(modelAction{kind: modelFinishReplacement, target: leader - 1})
	script.deliverAmong(append(others, leader, machine)...)
}

// write makes a leader write a value of the settings register.
func (script *modelScript) write(leader int, others ...int) {
	script.apply(modelAction{kind: modelStartWrite, target: leader - 1, register: message.SettingsRegister})
	script.deliverAmong(append(others, leader)...)
}

func (script *modelScript) crash(machine int) {
	script.apply(modelAction{kind: modelCrash, target: machine - 1})
}

// replaceDisk replaces a machine's disk by an empty one and restarts it.
func (script *modelScript) replaceDisk(machine int) {
	script.apply(modelAction{kind: modelWipe, target: machine - 1})
	script.apply(modelAction{kind: modelRestart, target: machine - 1})
}

// modelPrepareTwoReplaced replaces founders 1 and 2 of 3 by machines 4 and 5. Founder 1 led
// first, has been partitioned since, and still uses the first membership.
func modelPrepareTwoReplaced(cluster *modelCluster) {
	script := &modelScript{cluster: cluster, fail: func(string, ...any) {}}
	script.elect(1, 2, 3)
	script.elect(2, 3)
	script.write(2, 3)
	script.join(4, 2, 3)
	script.replaceVoter(2, 1, 4, 3)
	script.crash(2)
	script.elect(3, 4)
	script.join(5, 3, 4)
	script.replaceVoter(3, 2, 5, 4)
	cluster.inFlight, cluster.counts = nil, modelCounts{}
}

// modelPrepareUndecidedJoint leaves a crashed leader's joint membership at one other voter only.
func modelPrepareUndecidedJoint(cluster *modelCluster) {
	script := &modelScript{cluster: cluster, fail: func(string, ...any) {}}
	script.elect(1, 2, 3)
	script.write(1, 2, 3)
	script.join(4, 1, 2, 3)
	script.apply(modelAction{kind: modelReplace, target: 0, argument: 3*64 + 2})
	for cluster.machines[0].process.replication.purpose == modelCatchUp {
		script.deliver(func(packet *modelPacket) bool { return packet.from+1 == 4 || packet.to+1 == 4 })
	}
	script.deliver(func(packet *modelPacket) bool { return packet.from+1 == 1 && packet.to+1 == 3 && packet.voterID == 3 })
	script.crash(1)
	script.apply(modelAction{kind: modelRestart, target: 0})
	cluster.inFlight, cluster.counts = nil, modelCounts{}
}

// modelPrepareEmptyDisk extends modelPrepareTwoReplaced: founder 2 runs with a new, empty disk.
func modelPrepareEmptyDisk(cluster *modelCluster) {
	modelPrepareTwoReplaced(cluster)
	script := &modelScript{cluster: cluster, fail: func(string, ...any) {}}
	script.replaceDisk(2)
	cluster.inFlight, cluster.counts = nil, modelCounts{}
}

// A replaced founder returns with an empty disk, becomes a learner and restarts. Another
// founder, partitioned since before the first replacement, requests its promise under the first
// membership, of which the two were a majority. The learner must refuse.
func TestModelEmptyLearnerRefusesOldMembership(test *testing.T) {
	modelSilenceLogs(test)
	bounds := modelAmpleBounds(3, 2, 0)
	cluster := newModelCluster(modelRealRules(), &bounds)
	modelPrepareTwoReplaced(cluster)
	if cluster.observer.membership.Version.Serial != 5 {
		test.Fatalf("prepared membership %v, want serial 5", cluster.observer.membership)
	}
	script := &modelScript{cluster: cluster, fail: func(format string, values ...any) { test.Fatalf(format, values...) }}
	cluster.observer.outcomesOnly = true
	script.replaceDisk(2)
	script.join(2, 3, 4)
	if cluster.machines[1].process.core.replica.Blank() {
		test.Fatal("machine 2 is blank after joining, want an initialized learner")
	}
	script.crash(2)
	script.apply(modelAction{kind: modelRestart, target: 1})
	for range 3 {
		script.apply(modelAction{kind: modelTimeout, target: 0})
		script.apply(modelAction{kind: modelCampaign, target: 0})
		script.deliverAmong(1, 2)
	}
	if cluster.machines[0].process.core.membership().Version.Serial == 1 {
		test.Error("machine 1 still uses the first membership after 3 candidacies")
	}
}

// The prepared states of scenarios must be those that their names describe.
func TestModelPreparedStates(test *testing.T) {
	modelSilenceLogs(test)
	bounds := modelAmpleBounds(3, 1, 0)
	cluster := newModelCluster(modelRealRules(), &bounds)
	modelPrepareUndecidedJoint(cluster)
	serials := []uint64{}
	for _, machine := range cluster.machines[:3] {
		serials = append(serials, machine.process.core.membership().Version.Serial)
	}
	if !slices.Equal(serials, []uint64{1, 1, 2}) {
		test.Errorf("machines 1 to 3 have membership serials %v, want [1 1 2]", serials)
	}
	bounds = modelAmpleBounds(3, 2, 0)
	cluster = newModelCluster(modelRealRules(), &bounds)
	modelPrepareEmptyDisk(cluster)
	if cluster.observer.membership.Version.Serial != 5 || !cluster.machines[1].process.core.replica.Blank() ||
		cluster.machines[0].process.leadership == nil {
		test.Errorf(
			"membership %v, machine 2 blank %v, machine 1 leadership %v; want serial 5, true, non-nil",
			cluster.observer.membership,
			cluster.machines[1].process.core.replica.Blank(),
			cluster.machines[0].process.leadership,
		)
	}
}
