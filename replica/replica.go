// Package replica implements a core's durable replica: a Replica responds to candidates
// and leaders by the rules of package consensus, and stores its state (Store) before it
// responds.
package replica

import (
	"sync/atomic"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// stallTimeout is the duration of a disk operation after which new requests are rejected.
const stallTimeout = 500 * time.Millisecond

// Callbacks notify the owner of a Replica of changes. They are called while the replica's
// lock is held, by the goroutine that caused the change, and must not call methods that
// write.
type Callbacks struct {
	// DiskFailed is called when a record could not be stored.
	DiskFailed func(err error)
	// PromiseRaised is called when the replica has promised a newer term.
	PromiseRaised func(term message.Term)
	// MembershipAccepted is called when the replica has accepted another membership.
	MembershipAccepted func(accepted message.AcceptedValue)
}

// Replica promises terms and accepts values. It is safe for concurrent use. State, Blank
// and Stalled never wait for the disk.
type Replica struct {
	lock      *concurrent.Lock
	store     *Store
	published atomic.Pointer[consensus.State]
	callbacks Callbacks

	// writingSince is the start of the current disk operation, or nil.
	writingSince atomic.Pointer[time.Time]
}

// New returns a Replica that stores its state in the given store.
func New(store *Store, callbacks Callbacks) *Replica {
	replica := &Replica{lock: concurrent.NewLock(), store: store, callbacks: callbacks}
	replica.publish()
	return replica
}

func (replica *Replica) publish() {
	state := replica.store.state
	replica.published.Store(&state)
}

// State returns the last durable state, which the caller must not change.
func (replica *Replica) State() *consensus.State { return replica.published.Load() }

// Blank reports whether the replica is not initialized, so that it may not vote.
func (replica *Replica) Blank() bool { return !replica.State().Initialized }

// Stalled reports whether the current disk operation has taken longer than stallTimeout.
func (replica *Replica) Stalled() bool {
	since := replica.writingSince.Load()
	return since != nil && time.Since(*since) > stallTimeout
}

// Prepare handles a candidate's PrepareRequest.
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

// Accept handles a leader's AcceptRequest.
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

// lockToVote acquires the lock if this replica may vote. It fails at once if the disk is
// stalled, so that repeated requests with their payloads don't pile up.
func (replica *Replica) lockToVote() error {
	if replica.Stalled() {
		return rpc.Errorf(rpc.DiskFailure, "disk is not responding")
	}
	replica.lock.Lock()
	err := replica.checkMayVote()
	if err != nil {
		replica.lock.Unlock()
	}
	return err
}

func (replica *Replica) checkMayVote() error {
	if !replica.store.state.Initialized {
		return rpc.Errorf(rpc.BlankDisk, "replica is not initialized")
	}
	return replica.store.Err()
}

// Initialize initializes a blank replica with a promised term and copies of values, which
// it accepts under that term.
func (replica *Replica) Initialize(promised message.Term, accepted [message.Registers]message.AcceptedValue, chunks message.Chunks) error {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	return replica.append(replica.store.state.InitializeRecord(promised, accepted, chunks))
}

// MarkSinceBootstrap records that the disk has been there since the system's first start.
func (replica *Replica) MarkSinceBootstrap() error {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	return replica.append(&consensus.Record{SinceBootstrap: true})
}

// Join initializes the replica as a voter of a membership, on a disk that has been there
// since the system's first start.
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
// that it can be served after a restart before there is a leader.
func (replica *Replica) MarkCommitted(register message.Register, version message.Version) {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	// An error is reported to DiskFailed. Without the record, other cores are asked again.
	_ = replica.append(replica.store.state.CommittedRecord(register, version))
}

// append stores a record, publishes the new state and calls the callbacks. It ignores a
// nil record. The caller holds the lock.
func (replica *Replica) append(record *consensus.Record) error {
	if record == nil {
		return nil
	}
	before := replica.State()
	if err := replica.trackDuration(func() error { return replica.store.Append(*record) }); err != nil {
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

// trackDuration runs a disk operation and records its start for Stalled.
func (replica *Replica) trackDuration(operation func() error) error {
	now := time.Now()
	replica.writingSince.Store(&now)
	defer replica.writingSince.Store(nil)
	return operation()
}

// Err returns the error that keeps the store from accepting records, or nil.
func (replica *Replica) Err() error { return replica.store.Err() }

// Repair makes the store accept records again after an error.
func (replica *Replica) Repair() error {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	return replica.trackDuration(replica.store.Repair)
}

// Store returns the store of the replica's state.
func (replica *Replica) Store() *Store { return replica.store }

// Close closes the store.
func (replica *Replica) Close() {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	replica.store.Close()
}
