package control

import (
	"math"
	"slices"
	"testing"
	"time"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// modelMutant is a seeded bug and the invariants of which it must violate one.
type modelMutant struct {
	name     string
	violates []string
	mutate   func(rules *modelRules)
	// scenario is the index of the scenario whose walks must detect it.
	scenario int
	// detailed includes the invariants on single responses and counts. Without them, the bug
	// must show in what is decided, led or served.
	detailed bool
	// startWalk is where the search begins under the race detector, which slows walks down. It
	// is near a walk that detected the bug.
	startWalk int
}

// modelOneBelowMajority requires one voter fewer than a majority of each group.
func modelOneBelowMajority(view *consensus.View, has func(id int) bool) bool {
	if !view.IsVoter() {
		return false
	}
	for _, group := range view.Groups() {
		if message.CountIn(group, func(id int) bool { return id == view.ID || has(id) }) < message.Majority(group)-1 {
			return false
		}
	}
	return true
}

// modelFormerMajority requires only a majority of the former voters, also in a joint membership.
func modelFormerMajority(view *consensus.View, has func(id int) bool) bool {
	return view.IsVoter() && message.CountIn(view.Voters, has) >= message.Majority(view.Voters)
}

// modelOldestValues returns the oldest values instead of the newest.
func modelOldestValues(
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

// Indexes of modelScenarios.
const (
	modelThreeVoters = iota
	modelFourVoters
	modelLateVoter
	modelFiveVoters
	modelWipedDisks
	modelStaleLeader
	modelStaleLeaderEmptyDisk
	modelUndecidedJoint
)

var modelMutants = []modelMutant{
	{
		name:     "a candidate needs one promise fewer",
		scenario: modelThreeVoters,
		violates: []string{decisionsAreKept, oneValuePerSerial, oneLeaderPerTerm, confirmedReadIsCurrent},
		mutate:   func(rules *modelRules) { rules.decides = modelOneBelowMajority },
	},
	{
		name:     "a reference matches by serial alone",
		scenario: modelThreeVoters,
		violates: []string{oneValuePerSerial, decisionsAreKept},
		detailed: true,
		mutate:   func(rules *modelRules) { rules.acceptsBySerial = true },
	},
	{
		name: "a write needs one replica fewer", scenario: modelThreeVoters, violates: []string{decisionsAreKept},
		mutate: func(rules *modelRules) { rules.decidedBy = modelOneBelowMajority },
	},
	{
		name: "a write needs one replica fewer, 4 voters", scenario: modelFourVoters, violates: []string{decisionsAreKept},
		mutate: func(rules *modelRules) { rules.decidedBy = modelOneBelowMajority },
	},
	{
		name:     "a joint quorum counts the former voters only",
		scenario: modelThreeVoters,
		violates: []string{oneVoterPerChange, decisionsAreKept, quorumsIntersect},
		mutate: func(rules *modelRules) {
			rules.decidedBy = modelFormerMajority
			rules.decides = func(view *consensus.View, has func(id int) bool) bool {
				return modelFormerMajority(view, func(id int) bool { return id == view.ID || has(id) })
			}
		},
	},
	{
		name:     "an outdated membership is not rejected",
		scenario: modelThreeVoters,
		violates: []string{decisionsAreKept, oneVoterPerChange, quorumsIntersect},
		mutate: func(rules *modelRules) {
			rules.prepareMembership = func(view *consensus.View) message.AcceptedValue {
				request := view.Accepted()
				request.Term.Number = math.MaxUint32
				return request
			}
		},
	},
	{
		name: "a change without the joint membership", scenario: modelThreeVoters, violates: []string{oneVoterPerChange},
		mutate: func(rules *modelRules) { rules.usesJointMembership = false },
	},
	{
		name: "two voters change at once", scenario: modelFourVoters, violates: []string{oneVoterPerChange},
		mutate: func(rules *modelRules) {
			rules.withReplacement = func(view *consensus.View, leaving int, address string) *consensus.Membership {
				joint := view.WithReplacement(leaving, address)
				other := slices.IndexFunc(joint.Next, func(peer message.Peer) bool { return peer.ID != view.ID && peer.Address != address })
				joint.LastID++
				joint.Next[other] = message.Peer{ID: joint.LastID, Address: joint.Next[other].Address}
				return joint
			}
		},
	},
	{
		name: "a new voter reuses the ID of the replaced one", scenario: modelThreeVoters, violates: []string{idsAreUsedOnce},
		mutate: func(rules *modelRules) {
			rules.withReplacement = func(view *consensus.View, leaving int, address string) *consensus.Membership {
				joint := view.WithReplacement(leaving, address)
				joint.LastID = view.LastID
				joint.Next[len(joint.Next)-1].ID = leaving
				return joint
			}
		},
	},
	{
		name:     "terms without the core's ID",
		scenario: modelThreeVoters,
		violates: []string{oneLeaderPerTerm, oneValuePerSerial, decisionsAreKept},
		mutate: func(rules *modelRules) {
			rules.nextTerm = func(core *Core, view *consensus.View) message.Term {
				term, _ := core.nextTerm(view)
				term.Core = 1
				return term
			}
		},
	},
	{
		name: "a joining core campaigns", scenario: modelThreeVoters, violates: []string{onlyVotersLead}, detailed: true,
		mutate: func(rules *modelRules) { rules.mayLead = func(view *consensus.View, id int) bool { return id > 0 } },
	},
	{
		name: "a candidate inherits the oldest values", scenario: modelThreeVoters, violates: []string{decisionsAreKept},
		mutate: func(rules *modelRules) { rules.inheritedValues = modelOldestValues },
	},
	{
		name: "a blank disk votes", scenario: modelThreeVoters, violates: []string{decisionsAreKept},
		mutate: func(rules *modelRules) { rules.blankDiskVotes = true },
	},
	{
		name:     "a sync that is not durable",
		scenario: modelThreeVoters,
		violates: []string{decisionsAreKept, oneLeaderPerTerm, oneValuePerSerial},
		mutate:   func(rules *modelRules) { rules.syncs = false },
	},
	{
		name: "a restored voter fences one fewer voter", scenario: modelWipedDisks, violates: []string{decisionsAreKept},
		mutate: func(rules *modelRules) {
			rules.fencesLostVoter = modelFenceOneFewer
			rules.mayRestore = func(core *Core, view *consensus.View, response map[int]*message.ReplicaStateResponse) bool {
				return view.MayLead(view.ID) &&
					modelFenceOneFewer(
						view,
						view.ID,
						consensus.Agreed(response, func(state *message.ReplicaStateResponse) bool { return state.Initialized }),
					)
			}
		},
	},
	{
		name:      "a restored voter has promised nothing",
		startWalk: 4770,
		scenario:  modelWipedDisks,
		violates:  []string{decisionsAreKept, oneValuePerSerial, servedIsDecided},
		mutate: func(rules *modelRules) {
			rules.initialize = func(core *Core, _ message.Term, _ [message.Registers]message.AcceptedValue) error {
				return core.replica.Initialize(message.Term{}, [message.Registers]message.AcceptedValue{}, nil)
			}
		},
	},
	{
		name:      "a restored voter keeps copies as votes of former terms",
		startWalk: 800,
		scenario:  modelWipedDisks,
		violates:  []string{decisionsAreKept, servedIsDecided},
		mutate:    func(rules *modelRules) { rules.initialize = modelInitializeAsVotes },
	},
	{
		name:      "a voter is admitted as a learner",
		startWalk: 1800,
		scenario:  modelWipedDisks,
		violates:  []string{decisionsAreKept, servedIsDecided},
		mutate: func(rules *modelRules) {
			rules.admits = func(*consensus.View, string) bool { return true }
			rules.mayInitializeLearner = func(core *Core, response *message.JoinResponse) bool {
				return response.Admitted && core.replica.Blank()
			}
			rules.initializeLearner = modelInitializeEmpty
		},
	},
	{
		name:     "a learner is admitted without confirmation",
		scenario: modelStaleLeader,
		violates: []string{decisionsAreKept, onlyVotersCount},
		detailed: true,
		mutate:   func(rules *modelRules) { rules.confirmsAdmission = false },
	},
	{
		name:      "a learner does not store the membership",
		startWalk: 660,
		scenario:  modelStaleLeaderEmptyDisk,
		violates:  []string{decisionsAreKept, quorumsIntersect, onlyVotersCount},
		detailed:  true,
		mutate: func(rules *modelRules) {
			rules.initializeLearner = func(core *Core, term message.Term) {
				modelInitializeEmpty(core, term)
			}
		},
	},
	{
		name:      "a leader counts by a membership it did not write",
		startWalk: 650,
		scenario:  modelUndecidedJoint,
		violates:  []string{oneVoterPerChange, servedIsDecided, decisionsAreKept, quorumsIntersect},
		mutate: func(rules *modelRules) {
			rules.adoptRewritten = func(*Core, *consensus.View, message.Term) error { return nil }
		},
	},
	{
		name:      "a replacement without catch-up and rewrite",
		startWalk: 220,
		scenario:  modelThreeVoters,
		violates:  []string{decisionsAreKept},
		mutate:    func(rules *modelRules) { rules.catchesUpLearner, rules.rewritesValues = false, false },
	},
}

func modelFenceOneFewer(view *consensus.View, lost int, has func(id int) bool) bool {
	return message.CountIn(
		view.Voters,
		func(id int) bool { return id != lost && has(id) },
	) >= len(
		view.Voters,
	)-message.Majority(
		view.Voters,
	)
}

// modelInitializeAsVotes stores copies as if this replica had accepted them.
func modelInitializeAsVotes(core *Core, term message.Term, accepted [message.Registers]message.AcceptedValue) error {
	record := consensus.Record{Initialized: true, Promised: &term}
	for register := range accepted {
		if accepted[register].Value.Serial > 0 {
			record.Then = append(record.Then, consensus.Record{Register: message.Register(register), Accepted: &accepted[register]})
		}
	}
	store := core.replica.Store()
	if err := store.Append(record); err != nil {
		return err
	}
	core.openReplica(store)
	return nil
}

// modelInitializeEmpty initializes a replica without checking or storing the membership.
func modelInitializeEmpty(core *Core, term message.Term) {
	modelMust(core.replica.Initialize(term, [message.Registers]message.AcceptedValue{}, nil))
}

const modelMaxMutantWalks = 20000

// TestModelDetectsMutants seeds one bug at a time. Random walks must detect each.
func TestModelDetectsMutants(test *testing.T) {
	modelSilenceLogs(test)
	for _, mutant := range modelMutants {
		test.Run(mutant.name, func(test *testing.T) {
			rules := modelRealRules()
			mutant.mutate(rules)
			started := time.Now()
			first := 0
			if modelUseStartWalk {
				first = mutant.startWalk
			}
			for index := first; index < first+modelMaxMutantWalks; index++ {
				walk := newModelWalk(rules, &modelScenarios[mutant.scenario], uint64(index+1))
				walk.cluster.observer.outcomesOnly = !mutant.detailed
				violation := walk.run(modelStepsPerWalk)
				if violation == nil {
					continue
				}
				if !slices.Contains(mutant.violates, violation.invariant) {
					test.Errorf("detected as %v; want one of %q", violation, mutant.violates)
				}
				test.Logf("detected by walk %d in %v: %v", index+1, time.Since(started).Round(time.Millisecond), violation)
				return
			}
			test.Errorf("not detected by %d walks in %v", modelMaxMutantWalks, time.Since(started).Round(time.Millisecond))
		})
	}
}
