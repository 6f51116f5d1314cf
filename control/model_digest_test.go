package control

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"sort"

	"orchidjunction/consensus"
	"orchidjunction/harness/testdisk"
	"orchidjunction/message"
	"orchidjunction/replica"
	"orchidjunction/rpc"
)

// modelDigest is an encoding that distinguishes the states of the model.
type modelDigest []byte

func (digest *modelDigest) appendInts(numbers ...int) {
	for _, number := range numbers {
		*digest = binary.AppendVarint(*digest, int64(number))
	}
}

func (digest *modelDigest) appendText(text string) {
	digest.appendInts(len(text))
	*digest = append(*digest, text...)
}

func (digest *modelDigest) appendFlags(flags ...bool) {
	for _, flag := range flags {
		if flag {
			digest.appendInts(1)
		} else {
			digest.appendInts(0)
		}
	}
}

func (digest *modelDigest) appendTerm(term message.Term) {
	digest.appendInts(int(term.Number), term.Core)
}

func (digest *modelDigest) appendVersion(version message.Version) {
	digest.appendTerm(version.Term)
	digest.appendInts(int(version.Serial))
}

func (digest *modelDigest) appendValue(value message.Value) {
	digest.appendInts(int(value.Serial))
	digest.appendText(string(value.Body))
}

func (digest *modelDigest) appendAccepted(all [message.Registers]message.AcceptedValue) {
	for _, accepted := range all {
		digest.appendTerm(accepted.Term)
		digest.appendValue(accepted.Value)
	}
}

func (digest *modelDigest) appendMembership(membership *consensus.Membership) {
	digest.appendVersion(membership.Version)
	digest.appendInts(membership.LastID, len(membership.Voters), len(membership.Next))
	for _, peer := range append(slices.Clip(membership.Voters), membership.Next...) {
		digest.appendInts(peer.ID, modelIndex(peer.Address))
	}
}

func (digest *modelDigest) appendState(state *consensus.State) {
	digest.appendFlags(state.SinceBootstrap, state.Initialized)
	digest.appendTerm(state.Promised)
	digest.appendAccepted(state.Accepted)
}

func (digest *modelDigest) appendMessage(request any) {
	packed, err := rpc.Marshal(request)
	if err != nil {
		panic(err)
	}
	digest.appendText(string(packed))
}

// hash returns a hash of the whole state, independent of the order of messages in flight.
func (cluster *modelCluster) hash() [16]byte {
	digest := make(modelDigest, 0, 2048)
	counts := cluster.counts
	digest.appendInts(
		counts.candidacies,
		counts.writes,
		counts.crashes,
		counts.powerLosses,
		counts.wipes,
		counts.replacements,
		counts.joins,
		counts.repairs,
		counts.recoveries,
		counts.duplicates,
		counts.aborts,
		counts.lostResponses,
	)
	for _, machine := range cluster.machines {
		digest.appendText(machine.digest())
	}
	packets := make([]string, 0, len(cluster.inFlight))
	for _, packet := range cluster.inFlight {
		packets = append(packets, packet.digest())
	}
	sort.Strings(packets)
	for _, packet := range packets {
		digest.appendText(packet)
	}
	digest.appendObserver(cluster.observer)
	sum := sha256.Sum256(digest)
	return [16]byte(sum[:16])
}

// digest returns the encoded packet. It is cached, since packets do not change.
func (packet *modelPacket) digest() string {
	if packet.cachedDigest == "" {
		digest := modelDigest{}
		digest.appendInts(packet.from, packet.to, packet.incarnation, packet.call, packet.voterID, int(packet.register))
		digest.appendFlags(packet.isResponse, packet.amnesiac)
		if response, isHeartbeat := packet.message.(*message.HeartbeatResponse); isHeartbeat {
			untimed := *response
			untimed.NowMs, untimed.AnchorMs = 0, 0
			digest.appendMessage(&untimed)
		} else {
			digest.appendMessage(packet.message)
		}
		packet.cachedDigest = string(digest)
	}
	return packet.cachedDigest
}

// digest returns the encoded machine, cached until ownMachine is called for it.
func (machine *modelMachine) digest() string {
	if machine.cachedDigest == "" {
		digest := modelDigest{}
		digest.appendInts(machine.incarnations, int(machine.votedIDs), int(machine.lostIDs))
		if machine.process == nil {
			digest.appendState(modelDiskState(machine.disk))
		} else {
			digest.appendProcess(machine.process)
		}
		machine.cachedDigest = string(digest)
	}
	return machine.cachedDigest
}

// modelDiskState reads a stopped machine's disk with the real store.
func modelDiskState(disk *testdisk.Disk) *consensus.State {
	store, err := replica.OpenStore(disk.Clone())
	if err != nil {
		panic(err)
	}
	return store.State()
}

func (digest *modelDigest) appendProcess(process *modelProcess) {
	digest.appendState(process.core.replica.State())
	digest.appendMembership(process.core.membership().Membership)
	digest.appendInts(process.incarnation, process.calls, process.joinCall, int(process.core.election.highestTerm))
	digest.appendTerm(process.core.election.leader.Term)
	digest.appendAccepted(process.core.committed)
	if stateQuery := process.stateQuery; stateQuery != nil {
		digest.appendInts(1, stateQuery.call)
		digest.appendVersion(stateQuery.view.Version)
		for _, id := range slices.Sorted(maps.Keys(stateQuery.responses)) {
			digest.appendInts(id)
			digest.appendMessage(stateQuery.responses[id])
		}
	}
	if candidacy := process.candidacy; candidacy != nil {
		digest.appendInts(2, candidacy.call)
		digest.appendTerm(candidacy.term)
		digest.appendVersion(candidacy.view.Version)
		for _, id := range slices.Sorted(maps.Keys(candidacy.promises)) {
			digest.appendInts(id)
			digest.appendAccepted(candidacy.promises[id].Accepted)
		}
	}
	if replication := process.replication; replication != nil {
		digest.appendInts(3, replication.call, replication.leavingID)
		digest.appendText(string(replication.purpose) + replication.learner)
		digest.appendTerm(replication.term)
		if replication.view != nil {
			digest.appendMembership(replication.view.Membership)
		}
		for register := range message.Registers {
			digest.appendInts(int(replication.acceptedBy[register]))
			digest.appendValue(replication.values[register])
		}
	}
	if admission := process.admission; admission != nil {
		digest.appendInts(4, admission.call, int(admission.confirmedBy))
		digest.appendText(admission.request.digest() + admission.acknowledged)
		digest.appendVersion(admission.view.Version)
	}
	if leadership := process.leadership; leadership != nil {
		digest.appendInts(5)
		digest.appendTerm(leadership.term)
		for _, value := range leadership.values {
			digest.appendValue(value)
		}
	}
}

func (digest *modelDigest) appendObserver(observer *modelObserver) {
	for register := range observer.decided {
		digest.appendText(observer.decided[register] + "/" + observer.acknowledged[register])
		digest.appendTerm(observer.decidedTerm[register])
	}
	digest.appendMembership(observer.membership)
	for _, term := range slices.SortedFunc(maps.Keys(observer.leaders), compareTerms) {
		digest.appendTerm(term)
		digest.appendInts(observer.leaders[term])
	}
	for _, id := range slices.Sorted(maps.Keys(observer.addresses)) {
		digest.appendInts(id, modelIndex(observer.addresses[id]))
	}
	for _, proposal := range slices.SortedFunc(slices.Values(observer.proposals), compareProposals) {
		digest.appendTerm(proposal.term)
		digest.appendInts(int(proposal.register), len(proposal.views), int(proposal.acceptors))
		digest.appendValue(proposal.value)
		digest.appendFlags(proposal.decided)
	}
}

func compareTerms(left, right message.Term) int {
	if left.Less(right) {
		return -1
	}
	if right.Less(left) {
		return 1
	}
	return 0
}

func compareProposals(left, right modelProposal) int {
	if order := compareTerms(left.term, right.term); order != 0 {
		return order
	}
	if left.register != right.register {
		return int(left.register - right.register)
	}
	return int(left.value.Serial) - int(right.value.Serial)
}
