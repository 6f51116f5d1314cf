package control

import (
	"fmt"
	"sort"
	"strings"

	"github.com/samber/oops"
	"orchidjunction/wire"
)

const segmentLimit = 4 << 20

// State is all that a core must never forget.
type State struct {
	Founded  bool
	Promised wire.Ballot
	Accepted [wire.Registers]wire.Accepted
}

func (state State) Marks() wire.Marks {
	marks := wire.Marks{}
	for register := range marks {
		marks[register] = state.Accepted[register].Mark()
	}
	return marks
}

// record is one synced step; only what changed is set.
type record struct {
	Founded  bool
	Promised *wire.Ballot
	Register wire.Register
	Accepted *wire.Accepted
}

func (state *State) lay(step record) {
	state.Founded = state.Founded || step.Founded
	if step.Promised != nil {
		state.Promised = *step.Promised
	}
	if step.Accepted != nil {
		state.Accepted[step.Register] = *step.Accepted
	}
}

// Store is a log in segments with snapshots beside it.
type Store struct {
	disk   Disk
	state  State
	number uint64
	size   int64
	limit  int64
	file   File
	broken *wire.Mishap
}

func segmentName(number uint64) string  { return fmt.Sprintf("segment-%016d", number) }
func snapshotName(number uint64) string { return fmt.Sprintf("snapshot-%016d", number) }

func storeFault(kind wire.Kind, fault error, format string, values ...any) *wire.Mishap {
	wrapped := oops.Code(string(kind)).In("store").Wrapf(fault, format, values...)
	return wire.New(kind, "%v", wrapped)
}

// OpenStore restores the newest snapshot and the segments after it.
func OpenStore(disk Disk) (*Store, *wire.Mishap) {
	store := &Store{disk: disk, limit: segmentLimit}
	names, fault := disk.List()
	if fault != nil {
		return nil, storeFault(wire.DiskFault, fault, "list")
	}
	segments, snapshots := []uint64{}, []uint64{}
	for _, name := range names {
		var number uint64
		switch {
		case strings.HasSuffix(name, ".new"):
			if fault := disk.Remove(name); fault != nil {
				return nil, storeFault(wire.DiskFault, fault, "remove %s", name)
			}
		case strings.HasPrefix(name, "segment-"):
			if _, fault := fmt.Sscanf(name, "segment-%d", &number); fault == nil {
				segments = append(segments, number)
			}
		case strings.HasPrefix(name, "snapshot-"):
			if _, fault := fmt.Sscanf(name, "snapshot-%d", &number); fault == nil {
				snapshots = append(snapshots, number)
			}
		}
	}
	sort.Slice(segments, func(left, right int) bool { return segments[left] < segments[right] })
	sort.Slice(snapshots, func(left, right int) bool { return snapshots[left] < snapshots[right] })
	first := uint64(0)
	if len(snapshots) > 0 {
		first = snapshots[len(snapshots)-1]
		if mishap := store.loadSnapshot(first); mishap != nil {
			return nil, mishap
		}
		if mishap := store.sweep(first); mishap != nil {
			return nil, mishap
		}
	}
	for len(segments) > 0 && segments[0] < first {
		segments = segments[1:]
	}
	for index, number := range segments {
		if number != first+uint64(index) {
			return nil, wire.New(wire.Corrupt, "%s is missing", segmentName(first+uint64(index)))
		}
		if mishap := store.loadSegment(number, index == len(segments)-1); mishap != nil {
			return nil, mishap
		}
	}
	store.number = first
	if len(segments) > 0 {
		store.number = segments[len(segments)-1]
		file, fault := disk.Extend(segmentName(store.number), store.size)
		if fault != nil {
			return nil, storeFault(wire.DiskFault, fault, "extend %s", segmentName(store.number))
		}
		store.file = file
		return store, nil
	}
	return store, store.begin(first)
}

func (store *Store) loadSnapshot(number uint64) *wire.Mishap {
	body, fault := store.disk.Read(snapshotName(number))
	if fault != nil {
		return storeFault(wire.DiskFault, fault, "read %s", snapshotName(number))
	}
	payload, sound := Frame(body).payload()
	if !sound {
		return wire.New(wire.Corrupt, "%s fails its checksum", snapshotName(number))
	}
	if fault := wire.Unpack(payload, &store.state); fault != nil {
		return storeFault(wire.Corrupt, fault, "%s", snapshotName(number))
	}
	return nil
}

func (store *Store) loadSegment(number uint64, last bool) *wire.Mishap {
	body, fault := store.disk.Read(segmentName(number))
	if fault != nil {
		return storeFault(wire.DiskFault, fault, "read %s", segmentName(number))
	}
	rest, taken := Frame(body), int64(0)
	for len(rest) > 0 {
		payload, sound := rest.payload()
		if !sound {
			if !last || rest.soundAfter() {
				return wire.New(wire.Corrupt, "%s fails its checksum at byte %d", segmentName(number), taken)
			}
			break
		}
		var step record
		if fault := wire.Unpack(payload, &step); fault != nil {
			return storeFault(wire.Corrupt, fault, "%s at byte %d", segmentName(number), taken)
		}
		store.state.lay(step)
		rest = rest[frameHeader+len(payload):]
		taken += int64(frameHeader + len(payload))
	}
	store.size = taken
	return nil
}

func (store *Store) begin(number uint64) *wire.Mishap {
	file, fault := store.disk.Create(segmentName(number))
	if fault == nil {
		fault = file.Sync()
	}
	if fault == nil {
		fault = store.disk.Sync()
	}
	if fault != nil {
		return storeFault(wire.DiskFault, fault, "begin %s", segmentName(number))
	}
	store.file, store.number, store.size = file, number, 0
	return nil
}

// Append lasts once it returns; after any fault the store takes nothing more.
func (store *Store) Append(steps ...record) *wire.Mishap {
	if store.broken != nil {
		return store.broken
	}
	if mishap := store.append(steps); mishap != nil {
		store.broken = mishap
		return mishap
	}
	return nil
}

func (store *Store) append(steps []record) *wire.Mishap {
	var block []byte
	for _, step := range steps {
		payload, fault := wire.Pack(&step)
		if fault != nil {
			return wire.AsMishap(fault)
		}
		block = append(block, newFrame(payload)...)
	}
	if store.size > 0 && store.size+int64(len(block)) > store.limit {
		if mishap := store.roll(); mishap != nil {
			return mishap
		}
	}
	if _, fault := store.file.Write(block); fault != nil {
		return storeFault(wire.DiskFault, fault, "write %s", segmentName(store.number))
	}
	if fault := store.file.Sync(); fault != nil {
		return storeFault(wire.DiskFault, fault, "sync %s", segmentName(store.number))
	}
	store.size += int64(len(block))
	for _, step := range steps {
		store.state.lay(step)
	}
	return nil
}

// roll writes a snapshot, begins the next segment and removes what both replace.
func (store *Store) roll() *wire.Mishap {
	next := store.number + 1
	payload, fault := wire.Pack(&store.state)
	if fault != nil {
		return wire.AsMishap(fault)
	}
	draft := snapshotName(next) + ".new"
	file, fault := store.disk.Create(draft)
	if fault == nil {
		_, fault = file.Write(newFrame(payload))
	}
	if fault == nil {
		fault = file.Sync()
	}
	if fault == nil {
		fault = file.Close()
	}
	if fault == nil {
		fault = store.disk.Rename(draft, snapshotName(next))
	}
	if fault == nil {
		fault = store.disk.Sync()
	}
	if fault != nil {
		return storeFault(wire.DiskFault, fault, "snapshot %s", snapshotName(next))
	}
	before := store.file
	if mishap := store.begin(next); mishap != nil {
		return mishap
	}
	before.Close()
	return store.sweep(next)
}

// sweep removes what the snapshot of that number replaces.
func (store *Store) sweep(number uint64) *wire.Mishap {
	names, fault := store.disk.List()
	if fault != nil {
		return storeFault(wire.DiskFault, fault, "list")
	}
	for _, name := range names {
		if strings.HasPrefix(name, "segment-") && name < segmentName(number) || strings.HasPrefix(name, "snapshot-") && name < snapshotName(number) {
			if fault := store.disk.Remove(name); fault != nil {
				return storeFault(wire.DiskFault, fault, "remove %s", name)
			}
		}
	}
	return nil
}

func (store *Store) Close() {
	if store.file != nil {
		store.file.Close()
	}
}

// State is a copy of what is stored.
func (store *Store) State() State { return store.state }
