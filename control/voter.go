package control

import (
	"sync/atomic"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Replica is the part of a core that promises ballots and accepts values, synced
// before it answers. Reads see the last synced state without waiting for the disk.
type Replica struct {
	lock         *concurrent.Lock
	store        *Store
	published    atomic.Pointer[State]
	onFailure    func(error)
	onPromise    func(message.Term)
	onMembership func(message.AcceptedValue)

	writingSince atomic.Pointer[time.Time]
}

// NewReplica calls raised when the promise rises.
func NewReplica(store *Store, err func(error), raised func(message.Term)) *Replica {
	voter := &Replica{lock: concurrent.NewLock(), store: store, onFailure: err, onPromise: raised, onMembership: func(message.AcceptedValue) {}}
	voter.publish()
	return voter
}

func (voter *Replica) publish() {
	state := voter.store.state
	voter.published.Store(&state)
}

func (voter *Replica) State() *State { return voter.published.Load() }

func (voter *Replica) Blank() bool { return !voter.State().Initialized }

// append appends within the turn and shows the new state.
func (voter *Replica) append(step Record) error {
	before, members := voter.store.state.Promised, voter.store.state.Accepted[message.MembersRegister].Version()
	if err := voter.timed(func() error { return voter.store.Append(step) }); err != nil {
		voter.onFailure(err)
		return err
	}
	voter.publish()
	if after := voter.store.state.Promised; before != after {
		voter.onPromise(after)
	}
	if after := voter.store.state.Accepted[message.MembersRegister]; after.Version() != members {
		voter.onMembership(after)
	}
	return nil
}

// timed is one step of the disk, whose length others can see.
func (voter *Replica) timed(step func() error) error {
	began := time.Now()
	voter.writingSince.Store(&began)
	defer voter.writingSince.Store(nil)
	return step()
}

// Stalled is whether the disk has not answered for so long that nobody should wait.
func (voter *Replica) Stalled() bool {
	began := voter.writingSince.Load()
	return began != nil && time.Since(*began) > stallTimeout
}

// lockUnlessStalled takes the turn, unless the disk is stalled: those who ask again and again
// must not pile up behind it with what they brought.
func (voter *Replica) lockUnlessStalled() error {
	if voter.Stalled() {
		return rpc.Errorf(rpc.DiskFailure, "the disk does not answer")
	}
	voter.lock.Lock()
	return nil
}

// checkReady is nil while this core may vote; within the turn.
func (voter *Replica) checkReady() error {
	if !voter.store.state.Initialized {
		return rpc.Errorf(rpc.BlankDisk, "not restored yet")
	}
	return voter.store.Err()
}

// Prepare grants a ballot that is not older than those promised before, unless the
// asker counts by an older membership than the one accepted here.
func (voter *Replica) Prepare(request *message.PrepareRequest) (*message.PrepareResponse, error) {
	if err := voter.lockUnlessStalled(); err != nil {
		return nil, err
	}
	defer voter.lock.Unlock()
	if err := voter.checkReady(); err != nil {
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
		if err := voter.append(Record{Promised: &term}); err != nil {
			return nil, err
		}
	}
	return &message.PrepareResponse{Granted: true, Promised: term, Accepted: state.Accepted}, nil
}

func (voter *Replica) Accept(request *message.AcceptRequest) (*message.AcceptResponse, error) {
	if err := voter.lockUnlessStalled(); err != nil {
		return nil, err
	}
	defer voter.lock.Unlock()
	if err := voter.checkReady(); err != nil {
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
	if missing := message.MissingChunks(request.Value.Chunks, state.Chunks, request.Chunks); len(missing) > 0 {
		return &message.AcceptResponse{Promised: state.Promised, Missing: missing}, nil
	}
	step := Record{Register: request.Register, Accepted: &message.AcceptedValue{Term: request.Term, Value: request.Value}, Chunks: message.Chunks{}}
	for _, part := range request.Value.Chunks {
		if state.Chunks[part.Digest] == nil {
			step.Chunks[part.Digest] = request.Chunks[part.Digest]
		}
	}
	if state.Promised.Less(request.Term) {
		step.Promised = &request.Term
	}
	if err := voter.append(step); err != nil {
		return nil, err
	}
	return &message.AcceptResponse{Accepted: true, Promised: state.Promised}, nil
}

// Initialize makes a blank disk a voter with what the others hold, accepted under its
// own ballot: a copy is no vote for the ballot that it was written under.
func (voter *Replica) Initialize(promised message.Term, accepted [message.Registers]message.AcceptedValue, chunks message.Chunks) error {
	voter.lock.Lock()
	defer voter.lock.Unlock()
	if voter.store.state.Initialized {
		return nil
	}
	step := Record{Initialized: true}
	if promised.Number > 0 {
		step.Promised = &promised
	}
	for register := range accepted {
		if accepted[register].Term.Number > 0 || accepted[register].Value.Serial > 0 {
			accepted[register].Term = promised
			step.Then = append(step.Then, Record{Register: message.Register(register), Accepted: &accepted[register], Chunks: chunks})
		}
	}
	return voter.append(step)
}

// MarkSinceBootstrap marks a blank disk as one of the system's first start.
func (voter *Replica) MarkSinceBootstrap() error {
	voter.lock.Lock()
	defer voter.lock.Unlock()
	return voter.append(Record{SinceBootstrap: true})
}

// Join makes a disk of the system's first start a voter under the membership that
// it was told.
func (voter *Replica) Join(members message.AcceptedValue) error {
	voter.lock.Lock()
	defer voter.lock.Unlock()
	if voter.store.state.Initialized {
		return rpc.Errorf(rpc.BadMessage, "votes already")
	}
	step := Record{Initialized: true, Register: message.MembersRegister, Accepted: &members}
	if members.Term.Number > 0 {
		step.Promised = &members.Term
	}
	return voter.append(step)
}

// MarkCommitted keeps that a register's accepted value is known to be committed, so
// that it can be served after a restart before anybody leads.
func (voter *Replica) MarkCommitted(register message.Register, version message.Version) {
	voter.lock.Lock()
	defer voter.lock.Unlock()
	state := &voter.store.state
	if state.Committed[register].Serial < version.Serial && state.Accepted[register].Value.Serial == version.Serial {
		_ = voter.append(Record{Register: register, Committed: &version}) // its fault is reported by keep; the mark only saves a survey
	}
}

// Repair makes a store that refused a step take steps again.
func (voter *Replica) Repair() error {
	voter.lock.Lock()
	defer voter.lock.Unlock()
	return voter.timed(voter.store.Repair)
}

func (voter *Replica) Close() {
	voter.lock.Lock()
	defer voter.lock.Unlock()
	voter.store.Close()
}
