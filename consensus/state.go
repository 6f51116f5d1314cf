package consensus

import "orchidjunction/message"

// State is the durable state of a replica. The tags are the stored names of its fields.
type State struct {
	// SinceBootstrap says that the disk has been there since the system's first start.
	SinceBootstrap bool `msgpack:"Opening"`
	// FormerRoster is set only in data of releases that could not replace a voter.
	FormerRoster []message.Peer `msgpack:"Roster"`
	// Initialized says that the replica may vote. It is false on a blank disk.
	Initialized bool `msgpack:"Founded"`
	Promised    message.Term
	Accepted    [message.Registers]message.AcceptedValue
	Chunks      message.Chunks `msgpack:"Texts"`

	// Committed holds the versions that the replica knows to be committed.
	Committed message.Versions
}

// Record is one durable change of a State. Only the fields that change are set.
type Record struct {
	SinceBootstrap bool           `msgpack:"Opening"`
	FormerRoster   []message.Peer `msgpack:"Roster"`
	Initialized    bool           `msgpack:"Founded"`
	Promised       *message.Term
	Register       message.Register
	Accepted       *message.AcceptedValue
	Chunks         message.Chunks `msgpack:"Texts"`

	// Renewed is the new term of the register's value, if the same value was accepted again.
	Renewed *message.Term

	Committed *message.Version
	// Then holds further records that are applied with this one, atomically.
	Then []Record
}

// ProvenCommitted returns a register's accepted value, and whether the replica knows it
// to be committed. Later terms keep a committed value under its serial.
func (state *State) ProvenCommitted(register message.Register) (message.AcceptedValue, bool) {
	accepted, committed := state.Accepted[register], state.Committed[register]
	return accepted, committed.Serial > 0 && committed.Serial == accepted.Value.Serial && !accepted.Term.Less(committed.Term)
}

// Membership returns the membership that was accepted last, or nil if there is none.
func (state *State) Membership() *Membership {
	membership, err := DecodeMembership(state.Accepted[message.MembersRegister])
	if err != nil {
		return nil
	}
	return membership
}

// Versions returns the versions of the accepted values.
func (state *State) Versions() message.Versions { return VersionsOf(state.Accepted) }

// VersionsOf returns the versions of the given accepted values.
func VersionsOf(accepted [message.Registers]message.AcceptedValue) message.Versions {
	versions := message.Versions{}
	for register := range versions {
		versions[register] = accepted[register].Version()
	}
	return versions
}

// Size returns the size of the accepted values and their chunks in bytes.
func (state *State) Size() int {
	size := 0
	for register := range state.Accepted {
		size += state.Accepted[register].Value.Size()
	}
	for _, chunk := range state.Chunks {
		size += len(chunk)
	}
	return size
}

// Upgrade converts the fixed list of voters of a former release to the first membership.
func (state *State) Upgrade(voters []message.Peer) {
	state.FormerRoster = nil
	if len(voters) > 0 && state.Accepted[message.MembersRegister].Value.Serial == 0 {
		state.Accepted[message.MembersRegister] = NewMembership(voters).Accepted()
	}
}

// Apply applies the changes of a record.
func (state *State) Apply(record Record) {
	state.SinceBootstrap = state.SinceBootstrap || record.SinceBootstrap
	state.Initialized = state.Initialized || record.Initialized
	state.Upgrade(record.FormerRoster)
	if record.Promised != nil {
		state.Promised = *record.Promised
	}
	if record.Committed != nil {
		state.Committed[record.Register] = *record.Committed
	}
	if record.Accepted != nil {
		state.Accepted[record.Register] = *record.Accepted
		if len(record.Chunks) > 0 || len(record.Accepted.Value.Chunks) > 0 {
			state.keepReferenced(record.Chunks)
		}
	}
	if record.Renewed != nil {
		state.Accepted[record.Register].Term = *record.Renewed
	}
	for _, next := range record.Then {
		state.Apply(next)
	}
}

// keepReferenced keeps those of the state's and the added chunks that accepted values
// refer to. It makes a new map, since readers may hold the old one.
func (state *State) keepReferenced(added message.Chunks) {
	kept := make(message.Chunks, len(state.Chunks)+len(added))
	for register := range state.Accepted {
		for _, ref := range state.Accepted[register].Value.Chunks {
			if chunk, found := added[ref.Digest]; found {
				kept[ref.Digest] = chunk
			} else if chunk, found := state.Chunks[ref.Digest]; found {
				kept[ref.Digest] = chunk
			}
		}
	}
	state.Chunks = kept
}
