package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

const (
	segmentName  = "segment"
	snapshotName = "snapshot"
)

// State is all that a core must never forget.
type State struct {
	SinceBootstrap bool   `msgpack:"Opening"`
	FormerRoster   []Peer `msgpack:"Roster"` // as disks of former versions hold it; see upgrade
	Initialized    bool   `msgpack:"Founded"`
	Promised       message.Term
	Accepted       [message.Registers]message.AcceptedValue
	Chunks         message.Chunks `msgpack:"Texts"`

	Committed message.Versions
}

// provenCommitted is a register's accepted value where this core knew it committed: what a
// later ballot holds under the same serial is the same value.
func (state State) provenCommitted(register message.Register) (message.AcceptedValue, bool) {
	accepted, version := state.Accepted[register], state.Committed[register]
	return accepted, version.Serial > 0 && version.Serial == accepted.Value.Serial && !accepted.Term.Less(version.Term)
}

// upgrade makes the roster of a former version, which was fixed, the first membership.
func (state *State) upgrade(roster []Peer) {
	state.FormerRoster = nil
	if len(roster) > 0 && state.Accepted[message.MembersRegister].Value.Serial == 0 {
		state.Accepted[message.MembersRegister] = givenMembership(roster).accepted()
	}
}

// Membership is the membership that was accepted last; nil where none was.
func (state State) Membership() *Membership {
	membership, err := membershipOf(state.Accepted[message.MembersRegister])
	if err != nil {
		return nil
	}
	return membership
}

func (state State) Versions() message.Versions {
	versions := message.Versions{}
	for register := range versions {
		versions[register] = state.Accepted[register].Version()
	}
	return versions
}

// Record is one synced step; only what changed is set.
type Record struct {
	SinceBootstrap bool   `msgpack:"Opening"`
	FormerRoster   []Peer `msgpack:"Roster"` // as disks of former versions hold it; see upgrade
	Initialized    bool   `msgpack:"Founded"`
	Promised       *message.Term
	Register       message.Register
	Accepted       *message.AcceptedValue
	Chunks         message.Chunks `msgpack:"Texts"`

	Committed *message.Version
	Then      []Record
}

func (state *State) apply(step Record) {
	state.SinceBootstrap = state.SinceBootstrap || step.SinceBootstrap
	state.Initialized = state.Initialized || step.Initialized
	state.upgrade(step.FormerRoster)
	if step.Promised != nil {
		state.Promised = *step.Promised
	}
	if step.Committed != nil {
		state.Committed[step.Register] = *step.Committed
	}
	if step.Accepted != nil {
		state.Accepted[step.Register] = *step.Accepted
		if len(step.Chunks) > 0 || len(step.Accepted.Value.Chunks) > 0 {
			state.trimChunks(step.Chunks)
		}
	}
	for _, next := range step.Then {
		state.apply(next)
	}
}

// trimChunks keeps the texts that accepted values name; readers may hold the former map.
func (state *State) trimChunks(more message.Chunks) {
	kept := make(message.Chunks, len(state.Chunks)+len(more))
	for register := range state.Accepted {
		for _, part := range state.Accepted[register].Value.Chunks {
			if text, found := more[part.Digest]; found {
				kept[part.Digest] = text
			} else if text, found := state.Chunks[part.Digest]; found {
				kept[part.Digest] = text
			}
		}
	}
	state.Chunks = kept
}

// Store keeps a State on disk: a journal with a snapshot beside it. Segment n holds the
// records since snapshot n. A snapshot and its segment are durable before anything is
// appended, so that the newest snapshot and the segment of its number are always the
// whole state, whichever older files are still there.
type Store struct {
	disk    storage.Disk
	state   State
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
	store.journal, err = storage.OpenJournal(disk, segmentName, newest, func(_ uint64, payload []byte) error {
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
	numbers, err := storage.FileNumbers(store.disk, snapshotName)
	if err != nil || len(numbers) == 0 {
		return 0, false, err
	}
	newest := numbers[len(numbers)-1]
	if err := storage.ReadSnapshot(store.disk, snapshotName, newest, &store.state); err != nil {
		return 0, false, err
	}
	store.state.upgrade(store.state.FormerRoster)
	return newest, true, nil
}

func (store *Store) replay(payload []byte) error {
	var record Record
	if err := rpc.Unmarshal(payload, &record); err != nil {
		return err
	}
	store.state.apply(record)
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
func (store *Store) Append(record Record) error {
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
	store.state.apply(record)
	return nil
}

// rotate writes a snapshot, begins the next segment and removes what both replace.
// Until the segment is begun nothing changes for the journal, so that a rotation which
// failed halfway is done again from its start.
func (store *Store) rotate() error {
	next := store.journal.Number() + 1
	if err := storage.WriteSnapshot(store.disk, snapshotName, next, &store.state); err != nil {
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
	_ = storage.RemoveBefore(store.disk, segmentName, number, unsynced)
	_ = storage.RemoveBefore(store.disk, snapshotName, number, unsynced)
}

// Close closes the last segment.
func (store *Store) Close() { store.journal.Close() }

// State returns a copy of what is stored.
func (store *Store) State() State { return store.state }
