package message

import "sort"

// Member is a daemon as announced by itself. Incarnation identifies its process. Demand is in
// requests per second. A Guest serves another partner's requests with lent capacity.
type Member struct {
	Name            string  `json:"name"`
	Kind            string  `json:"kind"`
	Zone            string  `json:"zone"`
	InternalAddress string  `json:"wire" msgpack:"Wire"`
	PublicAddress   string  `json:"outer" msgpack:"Outer"`
	OperatorAddress string  `json:"operate" msgpack:"Operate"`
	Incarnation     string  `json:"incarnation"`
	Leaving         bool    `json:"leaving"`
	Ready           bool    `json:"ready"`
	KeyReplica      bool    `json:"keeper,omitempty" msgpack:"Keeper"`
	Demand          float64 `json:"demand,omitempty"`
	Guest           bool    `json:"guest,omitempty"`
}

// Backend is a backend of a service. ProbeHint increases whenever a proxy finds the backend
// changed, so that the others probe it immediately. Capacity is the number of concurrent requests
// that it handles, WarmAtMs when its warm-up ends, in milliseconds since the Unix epoch, and
// Revision its software version.
type Backend struct {
	Name      string `json:"name"`
	Service   string `json:"service"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	Leaving   bool   `json:"leaving"`
	ProbeHint uint64 `json:"stir,omitempty" msgpack:"Stir"`
	Capacity  int    `json:"slots,omitempty" msgpack:"Slots"`
	WarmAtMs  int64  `json:"warm_at_ms,omitempty" msgpack:"WarmAt"`
	Revision  string `json:"revision,omitempty"`
}

// Probe is a proxy's last health check of a backend. WarmupRate is the number of requests per
// second that the backend handles while warming up, and Utilization its load from 0 to 1.
type Probe struct {
	Backend     string  `json:"backend"`
	Incarnation string  `json:"incarnation"`
	Healthy     bool    `json:"healthy"`
	Leaving     bool    `json:"leaving"`
	WarmingUp   bool    `json:"cold" msgpack:"Cold"`
	WarmupRate  float64 `json:"gentle" msgpack:"Gentle"`
	Utilization float64 `json:"usage" msgpack:"Usage"`
	Serial      uint64  `json:"serial"`
}

// TableVersion orders tables by the leader's term, then by number.
type TableVersion struct {
	Term   Term   `json:"ballot" msgpack:"Ballot"`
	Number uint64 `json:"number"`
}

// Less reports whether version is older than other.
func (version TableVersion) Less(other TableVersion) bool {
	if version.Term != other.Term {
		return version.Term.Less(other.Term)
	}
	return version.Number < other.Number
}

// Table is the soft state replicated to every daemon: the daemons and the backends, both sorted
// by name. Rollouts is the serial of the rollouts under which the backends are listed: a table
// that lists a new version must not be applied without them. A Table is immutable.
type Table struct {
	Version  TableVersion `json:"mark" msgpack:"Mark"`
	Members  []Member     `json:"members"`
	Backends []Backend    `json:"backends"`
	Complete bool         `json:"complete"`
	Rollouts uint64       `json:"rollouts,omitempty"`
}

// TableDelta contains the changes from table version Base to Version.
type TableDelta struct {
	Base            TableVersion
	Version         TableVersion `msgpack:"Mark"`
	Complete        bool
	Members         []Member
	Backends        []Backend
	RemovedMembers  []string `msgpack:"GoneMembers"`
	RemovedBackends []string `msgpack:"GoneBackends"`
	Rollouts        uint64
}

// Entries returns the number of table entries that the delta changes or removes.
func (delta *TableDelta) Entries() int {
	return len(delta.Members) + len(delta.Backends) + len(delta.RemovedMembers) + len(delta.RemovedBackends)
}

// Apply returns the table with delta applied, or the table itself and false if the delta is based
// on another version.
func (table *Table) Apply(delta *TableDelta) (*Table, bool) {
	if table.Version != delta.Base {
		return table, false
	}
	next := &Table{Version: delta.Version, Complete: delta.Complete, Rollouts: delta.Rollouts}
	next.Members = mergeByName(table.Members, delta.Members, delta.RemovedMembers, memberName)
	next.Backends = mergeByName(table.Backends, delta.Backends, delta.RemovedBackends, backendName)
	return next, true
}

// NewlyLeaving returns the number of backends that are leaving in list after but not in list
// before. Both lists are sorted by name.
func NewlyLeaving(before, after []Backend) int {
	if len(before) > 0 && len(after) > 0 && &before[0] == &after[0] {
		return 0
	}
	count := 0
	for _, backend := range after {
		for len(before) > 0 && before[0].Name < backend.Name {
			before = before[1:]
		}
		wasLeaving := len(before) > 0 && before[0].Name == backend.Name && before[0].Leaving
		if backend.Leaving && !wasLeaving {
			count++
		}
	}
	return count
}

func memberName(member *Member) string { return member.Name }

func backendName(backend *Backend) string { return backend.Name }

// mergeByName returns items without the removed ones and with the changed ones added or replaced,
// sorted by name.
func mergeByName[Item any](items, changed []Item, removed []string, name func(*Item) string) []Item {
	if len(changed) == 0 && len(removed) == 0 {
		return items
	}
	replaced := make(map[string]bool, len(changed)+len(removed))
	for _, removedName := range removed {
		replaced[removedName] = true
	}
	for index := range changed {
		replaced[name(&changed[index])] = true
	}
	merged := make([]Item, 0, len(items)+len(changed))
	for index := range items {
		if !replaced[name(&items[index])] {
			merged = append(merged, items[index])
		}
	}
	merged = append(merged, changed...)
	sort.Slice(merged, func(left, right int) bool { return name(&merged[left]) < name(&merged[right]) })
	return merged
}
