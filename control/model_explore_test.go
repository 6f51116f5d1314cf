package control

import (
	"flag"
	"strings"
	"testing"
	"time"

	"orchidjunction/message"
)

var modelStates = flag.Int("states", 0, "how many states each exploration of the model may visit; 0 is the default")

// modelExploration is a small space that is searched breadth first. Messages may arrive
// in any order or never; that is what losing and reordering them amounts to.
type modelExploration struct {
	name    string
	bounds  modelBounds
	prepare func(script *modelScript)
}

var modelOne = []message.Register{message.SettingsRegister}

var modelExplorations = []modelExploration{
	{name: "3 voters, two candidacies", bounds: modelBounds{founders: 3, candidates: 2, prompt: true}},
	{name: "3 voters, two candidacies, any answer late", bounds: modelBounds{founders: 3, candidates: 2}},
	{
		name:    "3 voters, a leader, two orders, two more candidacies",
		bounds:  modelBounds{founders: 3, registers: modelOne, candidates: 2, orders: 2, prompt: true, losses: 1},
		prepare: func(script *modelScript) { script.leads(1, 2, 3) },
	},
	{
		name:    "4 voters, a leader, two orders, another candidacy",
		bounds:  modelBounds{founders: 4, registers: modelOne, candidates: 1, orders: 2, prompt: true, losses: 1},
		prepare: func(script *modelScript) { script.leads(1, 2, 3, 4) },
	},
	{
		name:   "3 voters, a replacement, another candidacy",
		bounds: modelBounds{founders: 3, spares: 1, candidates: 1, steps: 1, prompt: true, losses: 1},
		prepare: func(script *modelScript) {
			script.leads(1, 2, 3)
			script.joins(4, 1, 2, 3)
		},
	},
	{
		name:   "3 voters, an order at one replica, its leader down, a disk lost",
		bounds: modelBounds{founders: 3, registers: modelOne, candidates: 2, wipes: 1, prompt: true},
		prepare: func(script *modelScript) {
			script.leads(1, 2, 3)
			script.do(modelAction{kind: modelOrder, machine: 0, register: message.SettingsRegister})
			script.among(1, 2)
			script.crashes(1)
		},
	},
	{
		name: "3 voters, a step at one replica, its leader down", bounds: modelBounds{founders: 3, spares: 1, candidates: 2, prompt: true},
		prepare: func(script *modelScript) {
			script.leads(1, 2, 3)
			script.joins(4, 1, 2, 3)
			script.do(modelAction{kind: modelReplace, machine: 0, other: 3*64 + 2})
			script.among(1, 4)
			script.crashes(1)
		},
	},
	{
		name:    "two of 3 replaced, one as before, one empty",
		bounds:  modelBounds{founders: 3, spares: 2, registers: modelOne, candidates: 2, enlists: 1, crashes: 1, prompt: true},
		prepare: func(script *modelScript) { modelTwoEmptied(script.world) },
	},
}

// modelSearch is a breadth-first search; states are told apart by a hash of all that
// any rule or invariant can see.
type modelSearch struct {
	seen    map[[16]byte]bool
	fringe  []*modelWorld
	depth   int
	whole   bool
	limit   int
	steps   int
	deepest *modelWorld
}

func (search *modelSearch) run(world *modelWorld) *modelViolation {
	search.seen = map[[16]byte]bool{world.hash(): true}
	search.fringe, search.whole = []*modelWorld{world}, true
	for len(search.fringe) > 0 {
		next := []*modelWorld{}
		for index, world := range search.fringe {
			search.fringe[index] = nil
			violation, full := search.expand(world, &next)
			if violation != nil {
				return violation
			}
			if full {
				search.whole = false
				return nil
			}
		}
		search.fringe = next
		if len(next) > 0 {
			search.depth++
		}
	}
	return nil
}

// expand takes every step from a state; full is true once the limit is reached.
func (search *modelSearch) expand(world *modelWorld, next *[]*modelWorld) (violation *modelViolation, full bool) {
	actions := []modelAction{}
	world.actions(func(action modelAction) { actions = append(actions, action) })
	for _, action := range actions {
		after := world.clone()
		search.steps++
		if violation := after.do(action); violation != nil {
			search.deepest = after
			return violation, false
		}
		key := after.hash()
		if search.seen[key] {
			continue
		}
		if len(search.seen) >= search.limit {
			return nil, true
		}
		search.seen[key] = true
		*next = append(*next, after)
	}
	return nil, false
}

// TestModelExplores searches small spaces by the real rules.
func TestModelExplores(test *testing.T) {
	modelQuiet(test)
	limit := *modelStates
	if limit == 0 {
		limit = modelDefaultStates
	}
	for _, exploration := range modelExplorations {
		test.Run(exploration.name, func(test *testing.T) {
			began := time.Now()
			world := exploration.start(test, modelRealRules())
			search := &modelSearch{limit: limit}
			if violation := search.run(world); violation != nil {
				test.Fatalf("at depth %d: %v\n%s", search.depth+1, violation, strings.Join(search.deepest.trace, "\n"))
			}
			whole := "the whole space"
			if !search.whole {
				whole = "cut off at the limit"
			}
			test.Logf(
				"%d states, %d steps, depth %d, %s, in %v",
				len(search.seen),
				search.steps,
				search.depth,
				whole,
				time.Since(began).Round(time.Millisecond),
			)
		})
	}
}

func (exploration *modelExploration) start(test *testing.T, rules *modelRules) *modelWorld {
	bounds := modelMany(exploration.bounds.founders, exploration.bounds.spares, 0)
	bounds.registers = exploration.bounds.registers
	world := newModelWorld(rules, &bounds)
	if exploration.prepare != nil {
		exploration.prepare(&modelScript{world: world, fail: func(format string, values ...any) { test.Fatalf(format, values...) }})
	}
	world.bounds, world.spent = &exploration.bounds, modelSpent{}
	world.tracing = true
	return world
}
