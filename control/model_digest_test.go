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

// modelDigest collects what tells two states of the model apart.
type modelDigest []byte

func (digest *modelDigest) numbers(numbers ...int) {
	for _, number := range numbers {
		*digest = binary.AppendVarint(*digest, int64(number))
	}
}

func (digest *modelDigest) text(text string) {
	digest.numbers(len(text))
	*digest = append(*digest, text...)
}

func (digest *modelDigest) flag(flags ...bool) {
	for _, flag := range flags {
		if flag {
			digest.numbers(1)
		} else {
			digest.numbers(0)
		}
	}
}

func (digest *modelDigest) ballot(term message.Term) {
	digest.numbers(int(term.Number), term.Core)
}

func (digest *modelDigest) mark(version message.Version) {
	digest.ballot(version.Term)
	digest.numbers(int(version.Serial))
}

func (digest *modelDigest) value(value message.Value) {
	digest.numbers(int(value.Serial))
	digest.text(string(value.Body))
}

func (digest *modelDigest) accepted(all [message.Registers]message.AcceptedValue) {
	for _, accepted := range all {
		digest.ballot(accepted.Term)
		digest.value(accepted.Value)
	}
}

func (digest *modelDigest) membership(membership *consensus.Membership) {
	digest.mark(membership.Version)
	digest.numbers(membership.LastID, len(membership.Voters), len(membership.Next))
	for _, peer := range append(slices.Clip(membership.Voters), membership.Next...) {
		digest.numbers(peer.ID, modelIndex(peer.Address))
	}
}

func (digest *modelDigest) state(state *consensus.State) {
	digest.flag(state.SinceBootstrap, state.Initialized)
	digest.ballot(state.Promised)
	digest.accepted(state.Accepted)
}

func (digest *modelDigest) message(request any) {
	packed, err := rpc.Marshal(request)
	if err != nil {
		panic(err)
	}
	digest.text(string(packed))
}

// hash is a digest of the whole state, whatever the order of messages on their way.
func (world *modelWorld) hash() [16]byte {
	digest := make(modelDigest, 0, 2048)
	spent := world.spent
	digest.numbers(
		spent.candidates,
		spent.orders,
		spent.crashes,
		spent.powerLoss,
		spent.wipes,
		spent.steps,
		spent.enlists,
		spent.mends,
		spent.surveys,
		spent.duplicates,
		spent.giveUps,
		spent.losses,
	)
	for _, machine := range world.machines {
		digest.text(machine.digest())
	}
	packets := make([]string, 0, len(world.flight))
	for _, packet := range world.flight {
		packets = append(packets, packet.digest())
	}
	sort.Strings(packets)
	for _, packet := range packets {
		digest.text(packet)
	}
	digest.ledger(world.ledger)
	whole := sha256.Sum256(digest)
	return [16]byte(whole[:16])
}

// digest is a message's; it is kept, since messages don't change.
func (packet *modelPacket) digest() string {
	if packet.digested == "" {
		digest := modelDigest{}
		digest.numbers(packet.from, packet.to, packet.life, packet.call, packet.as, int(packet.register))
		digest.flag(packet.answers, packet.amnesiac)
		if response, beats := packet.message.(*message.HeartbeatResponse); beats {
			untimed := *response
			untimed.NowMs, untimed.AnchorMs = 0, 0
			digest.message(&untimed)
		} else {
			digest.message(packet.message)
		}
		packet.digested = string(digest)
	}
	return packet.digested
}

// digest is a machine's; it is kept until the machine changes.
func (machine *modelMachine) digest() string {
	if machine.digested == "" {
		digest := modelDigest{}
		digest.numbers(machine.lives, int(machine.voted), int(machine.forgotten))
		if machine.process == nil {
			digest.state(modelLasting(machine.disk))
		} else {
			digest.process(machine.process)
		}
		machine.digested = string(digest)
	}
	return machine.digested
}

// modelLasting is what a stopped machine's disk holds, read by the real store.
func modelLasting(disk *testdisk.Disk) *consensus.State {
	store, err := replica.OpenStore(disk.Clone())
	if err != nil {
		panic(err)
	}
	return store.State()
}

func (digest *modelDigest) process(process *modelProcess) {
	digest.state(process.core.replica.State())
	digest.membership(process.core.membership().Membership)
	digest.numbers(process.life, process.calls, process.enlisting, int(process.core.election.highestTerm))
	digest.ballot(process.core.election.leader.Term)
	digest.accepted(process.core.committed)
	if survey := process.survey; survey != nil {
		digest.numbers(1, survey.call)
		digest.mark(survey.view.Version)
		for _, id := range slices.Sorted(maps.Keys(survey.response)) {
			digest.numbers(id)
			digest.message(survey.response[id])
		}
	}
	if candidacy := process.candidacy; candidacy != nil {
		digest.numbers(2, candidacy.call)
		digest.ballot(candidacy.ballot)
		digest.mark(candidacy.view.Version)
		for _, id := range slices.Sorted(maps.Keys(candidacy.promises)) {
			digest.numbers(id)
			digest.accepted(candidacy.promises[id].Accepted)
		}
	}
	if push := process.push; push != nil {
		digest.numbers(3, push.call, push.leaving)
		digest.text(string(push.purpose) + push.learner)
		digest.ballot(push.ballot)
		if push.view != nil {
			digest.membership(push.view.Membership)
		}
		for register := range message.Registers {
			digest.numbers(int(push.took[register]))
			digest.value(push.values[register])
		}
	}
	if admission := process.admission; admission != nil {
		digest.numbers(4, admission.call, int(admission.took))
		digest.text(admission.asked.digest() + admission.history)
		digest.mark(admission.view.Version)
	}
	if leadership := process.leadership; leadership != nil {
		digest.numbers(5)
		digest.ballot(leadership.term)
		for _, value := range leadership.values {
			digest.value(value)
		}
	}
}

func (digest *modelDigest) ledger(ledger *modelLedger) {
	for register := range ledger.history {
		digest.text(ledger.history[register] + "/" + ledger.acknowledged[register])
		digest.ballot(ledger.under[register])
	}
	digest.membership(ledger.version)
	for _, term := range slices.SortedFunc(maps.Keys(ledger.leaders), compareTerms) {
		digest.ballot(term)
		digest.numbers(ledger.leaders[term])
	}
	for _, id := range slices.Sorted(maps.Keys(ledger.given)) {
		digest.numbers(id, modelIndex(ledger.given[id]))
	}
	for _, proposal := range slices.SortedFunc(slices.Values(ledger.proposals), compareProposals) {
		digest.ballot(proposal.ballot)
		digest.numbers(int(proposal.register), len(proposal.versions), int(proposal.acceptors))
		digest.value(proposal.value)
		digest.flag(proposal.decided)
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
	if order := compareTerms(left.ballot, right.ballot); order != 0 {
		return order
	}
	if left.register != right.register {
		return int(left.register - right.register)
	}
	return int(left.value.Serial) - int(right.value.Serial)
}
