package message

import "slices"

const (
	// maxTableVersions limits the versions from which a TableLog can produce deltas.
	maxTableVersions = 512
	// maxTableRemovals limits the removed entries that a TableLog stores.
	maxTableRemovals = 4096
)

// TableLog records when each entry of a table last changed, so that a process with an older
// version can be sent a delta. It spans leader changes. It is not safe for concurrent use.
type TableLog struct {
	sequence uint64
	versions []loggedVersion
	members  map[string]uint64
	backends map[string]uint64
	removals []removal
}

// loggedVersion is a recorded version and its sequence number in the log.
type loggedVersion struct {
	version  TableVersion
	sequence uint64
}

// removal is an entry that was removed from the table, and the sequence number of that change.
type removal struct {
	name      string
	isBackend bool
	sequence  uint64
}

// NewTableLog returns an empty log.
func NewTableLog() *TableLog {
	return &TableLog{members: map[string]uint64{}, backends: map[string]uint64{}}
}

// Record records the changes from one table to the next.
func (log *TableLog) Record(before, after *Table) {
	log.sequence++
	for _, name := range recordChanges(log.members, log.sequence, before.Members, after.Members, memberName) {
		log.removals = append(log.removals, removal{name: name, sequence: log.sequence})
	}
	for _, name := range recordChanges(log.backends, log.sequence, before.Backends, after.Backends, backendName) {
		log.removals = append(log.removals, removal{name: name, isBackend: true, sequence: log.sequence})
	}
	log.versions = append(log.versions, loggedVersion{version: after.Version, sequence: log.sequence})
	log.trim()
}

// trim drops the older half of a list that exceeds its limit, and the versions that precede the
// oldest removal kept.
func (log *TableLog) trim() {
	if len(log.versions) > maxTableVersions {
		log.versions = newestHalf(log.versions, maxTableVersions)
	}
	if len(log.removals) > maxTableRemovals {
		log.removals = newestHalf(log.removals, maxTableRemovals)
		for len(log.versions) > 0 && log.versions[0].sequence < log.removals[0].sequence {
			log.versions = log.versions[1:]
		}
	}
}

// newestHalf returns a copy of the last limit/2 items.
func newestHalf[Item any](items []Item, limit int) []Item {
	return append([]Item{}, items[len(items)-limit/2:]...)
}

// recordChanges sets the sequence number of new and changed items, and returns the names of
// removed items.
func recordChanges[Item comparable](sequences map[string]uint64, sequence uint64, before, after []Item, name func(*Item) string) []string {
	remaining := make(map[string]*Item, len(before))
	for index := range before {
		remaining[name(&before[index])] = &before[index]
	}
	for index := range after {
		key := name(&after[index])
		if former := remaining[key]; former == nil || *former != after[index] {
			sequences[key] = sequence
		}
		delete(remaining, key)
	}
	removed := []string{}
	for key := range remaining {
		delete(sequences, key)
		removed = append(removed, key)
	}
	return removed
}

// Since returns the delta from a version to the last recorded table. It returns false if the
// version is no longer known, or was made without a leader: each core numbers those versions
// independently.
func (log *TableLog) Since(version TableVersion, table *Table) (*TableDelta, bool) {
	from, found := log.sequenceOf(version)
	if !found {
		return nil, false
	}
	delta := &TableDelta{Base: version, Version: table.Version, Complete: table.Complete, Rollouts: table.Rollouts}
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
	log.addRemovals(delta, from)
	return delta, true
}

// sequenceOf returns the sequence number at which a version was recorded. Versions made without a
// leader are not found.
func (log *TableLog) sequenceOf(version TableVersion) (uint64, bool) {
	if version.Term.Number == 0 {
		return 0, false
	}
	for _, known := range slices.Backward(log.versions) {
		if known.version == version {
			return known.sequence, true
		}
	}
	return 0, false
}

// addRemovals adds the entries that were removed after sequence number from and not added again.
func (log *TableLog) addRemovals(delta *TableDelta, from uint64) {
	for _, removed := range log.removals {
		switch {
		case removed.sequence <= from:
		case removed.isBackend && log.backends[removed.name] == 0:
			delta.RemovedBackends = append(delta.RemovedBackends, removed.name)
		case !removed.isBackend && log.members[removed.name] == 0:
			delta.RemovedMembers = append(delta.RemovedMembers, removed.name)
		}
	}
}
