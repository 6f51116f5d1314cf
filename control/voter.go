package control

import (
	"sync/atomic"
	"time"

	"orchidjunction/run"
	"orchidjunction/wire"
)

// Voter is the part of a core that promises ballots and accepts values, synced
// before it answers. Reads see the last synced state without waiting for the disk.
type Voter struct {
	turn   *run.Turn
	store  *Store
	synced atomic.Pointer[State]
	fault  func(error)
	raised func(wire.Ballot)
	learns func(wire.Accepted)

	writing atomic.Pointer[time.Time]
}

// NewVoter calls raised when the promise rises.
func NewVoter(store *Store, fault func(error), raised func(wire.Ballot)) *Voter {
	voter := &Voter{turn: run.NewTurn(), store: store, fault: fault, raised: raised, learns: func(wire.Accepted) {}}
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
	before, members := voter.store.state.Promised, voter.store.state.Accepted[wire.MembersRegister].Mark()
	if mishap := voter.written(func() error { return voter.store.Append(step) }); mishap != nil {
		voter.fault(mishap)
		return mishap
	}
	voter.publish()
	if after := voter.store.state.Promised; before != after {
		voter.raised(after)
	}
	if after := voter.store.state.Accepted[wire.MembersRegister]; after.Mark() != members {
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
		return wire.New(wire.DiskFault, "the disk does not answer")
	}
	voter.turn.Take()
	return nil
}

// ready is nil while this core may vote; within the turn.
func (voter *Voter) ready() error {
	if !voter.store.state.Founded {
		return wire.New(wire.Blank, "not restored yet")
	}
	return voter.store.Fault()
}

// Promise grants a ballot that is not older than those promised before, unless the
// asker counts by an older membership than the one accepted here.
func (voter *Voter) Promise(message *wire.Promise) (*wire.PromiseTold, error) {
	if mishap := voter.enter(); mishap != nil {
		return nil, mishap
	}
	defer voter.turn.Give()
	if mishap := voter.ready(); mishap != nil {
		return nil, mishap
	}
	state, ballot := &voter.store.state, message.Ballot
	if members := state.Accepted[wire.MembersRegister]; wire.Supersedes(members, message.Members) {
		return &wire.PromiseTold{Promised: state.Promised, Members: members}, nil
	}
	if ballot.Less(state.Promised) {
		return &wire.PromiseTold{Promised: state.Promised}, nil
	}
	if state.Promised.Less(ballot) {
		if mishap := voter.keep(record{Promised: &ballot}); mishap != nil {
			return nil, mishap
		}
	}
	return &wire.PromiseTold{Granted: true, Promised: ballot, Accepted: state.Accepted}, nil
}

func (voter *Voter) Accept(message *wire.Accept) (*wire.AcceptTold, error) {
	if mishap := voter.enter(); mishap != nil {
		return nil, mishap
	}
	defer voter.turn.Give()
	if mishap := voter.ready(); mishap != nil {
		return nil, mishap
	}
	state := &voter.store.state
	if message.Ballot.Less(state.Promised) {
		return &wire.AcceptTold{Promised: state.Promised}, nil
	}
	held := state.Accepted[message.Register].Mark()
	offered := wire.Mark{Ballot: message.Ballot, Serial: message.Value.Serial}
	if held == offered {
		return &wire.AcceptTold{Taken: true, Promised: state.Promised}, nil
	}
	if offered.Less(held) {
		return &wire.AcceptTold{Promised: state.Promised}, nil
	}
	if lacks := wire.Lacks(message.Value.Parts, state.Texts, message.Texts); len(lacks) > 0 {
		return &wire.AcceptTold{Promised: state.Promised, Lacks: lacks}, nil
	}
	step := record{Register: message.Register, Accepted: &wire.Accepted{Ballot: message.Ballot, Value: message.Value}, Texts: wire.Texts{}}
	for _, part := range message.Value.Parts {
		if state.Texts[part.Digest] == nil {
			step.Texts[part.Digest] = message.Texts[part.Digest]
		}
	}
	if state.Promised.Less(message.Ballot) {
		step.Promised = &message.Ballot
	}
	if mishap := voter.keep(step); mishap != nil {
		return nil, mishap
	}
	return &wire.AcceptTold{Taken: true, Promised: state.Promised}, nil
}

// Found makes a blank disk a voter with what the others hold, accepted under its
// own ballot: a copy is no vote for the ballot that it was written under.
func (voter *Voter) Found(promised wire.Ballot, accepted [wire.Registers]wire.Accepted, texts wire.Texts) error {
	voter.turn.Take()
	defer voter.turn.Give()
	if voter.store.state.Founded {
		return nil
	}
	step := record{Founded: true}
	if promised.Round > 0 {
		step.Promised = &promised
	}
	for register := range accepted {
		if accepted[register].Ballot.Round > 0 || accepted[register].Value.Serial > 0 {
			accepted[register].Ballot = promised
			step.Then = append(step.Then, record{Register: wire.Register(register), Accepted: &accepted[register], Texts: texts})
		}
	}
	return voter.keep(step)
}

// Open marks a blank disk as one of the system's first start.
func (voter *Voter) Open() error {
	voter.turn.Take()
	defer voter.turn.Give()
	return voter.keep(record{Opening: true})
}

// Enrol makes a disk of the system's first start a voter under the membership that
// it was told.
func (voter *Voter) Enrol(members wire.Accepted) error {
	voter.turn.Take()
	defer voter.turn.Give()
	if voter.store.state.Founded {
		return wire.New(wire.BadMessage, "votes already")
	}
	step := record{Founded: true, Register: wire.MembersRegister, Accepted: &members}
	if members.Ballot.Round > 0 {
		step.Promised = &members.Ballot
	}
	return voter.keep(step)
}

// Committed keeps that a register's accepted value is known to be committed, so
// that it can be served after a restart before anybody leads.
func (voter *Voter) Committed(register wire.Register, mark wire.Mark) {
	voter.turn.Take()
	defer voter.turn.Give()
	state := &voter.store.state
	if state.Committed[register].Serial < mark.Serial && state.Accepted[register].Value.Serial == mark.Serial {
		_ = voter.keep(record{Register: register, Committed: &mark}) // its fault is reported by keep; the mark only saves a survey
	}
}

// Repair makes a store that refused a step take steps again.
func (voter *Voter) Repair() error {
	voter.turn.Take()
	defer voter.turn.Give()
	return voter.written(voter.store.Repair)
}

func (voter *Voter) Close() {
	voter.turn.Take()
	defer voter.turn.Give()
	voter.store.Close()
}
