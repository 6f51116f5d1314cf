package wire

import "sort"

// TableDelta is what changed in a table since an older mark.
type TableDelta struct {
	Base         TableMark
	Mark         TableMark
	Complete     bool
	Members      []Member
	Backends     []Backend
	GoneMembers  []string
	GoneBackends []string
}

// Apply is the table with a delta laid in; false when the delta builds on another.
func (table *Table) Apply(delta *TableDelta) (*Table, bool) {
	if table.Mark != delta.Base {
		return table, false
	}
	next := &Table{Mark: delta.Mark, Complete: delta.Complete}
	next.Members = merged(table.Members, delta.Members, delta.GoneMembers, func(member *Member) string { return member.Name })
	next.Backends = merged(table.Backends, delta.Backends, delta.GoneBackends, func(backend *Backend) string { return backend.Name })
	return next, true
}

// merged is a list by name with some replaced, added and taken out.
func merged[Item any](held, changed []Item, gone []string, name func(*Item) string) []Item {
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
	marks    []countedMark
	members  map[string]uint64
	backends map[string]uint64
	gone     []goneEntry
}

type countedMark struct {
	mark  TableMark
	count uint64
}

type goneEntry struct {
	name    string
	backend bool
	count   uint64
}

const (
	tableMarksMost = 512
	tableGoneMost  = 4096
)

// NewTableLog makes a log that knows no table yet.
func NewTableLog() *TableLog {
	return &TableLog{members: map[string]uint64{}, backends: map[string]uint64{}}
}

// Next lays down what a newer table changes.
func (log *TableLog) Next(before, after *Table) {
	log.count++
	noted(log, before.Members, after.Members, log.members, false, func(member *Member) string { return member.Name })
	noted(log, before.Backends, after.Backends, log.backends, true, func(backend *Backend) string { return backend.Name })
	if log.marks = append(log.marks, countedMark{mark: after.Mark, count: log.count}); len(log.marks) > tableMarksMost {
		log.marks = append([]countedMark{}, log.marks[len(log.marks)-tableMarksMost/2:]...)
	}
	if len(log.gone) > tableGoneMost {
		log.gone = append([]goneEntry{}, log.gone[len(log.gone)-tableGoneMost/2:]...)
		for len(log.marks) > 0 && log.marks[0].count < log.gone[0].count {
			log.marks = log.marks[1:]
		}
	}
}

func noted[Item comparable](log *TableLog, before, after []Item, counts map[string]uint64, backend bool, name func(*Item) string) {
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
		log.gone = append(log.gone, goneEntry{name: key, backend: backend, count: log.count})
	}
}

// Since is what changed from a mark to the table laid down last; false when the
// mark is not known any more, or is no leader's: cores number those each for itself.
func (log *TableLog) Since(mark TableMark, table *Table) (*TableDelta, bool) {
	from, found := uint64(0), false
	if mark.Ballot.Round == 0 {
		return nil, false
	}
	for _, one := range log.marks {
		if one.mark == mark {
			from, found = one.count, true
		}
	}
	if !found {
		return nil, false
	}
	delta := &TableDelta{Base: mark, Mark: table.Mark, Complete: table.Complete}
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
			delta.GoneBackends = append(delta.GoneBackends, one.name)
		case !one.backend && log.members[one.name] == 0:
			delta.GoneMembers = append(delta.GoneMembers, one.name)
		}
	}
	return delta, true
}
