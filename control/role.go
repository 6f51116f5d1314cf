package control

import (
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"orchidjunction/metrics"
)

// Role is what a core is doing in the agreement. Its text is shown to operators.
type Role string

// The roles.
const (
	Blank        Role = "blank"        // its disk was lost and is being restored
	Learner      Role = "learner"      // no vote; follows the leader
	Following    Role = "following"    // votes and follows the leader
	Prechecking  Role = "prechecking"  // a candidate that asks whether it would win
	Revoking     Role = "revoking"     // a candidate that ends the former leadership
	Establishing Role = "establishing" // a candidate that writes the registers again
	Leading      Role = "leading"
	Lameduck     Role = "lameduck" // a leader that hands over
	Retired      Role = "retired"  // ends for good
)

// roleTransitions are the roles that may follow each role.
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

// RoleState is a core's role; it refuses transitions that are not allowed. It is safe
// for concurrent use.
type RoleState struct {
	mutex    sync.Mutex
	current  Role
	core     int
	counters *metrics.Counters
}

func newRoleState(role Role, core int, counters *metrics.Counters) *RoleState {
	return &RoleState{current: role, core: core, counters: counters}
}

// Current returns the role.
func (state *RoleState) Current() Role {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.current
}

// setCore sets the core's ID for the log, once it is known.
func (state *RoleState) setCore(core int) {
	state.mutex.Lock()
	state.core = core
	state.mutex.Unlock()
}

// transition changes the role and reports whether the core has it now.
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

// abandonCandidacy ends a candidacy that did not win.
func (state *RoleState) abandonCandidacy() {
	switch state.Current() {
	case Prechecking, Revoking, Establishing:
		state.transition(Following)
	}
}
