package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"orchidjunction/message"
)

// foundingRules are the rules of founding, each of which a mutant replaces.
type foundingRules struct {
	vote         func(founding *Founding, request *message.FoundRequest) (*message.FoundResponse, *Founding)
	proposal     func(promises []*message.FoundResponse, own message.AcceptedValue) message.AcceptedValue
	isMajority   func(founding *Founding, count int) bool
	mustPrepare  func(ballot int) bool
	afterLoss    func(founding Founding) Founding // what a seed that lost its disk starts with
	keepsItsVote bool                             // the proposer's own vote is durable before others are asked
}

func trueFoundingRules() foundingRules {
	return foundingRules{
		vote:         (*Founding).Vote,
		proposal:     Proposal,
		isMajority:   (*Founding).IsMajority,
		mustPrepare:  func(ballot int) bool { return ballot > 1 },
		afterLoss:    func(Founding) Founding { return Founding{} },
		keepsItsVote: true,
	}
}

// foundingMachine is a seed in the model: durable are founding and adopted, the rest is lost at a
// restart.
type foundingMachine struct {
	founding Founding
	adopted  string
	lost     bool

	life      int
	proposing *message.FoundRequest
	granted   map[int]*message.FoundResponse
}

// foundingMessage is a message in flight. A response belongs to the request that it answers and to
// the life of the proposer.
type foundingMessage struct {
	from, to, life int
	request        *message.FoundRequest
	response       *message.FoundResponse
}

type foundingModel struct {
	rules     foundingRules
	random    *rand.Rand
	machines  []*foundingMachine
	inFlight  []foundingMessage
	proposals int
	losses    int
	chosen    map[string]bool // memberships that a machine took for chosen
}

func newFoundingModel(rules foundingRules, seed uint64) *foundingModel {
	model := &foundingModel{rules: rules, random: rand.New(rand.NewPCG(seed, 0)), chosen: map[string]bool{}}
	seeds := []string{}
	for index := range 3 {
		seeds = append(seeds, foundingAddress(index))
	}
	for range seeds {
		model.machines = append(model.machines, &foundingMachine{founding: Founding{Seeds: seeds}})
	}
	return model
}

func foundingAddress(index int) string { return fmt.Sprintf("10.0.0.%d:1", index+1) }

func foundingValue(text string) message.AcceptedValue {
	return message.AcceptedValue{Value: message.Value{Serial: InitialSerial, Body: []byte(text)}}
}

// step takes one random step. Any seed may propose at any time: the order in which they do so in
// fact must not matter for safety.
func (model *foundingModel) step() {
	index := model.random.IntN(len(model.machines))
	machine := model.machines[index]
	switch kind := model.random.IntN(20); {
	case kind < 12 && len(model.inFlight) > 0:
		model.deliver()
	case kind < 16 && machine.proposing == nil && machine.adopted == "":
		model.propose(index)
	case kind == 17:
		model.restart(machine)
	case kind == 18 && model.losses == 0:
		model.losses++
		machine.founding, machine.adopted, machine.lost = model.rules.afterLoss(machine.founding), "", true
		model.restart(machine)
	case kind == 19:
		other := model.machines[model.random.IntN(len(model.machines))]
		if machine.adopted == "" && other.adopted != "" {
			model.adopt(machine, other.adopted)
		}
	}
}

func (model *foundingModel) restart(machine *foundingMachine) {
	machine.life++
	machine.proposing, machine.granted = nil, nil
}

func (model *foundingModel) adopt(machine *foundingMachine, value string) {
	machine.adopted = value
	machine.proposing = nil
	model.chosen[value] = true
}

func (model *foundingModel) propose(index int) {
	machine := model.machines[index]
	ballot := machine.founding.Ballot(foundingAddress(index))
	if ballot == 0 {
		return
	}
	switch {
	case machine.founding.AcceptedBallot == ballot:
		model.ask(index, &message.FoundRequest{Ballot: ballot, Proposal: machine.founding.Accepted})
	case model.rules.mustPrepare(ballot):
		model.ask(index, &message.FoundRequest{Ballot: ballot})
	default:
		model.ask(index, &message.FoundRequest{Ballot: ballot, Proposal: model.ownProposal(index)})
	}
}

// ownProposal returns a membership that was never proposed before.
func (model *foundingModel) ownProposal(index int) message.AcceptedValue {
	model.proposals++
	return foundingValue(fmt.Sprintf("membership %d of seed %d", model.proposals, index+1))
}

func (model *foundingModel) ask(index int, request *message.FoundRequest) {
	machine := model.machines[index]
	response, next := model.rules.vote(&machine.founding, request)
	if !response.Granted {
		machine.proposing = nil
		return
	}
	if next != nil && model.rules.keepsItsVote {
		machine.founding = *next
	}
	machine.proposing = request
	machine.granted = map[int]*message.FoundResponse{index: response}
	for other := range model.machines {
		if other != index {
			model.inFlight = append(model.inFlight, foundingMessage{from: index, to: other, life: machine.life, request: request})
		}
	}
	model.advance(index)
}

// deliver delivers a random message, which may stay in flight to be delivered again, or be lost.
func (model *foundingModel) deliver() {
	position := model.random.IntN(len(model.inFlight))
	packet := model.inFlight[position]
	if model.random.IntN(4) > 0 {
		model.inFlight = append(model.inFlight[:position:position], model.inFlight[position+1:]...)
	}
	machine := model.machines[packet.to]
	switch {
	case model.random.IntN(10) == 0: // lost
	case packet.response != nil:
		model.receive(packet)
	case machine.adopted != "":
		model.reply(packet, &message.FoundResponse{Membership: foundingValue(machine.adopted)})
	default:
		response, next := model.rules.vote(&machine.founding, packet.request)
		if next != nil {
			machine.founding = *next
		}
		model.reply(packet, response)
	}
}

func (model *foundingModel) reply(packet foundingMessage, response *message.FoundResponse) {
	model.inFlight = append(model.inFlight, foundingMessage{
		from: packet.to, to: packet.from, life: packet.life, request: packet.request, response: response,
	})
}

func (model *foundingModel) receive(packet foundingMessage) {
	machine := model.machines[packet.to]
	if machine.adopted != "" || machine.life != packet.life || machine.proposing != packet.request {
		return
	}
	if membership := packet.response.Membership.Value; membership.Serial > 0 {
		model.adopt(machine, string(membership.Body))
		return
	}
	if !packet.response.Granted {
		return
	}
	machine.granted[packet.from] = packet.response
	model.advance(packet.to)
}

// advance takes a proposer's next step if a majority has granted its request.
func (model *foundingModel) advance(index int) {
	machine := model.machines[index]
	if !model.rules.isMajority(&machine.founding, len(machine.granted)) {
		return
	}
	if proposal := machine.proposing.Proposal; proposal.Value.Serial > 0 {
		model.adopt(machine, string(proposal.Value.Body))
		return
	}
	promises := []*message.FoundResponse{}
	for _, promise := range machine.granted {
		promises = append(promises, promise)
	}
	proposal := model.rules.proposal(promises, model.ownProposal(index))
	model.ask(index, &message.FoundRequest{Ballot: machine.proposing.Ballot, Proposal: proposal})
}

// Lengths of the model's walks. Those of weakened rules end with the first fault.
const (
	foundingWalks = 4000
	mutantWalks   = 100_000
	foundingSteps = 80
)

// walkFounding returns how many memberships were chosen in a walk.
func walkFounding(rules foundingRules, seed uint64) int {
	model := newFoundingModel(rules, seed)
	for range foundingSteps {
		model.step()
	}
	return len(model.chosen)
}

// A system that lost the disk of its founder at once never started, since nobody else might found
// it. The other seeds may now, and still no two memberships are ever chosen: under lost, repeated
// and delayed messages, restarts, and the loss of one disk.
func TestFirstMembershipIsChosenOnce(test *testing.T) {
	founded := 0
	for seed := range uint64(foundingWalks) {
		chosen := walkFounding(trueFoundingRules(), seed)
		if chosen > 1 {
			test.Errorf("walk %d chose %d memberships", seed, chosen)
		}
		founded += min(chosen, 1)
	}
	if founded < foundingWalks/2 {
		test.Errorf("only %d of %d walks chose a membership", founded, foundingWalks)
	}
}

// Each weakened rule lets some walk choose two memberships, so that the walks can find a fault.
func TestWeakenedFoundingRulesChooseTwice(test *testing.T) {
	for name, weaken := range map[string]func(rules *foundingRules){
		"promises are forgotten": func(rules *foundingRules) {
			rules.vote = func(founding *Founding, request *message.FoundRequest) (*message.FoundResponse, *Founding) {
				response, next := founding.Vote(request)
				if next != nil {
					next.Promised = 0
				}
				return response, next
			}
		},
		"no promises are asked for": func(rules *foundingRules) { rules.mustPrepare = func(int) bool { return false } },
		"accepted proposals are ignored": func(rules *foundingRules) {
			rules.proposal = func(_ []*message.FoundResponse, own message.AcceptedValue) message.AcceptedValue { return own }
		},
		"the lowest ballot's proposal is taken": func(rules *foundingRules) {
			rules.proposal = func(promises []*message.FoundResponse, own message.AcceptedValue) message.AcceptedValue {
				lowest := 0
				for _, promise := range promises {
					if ballot := promise.AcceptedBallot; ballot > 0 && (lowest == 0 || ballot < lowest) {
						lowest, own = ballot, promise.Accepted
					}
				}
				return own
			}
		},
		"one vote is enough": func(rules *foundingRules) { rules.isMajority = func(*Founding, int) bool { return true } },
		"a seed votes after the loss of its disk": func(rules *foundingRules) {
			rules.afterLoss = func(founding Founding) Founding { return Founding{Seeds: founding.Seeds} }
		},
		"the proposer's own vote is not kept": func(rules *foundingRules) { rules.keepsItsVote = false },
	} {
		rules := trueFoundingRules()
		weaken(&rules)
		seed := uint64(0)
		for seed < mutantWalks && walkFounding(rules, seed) < 2 {
			seed++
		}
		if seed == mutantWalks {
			test.Errorf("%s: no walk chose two memberships", name)
		}
	}
}
