package control

import (
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/route"
	"orchidjunction/rpc"
)

// Leadership lives from one establishment to the next revocation.
type Leadership struct {
	core       *Core
	term       message.Term
	revocation *Revocation
	since      time.Time
	rewritten  [message.Registers]uint64
	promised   []int

	writeLock *concurrent.Lock

	mutex               sync.Mutex
	ended               bool
	lameduck            bool
	successor           message.Leader
	lastQuorum          time.Time
	values              [message.Registers]message.Value
	content             *content
	routing             *route.Book
	responses           map[int]*message.HeartbeatResponse
	heartbeatDone       *concurrent.Condition
	heartbeatsSent      uint64
	heartbeatsConfirmed uint64

	replacements *Replacements
}

func newLeadership(core *Core, term message.Term, establishment *Establishment) *Leadership {
	leadership := &Leadership{core: core, term: term, revocation: establishment.revocation, since: time.Now(), content: establishment.content, routing: establishment.routing,
		responses: map[int]*message.HeartbeatResponse{}, heartbeatDone: concurrent.NewCondition(), writeLock: concurrent.NewLock(), replacements: newReplacements()}
	for _, address := range establishment.learners {
		leadership.replacements.addLearner(address)
	}
	for register := range establishment.newest {
		leadership.values[register] = establishment.newest[register].Value
		leadership.rewritten[register] = establishment.newest[register].Value.Serial
	}
	for id := range establishment.promises {
		leadership.promised = append(leadership.promised, id)
	}
	sort.Ints(leadership.promised)
	return leadership
}

// end is a revocation of this leadership; it never holds again.
func (leadership *Leadership) end() {
	leadership.mutex.Lock()
	leadership.ended = true
	leadership.mutex.Unlock()
	leadership.heartbeatDone.Notify()
}

func (leadership *Leadership) value(register message.Register) message.Value {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.values[register]
}

// check is nil while every condition stands, by the monotonic clock.
func (leadership *Leadership) check() error {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	switch {
	case leadership.ended:
		return &rpc.Error{Code: rpc.NotLeader, Message: "leadership " + leadership.term.String() + " ended"}
	case leadership.lameduck:
		return &rpc.Error{Code: rpc.Lameduck, Message: "stepping down", Leader: leadership.successor.Address}
	case time.Since(leadership.lastQuorum) > leadership.core.config.SuspicionTimeout:
		return &rpc.Error{Code: rpc.NotLeader, Message: "no majority took a beat lately"}
	}
	return nil
}

func (leadership *Leadership) conditions() []message.Condition {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	since := time.Since(leadership.lastQuorum)
	return []message.Condition{
		{Name: RevokedCondition, Holds: leadership.revocation.Complete, Detail: string(leadership.revocation.Method) + ", ballot " + leadership.revocation.Revoked.String()},
		{Name: PromisedCondition, Holds: !leadership.ended, Detail: fmt.Sprintf("ballot %s at cores %v", leadership.term, leadership.promised)},
		{Name: RewrittenCondition, Holds: !leadership.ended, Detail: fmt.Sprintf("settings from serial %d, reports from %d", leadership.rewritten[message.SettingsRegister], leadership.rewritten[message.ReportsRegister])},
		{Name: HeartbeatCondition, Holds: since <= leadership.core.config.SuspicionTimeout, Detail: since.Round(time.Millisecond).String() + " ago"},
	}
}

// settings is the content that the leadership's settings value stands for.
func (leadership *Leadership) settings() *content {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.content
}

// writeSettings writes the settings that build makes of the current ones.
func (leadership *Leadership) writeSettings(build func(now *content) (*content, error)) (uint64, error) {
	var next *content
	return leadership.write(message.SettingsRegister, func(message.Value) (*message.Value, message.Chunks, error) {
		made, err := build(leadership.settings())
		if err != nil || made == nil {
			return nil, nil, err
		}
		next = made
		value := next.value()
		return &value, next.chunks, nil
	}, func() { leadership.content = next })
}

// write puts the next value in the register; build sees the current one. Once
// sent, a write ends taken by a majority, or the leadership ends with it.
func (leadership *Leadership) write(register message.Register, build func(current message.Value) (*message.Value, message.Chunks, error), taken func()) (uint64, error) {
	if err := leadership.check(); err != nil {
		return 0, err
	}
	leadership.writeLock.Lock()
	defer leadership.writeLock.Unlock()
	if err := leadership.check(); err != nil {
		return 0, err
	}
	current := leadership.value(register)
	next, chunks, err := build(current)
	if err != nil || next == nil {
		return 0, err
	}
	request := &message.AcceptRequest{Term: leadership.term, Register: register, Value: *next, Chunks: newChunks(*next, current, chunks)}
	if err := leadership.core.replicate(leadership.core.membership(), request, chunks); err != nil {
		leadership.core.counters.Add("write_unknown", 1)
		leadership.core.endLeadership(leadership)
		return 0, &rpc.Error{Code: rpc.OutcomeUnknown, Message: err.Error()}
	}
	leadership.mutex.Lock()
	leadership.values[register] = *next
	taken()
	leadership.mutex.Unlock()
	leadership.core.commit(register, message.AcceptedValue{Term: leadership.term, Value: *next}, chunks)
	return next.Serial, nil
}

// inLameduck is whether this leadership is stepping down. Its mutex and the core's are
// never held at once.
func (leadership *Leadership) inLameduck() bool {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.lameduck
}

// heartbeat tells every voter and learner once; true when a quorum took it.
func (leadership *Leadership) heartbeat() bool {
	core, begin := leadership.core, time.Now()
	view := core.membership()
	number, request := leadership.nextHeartbeat(view)
	peers := append(slices.Clone(view.Peers), leadership.replacements.waitingLearners(learnerTimeouts*core.config.SuspicionTimeout, view)...)
	got, _ := concurrent.Gather(core.goroutines, len(peers), func(index int) (*message.HeartbeatResponse, error) {
		return leadership.heartbeatTo(peers[index], request)
	}, func(got map[int]*message.HeartbeatResponse, _ map[int]error) bool {
		return view.decides(acceptedHeartbeat(peers, got))
	})
	for _, answer := range got {
		if leadership.term.Less(answer.Promised) {
			core.observeTermNumber(answer.Promised.Number)
			core.endLeadership(leadership)
			return false
		}
	}
	if !view.decides(acceptedHeartbeat(peers, got)) || core.replica.State().Promised != leadership.term {
		return false
	}
	leadership.mutex.Lock()
	if leadership.lastQuorum.Before(begin) {
		leadership.lastQuorum = begin
	}
	leadership.heartbeatsConfirmed = max(leadership.heartbeatsConfirmed, number)
	leadership.mutex.Unlock()
	leadership.heartbeatDone.Notify()
	return true
}

// acceptedHeartbeat is which voters took a heartbeat, of the answers by the peers' places.
func acceptedHeartbeat(peers []Peer, got map[int]*message.HeartbeatResponse) func(id int) bool {
	return func(id int) bool {
		response := got[slices.IndexFunc(peers, func(peer Peer) bool { return peer.ID == id })]
		return response != nil && response.Accepted && response.Voter
	}
}

// nextHeartbeat is the next heartbeat and its number.
func (leadership *Leadership) nextHeartbeat(view *View) (uint64, *message.HeartbeatRequest) {
	table := leadership.core.Table().Version
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.heartbeatsSent++
	request := &message.HeartbeatRequest{Term: leadership.term, Leader: view.leader(leadership.term), Lameduck: leadership.lameduck, Successor: leadership.successor, Table: table}
	for register := range leadership.values {
		request.Committed[register] = message.Version{Term: leadership.term, Serial: leadership.values[register].Serial}
	}
	return leadership.heartbeatsSent, request
}

// heartbeatTo is one heartbeat to one core and what its answer tells.
func (leadership *Leadership) heartbeatTo(peer Peer, request *message.HeartbeatRequest) (*message.HeartbeatResponse, error) {
	core, asked := leadership.core, time.Now()
	response, err := rpc.Call[message.HeartbeatRequest, message.HeartbeatResponse](core.client, peer.Address, "beat", core.callTimeout(), core.withTime(peer, request))
	if err != nil {
		return nil, err
	}
	if peer.ID > 0 {
		core.observeClock(peer, response, time.Since(asked))
	}
	leadership.handleResponse(peer, response, request.Committed)
	return response, nil
}

// handleResponse keeps what a core told and sends it the values it lacks.
func (leadership *Leadership) handleResponse(peer Peer, response *message.HeartbeatResponse, committed message.Versions) {
	leadership.replacements.observeResponse(peer, response)
	leadership.mutex.Lock()
	if peer.ID > 0 {
		leadership.responses[peer.ID] = response
	}
	values, now := leadership.values, leadership.content
	leadership.mutex.Unlock()
	if !response.Accepted || !response.Voter || response.RefusesWrites {
		return
	}
	for register := range committed {
		if response.Versions[register].Less(committed[register]) {
			leadership.core.counters.Add("copies_mended", 1)
			value := &message.AcceptRequest{Term: leadership.term, Register: message.Register(register), Value: values[register]}
			answer, err := leadership.core.offerTo(peer, value, now.chunks, leadership.core.callTimeout())
			if err != nil || !answer.Accepted { // its next answer to a beat shows that it still lacks it
				leadership.core.counters.Add("copies_not_mended", 1)
			}
		}
	}
}

// confirm waits until a beat begun after the call was taken by a majority.
func (leadership *Leadership) confirm(limit time.Duration) error {
	leadership.mutex.Lock()
	need := leadership.heartbeatsSent + 1
	leadership.mutex.Unlock()
	until := time.Now().Add(limit)
	for {
		seen := leadership.heartbeatDone.Count()
		if err := leadership.check(); err != nil && rpc.CodeOf(err) != rpc.Lameduck {
			return err
		}
		leadership.mutex.Lock()
		done := leadership.heartbeatsConfirmed >= need
		leadership.mutex.Unlock()
		if done {
			return nil
		}
		if !leadership.heartbeatDone.Wait(seen, time.Until(until)) {
			return rpc.Errorf(rpc.NoLeader, "no beat confirmed in %v", limit)
		}
	}
}

// bestSuccessor is the best core to step down to: newest register, then reach, then id.
func (leadership *Leadership) bestSuccessor(passed map[int]bool) (Peer, bool) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	best, found := Peer{}, false
	view := leadership.core.membership()
	for _, peer := range view.Peers {
		response := leadership.responses[peer.ID]
		if response == nil || !view.mayLead(peer.ID) || !response.Voter || !response.Accepted || response.RefusesWrites || passed[peer.ID] {
			continue
		}
		if !found || betterCandidate(response.Versions, response.Reachable, peer.ID, leadership.responses[best.ID].Versions, leadership.responses[best.ID].Reachable, best.ID) {
			best, found = peer, true
		}
	}
	return best, found
}

// betterCandidate is the rule for candidates.
func betterCandidate(versions message.Versions, reach, id int, otherMarks message.Versions, otherReach, otherID int) bool {
	if versions != otherMarks {
		return otherMarks.Less(versions)
	}
	if reach != otherReach {
		return reach > otherReach
	}
	return id > otherID
}
