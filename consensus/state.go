package consensus

import "orchidjunction/message"

// State is what a replica must never forget. Its fields are stored under the names in
// their tags.
type State struct {
	// SinceBootstrap says that the disk has been there since the system's first start.
	SinceBootstrap bool `msgpack:"Opening"`
	// FormerRoster is only in data of releases in which no voter could be replaced.
	FormerRoster []message.Peer `msgpack:"Roster"`
	// Initialized says that the replica may vote. A blank disk may not.
	Initialized bool `msgpack:"Founded"`
	Promised    message.Term
	Accepted    [message.Registers]message.AcceptedValue
	Chunks      message.Chunks `msgpack:"Texts"`

	// Committed are the versions that the replica knew to be committed.
	Committed message.Versions
}

// Record is one durable change of a State; only what changed is set.
type Record struct {
	SinceBootstrap bool           `msgpack:"Opening"`
	FormerRoster   []message.Peer `msgpack:"Roster"`
	Initialized    bool           `msgpack:"Founded"`
	Promised       *message.Term
	Register       message.Register
	Accepted       *message.AcceptedValue
	Chunks         message.Chunks `msgpack:"Texts"`

	// Renewed is the term under which the register's value was accepted once more.
	Renewed *message.Term

	Committed *message.Version
	Then      []Record
}

// ProvenCommitted returns a register's accepted value if the replica knew it to be
// committed: a later term holds the same value under the same serial.
func (state *State) ProvenCommitted(register message.Register) (message.AcceptedValue, bool) {
	accepted, committed := state.Accepted[register], state.Committed[register]
	return accepted, committed.Serial > 0 && committed.Serial == accepted.Value.Serial && !accepted.Term.Less(committed.Term)
}

// Membership returns the membership that was accepted last, nil if there is none.
func (state *State) Membership() *Membership {
	membership, err := DecodeMembership(state.Accepted[message.MembersRegister])
	if err != nil {
		return nil
	}
	return membership
}

// Versions returns those of the accepted values.
func (state *State) Versions() message.Versions { return VersionsOf(state.Accepted) }

// VersionsOf returns those of accepted values.
func VersionsOf(accepted [message.Registers]message.AcceptedValue) message.Versions {
	versions := message.Versions{}
	for register := range versions {
		versions[register] = accepted[register].Version()
	}
	return versions
}

// Size returns how many bytes the accepted values take.
func (state *State) Size() int {
	size := 0
	for register := range state.Accepted {
		size += state.Accepted[register].Value.Size()
	}
	for _, text := range state.Chunks {
		size += len(text)
	}
	return size
}

// Upgrade makes the list of voters of a former release, which never changed, the first membership.
func (state *State) Upgrade(voters []message.Peer) {
	state.FormerRoster = nil
	if len(voters) > 0 && state.Accepted[message.MembersRegister].Value.Serial == 0 {
		state.Accepted[message.MembersRegister] = NewMembership(voters).Accepted()
	}
}

// Apply makes the changes of a record.
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

// keepReferenced keeps the chunks that accepted values refer to, of the state's own and
// of added ones. It makes a new map, since readers may hold the former one.
func (state *State) keepReferenced(added message.Chunks) {
	kept := make(message.Chunks, len(state.Chunks)+len(added))
	for register := range state.Accepted {
		for _, ref := range state.Accepted[register].Value.Chunks {
			if text, found := added[ref.Digest]; found {
				kept[ref.Digest] = text
			} else if text, found := state.Chunks[ref.Digest]; found {
				kept[ref.Digest] = text
			}
		}
	}
	state.Chunks = kept
}
