package control

import (
	"flag"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/message"
)

var (
	modelWalkCount = flag.Int("walks", 0, "number of random walks of the model for each scenario; 0 selects the default")
	modelWalkSeed  = flag.Uint64("walk-seed", 1, "first seed of the model's random walks")
)

const modelStepsPerWalk = 500

// modelSilenceLogs discards log output during a test.
func modelSilenceLogs(test testing.TB) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	test.Cleanup(func() { klog.LogToStderr(true) })
}

// modelWeights are the relative frequencies of actions other than deliveries and faults.
var modelWeights = map[modelActionKind]int{
	modelCampaign: 10, modelTimeout: 40, modelStartWrite: 10, modelJoin: 8, modelReplace: 30, modelFinishReplacement: 30,
	modelRestore: 20, modelRepair: 1, modelRecoverCommitted: 1, modelRestart: 10,
}

var modelFaultWeights = map[modelActionKind]int{modelAbort: 3, modelCrash: 3, modelPowerLoss: 2, modelWipe: 2}

var (
	modelMostlyWipes   = map[modelActionKind]int{modelAbort: 2, modelCrash: 2, modelPowerLoss: 1, modelWipe: 6}
	modelMostlyCrashes = map[modelActionKind]int{modelAbort: 3, modelCrash: 6, modelPowerLoss: 1, modelWipe: 1}
)

// modelFaultInterval is the average number of actions between two faults.
const modelFaultInterval = 40

// modelLeaderWeights replaces some of modelWeights while a machine leads.
var modelLeaderWeights = map[modelActionKind]int{modelCampaign: 1, modelRestart: 4, modelJoin: 4}

type modelWalk struct {
	scenario                  modelScenario
	cluster                   *modelCluster
	random                    *rand.Rand
	stepsUntilPartitionChange int
	injectFault               bool
	taken                     map[modelActionKind]int
}

func newModelWalk(rules *modelRules, scenario *modelScenario, seed uint64) *modelWalk {
	walk := &modelWalk{
		scenario: *scenario,
		cluster:  newModelCluster(rules, &scenario.bounds),
		random:   rand.New(rand.NewPCG(seed, 16)),
		taken:    map[modelActionKind]int{},
	}
	if scenario.faultInterval == 0 {
		walk.scenario.faultWeights, walk.scenario.faultInterval = modelFaultWeights, modelFaultInterval
	}
	if scenario.prepare != nil {
		scenario.prepare(walk.cluster)
	}
	for index := range walk.cluster.machines {
		walk.cluster.owned = walk.cluster.owned.with(index)
	}
	return walk
}

// run takes up to the given number of actions, and stops at the first violation.
func (walk *modelWalk) run(steps int) *modelViolation {
	for range steps {
		walk.changePartition()
		action, found := walk.choose()
		if !found {
			continue
		}
		walk.taken[action.kind]++
		if violation := walk.cluster.apply(action); violation != nil {
			return violation
		}
		if action.kind == modelDeliver && walk.random.IntN(4) > 0 {
			if violation := walk.deliverLastResponse(); violation != nil {
				return violation
			}
		}
	}
	return nil
}

// deliverLastResponse delivers the last message if it is a response, as most arrive soon.
func (walk *modelWalk) deliverLastResponse() *modelViolation {
	last := len(walk.cluster.inFlight) - 1
	if last < 0 || !walk.cluster.inFlight[last].isResponse ||
		walk.cluster.blocked[walk.cluster.inFlight[last].from][walk.cluster.inFlight[last].to] {
		return nil
	}
	return walk.cluster.apply(modelAction{kind: modelDeliver, target: last})
}

func (walk *modelWalk) weights() func(kind modelActionKind) int {
	if walk.injectFault {
		return func(kind modelActionKind) int { return walk.scenario.faultWeights[kind] }
	}
	led := slices.ContainsFunc(
		walk.cluster.machines,
		func(machine *modelMachine) bool { return machine.process != nil && machine.process.leadership != nil },
	)
	return func(kind modelActionKind) int {
		if weight, found := modelLeaderWeights[kind]; led && found {
			return weight
		}
		return modelWeights[kind]
	}
}

// choose draws a kind of action by weight, then an action of that kind. It prefers deliveries
// and drops some messages.
func (walk *modelWalk) choose() (modelAction, bool) {
	kinds := map[modelActionKind][]modelAction{}
	walk.injectFault = walk.random.IntN(walk.scenario.faultInterval) == 0
	total, weights := 0, walk.weights()
	walk.cluster.possibleActions(func(action modelAction) {
		if len(kinds[action.kind]) == 0 {
			total += weights(action.kind)
		}
		kinds[action.kind] = append(kinds[action.kind], action)
	})
	if deliveries := kinds[modelDeliver]; len(deliveries) > 0 && !walk.injectFault && walk.random.IntN(100) < 93 {
		if duplicates := kinds[modelDuplicate]; len(duplicates) > 0 && walk.random.IntN(50) == 0 {
			return duplicates[walk.random.IntN(len(duplicates))], true
		}
		chosen := deliveries[walk.random.IntN(len(deliveries))]
		if walk.random.IntN(40) == 0 {
			walk.cluster.takePacket(chosen.target)
			return modelAction{}, false
		}
		return chosen, true
	}
	if total == 0 {
		return modelAction{}, false
	}
	draw := walk.random.IntN(total)
	for _, kind := range modelActionKinds {
		if len(kinds[kind]) == 0 {
			continue
		}
		if draw -= weights(kind); draw < 0 {
			return kinds[kind][walk.random.IntN(len(kinds[kind]))], true
		}
	}
	return modelAction{}, false
}

var modelActionKinds = []modelActionKind{
	modelTimeout,
	modelCampaign,
	modelAbort,
	modelStartWrite,
	modelJoin,
	modelReplace,
	modelFinishReplacement,
	modelRestore,
	modelRepair,
	modelRecoverCommitted,
	modelCrash,
	modelPowerLoss,
	modelWipe,
	modelRestart,
}

// changePartition partitions the machines in one or both directions, or heals the partition.
func (walk *modelWalk) changePartition() {
	walk.stepsUntilPartitionChange--
	if walk.stepsUntilPartitionChange > 0 || walk.cluster.bounds.partitions == 0 {
		return
	}
	walk.stepsUntilPartitionChange = 30 + walk.random.IntN(120)
	count := len(walk.cluster.machines)
	walk.cluster.blocked = [8][8]bool{}
	if walk.random.IntN(2) == 0 {
		return
	}
	side, oneWay := walk.random.Uint64(), walk.random.IntN(4)
	for from := range count {
		for to := range count {
			crosses := side>>from&1 != side>>to&1
			walk.cluster.blocked[from][to] = crosses && (oneWay > 0 || side>>from&1 == 1)
		}
	}
}

// modelScenario is a deployment that walks start from.
type modelScenario struct {
	name    string
	bounds  modelBounds
	prepare func(cluster *modelCluster)
	// faultWeights and faultInterval replace modelFaultWeights and modelFaultInterval if set.
	faultWeights  map[modelActionKind]int
	faultInterval int
}

var modelRegisters = []message.Register{message.SettingsRegister, message.ReportsRegister}

// modelAmpleBounds returns bounds that a walk rarely reaches.
func modelAmpleBounds(founders, spares, lateFounders int) modelBounds {
	return modelBounds{
		founders:     founders,
		spares:       spares,
		lateFounders: lateFounders,
		registers:    modelRegisters,
		candidacies:  40,
		writes:       40,
		crashes:      20,
		powerLosses:  12,
		wipes:        12,
		replacements: 20,
		joins:        80,
		repairs:      40,
		recoveries:   40,
		duplicates:   40,
		aborts:       30,
		timeouts:     true,
		partitions:   1,
	}
}

var modelScenarios = []modelScenario{
	{name: "3 voters, 2 spares", bounds: modelAmpleBounds(3, 2, 0)},
	{name: "4 voters, 1 spare", bounds: modelAmpleBounds(4, 1, 0)},
	{name: "3 voters, 1 spare, one voter without the membership", bounds: modelAmpleBounds(3, 1, 1)},
	{name: "5 voters, 2 spares", bounds: modelAmpleBounds(5, 2, 0)},
	{name: "3 voters, frequent disk losses", bounds: modelAmpleBounds(3, 0, 0), faultWeights: modelMostlyWipes, faultInterval: 20},
	{
		name:          "two of 3 replaced, stale leader",
		bounds:        modelAmpleBounds(3, 2, 0),
		prepare:       modelPrepareTwoReplaced,
		faultWeights:  modelMostlyWipes,
		faultInterval: 25,
	},
	{
		name:          "two of 3 replaced, stale leader, one blank disk",
		bounds:        modelAmpleBounds(3, 2, 0),
		prepare:       modelPrepareEmptyDisk,
		faultWeights:  modelMostlyCrashes,
		faultInterval: 15,
	},
	{name: "3 voters, a crashed leader's joint membership at one", bounds: modelAmpleBounds(3, 1, 0), prepare: modelPrepareUndecidedJoint},
}

// TestModelRandomWalks takes seeded random walks with the real rules.
func TestModelRandomWalks(test *testing.T) {
	modelSilenceLogs(test)
	count := *modelWalkCount
	if count == 0 {
		count = modelDefaultWalks
	}
	for _, scenario := range modelScenarios {
		test.Run(scenario.name, func(test *testing.T) {
			started, taken := time.Now(), map[modelActionKind]int{}
			leaderships, writes, changes := 0, 0, 0
			for index := range count {
				walk := newModelWalk(modelRealRules(), &scenario, *modelWalkSeed+uint64(index))
				if violation := walk.run(modelStepsPerWalk); violation != nil {
					test.Fatalf(
						"seed %d: %v\n%s",
						*modelWalkSeed+uint64(index),
						violation,
						modelTrace(&scenario, modelRealRules(), *modelWalkSeed+uint64(index), false),
					)
				}
				for kind, times := range walk.taken {
					taken[kind] += times
				}
				leaderships += len(walk.cluster.observer.leaders)
				changes += int(walk.cluster.observer.membership.Version.Serial) - 1
				for _, register := range modelRegisters {
					writes += len(walk.cluster.observer.decided[register])
				}
			}
			test.Logf("%d walks of %d actions in %v: %d leaderships, %d writes decided, %d memberships decided, actions taken %v",
				count, modelStepsPerWalk, time.Since(started).Round(time.Millisecond), leaderships, writes, changes, taken)
		})
	}
}

// modelTrace repeats a walk and returns the actions that led to its violation.
func modelTrace(scenario *modelScenario, rules *modelRules, seed uint64, outcomesOnly bool) string {
	walk := newModelWalk(rules, scenario, seed)
	walk.cluster.tracing, walk.cluster.observer.outcomesOnly = true, outcomesOnly
	_ = walk.run(modelStepsPerWalk) // its violation is known
	return strings.Join(walk.cluster.trace, "\n")
}
