// Package replica is a core's durable part in the agreement: a Replica answers the
// requests of candidates and leaders by the rules of package consensus, and each of its
// answers is on disk (Store) before it is given.
package replica

import (
	"sync/atomic"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// stallTimeout is how long the disk may take for one record until callers are refused
// instead of waiting for it.
const stallTimeout = 500 * time.Millisecond

// Callbacks tell the owner of a Replica what changed. They are called by the goroutine
// that caused the change, while it holds the replica's lock, and must not call the
// replica's methods that write.
type Callbacks struct {
	// DiskFailed is called when the disk refused a record.
	DiskFailed func(err error)
	// PromiseRaised is called when the replica has promised a newer term.
	PromiseRaised func(term message.Term)
	// MembershipAccepted is called when the replica has accepted another membership.
	MembershipAccepted func(accepted message.AcceptedValue)
}

// Replica promises terms and accepts values. It is safe for concurrent use; State, Blank
// and Stalled do not wait for the disk.
type Replica struct {
	lock      *concurrent.Lock
	store     *Store
	published atomic.Pointer[consensus.State]
	callbacks Callbacks

	writingSince atomic.Pointer[time.Time]
}

// New returns a Replica that keeps its state in a store.
func New(store *Store, callbacks Callbacks) *Replica {
	replica := &Replica{lock: concurrent.NewLock(), store: store, callbacks: callbacks}
	replica.publish()
	return replica
}

func (replica *Replica) publish() {
	state := replica.store.state
	replica.published.Store(&state)
}

// State returns the last durable state. It must not be changed.
func (replica *Replica) State() *consensus.State { return replica.published.Load() }

// Blank reports whether the disk holds no initialized replica, which may not vote.
func (replica *Replica) Blank() bool { return !replica.State().Initialized }

// Stalled reports whether the disk has not answered for so long that nobody should wait.
func (replica *Replica) Stalled() bool {
	since := replica.writingSince.Load()
	return since != nil && time.Since(*since) > stallTimeout
}

// Prepare answers a candidate's PrepareRequest.
func (replica *Replica) Prepare(request *message.PrepareRequest) (*message.PrepareResponse, error) {
	if err := replica.lockToVote(); err != nil {
		return nil, err
	}
	defer replica.lock.Unlock()
	response, record := replica.store.state.Prepare(request)
	if err := replica.append(record); err != nil {
		return nil, err
	}
	return response, nil
}

// Accept answers a leader's AcceptRequest.
func (replica *Replica) Accept(request *message.AcceptRequest) (*message.AcceptResponse, error) {
	if err := replica.lockToVote(); err != nil {
		return nil, err
	}
	defer replica.lock.Unlock()
	response, record := replica.store.state.Accept(request)
	if err := replica.append(record); err != nil {
		return nil, err
	}
	return response, nil
}

// lockToVote takes the lock if this replica may vote. Where the disk is stalled it
// returns an error at once: callers that ask again and again must not pile up behind it
// with what they brought.
func (replica *Replica) lockToVote() error {
	if replica.Stalled() {
		return rpc.Errorf(rpc.DiskFailure, "the disk does not answer")
	}
	replica.lock.Lock()
	err := replica.mayVote()
	if err != nil {
		replica.lock.Unlock()
	}
	return err
}

func (replica *Replica) mayVote() error {
	if !replica.store.state.Initialized {
		return rpc.Errorf(rpc.BlankDisk, "not restored yet")
	}
	return replica.store.Err()
}

// Initialize makes a blank disk a replica that has promised a term and accepted copies
// of values under it.
func (replica *Replica) Initialize(promised message.Term, accepted [message.Registers]message.AcceptedValue, chunks message.Chunks) error {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	return replica.append(replica.store.state.InitializeRecord(promised, accepted, chunks))
}

// MarkSinceBootstrap marks a blank disk as one of the system's first start.
func (replica *Replica) MarkSinceBootstrap() error {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	return replica.append(&consensus.Record{SinceBootstrap: true})
}

// Join makes a disk of the system's first start a voter under the membership that it was
// told.
func (replica *Replica) Join(membership message.AcceptedValue) error {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	record, err := replica.store.state.JoinRecord(membership)
	if err != nil {
		return err
	}
	return replica.append(record)
}

// MarkCommitted records that a register's accepted value is known to be committed, so
// that it can be served after a restart before anybody leads.
func (replica *Replica) MarkCommitted(register message.Register, version message.Version) {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	// An error is reported to DiskFailed; without the mark others are asked again.
	_ = replica.append(replica.store.state.CommittedRecord(register, version))
}

// append makes a record durable, publishes the new state and tells the owner what
// changed. The caller holds the lock. Nothing happens without a record.
func (replica *Replica) append(record *consensus.Record) error {
	if record == nil {
		return nil
	}
	before := replica.State()
	if err := replica.timed(func() error { return replica.store.Append(*record) }); err != nil {
		replica.callbacks.DiskFailed(err)
		return err
	}
	replica.publish()
	after := replica.State()
	if before.Promised != after.Promised {
		replica.callbacks.PromiseRaised(after.Promised)
	}
	accepted := after.Accepted[message.MembersRegister]
	if accepted.Version() != before.Accepted[message.MembersRegister].Version() {
		replica.callbacks.MembershipAccepted(accepted)
	}
	return nil
}

// timed runs one operation of the disk, whose duration Stalled sees.
func (replica *Replica) timed(operation func() error) error {
	now := time.Now()
	replica.writingSince.Store(&now)
	defer replica.writingSince.Store(nil)
	return operation()
}

// Err returns why the store accepts nothing now, nil while it does.
func (replica *Replica) Err() error { return replica.store.Err() }

// Repair makes a store that refused a record accept records again.
func (replica *Replica) Repair() error {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	return replica.timed(replica.store.Repair)
}

// Store returns the store that holds the state.
func (replica *Replica) Store() *Store { return replica.store }

// Close closes the store.
func (replica *Replica) Close() {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	replica.store.Close()
}
