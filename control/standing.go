package control

import (
	"orchidjunction/metrics"
	"sync"

	"k8s.io/klog/v2"
)

// Role is the state a core is in.
type Role string

const (
	Blank        Role = "blank"
	Learner      Role = "learner"
	Following    Role = "following"
	Prechecking  Role = "prechecking"
	Revoking     Role = "revoking"
	Establishing Role = "establishing"
	Leading      Role = "leading"
	Lameduck     Role = "lameduck"
	Retired      Role = "retired"
)

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

// RoleState holds the standing and refuses moves that the chart lacks.
type RoleState struct {
	mutex    sync.Mutex
	current  Role
	counters *metrics.Counters
	core     int
}

func (role *RoleState) Current() Role {
	role.mutex.Lock()
	defer role.mutex.Unlock()
	return role.current
}

// setCore sets the core's number, once it is known.
func (role *RoleState) setCore(core int) {
	role.mutex.Lock()
	role.core = core
	role.mutex.Unlock()
}

func (role *RoleState) transition(to Role) bool {
	role.mutex.Lock()
	defer role.mutex.Unlock()
	if role.current == to {
		return true
	}
	for _, next := range roleTransitions[role.current] {
		if next == to {
			klog.Infof("core %d: %s -> %s", role.core, role.current, to)
			role.counters.Add("standing_"+string(to), 1)
			role.current = to
			return true
		}
	}
	return false
}
