package control

import (
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"orchidjunction/metrics"
)

// Role is the role of a core in the consensus. Its text is shown to operators.
type Role string

// Roles of a core.
const (
	Blank        Role = "blank"        // its disk is blank: new, or lost and to be restored
	Learner      Role = "learner"      // has no vote and follows the leader
	Following    Role = "following"    // votes and follows the leader
	Prechecking  Role = "prechecking"  // candidate in the pre-vote
	Revoking     Role = "revoking"     // candidate that ends the former leadership
	Establishing Role = "establishing" // candidate that writes the registers under its term
	Leading      Role = "leading"
	Lameduck     Role = "lameduck" // leader that hands over
	Retired      Role = "retired"  // shuts down for good
)

// roleTransitions lists the roles that may follow each role.
var roleTransitions = map[Role][]Role{
	Blank:        {Learner, Following, Revoking, Retired},
	Learner:      {Following, Blank, Retired},
	Following:    {Learner, Prechecking, Revoking, Establishing, Retired},
	Prechecking:  {Following, Revoking, Retired},
	Revoking:     {Following, Establishing, Retired},
	Establishing: {Following, Leading, Retired},
	Leading:      {Following, Lameduck, Retired},
	Lameduck:     {Retired},
	Retired:      {},
}

// RoleState holds a core's role and refuses invalid transitions. It is safe for concurrent
// use.
type RoleState struct {
	mutex    sync.Mutex
	current  Role
	core     int
	counters *metrics.Counters
}

func newRoleState(role Role, core int, counters *metrics.Counters) *RoleState {
	return &RoleState{current: role, core: core, counters: counters}
}

// Current returns the current role.
func (state *RoleState) Current() Role {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.current
}

// setCore sets the core's ID for log lines, once it is known.
func (state *RoleState) setCore(core int) {
	state.mutex.Lock()
	state.core = core
	state.mutex.Unlock()
}

// transition changes the role if that is allowed, and reports whether the core now has it.
func (state *RoleState) transition(to Role) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.current == to {
		return true
	}
	if !slices.Contains(roleTransitions[state.current], to) {
		return false
	}
	klog.Infof("core %d: %s -> %s", state.core, state.current, to)
	state.counters.Add("standing_"+string(to), 1)
	state.current = to
	return true
}

// abandonCandidacy makes a candidate that did not win a follower.
func (state *RoleState) abandonCandidacy() {
	switch state.Current() {
	case Prechecking, Revoking, Establishing:
		state.transition(Following)
	}
}
