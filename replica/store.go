package replica

import (
	"orchidjunction/consensus"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

const (
	segmentKind  = "segment"
	snapshotKind = "snapshot"
)

// Store keeps a consensus.State on disk: a journal with a snapshot beside it. Segment n holds the
// records since snapshot n. A snapshot and its segment are durable before anything is
// appended, so that the newest snapshot and the segment of its number are always the
// whole state, whichever older files are still there.
type Store struct {
	disk    storage.Disk
	state   consensus.State
	journal *storage.Journal
}

// OpenStore restores the newest snapshot and the segment after it, and begins another
// pair. If the disk refuses that, the store holds what it has read and accepts nothing
// until Repair succeeds.
func OpenStore(disk storage.Disk) (*Store, error) {
	store := &Store{disk: disk}
	if err := storage.RemoveDrafts(disk); err != nil {
		return nil, err
	}
	newest, hasSnapshot, err := store.readSnapshot()
	if err != nil {
		return nil, err
	}
	replayed := false
	store.journal, err = storage.OpenJournal(disk, segmentKind, newest, func(_ uint64, payload []byte) error {
		replayed = true
		return store.replay(payload)
	})
	if err != nil {
		return nil, err
	}
	if replayed || hasSnapshot {
		_ = store.rotate() // Err returns it until Repair succeeds
	} else {
		_ = store.journal.Begin(newest) // as above
	}
	return store, nil
}

// readSnapshot restores the newest snapshot, if there is one, and returns its number.
func (store *Store) readSnapshot() (uint64, bool, error) {
	numbers, err := storage.FileNumbers(store.disk, snapshotKind)
	if err != nil || len(numbers) == 0 {
		return 0, false, err
	}
	newest := numbers[len(numbers)-1]
	if err := storage.ReadSnapshot(store.disk, snapshotKind, newest, &store.state); err != nil {
		return 0, false, err
	}
	store.state.Upgrade(store.state.FormerRoster)
	return newest, true, nil
}

func (store *Store) replay(payload []byte) error {
	var record consensus.Record
	if err := rpc.Unmarshal(payload, &record); err != nil {
		return err
	}
	store.state.Apply(record)
	return nil
}

// Err returns why the store accepts nothing now, nil while it does.
func (store *Store) Err() error { return store.journal.Err() }

// Repair continues in a new segment behind a fresh snapshot, after an error left the
// end of the last segment unknown.
func (store *Store) Repair() error {
	if store.Err() == nil {
		return nil
	}
	return store.rotate()
}

// Append applies a record. It is durable once Append returns without an error; after an
// error the store accepts nothing until it is repaired. A record is one frame: torn in
// any way, all of it is cut.
func (store *Store) Append(record consensus.Record) error {
	if err := store.Err(); err != nil {
		return err
	}
	frame, err := storage.EncodeFrame(&record)
	if err != nil {
		return err
	}
	if store.journal.Full(frame) {
		if err := store.rotate(); err != nil {
			return err
		}
	}
	if err := store.journal.Append(frame); err != nil {
		return err
	}
	store.state.Apply(record)
	return nil
}

// rotate writes a snapshot, begins the next segment and removes what both replace.
// Until the segment is begun nothing changes for the journal, so that a rotation which
// failed halfway is done again from its start.
func (store *Store) rotate() error {
	next := store.journal.Number() + 1
	if err := storage.WriteSnapshot(store.disk, snapshotKind, next, &store.state); err != nil {
		return store.journal.Fail(err)
	}
	if err := store.journal.Begin(next); err != nil {
		return err
	}
	store.removeBefore(next)
	return nil
}

// removeBefore removes what the snapshot of that number replaces, as far as the disk
// lets it; the next one removes the rest. Removals that a power loss undoes bring back
// files that OpenStore ignores.
func (store *Store) removeBefore(number uint64) {
	unsynced := func() error { return nil }
	_ = storage.RemoveBefore(store.disk, segmentKind, number, unsynced)
	_ = storage.RemoveBefore(store.disk, snapshotKind, number, unsynced)
}

// Close closes the last segment.
func (store *Store) Close() { store.journal.Close() }

// State returns a copy of what is stored.
func (store *Store) State() *consensus.State {
	state := store.state
	return &state
}

// LimitSegments sets after how many bytes the next segment is begun.
func (store *Store) LimitSegments(bytes int64) { store.journal.LimitSegments(bytes) }

// CloneFor returns a copy of the store on another disk, where file stands for the last
// segment. Models use it to fork a machine.
func (store *Store) CloneFor(disk storage.Disk, file storage.File) *Store {
	return &Store{disk: disk, state: store.state, journal: store.journal.CloneFor(disk, file)}
}

// LastSegment returns the file that the store appends to.
func (store *Store) LastSegment() storage.File { return store.journal.LastSegment() }
