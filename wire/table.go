package wire

import "sort"

// TableDelta is what changed in a table since an older mark.
type TableDelta struct {
	Base            TableVersion
	Version         TableVersion `msgpack:"Mark"`
	Complete        bool
	Members         []Member
	Backends        []Backend
	RemovedMembers  []string `msgpack:"GoneMembers"`
	RemovedBackends []string `msgpack:"GoneBackends"`
}

// Apply is the table with a delta laid in; false when the delta builds on another.
func (table *Table) Apply(delta *TableDelta) (*Table, bool) {
	if table.Version != delta.Base {
		return table, false
	}
	next := &Table{Version: delta.Version, Complete: delta.Complete}
	next.Members = mergeByName(table.Members, delta.Members, delta.RemovedMembers, func(member *Member) string { return member.Name })
	next.Backends = mergeByName(table.Backends, delta.Backends, delta.RemovedBackends, func(backend *Backend) string { return backend.Name })
	return next, true
}

// mergeByName is a list by name with some replaced, added and taken out.
func mergeByName[Item any](held, changed []Item, gone []string, name func(*Item) string) []Item {
	if len(changed) == 0 && len(gone) == 0 {
		return held
	}
	out := make(map[string]bool, len(changed)+len(gone))
	for _, one := range gone {
		out[one] = true
	}
	for index := range changed {
		out[name(&changed[index])] = true
	}
	all := make([]Item, 0, len(held)+len(changed))
	for index := range held {
		if !out[name(&held[index])] {
			all = append(all, held[index])
		}
	}
	all = append(all, changed...)
	sort.Slice(all, func(left, right int) bool { return name(&all[left]) < name(&all[right]) })
	return all
}

// TableLog knows since when each entry of a table is as it is, so that those who
// hold an older one get only what changed. It goes on over changes of leaders.
type TableLog struct {
	count    uint64
	versions []countedVersion
	members  map[string]uint64
	backends map[string]uint64
	gone     []removedEntry
}

type countedVersion struct {
	version TableVersion
	count   uint64
}

type removedEntry struct {
	name    string
	backend bool
	count   uint64
}

const (
	maxTableVersions = 512
	maxTableRemovals = 4096
)

// NewTableLog makes a log that knows no table yet.
func NewTableLog() *TableLog {
	return &TableLog{members: map[string]uint64{}, backends: map[string]uint64{}}
}

// Record lays down what a newer table changes.
func (log *TableLog) Record(before, after *Table) {
	log.count++
	recordChanges(log, before.Members, after.Members, log.members, false, func(member *Member) string { return member.Name })
	recordChanges(log, before.Backends, after.Backends, log.backends, true, func(backend *Backend) string { return backend.Name })
	if log.versions = append(log.versions, countedVersion{version: after.Version, count: log.count}); len(log.versions) > maxTableVersions {
		log.versions = append([]countedVersion{}, log.versions[len(log.versions)-maxTableVersions/2:]...)
	}
	if len(log.gone) > maxTableRemovals {
		log.gone = append([]removedEntry{}, log.gone[len(log.gone)-maxTableRemovals/2:]...)
		for len(log.versions) > 0 && log.versions[0].count < log.gone[0].count {
			log.versions = log.versions[1:]
		}
	}
}

func recordChanges[Item comparable](log *TableLog, before, after []Item, counts map[string]uint64, backend bool, name func(*Item) string) {
	held := make(map[string]*Item, len(before))
	for index := range before {
		held[name(&before[index])] = &before[index]
	}
	for index := range after {
		key := name(&after[index])
		if former := held[key]; former == nil || *former != after[index] {
			counts[key] = log.count
		}
		delete(held, key)
	}
	for key := range held {
		delete(counts, key)
		log.gone = append(log.gone, removedEntry{name: key, backend: backend, count: log.count})
	}
}

// Since is what changed from a mark to the table laid down last; false when the
// mark is not known any more, or is no leader's: cores number those each for itself.
func (log *TableLog) Since(mark TableVersion, table *Table) (*TableDelta, bool) {
	from, found := uint64(0), false
	if mark.Term.Number == 0 {
		return nil, false
	}
	for _, one := range log.versions {
		if one.version == mark {
			from, found = one.count, true
		}
	}
	if !found {
		return nil, false
	}
	delta := &TableDelta{Base: mark, Version: table.Version, Complete: table.Complete}
	for index := range table.Members {
		if log.members[table.Members[index].Name] > from {
			delta.Members = append(delta.Members, table.Members[index])
		}
	}
	for index := range table.Backends {
		if log.backends[table.Backends[index].Name] > from {
			delta.Backends = append(delta.Backends, table.Backends[index])
		}
	}
	for _, one := range log.gone {
		switch {
		case one.count <= from:
		case one.backend && log.backends[one.name] == 0:
			delta.RemovedBackends = append(delta.RemovedBackends, one.name)
		case !one.backend && log.members[one.name] == 0:
			delta.RemovedMembers = append(delta.RemovedMembers, one.name)
		}
	}
	return delta, true
}
