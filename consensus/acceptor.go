package consensus

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Prepare returns a replica's response to a PrepareRequest, and the record that must be
// durable before it is sent, or nil. It grants a term that is not older than the promised
// one, unless the replica has accepted a newer membership with other voters than the
// candidate's.
func (state *State) Prepare(request *message.PrepareRequest) (*message.PrepareResponse, *Record) {
	if membership := state.Accepted[message.MembersRegister]; message.Supersedes(membership, request.Membership) {
		return &message.PrepareResponse{Promised: state.Promised, Membership: membership}, nil
	}
	if request.Term.Less(state.Promised) {
		return &message.PrepareResponse{Promised: state.Promised}, nil
	}
	response := &message.PrepareResponse{Granted: true, Promised: request.Term, Accepted: state.acceptedNewerThan(request.Held)}
	if !state.Promised.Less(request.Term) {
		return response, nil
	}
	return response, &Record{Promised: &request.Term}
}

// acceptedNewerThan returns the accepted values, without the content of those that are
// not newer than the versions held elsewhere.
func (state *State) acceptedNewerThan(held message.Versions) [message.Registers]message.AcceptedValue {
	accepted := state.Accepted
	for register := range accepted {
		if !held[register].Less(accepted[register].Version()) {
			accepted[register].Value = message.Value{Serial: accepted[register].Value.Serial}
		}
	}
	return accepted
}

// CompletePromise fills in the values that a replica left out of its promise because the
// candidate holds the same versions. Older values stay without their content, since a
// candidate only inherits the newest ones.
func CompletePromise(promise *message.PrepareResponse, held [message.Registers]message.AcceptedValue) {
	for register := range promise.Accepted {
		if promise.Accepted[register].Version() == held[register].Version() {
			promise.Accepted[register] = held[register]
		}
	}
}

// Accept returns a replica's response to an AcceptRequest, and the record that must be
// durable before it is sent, or nil. It accepts a value if its term is not older than the
// promised one, its version is not older than the accepted one, and no chunk is missing.
// A version identifies one value: a term has one leader, which writes one value for each
// serial.
func (state *State) Accept(request *message.AcceptRequest) (*message.AcceptResponse, *Record) {
	if request.Term.Less(state.Promised) {
		return &message.AcceptResponse{Promised: state.Promised}, nil
	}
	held := state.Accepted[request.Register].Version()
	offered := message.Version{Term: request.Term, Serial: request.Value.Serial}
	if held == offered {
		return &message.AcceptResponse{Accepted: true, Promised: state.Promised}, nil
	}
	if offered.Less(held) {
		return &message.AcceptResponse{Promised: state.Promised}, nil
	}
	if request.Inherited != (message.Version{}) {
		return state.acceptInherited(request)
	}
	if missing := message.MissingChunks(request.Value.Chunks, state.Chunks, request.Chunks); len(missing) > 0 {
		return &message.AcceptResponse{Promised: state.Promised, Missing: missing}, nil
	}
	return &message.AcceptResponse{Accepted: true, Promised: request.Term}, state.acceptRecord(request)
}

// acceptInherited accepts, under a new term, the value that the replica already holds.
func (state *State) acceptInherited(request *message.AcceptRequest) (*message.AcceptResponse, *Record) {
	if state.Accepted[request.Register].Version() != request.Inherited || request.Inherited.Serial != request.Value.Serial {
		return &message.AcceptResponse{Promised: state.Promised, LacksValue: true}, nil
	}
	record := &Record{Register: request.Register, Renewed: &request.Term}
	if state.Promised.Less(request.Term) {
		record.Promised = &request.Term
	}
	return &message.AcceptResponse{Accepted: true, Promised: request.Term}, record
}

// acceptRecord returns the record of an accepted value with the chunks that are new.
func (state *State) acceptRecord(request *message.AcceptRequest) *Record {
	record := &Record{
		Register: request.Register,
		Accepted: &message.AcceptedValue{Term: request.Term, Value: request.Value},
		Chunks:   message.Chunks{},
	}
	for _, ref := range request.Value.Chunks {
		if state.Chunks[ref.Digest] == nil {
			record.Chunks[ref.Digest] = request.Chunks[ref.Digest]
		}
	}
	if state.Promised.Less(request.Term) {
		record.Promised = &request.Term
	}
	return record
}

// InitializeRecord returns the record that initializes a blank replica with a promised
// term and copies of values, or nil if it is already initialized. The copies are accepted
// under the promised term: a copy is no vote for the term that it was written under.
func (state *State) InitializeRecord(
	promised message.Term,
	accepted [message.Registers]message.AcceptedValue,
	chunks message.Chunks,
) *Record {
	if state.Initialized {
		return nil
	}
	record := &Record{Initialized: true}
	if promised.Number > 0 {
		record.Promised = &promised
	}
	for register := range accepted {
		if accepted[register].Term.Number > 0 || accepted[register].Value.Serial > 0 {
			accepted[register].Term = promised
			record.Then = append(record.Then, Record{Register: message.Register(register), Accepted: &accepted[register], Chunks: chunks})
		}
	}
	return record
}

// JoinRecord returns the record that initializes a replica as a voter of a membership, on
// a disk that has been there since the system's first start.
func (state *State) JoinRecord(membership message.AcceptedValue) (*Record, error) {
	if state.Initialized {
		return nil, rpc.Errorf(rpc.BadMessage, "replica is already initialized")
	}
	record := &Record{Initialized: true, Register: message.MembersRegister, Accepted: &membership}
	if membership.Term.Number > 0 {
		record.Promised = &membership.Term
	}
	return record, nil
}

// CommittedRecord returns the record that a register's accepted value is committed, or nil
// if that is already known or another value is accepted.
func (state *State) CommittedRecord(register message.Register, version message.Version) *Record {
	if state.Committed[register].Serial >= version.Serial || state.Accepted[register].Value.Serial != version.Serial {
		return nil
	}
	return &Record{Register: register, Committed: &version}
}
