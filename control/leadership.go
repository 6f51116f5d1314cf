package control

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rollout"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// Leadership is this core's leadership under one term, from its establishment until it ends.
// It is safe for concurrent use. Its mutex and the core's are never held at the same time.
type Leadership struct {
	core       *Core
	term       message.Term
	revocation *Revocation
	startedAt  time.Time
	inherited  [message.Registers]uint64 // serials of the inherited values
	promisedBy []int

	// writeLock is held during each write, so that writes are serialized.
	writeLock *concurrent.Lock
	// heartbeatDone is notified when a quorum has accepted a heartbeat, and when the leadership
	// ends.
	heartbeatDone *concurrent.Condition
	replacements  *Replacements

	// mutex guards the fields below.
	mutex               sync.Mutex
	ended               bool
	lameduck            bool
	successor           message.Leader
	values              [message.Registers]message.Value
	content             *settingsContent
	routing             *routing.State
	rollouts            *rollout.State
	responses           map[int]*message.HeartbeatResponse
	sendingTo           map[string]bool // addresses of cores that are being sent missing values
	lastQuorumAt        time.Time       // when the last heartbeat that a quorum accepted was sent
	heartbeatsSent      uint64
	heartbeatsConfirmed uint64
}

func newLeadership(establishment *Establishment, learners []string) *Leadership {
	leadership := &Leadership{
		core:          establishment.core,
		term:          establishment.term,
		revocation:    establishment.revocation,
		startedAt:     time.Now(),
		promisedBy:    slices.Sorted(maps.Keys(establishment.promises)),
		writeLock:     concurrent.NewLock(),
		heartbeatDone: concurrent.NewCondition(),
		replacements:  newReplacements(),
		values:        establishment.values,
		content:       establishment.content,
		routing:       establishment.routing,
		rollouts:      establishment.rollouts,
		responses:     map[int]*message.HeartbeatResponse{},
		sendingTo:     map[string]bool{},
	}
	for register, value := range establishment.values {
		leadership.inherited[register] = value.Serial
	}
	for _, address := range learners {
		leadership.replacements.addLearner(address)
	}
	return leadership
}

// end ends this leadership for good.
func (leadership *Leadership) end() {
	leadership.mutex.Lock()
	leadership.ended = true
	leadership.mutex.Unlock()
	leadership.heartbeatDone.Notify()
}

// value returns the newest value of a register.
func (leadership *Leadership) value(register message.Register) message.Value {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.values[register]
}

func (leadership *Leadership) settings() *settingsContent {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.content
}

// snapshot returns the newest values of all registers and the chunks of the settings.
func (leadership *Leadership) snapshot() ([message.Registers]message.Value, message.Chunks) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.values, leadership.content.chunks
}

// isLameduck reports whether this leadership is being handed over.
func (leadership *Leadership) isLameduck() bool {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.lameduck
}

// check returns nil while every condition of the leadership holds, measured by the monotonic
// clock, and otherwise NotLeader or Lameduck.
func (leadership *Leadership) check() error {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	switch {
	case leadership.ended:
		return rpc.Errorf(rpc.NotLeader, "the leadership of term %s has ended", leadership.term)
	case leadership.lameduck:
		return &rpc.Error{Code: rpc.Lameduck, Message: "the leader is stepping down", Leader: leadership.successor.Address}
	case time.Since(leadership.lastQuorumAt) > leadership.core.config.SuspicionTimeout:
		return rpc.Errorf(rpc.NotLeader, "no majority accepted a heartbeat within the suspicion time-out")
	}
	return nil
}

// conditions returns the conditions of the leadership, which are shown to operators.
func (leadership *Leadership) conditions() []message.Condition {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	sinceQuorum := time.Since(leadership.lastQuorumAt)
	settings, reports := leadership.inherited[message.SettingsRegister], leadership.inherited[message.ReportsRegister]
	return []message.Condition{
		{
			Name:   RevokedCondition,
			Holds:  leadership.revocation.Complete,
			Detail: string(leadership.revocation.Method) + ", ballot " + leadership.revocation.Revoked.String(),
		},
		{
			Name:   PromisedCondition,
			Holds:  !leadership.ended,
			Detail: fmt.Sprintf("ballot %s at cores %v", leadership.term, leadership.promisedBy),
		},
		{
			Name:   RewrittenCondition,
			Holds:  !leadership.ended,
			Detail: fmt.Sprintf("settings from serial %d, reports from %d", settings, reports),
		},
		{
			Name:   HeartbeatCondition,
			Holds:  sinceQuorum <= leadership.core.config.SuspicionTimeout,
			Detail: sinceQuorum.Round(time.Millisecond).String() + " ago",
		},
	}
}

// proposal is the next value of a register. If accepted is set, it is called with the
// leadership's mutex held once a quorum has accepted the value.
type proposal struct {
	value    message.Value
	chunks   message.Chunks
	accepted func()
}

// write replicates a new value of a register and returns its serial. Build makes it from the
// current value; if it returns nil, nothing is written and write returns 0. If no quorum
// accepts a value that was sent, its outcome is unknown and the leadership ends.
func (leadership *Leadership) write(register message.Register, build func(current message.Value) (*proposal, error)) (uint64, error) {
	if err := leadership.check(); err != nil {
		return 0, err
	}
	leadership.writeLock.Lock()
	defer leadership.writeLock.Unlock()
	if err := leadership.check(); err != nil {
		return 0, err
	}
	current := leadership.value(register)
	next, err := build(current)
	if err != nil || next == nil {
		return 0, err
	}
	if err := leadership.replicate(register, current, next); err != nil {
		return 0, err
	}
	core := leadership.core
	core.commit(register, message.AcceptedValue{Term: leadership.term, Value: next.value}, next.chunks)
	return next.value.Serial, nil
}

// writeState encodes and writes the state that build returns as a register's next value. It
// returns the serial, the current one if build returns nil. Accepted is called with the state
// and the leadership's mutex held once a quorum has accepted it.
func writeState[State any](
	leadership *Leadership,
	register message.Register,
	build func() (*State, error),
	accepted func(next *State),
) (uint64, error) {
	currentSerial := uint64(0)
	serial, err := leadership.write(register, func(current message.Value) (*proposal, error) {
		currentSerial = current.Serial
		next, err := build()
		if err != nil || next == nil {
			return nil, err
		}
		body, err := rpc.Marshal(next)
		if err != nil {
			return nil, err
		}
		value := message.Value{Serial: current.Serial + 1, Body: body}
		return &proposal{value: value, accepted: func() { accepted(next) }}, nil
	})
	if err == nil && serial == 0 {
		serial = currentSerial
	}
	return serial, err
}

// replicate makes a quorum accept a value. The caller holds the write lock.
func (leadership *Leadership) replicate(register message.Register, current message.Value, next *proposal) error {
	core := leadership.core
	request := &message.AcceptRequest{
		Term:     leadership.term,
		Register: register,
		Value:    next.value,
		Chunks:   addedChunks(next.value, current, next.chunks),
	}
	if err := core.replicate(core.membership(), request, next.chunks); err != nil {
		core.counters.Add("write_unknown", 1)
		core.endLeadership(leadership)
		return rpc.Errorf(rpc.OutcomeUnknown, "%w", err)
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.values[register] = next.value
	if next.accepted != nil {
		next.accepted()
	}
	return nil
}

// writeSettings writes the settings that build derives from the current ones.
func (leadership *Leadership) writeSettings(build func(current *settingsContent) (*settingsContent, error)) (uint64, error) {
	return leadership.write(message.SettingsRegister, func(message.Value) (*proposal, error) {
		next, err := build(leadership.settings())
		if err != nil || next == nil {
			return nil, err
		}
		value := next.value()
		return &proposal{value: value, chunks: next.chunks, accepted: func() { leadership.content = next }}, nil
	})
}

// confirm waits until a quorum has accepted a heartbeat that was sent after the call, which
// proves that no other core led until then. It returns NoLeader after the time-out.
func (leadership *Leadership) confirm(timeout time.Duration) error {
	leadership.mutex.Lock()
	needed := leadership.heartbeatsSent + 1
	leadership.mutex.Unlock()
	deadline := time.Now().Add(timeout)
	for {
		seen := leadership.heartbeatDone.Count()
		if err := leadership.check(); err != nil && rpc.CodeOf(err) != rpc.Lameduck {
			return err
		}
		leadership.mutex.Lock()
		confirmed := leadership.heartbeatsConfirmed >= needed
		leadership.mutex.Unlock()
		if confirmed {
			return nil
		}
		if !leadership.heartbeatDone.Wait(seen, time.Until(deadline)) {
			return rpc.Errorf(rpc.NoLeader, "no quorum accepted a heartbeat within %v", timeout)
		}
	}
}

// confirmDecision returns a decision that needed no write, once the leadership is confirmed
// after it, and otherwise why the leadership is not confirmed.
func (leadership *Leadership) confirmDecision(decision error) error {
	if err := leadership.confirm(leadership.core.callTimeout()); err != nil {
		return err
	}
	return decision
}
