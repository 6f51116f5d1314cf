package control

import (
	"math"
	"slices"
	"testing"
	"time"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// modelMutant is a seeded bug, and the invariants of which it must break one.
type modelMutant struct {
	name   string
	breaks []string
	mutate func(rules *modelRules)
	// form is the form of deployment whose walks must find it.
	form int
	// detailed lets the invariants on single answers find it too; without that it has
	// to show in what is decided, led and served.
	detailed bool
	// near is a walk that found it when last measured; with the race detector, which
	// slows all walks, the search begins there.
	near int
}

// modelTooFew counts with one voter less than a majority of each group.
func modelTooFew(view *consensus.View, has func(id int) bool) bool {
	if !view.Votes() {
		return false
	}
	for _, group := range view.Groups() {
		if message.CountIn(group, func(id int) bool { return id == view.ID || has(id) }) < message.Majority(group)-1 {
			return false
		}
	}
	return true
}

// modelFirstGroup counts a majority of the former voters only, also during a step.
func modelFirstGroup(view *consensus.View, has func(id int) bool) bool {
	return view.Votes() && message.CountIn(view.Voters, has) >= message.Majority(view.Voters)
}

// modelOldest takes over the oldest values in place of the newest.
func modelOldest(
	view *consensus.View,
	promises map[int]*message.PrepareResponse,
) (oldest [message.Registers]message.AcceptedValue, from [message.Registers]int) {
	oldest, from = consensus.InheritedValues(view, promises)
	for id, promise := range promises {
		for register := range message.MembersRegister {
			if promise.Accepted[register].Version().Less(oldest[register].Version()) {
				oldest[register], from[register] = promise.Accepted[register], id
			}
		}
	}
	return oldest, from
}

const (
	modelThree = iota
	modelFour
	modelLate
	modelFive
	modelWiped
	modelStale
	modelEmptied
	modelStray
)

var modelMutants = []modelMutant{
	{
		name:   "a candidate needs one promise less",
		form:   modelThree,
		breaks: []string{acknowledgedIsKept, oneValuePerSerial, oneLeaderPerTerm, confirmedReadIsNewest},
		mutate: func(rules *modelRules) { rules.decides = modelTooFew },
	},
	{
		name:     "a reference names the serial alone",
		form:     modelThree,
		breaks:   []string{oneValuePerSerial, acknowledgedIsKept},
		detailed: true,
		mutate:   func(rules *modelRules) { rules.acceptsBySerial = true },
	},
	{
		name: "a write needs one replica less", form: modelThree, breaks: []string{acknowledgedIsKept},
		mutate: func(rules *modelRules) { rules.pushed = modelTooFew },
	},
	{
		name: "a write needs one replica less, of 4", form: modelFour, breaks: []string{acknowledgedIsKept},
		mutate: func(rules *modelRules) { rules.pushed = modelTooFew },
	},
	{
		name: "a step counts the former voters only", form: modelThree, breaks: []string{oneVoterPerStep, acknowledgedIsKept, quorumsMeet},
		mutate: func(rules *modelRules) {
			rules.pushed = modelFirstGroup
			rules.decides = func(view *consensus.View, has func(id int) bool) bool {
				return modelFirstGroup(view, func(id int) bool { return id == view.ID || has(id) })
			}
		},
	},
	{
		name: "nobody refuses an older membership", form: modelThree, breaks: []string{acknowledgedIsKept, oneVoterPerStep, quorumsMeet},
		mutate: func(rules *modelRules) {
			rules.askedMembers = func(view *consensus.View) message.AcceptedValue {
				request := view.Accepted()
				request.Term.Number = math.MaxUint32
				return request
			}
		},
	},
	{
		name: "a change without the joint step", form: modelThree, breaks: []string{oneVoterPerStep},
		mutate: func(rules *modelRules) { rules.beginsByStep = false },
	},
	{
		name: "two voters change in a step", form: modelFour, breaks: []string{oneVoterPerStep},
		mutate: func(rules *modelRules) {
			rules.replaced = func(view *consensus.View, leaving int, address string) *consensus.Membership {
				step := view.WithReplacement(leaving, address)
				other := slices.IndexFunc(step.Next, func(peer message.Peer) bool { return peer.ID != view.ID && peer.Address != address })
				step.LastID++
				step.Next[other] = message.Peer{ID: step.LastID, Address: step.Next[other].Address}
				return step
			}
		},
	},
	{
		name: "a newcomer gets the ID of the one that left", form: modelThree, breaks: []string{idsAreUsedOnce},
		mutate: func(rules *modelRules) {
			rules.replaced = func(view *consensus.View, leaving int, address string) *consensus.Membership {
				step := view.WithReplacement(leaving, address)
				step.LastID = view.LastID
				step.Next[len(step.Next)-1].ID = leaving
				return step
			}
		},
	},
	{
		name: "ballots without the core's ID", form: modelThree, breaks: []string{oneLeaderPerTerm, oneValuePerSerial, acknowledgedIsKept},
		mutate: func(rules *modelRules) {
			rules.nextTerm = func(core *Core, view *consensus.View) message.Term {
				term, _ := core.nextTerm(view)
				term.Core = 1
				return term
			}
		},
	},
	{
		name: "a joining core stands", form: modelThree, breaks: []string{onlyVotersLead}, detailed: true,
		mutate: func(rules *modelRules) { rules.mayLead = func(view *consensus.View, id int) bool { return id > 0 } },
	},
	{
		name: "a ballot takes over the oldest values", form: modelThree, breaks: []string{acknowledgedIsKept},
		mutate: func(rules *modelRules) { rules.takenOver = modelOldest },
	},
	{
		name: "a blank disk votes", form: modelThree, breaks: []string{acknowledgedIsKept},
		mutate: func(rules *modelRules) { rules.blankDiskVotes = true },
	},
	{
		name: "a sync that does not last", form: modelThree, breaks: []string{acknowledgedIsKept, oneLeaderPerTerm, oneValuePerSerial},
		mutate: func(rules *modelRules) { rules.syncs = false },
	},
	{
		name: "a blank voter fences one other voter less", form: modelWiped, breaks: []string{acknowledgedIsKept},
		mutate: func(rules *modelRules) {
			rules.fencesWithout = modelFenceTooFew
			rules.mayRestore = func(core *Core, view *consensus.View, response map[int]*message.ReplicaStateResponse) bool {
				return view.MayLead(view.ID) &&
					modelFenceTooFew(
						view,
						view.ID,
						consensus.Agreed(response, func(answer *message.ReplicaStateResponse) bool { return answer.Initialized }),
					)
			}
		},
	},
	{
		name:   "a restored voter has promised nothing",
		near:   4770,
		form:   modelWiped,
		breaks: []string{acknowledgedIsKept, oneValuePerSerial, servedIsDecided},
		mutate: func(rules *modelRules) {
			rules.found = func(core *Core, _ message.Term, _ [message.Registers]message.AcceptedValue) error {
				return core.replica.Initialize(message.Term{}, [message.Registers]message.AcceptedValue{}, nil)
			}
		},
	},
	{
		name:   "a restored voter keeps copies as votes of former ballots",
		near:   800,
		form:   modelWiped,
		breaks: []string{acknowledgedIsKept, servedIsDecided},
		mutate: func(rules *modelRules) { rules.found = modelFoundAsVotes },
	},
	{
		name: "a voter is admitted as a learner", near: 1800, form: modelWiped, breaks: []string{acknowledgedIsKept, servedIsDecided},
		mutate: func(rules *modelRules) {
			rules.admits = func(*consensus.View, string) bool { return true }
			rules.mayBeginEmpty = func(core *Core, response *message.JoinResponse) bool {
				return response.Admitted && core.replica.Blank()
			}
			rules.beginEmpty = modelBeginEmpty
		},
	},
	{
		name: "a learner is admitted unconfirmed", form: modelStale, breaks: []string{acknowledgedIsKept, onlyVotersCount}, detailed: true,
		mutate: func(rules *modelRules) { rules.confirms = false },
	},
	{
		name:     "a learner forgets who votes",
		near:     660,
		form:     modelEmptied,
		breaks:   []string{acknowledgedIsKept, quorumsMeet, onlyVotersCount},
		detailed: true,
		mutate: func(rules *modelRules) {
			rules.beginEmpty = func(core *Core, term message.Term) {
				modelBeginEmpty(core, term)
			}
		},
	},
	{
		name:   "a leader counts by what it heard",
		near:   650,
		form:   modelStray,
		breaks: []string{oneVoterPerStep, servedIsDecided, acknowledgedIsKept, quorumsMeet},
		mutate: func(rules *modelRules) {
			rules.leadsBy = func(*Core, *consensus.View, message.Term) error { return nil }
		},
	},
	{
		name: "a step ends without catching up or rewriting", near: 220, form: modelThree, breaks: []string{acknowledgedIsKept},
		mutate: func(rules *modelRules) { rules.catchesUp, rules.rewrites = false, false },
	},
}

func modelFenceTooFew(view *consensus.View, lost int, has func(id int) bool) bool {
	return message.CountIn(
		view.Voters,
		func(id int) bool { return id != lost && has(id) },
	) >= len(
		view.Voters,
	)-message.Majority(
		view.Voters,
	)
}

// modelFoundAsVotes takes over copies as if this replica had accepted them.
func modelFoundAsVotes(core *Core, term message.Term, accepted [message.Registers]message.AcceptedValue) error {
	step := consensus.Record{Initialized: true, Promised: &term}
	for register := range accepted {
		if accepted[register].Value.Serial > 0 {
			step.Then = append(step.Then, consensus.Record{Register: message.Register(register), Accepted: &accepted[register]})
		}
	}
	store := core.replica.Store()
	if err := store.Append(step); err != nil {
		return err
	}
	core.openReplica(store)
	return nil
}

// modelBeginEmpty begins without a look at the membership.
func modelBeginEmpty(core *Core, term message.Term) {
	modelMust(core.replica.Initialize(term, [message.Registers]message.AcceptedValue{}, nil))
}

// modelMutantWalks bound the search for one mutant.
const modelMutantWalks = 20000

// TestModelFindsMutants seeds one bug after the other; walks must find each.
func TestModelFindsMutants(test *testing.T) {
	modelQuiet(test)
	for _, mutant := range modelMutants {
		test.Run(mutant.name, func(test *testing.T) {
			rules := modelRealRules()
			mutant.mutate(rules)
			began := time.Now()
			first := 0
			if modelBeginsNear {
				first = mutant.near
			}
			for index := first; index < first+modelMutantWalks; index++ {
				walk := newModelWalk(rules, &modelForms[mutant.form], uint64(index+1))
				walk.world.ledger.outcomesOnly = !mutant.detailed
				violation := walk.run(modelWalkSteps)
				if violation == nil {
					continue
				}
				if !slices.Contains(mutant.breaks, violation.invariant) {
					test.Errorf("found as %v; want one of %q", violation, mutant.breaks)
				}
				test.Logf("found by walk %d in %v: %v", index+1, time.Since(began).Round(time.Millisecond), violation)
				return
			}
			test.Errorf("not found by %d walks in %v", modelMutantWalks, time.Since(began).Round(time.Millisecond))
		})
	}
}
