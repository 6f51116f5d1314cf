package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
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

// Store is a journal with snapshots beside it: segment n holds the steps since
// snapshot n. A snapshot and its segment are named on the disk before anything is
// appended, so that the newest snapshot and the segment of its number are always
// the whole state, whichever older files are still there.
type Store struct {
	disk    Disk
	state   State
	journal *Journal
}

// OpenStore restores the newest snapshot and the segment after it, and begins
// another pair. When the disk refuses that, the store holds what it has read and
// takes nothing until Repair succeeds.
func OpenStore(disk Disk) (*Store, error) {
	store := &Store{disk: disk}
	if err := RemoveDrafts(disk); err != nil {
		return nil, err
	}
	snapshots, err := fileNumbers(disk, snapshotName)
	if err != nil {
		return nil, err
	}
	first := uint64(0)
	if len(snapshots) > 0 {
		first = snapshots[len(snapshots)-1]
		if err := store.loadSnapshot(first); err != nil {
			return nil, err
		}
	}
	applied := false
	store.journal, err = OpenJournal(disk, segmentName, first, func(_ uint64, payload []byte) error {
		var step Record
		if err := rpc.Unmarshal(payload, &step); err != nil {
			return rpc.AsError(err)
		}
		store.state.apply(step)
		applied = true
		return nil
	})
	if err != nil {
		return nil, err
	}
	if applied || len(snapshots) > 0 {
		_ = store.rotate() // Fault tells it until Repair succeeds
	} else {
		_ = store.journal.Begin(first) // as above
	}
	return store, nil
}

func (store *Store) loadSnapshot(number uint64) error {
	name := fileName(snapshotName, number)
	body, err := store.disk.Read(name)
	if err != nil {
		return diskError(rpc.DiskFailure, err, "read %s", name)
	}
	payload, sound := Frame(body).payload()
	if !sound {
		return rpc.Errorf(rpc.CorruptStore, "%s fails its checksum", name)
	}
	if err := rpc.Unmarshal(payload, &store.state); err != nil {
		return diskError(rpc.CorruptStore, err, "%s", name)
	}
	store.state.upgrade(store.state.FormerRoster)
	return nil
}

// Err is why the store takes nothing now, nil while it does.
func (store *Store) Err() error { return store.journal.err }

// Repair goes on in a new segment behind a fresh snapshot, when a fault left the
// last segment's end unknown.
func (store *Store) Repair() error {
	if store.Err() == nil {
		return nil
	}
	return store.rotate()
}

// Append lasts once it returns without a mishap; after one the store takes nothing
// more until it is repaired. A step is one frame: torn in any way, all of it is cut.
func (store *Store) Append(step Record) error {
	if err := store.Err(); err != nil {
		return err
	}
	frame, err := EncodeFrame(&step)
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
	store.state.apply(step)
	return nil
}

// rotate writes a snapshot, begins the next segment and removes what both replace.
// Until the segment is begun nothing changes for the journal, so that a roll that
// failed half-way is done again from its start.
func (store *Store) rotate() error {
	next := store.journal.number + 1
	frame, err := EncodeFrame(&store.state)
	if err != nil {
		return err
	}
	name := fileName(snapshotName, next)
	file, err := replaceFile(store.disk, name, frame)
	if err != nil {
		store.journal.err = diskError(rpc.DiskFailure, err, "snapshot %s", name)
		return store.journal.err
	}
	_ = file.Close() // its content is synced
	if err := store.journal.Begin(next); err != nil {
		return err
	}
	store.removeBefore(next)
	return nil
}

// removeBefore removes what the snapshot of that number replaces, as far as the disk lets
// it; the next one removes the rest. Removals that a power loss undoes bring back
// files that opening passes over.
func (store *Store) removeBefore(number uint64) {
	unsynced := func() error { return nil }
	_ = RemoveBefore(store.disk, segmentName, number, unsynced)
	_ = RemoveBefore(store.disk, snapshotName, number, unsynced)
}

func (store *Store) Close() { store.journal.Close() }

// State is a copy of what is stored.
func (store *Store) State() State { return store.state }
