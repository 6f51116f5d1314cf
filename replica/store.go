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

// Store keeps a consensus.State on disk, as a snapshot and a journal. Segment n holds the
// records since snapshot n. Both are durable before anything is appended, so that the
// newest snapshot and its segment are always the complete state, whichever older files
// still exist.
type Store struct {
	disk    storage.Disk
	state   consensus.State
	journal *storage.Journal
}

// OpenStore reads the newest snapshot and its segment, and starts a new pair, or the
// first segment if there is no state. If that fails, the store holds what it has read and
// accepts no records until Repair succeeds.
func OpenStore(disk storage.Disk) (*Store, error) {
	store := &Store{disk: disk}
	if err := storage.RemoveTempFiles(disk); err != nil {
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
		_ = store.rotate() // Err returns the error until Repair succeeds
	} else {
		_ = store.journal.Begin(newest) // as above
	}
	return store, nil
}

// readSnapshot reads the newest snapshot, if there is one, and returns its number.
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

// Err returns the error that keeps the store from accepting records, or nil.
func (store *Store) Err() error { return store.journal.Err() }

// Repair makes the store accept records again after an error. It writes a new snapshot
// and segment, since the error left the end of the last segment unknown.
func (store *Store) Repair() error {
	if store.Err() == nil {
		return nil
	}
	return store.rotate()
}

// Append stores a record durably and applies it. After an error the store accepts no
// records until it is repaired. A record is one frame, so that a torn write loses all of
// it.
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

// rotate writes a snapshot, starts the next segment and removes the files that they
// replace. The journal does not change until the segment is started, so that a failed
// rotation is repeated from its start.
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

// removeBefore removes the files that a snapshot replaces, as far as the disk allows; the
// next rotation removes the rest. OpenStore ignores files that a power loss brings back.
func (store *Store) removeBefore(number uint64) {
	noSync := func() error { return nil }
	_ = storage.RemoveBefore(store.disk, segmentKind, number, noSync)
	_ = storage.RemoveBefore(store.disk, snapshotKind, number, noSync)
}

// Close closes the last segment.
func (store *Store) Close() { store.journal.Close() }

// State returns a copy of the stored state.
func (store *Store) State() *consensus.State {
	state := store.state
	return &state
}

// LimitSegments sets the size in bytes above which the next segment is started.
func (store *Store) LimitSegments(bytes int64) { store.journal.LimitSegments(bytes) }

// CloneFor returns a copy of the store that uses another disk and appends to file there.
// Model checks use it to fork a machine.
func (store *Store) CloneFor(disk storage.Disk, file storage.File) *Store {
	return &Store{disk: disk, state: store.state, journal: store.journal.CloneFor(disk, file)}
}

// LastSegment returns the file that records are appended to.
func (store *Store) LastSegment() storage.File { return store.journal.LastSegment() }
