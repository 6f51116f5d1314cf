package control

import (
	"flag"
	"strings"
	"testing"
	"time"

	"orchidjunction/message"
)

var modelStateLimit = flag.Int("states", 0, "maximum number of states that each exploration of the model visits; 0 selects the default")

// modelExploration is a small state space that is searched breadth first. Messages arrive in
// any order or never, which covers loss and reordering.
type modelExploration struct {
	name    string
	bounds  modelBounds
	prepare func(script *modelScript)
}

var modelSettingsOnly = []message.Register{message.SettingsRegister}

var modelExplorations = []modelExploration{
	{name: "3 voters, two candidacies", bounds: modelBounds{founders: 3, candidacies: 2, promptResponses: true}},
	{name: "3 voters, two candidacies, delayed responses", bounds: modelBounds{founders: 3, candidacies: 2}},
	{
		name:    "3 voters, a leader, two writes, two more candidacies",
		bounds:  modelBounds{founders: 3, registers: modelSettingsOnly, candidacies: 2, writes: 2, promptResponses: true, lostResponses: 1},
		prepare: func(script *modelScript) { script.elect(1, 2, 3) },
	},
	{
		name:    "4 voters, a leader, two writes, another candidacy",
		bounds:  modelBounds{founders: 4, registers: modelSettingsOnly, candidacies: 1, writes: 2, promptResponses: true, lostResponses: 1},
		prepare: func(script *modelScript) { script.elect(1, 2, 3, 4) },
	},
	{
		name:   "3 voters, a replacement, another candidacy",
		bounds: modelBounds{founders: 3, spares: 1, candidacies: 1, replacements: 1, promptResponses: true, lostResponses: 1},
		prepare: func(script *modelScript) {
			script.elect(1, 2, 3)
			script.join(4, 1, 2, 3)
		},
	},
	{
		name:   "3 voters, a write at one follower, leader crashed, a disk lost",
		bounds: modelBounds{founders: 3, registers: modelSettingsOnly, candidacies: 2, wipes: 1, promptResponses: true},
		prepare: func(script *modelScript) {
			script.elect(1, 2, 3)
			script.apply(modelAction{kind: modelStartWrite, target: 0, register: message.SettingsRegister})
			script.deliverAmong(1, 2)
			script.crash(1)
		},
	},
	{
		name:   "3 voters, a joint membership at the learner, leader crashed",
		bounds: modelBounds{founders: 3, spares: 1, candidacies: 2, promptResponses: true},
		prepare: func(script *modelScript) {
			script.elect(1, 2, 3)
			script.join(4, 1, 2, 3)
			script.apply(modelAction{kind: modelReplace, target: 0, argument: 3*64 + 2})
			script.deliverAmong(1, 4)
			script.crash(1)
		},
	},
	{
		name: "two of 3 replaced, stale leader, one blank disk",
		bounds: modelBounds{
			founders:        3,
			spares:          2,
			registers:       modelSettingsOnly,
			candidacies:     2,
			joins:           1,
			crashes:         1,
			promptResponses: true,
		},
		prepare: func(script *modelScript) { modelPrepareEmptyDisk(script.cluster) },
	},
}

// modelSearch is a breadth-first search. It identifies a state by a hash of everything that a
// rule or an invariant can see.
type modelSearch struct {
	seen      map[[16]byte]bool
	frontier  []*modelCluster
	depth     int
	complete  bool
	limit     int
	steps     int
	violating *modelCluster
}

func (search *modelSearch) run(cluster *modelCluster) *modelViolation {
	search.seen = map[[16]byte]bool{cluster.hash(): true}
	search.frontier, search.complete = []*modelCluster{cluster}, true
	for len(search.frontier) > 0 {
		next := []*modelCluster{}
		for index, cluster := range search.frontier {
			search.frontier[index] = nil
			violation, full := search.expand(cluster, &next)
			if violation != nil {
				return violation
			}
			if full {
				search.complete = false
				return nil
			}
		}
		search.frontier = next
		if len(next) > 0 {
			search.depth++
		}
	}
	return nil
}

// expand takes every action from a state. full reports whether the limit is reached.
func (search *modelSearch) expand(cluster *modelCluster, next *[]*modelCluster) (violation *modelViolation, full bool) {
	actions := []modelAction{}
	cluster.possibleActions(func(action modelAction) { actions = append(actions, action) })
	for _, action := range actions {
		after := cluster.clone()
		search.steps++
		if violation := after.apply(action); violation != nil {
			search.violating = after
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

// TestModelExploration searches small state spaces with the real rules.
func TestModelExploration(test *testing.T) {
	modelSilenceLogs(test)
	limit := *modelStateLimit
	if limit == 0 {
		limit = modelDefaultStates
	}
	for _, exploration := range modelExplorations {
		test.Run(exploration.name, func(test *testing.T) {
			started := time.Now()
			cluster := exploration.start(test, modelRealRules())
			search := &modelSearch{limit: limit}
			if violation := search.run(cluster); violation != nil {
				test.Fatalf("at depth %d: %v\n%s", search.depth+1, violation, strings.Join(search.violating.trace, "\n"))
			}
			extent := "complete"
			if !search.complete {
				extent = "cut off at the limit of states"
			}
			test.Logf(
				"%d states, %d steps, depth %d, %s, in %v",
				len(search.seen),
				search.steps,
				search.depth,
				extent,
				time.Since(started).Round(time.Millisecond),
			)
		})
	}
}

func (exploration *modelExploration) start(test *testing.T, rules *modelRules) *modelCluster {
	bounds := modelAmpleBounds(exploration.bounds.founders, exploration.bounds.spares, 0)
	bounds.registers = exploration.bounds.registers
	cluster := newModelCluster(rules, &bounds)
	if exploration.prepare != nil {
		exploration.prepare(&modelScript{cluster: cluster, fail: func(format string, values ...any) { test.Fatalf(format, values...) }})
	}
	cluster.bounds, cluster.counts = &exploration.bounds, modelCounts{}
	cluster.tracing = true
	return cluster
}
