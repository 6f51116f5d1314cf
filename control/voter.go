package control

import (
	"sync/atomic"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Voter is the part of a core that promises ballots and accepts values, synced
// before it answers. Reads see the last synced state without waiting for the disk.
type Voter struct {
	turn   *concurrent.Lock
	store  *Store
	synced atomic.Pointer[State]
	fault  func(error)
	raised func(message.Term)
	learns func(message.AcceptedValue)

	writing atomic.Pointer[time.Time]
}

// NewVoter calls raised when the promise rises.
func NewVoter(store *Store, err func(error), raised func(message.Term)) *Voter {
	voter := &Voter{turn: concurrent.NewLock(), store: store, fault: err, raised: raised, learns: func(message.AcceptedValue) {}}
	voter.publish()
	return voter
}

func (voter *Voter) publish() {
	state := voter.store.state
	voter.synced.Store(&state)
}

func (voter *Voter) State() *State { return voter.synced.Load() }

func (voter *Voter) Blank() bool { return !voter.State().Founded }

// keep appends within the turn and shows the new state.
func (voter *Voter) keep(step record) error {
	before, members := voter.store.state.Promised, voter.store.state.Accepted[message.MembersRegister].Version()
	if err := voter.written(func() error { return voter.store.Append(step) }); err != nil {
		voter.fault(err)
		return err
	}
	voter.publish()
	if after := voter.store.state.Promised; before != after {
		voter.raised(after)
	}
	if after := voter.store.state.Accepted[message.MembersRegister]; after.Version() != members {
		voter.learns(after)
	}
	return nil
}

// written is one step of the disk, whose length others can see.
func (voter *Voter) written(step func() error) error {
	began := time.Now()
	voter.writing.Store(&began)
	defer voter.writing.Store(nil)
	return step()
}

// Stalled is whether the disk has not answered for so long that nobody should wait.
func (voter *Voter) Stalled() bool {
	began := voter.writing.Load()
	return began != nil && time.Since(*began) > stallLimit
}

// enter takes the turn, unless the disk is stalled: those who ask again and again
// must not pile up behind it with what they brought.
func (voter *Voter) enter() error {
	if voter.Stalled() {
		return rpc.Errorf(rpc.DiskFailure, "the disk does not answer")
	}
	voter.turn.Lock()
	return nil
}

// ready is nil while this core may vote; within the turn.
func (voter *Voter) ready() error {
	if !voter.store.state.Founded {
		return rpc.Errorf(rpc.BlankDisk, "not restored yet")
	}
	return voter.store.Fault()
}

// Promise grants a ballot that is not older than those promised before, unless the
// asker counts by an older membership than the one accepted here.
func (voter *Voter) Promise(request *message.PrepareRequest) (*message.PrepareResponse, error) {
	if err := voter.enter(); err != nil {
		return nil, err
	}
	defer voter.turn.Unlock()
	if err := voter.ready(); err != nil {
		return nil, err
	}
	state, term := &voter.store.state, request.Term
	if members := state.Accepted[message.MembersRegister]; message.Supersedes(members, request.Membership) {
		return &message.PrepareResponse{Promised: state.Promised, Membership: members}, nil
	}
	if term.Less(state.Promised) {
		return &message.PrepareResponse{Promised: state.Promised}, nil
	}
	if state.Promised.Less(term) {
		if err := voter.keep(record{Promised: &term}); err != nil {
			return nil, err
		}
	}
	return &message.PrepareResponse{Granted: true, Promised: term, Accepted: state.Accepted}, nil
}

func (voter *Voter) Accept(request *message.AcceptRequest) (*message.AcceptResponse, error) {
	if err := voter.enter(); err != nil {
		return nil, err
	}
	defer voter.turn.Unlock()
	if err := voter.ready(); err != nil {
		return nil, err
	}
	state := &voter.store.state
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
	if lacks := message.MissingChunks(request.Value.Chunks, state.Texts, request.Chunks); len(lacks) > 0 {
		return &message.AcceptResponse{Promised: state.Promised, Missing: lacks}, nil
	}
	step := record{Register: request.Register, Accepted: &message.AcceptedValue{Term: request.Term, Value: request.Value}, Texts: message.Chunks{}}
	for _, part := range request.Value.Chunks {
		if state.Texts[part.Digest] == nil {
			step.Texts[part.Digest] = request.Chunks[part.Digest]
		}
	}
	if state.Promised.Less(request.Term) {
		step.Promised = &request.Term
	}
	if err := voter.keep(step); err != nil {
		return nil, err
	}
	return &message.AcceptResponse{Accepted: true, Promised: state.Promised}, nil
}

// Found makes a blank disk a voter with what the others hold, accepted under its
// own ballot: a copy is no vote for the ballot that it was written under.
func (voter *Voter) Found(promised message.Term, accepted [message.Registers]message.AcceptedValue, texts message.Chunks) error {
	voter.turn.Lock()
	defer voter.turn.Unlock()
	if voter.store.state.Founded {
		return nil
	}
	step := record{Founded: true}
	if promised.Number > 0 {
		step.Promised = &promised
	}
	for register := range accepted {
		if accepted[register].Term.Number > 0 || accepted[register].Value.Serial > 0 {
			accepted[register].Term = promised
			step.Then = append(step.Then, record{Register: message.Register(register), Accepted: &accepted[register], Texts: texts})
		}
	}
	return voter.keep(step)
}

// Open marks a blank disk as one of the system's first start.
func (voter *Voter) Open() error {
	voter.turn.Lock()
	defer voter.turn.Unlock()
	return voter.keep(record{Opening: true})
}

// Enrol makes a disk of the system's first start a voter under the membership that
// it was told.
func (voter *Voter) Enrol(members message.AcceptedValue) error {
	voter.turn.Lock()
	defer voter.turn.Unlock()
	if voter.store.state.Founded {
		return rpc.Errorf(rpc.BadMessage, "votes already")
	}
	step := record{Founded: true, Register: message.MembersRegister, Accepted: &members}
	if members.Term.Number > 0 {
		step.Promised = &members.Term
	}
	return voter.keep(step)
}

// Committed keeps that a register's accepted value is known to be committed, so
// that it can be served after a restart before anybody leads.
func (voter *Voter) Committed(register message.Register, version message.Version) {
	voter.turn.Lock()
	defer voter.turn.Unlock()
	state := &voter.store.state
	if state.Committed[register].Serial < version.Serial && state.Accepted[register].Value.Serial == version.Serial {
		_ = voter.keep(record{Register: register, Committed: &version}) // its fault is reported by keep; the mark only saves a survey
	}
}

// Repair makes a store that refused a step take steps again.
func (voter *Voter) Repair() error {
	voter.turn.Lock()
	defer voter.turn.Unlock()
	return voter.written(voter.store.Repair)
}

func (voter *Voter) Close() {
	voter.turn.Lock()
	defer voter.turn.Unlock()
	voter.store.Close()
}
