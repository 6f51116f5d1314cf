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
	modelWalks = flag.Int("walks", 0, "how many random walks of the model each form takes; 0 is the default")
	modelSeed  = flag.Uint64("walk-seed", 1, "the first seed of the model's random walks")
)

// modelWalkSteps is the length of a random walk.
const modelWalkSteps = 500

// modelQuiet keeps the rules' own log lines out of a model's run.
func modelQuiet(test testing.TB) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	test.Cleanup(func() { klog.LogToStderr(true) })
}

// modelWeights are how often a walk takes each kind of step, beside deliveries.
var modelWeights = map[modelKind]int{
	modelStand: 10, modelTimeOut: 40, modelOrder: 10, modelEnlist: 8, modelReplace: 30, modelSettles: 30,
	modelRestore: 20, modelMend: 1, modelSurveyed: 1, modelRestart: 10,
}

// modelHarms are how often a walk does each kind of harm.
var modelHarms = map[modelKind]int{modelGiveUp: 3, modelCrash: 3, modelPowerLoss: 2, modelWipe: 2}

var (
	modelWipesFirst   = map[modelKind]int{modelGiveUp: 2, modelCrash: 2, modelPowerLoss: 1, modelWipe: 6}
	modelCrashesFirst = map[modelKind]int{modelGiveUp: 3, modelCrash: 6, modelPowerLoss: 1, modelWipe: 1}
)

// modelHarmPace is how many steps go by between two harms on average.
const modelHarmPace = 40

// modelLedWeights are those that differ while some machine leads.
var modelLedWeights = map[modelKind]int{modelStand: 1, modelRestart: 4, modelEnlist: 4}

// modelWalk is one random walk.
type modelWalk struct {
	form   modelWalkForm
	world  *modelWorld
	random *rand.Rand
	calm   int
	harms  bool
	done   map[modelKind]int
}

func newModelWalk(rules *modelRules, form *modelWalkForm, seed uint64) *modelWalk {
	walk := &modelWalk{
		form:   *form,
		world:  newModelWorld(rules, &form.bounds),
		random: rand.New(rand.NewPCG(seed, 16)),
		done:   map[modelKind]int{},
	}
	if form.pace == 0 {
		walk.form.harms, walk.form.pace = modelHarms, modelHarmPace
	}
	if form.prepare != nil {
		form.prepare(walk.world)
	}
	for index := range walk.world.machines {
		walk.world.owned = walk.world.owned.with(index)
	}
	return walk
}

// run takes so many steps; it ends at the first violation.
func (walk *modelWalk) run(steps int) *modelViolation {
	for range steps {
		walk.changeCut()
		action, found := walk.choose()
		if !found {
			continue
		}
		walk.done[action.kind]++
		if violation := walk.world.do(action); violation != nil {
			return violation
		}
		if action.kind == modelDeliver && walk.random.IntN(4) > 0 {
			if violation := walk.answerAtOnce(); violation != nil {
				return violation
			}
		}
	}
	return nil
}

// answerAtOnce delivers the last message sent, where it is an answer, as most are soon.
func (walk *modelWalk) answerAtOnce() *modelViolation {
	last := len(walk.world.flight) - 1
	if last < 0 || !walk.world.flight[last].answers || walk.world.cut[walk.world.flight[last].from][walk.world.flight[last].to] {
		return nil
	}
	return walk.world.do(modelAction{kind: modelDeliver, machine: last})
}

// weights are those of the steps now.
func (walk *modelWalk) weights() func(kind modelKind) int {
	if walk.harms {
		return func(kind modelKind) int { return walk.form.harms[kind] }
	}
	led := slices.ContainsFunc(
		walk.world.machines,
		func(machine *modelMachine) bool { return machine.process != nil && machine.process.leadership != nil },
	)
	return func(kind modelKind) int {
		if weight, found := modelLedWeights[kind]; led && found {
			return weight
		}
		return modelWeights[kind]
	}
}

// choose draws a kind of step by weight, then a step of that kind. What is on its way
// goes first most of the time, and some of it is lost.
func (walk *modelWalk) choose() (modelAction, bool) {
	kinds := map[modelKind][]modelAction{}
	walk.harms = walk.random.IntN(walk.form.pace) == 0
	total, weights := 0, walk.weights()
	walk.world.actions(func(action modelAction) {
		if len(kinds[action.kind]) == 0 {
			total += weights(action.kind)
		}
		kinds[action.kind] = append(kinds[action.kind], action)
	})
	if deliveries := kinds[modelDeliver]; len(deliveries) > 0 && !walk.harms && walk.random.IntN(100) < 93 {
		if repeats := kinds[modelRepeat]; len(repeats) > 0 && walk.random.IntN(50) == 0 {
			return repeats[walk.random.IntN(len(repeats))], true
		}
		chosen := deliveries[walk.random.IntN(len(deliveries))]
		if walk.random.IntN(40) == 0 {
			walk.world.take(chosen.machine)
			return modelAction{}, false
		}
		return chosen, true
	}
	if total == 0 {
		return modelAction{}, false
	}
	draw := walk.random.IntN(total)
	for _, kind := range modelKinds {
		if len(kinds[kind]) == 0 {
			continue
		}
		if draw -= weights(kind); draw < 0 {
			return kinds[kind][walk.random.IntN(len(kinds[kind]))], true
		}
	}
	return modelAction{}, false
}

var modelKinds = []modelKind{
	modelTimeOut, modelStand, modelGiveUp, modelOrder, modelEnlist, modelReplace, modelSettles, modelRestore, modelMend, modelSurveyed,
	modelCrash, modelPowerLoss, modelWipe, modelRestart,
}

// changeCut cuts machines off from the others for a while, or one way only.
func (walk *modelWalk) changeCut() {
	walk.calm--
	if walk.calm > 0 || walk.world.bounds.cuts == 0 {
		return
	}
	walk.calm = 30 + walk.random.IntN(120)
	count := len(walk.world.machines)
	walk.world.cut = [8][8]bool{}
	if walk.random.IntN(2) == 0 {
		return
	}
	apart, oneWay := walk.random.Uint64(), walk.random.IntN(4)
	for from := range count {
		for to := range count {
			crosses := apart>>from&1 != apart>>to&1
			walk.world.cut[from][to] = crosses && (oneWay > 0 || apart>>from&1 == 1)
		}
	}
}

// modelWalkForm is a form of deployment that walks start from.
type modelWalkForm struct {
	name    string
	bounds  modelBounds
	prepare func(world *modelWorld)
	// harms and pace replace modelHarms and modelHarmPace where they are set.
	harms map[modelKind]int
	pace  int
}

var modelData = []message.Register{message.SettingsRegister, message.ReportsRegister}

// modelMany are bounds that a walk hardly reaches.
func modelMany(founders, spares, late int) modelBounds {
	return modelBounds{
		founders:   founders,
		spares:     spares,
		late:       late,
		registers:  modelData,
		candidates: 40,
		orders:     40,
		crashes:    20,
		powerLoss:  12,
		wipes:      12,
		steps:      20,
		enlists:    80,
		mends:      40,
		surveys:    40,
		duplicates: 40,
		giveUps:    30,
		timeOuts:   true,
		cuts:       1,
	}
}

var modelForms = []modelWalkForm{
	{name: "3 voters, 2 newcomers", bounds: modelMany(3, 2, 0)},
	{name: "4 voters, 1 newcomer", bounds: modelMany(4, 1, 0)},
	{name: "3 voters, 1 newcomer, one voter late", bounds: modelMany(3, 1, 1)},
	{name: "5 voters, 2 newcomers", bounds: modelMany(5, 2, 0)},
	{name: "3 voters that lose their disks often", bounds: modelMany(3, 0, 0), harms: modelWipesFirst, pace: 20},
	{
		name:    "two of 3 replaced, one still leads as before",
		bounds:  modelMany(3, 2, 0),
		prepare: modelTwoReplaced,
		harms:   modelWipesFirst,
		pace:    25,
	},
	{
		name:    "two of 3 replaced, one still leads as before, one is empty",
		bounds:  modelMany(3, 2, 0),
		prepare: modelTwoEmptied,
		harms:   modelCrashesFirst,
		pace:    15,
	},
	{name: "3 voters, one of which holds a dead leader's step", bounds: modelMany(3, 1, 0), prepare: modelStrayStep},
}

// TestModelWalks takes seeded random walks by the real rules.
func TestModelWalks(test *testing.T) {
	modelQuiet(test)
	count := *modelWalks
	if count == 0 {
		count = modelDefaultWalks
	}
	for _, form := range modelForms {
		test.Run(form.name, func(test *testing.T) {
			began, tally := time.Now(), map[modelKind]int{}
			leaderships, orders, versions := 0, 0, 0
			for index := range count {
				walk := newModelWalk(modelRealRules(), &form, *modelSeed+uint64(index))
				if violation := walk.run(modelWalkSteps); violation != nil {
					test.Fatalf(
						"seed %d: %v\n%s",
						*modelSeed+uint64(index),
						violation,
						modelTrace(&form, modelRealRules(), *modelSeed+uint64(index), false),
					)
				}
				for kind, done := range walk.done {
					tally[kind] += done
				}
				leaderships += len(walk.world.ledger.leaders)
				versions += int(walk.world.ledger.version.Version.Serial) - 1
				for _, register := range modelData {
					orders += len(walk.world.ledger.history[register])
				}
			}
			test.Logf("%d walks of %d steps in %v: %d leaderships, %d orders decided, %d memberships decided, steps taken %v",
				count, modelWalkSteps, time.Since(began).Round(time.Millisecond), leaderships, orders, versions, tally)
		})
	}
}

// modelTrace is the way to a violation, walked again.
func modelTrace(form *modelWalkForm, rules *modelRules, seed uint64, outcomesOnly bool) string {
	walk := newModelWalk(rules, form, seed)
	walk.world.tracing, walk.world.ledger.outcomesOnly = true, outcomesOnly
	_ = walk.run(modelWalkSteps) // its violation is known
	return strings.Join(walk.world.trace, "\n")
}
