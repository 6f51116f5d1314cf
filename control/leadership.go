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
	ballot     message.Term
	revocation *Revocation
	since      time.Time
	rewritten  [message.Registers]uint64
	promised   []int

	writes *concurrent.Lock

	mutex     sync.Mutex
	ended     bool
	duck      bool
	successor message.Leader
	majority  time.Time
	values    [message.Registers]message.Value
	content   *content
	routing   *route.Book
	reports   map[int]*message.HeartbeatResponse
	confirmed *concurrent.Condition
	started   uint64
	finished  uint64

	succession *Succession
}

func newLeadership(core *Core, term message.Term, establishment *Establishment) *Leadership {
	leadership := &Leadership{core: core, ballot: term, revocation: establishment.revocation, since: time.Now(), content: establishment.content, routing: establishment.routing,
		reports: map[int]*message.HeartbeatResponse{}, confirmed: concurrent.NewCondition(), writes: concurrent.NewLock(), succession: newSuccession()}
	for _, address := range establishment.learners {
		leadership.succession.enlisted(address)
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
	leadership.confirmed.Notify()
}

func (leadership *Leadership) value(register message.Register) message.Value {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.values[register]
}

// holds is nil while every condition stands, by the monotonic clock.
func (leadership *Leadership) holds() error {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	switch {
	case leadership.ended:
		return &rpc.Error{Code: rpc.NotLeader, Message: "leadership " + leadership.ballot.String() + " ended"}
	case leadership.duck:
		return &rpc.Error{Code: rpc.Lameduck, Message: "stepping down", Leader: leadership.successor.Address}
	case time.Since(leadership.majority) > leadership.core.place.Suspect:
		return &rpc.Error{Code: rpc.NotLeader, Message: "no majority took a beat lately"}
	}
	return nil
}

func (leadership *Leadership) conditions() []message.Condition {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	since := time.Since(leadership.majority)
	return []message.Condition{
		{Name: RevokedCondition, Holds: leadership.revocation.Complete, Detail: string(leadership.revocation.Method) + ", ballot " + leadership.revocation.Revoked.String()},
		{Name: PromisedCondition, Holds: !leadership.ended, Detail: fmt.Sprintf("ballot %s at cores %v", leadership.ballot, leadership.promised)},
		{Name: RewrittenCondition, Holds: !leadership.ended, Detail: fmt.Sprintf("settings from serial %d, reports from %d", leadership.rewritten[message.SettingsRegister], leadership.rewritten[message.ReportsRegister])},
		{Name: BeatingCondition, Holds: since <= leadership.core.place.Suspect, Detail: since.Round(time.Millisecond).String() + " ago"},
	}
}

// settings is the content that the leadership's settings value stands for.
func (leadership *Leadership) settings() *content {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.content
}

// change writes the settings that build makes of the current ones.
func (leadership *Leadership) change(build func(now *content) (*content, error)) (uint64, error) {
	var next *content
	return leadership.write(message.SettingsRegister, func(message.Value) (*message.Value, message.Chunks, error) {
		made, err := build(leadership.settings())
		if err != nil || made == nil {
			return nil, nil, err
		}
		next = made
		value := next.value()
		return &value, next.texts, nil
	}, func() { leadership.content = next })
}

// write puts the next value in the register; build sees the current one. Once
// sent, a write ends taken by a majority, or the leadership ends with it.
func (leadership *Leadership) write(register message.Register, build func(current message.Value) (*message.Value, message.Chunks, error), taken func()) (uint64, error) {
	if err := leadership.holds(); err != nil {
		return 0, err
	}
	leadership.writes.Lock()
	defer leadership.writes.Unlock()
	if err := leadership.holds(); err != nil {
		return 0, err
	}
	current := leadership.value(register)
	next, texts, err := build(current)
	if err != nil || next == nil {
		return 0, err
	}
	request := &message.AcceptRequest{Term: leadership.ballot, Register: register, Value: *next, Chunks: fresh(*next, current, texts)}
	if err := leadership.core.pushValue(leadership.core.members(), request, texts); err != nil {
		leadership.core.counters.Add("write_unknown", 1)
		leadership.core.revoke(leadership)
		return 0, &rpc.Error{Code: rpc.OutcomeUnknown, Message: err.Error()}
	}
	leadership.mutex.Lock()
	leadership.values[register] = *next
	taken()
	leadership.mutex.Unlock()
	leadership.core.commit(register, message.AcceptedValue{Term: leadership.ballot, Value: *next}, texts)
	return next.Serial, nil
}

// ducks is whether this leadership is stepping down. Its mutex and the core's are
// never held at once.
func (leadership *Leadership) ducks() bool {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.duck
}

// beat tells every voter and learner once; true when a quorum took it.
func (leadership *Leadership) beat() bool {
	core, begin := leadership.core, time.Now()
	view := core.members()
	number, request := leadership.nextBeat(view)
	peers := append(slices.Clone(view.Peers), leadership.succession.waiting(learnerSpan*core.place.Suspect, view)...)
	got, _ := concurrent.Gather(core.goroutines, len(peers), func(index int) (*message.HeartbeatResponse, error) {
		return leadership.beatTo(peers[index], request)
	}, func(got map[int]*message.HeartbeatResponse, _ map[int]error) bool {
		return view.decides(took(peers, got))
	})
	for _, answer := range got {
		if leadership.ballot.Less(answer.Promised) {
			core.sawRound(answer.Promised.Number)
			core.revoke(leadership)
			return false
		}
	}
	if !view.decides(took(peers, got)) || core.voter.State().Promised != leadership.ballot {
		return false
	}
	leadership.mutex.Lock()
	if leadership.majority.Before(begin) {
		leadership.majority = begin
	}
	leadership.finished = max(leadership.finished, number)
	leadership.mutex.Unlock()
	leadership.confirmed.Notify()
	return true
}

// took is which voters took a heartbeat, of the answers by the peers' places.
func took(peers []Peer, got map[int]*message.HeartbeatResponse) func(id int) bool {
	return func(id int) bool {
		response := got[slices.IndexFunc(peers, func(peer Peer) bool { return peer.ID == id })]
		return response != nil && response.Accepted && response.Voter
	}
}

// nextBeat is the next heartbeat and its number.
func (leadership *Leadership) nextBeat(view *View) (uint64, *message.HeartbeatRequest) {
	table := leadership.core.Table().Version
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.started++
	request := &message.HeartbeatRequest{Term: leadership.ballot, Leader: view.leader(leadership.ballot), Lameduck: leadership.duck, Successor: leadership.successor, Table: table}
	for register := range leadership.values {
		request.Committed[register] = message.Version{Term: leadership.ballot, Serial: leadership.values[register].Serial}
	}
	return leadership.started, request
}

// beatTo is one heartbeat to one core and what its answer tells.
func (leadership *Leadership) beatTo(peer Peer, request *message.HeartbeatRequest) (*message.HeartbeatResponse, error) {
	core, asked := leadership.core, time.Now()
	response, err := rpc.Call[message.HeartbeatRequest, message.HeartbeatResponse](core.line, peer.Address, "beat", core.roundLimit(), core.beatFor(peer, request))
	if err != nil {
		return nil, err
	}
	if peer.ID > 0 {
		core.sawClock(peer, response, time.Since(asked))
	}
	leadership.note(peer, response, request.Committed)
	return response, nil
}

// note keeps what a core told and sends it the values it lacks.
func (leadership *Leadership) note(peer Peer, response *message.HeartbeatResponse, committed message.Versions) {
	leadership.succession.heard(peer, response)
	leadership.mutex.Lock()
	if peer.ID > 0 {
		leadership.reports[peer.ID] = response
	}
	values, now := leadership.values, leadership.content
	leadership.mutex.Unlock()
	if !response.Accepted || !response.Voter || response.RefusesWrites {
		return
	}
	for register := range committed {
		if response.Versions[register].Less(committed[register]) {
			leadership.core.counters.Add("copies_mended", 1)
			value := &message.AcceptRequest{Term: leadership.ballot, Register: message.Register(register), Value: values[register]}
			answer, err := leadership.core.offerTo(peer, value, now.texts, leadership.core.roundLimit())
			if err != nil || !answer.Accepted { // its next answer to a beat shows that it still lacks it
				leadership.core.counters.Add("copies_not_mended", 1)
			}
		}
	}
}

// confirm waits until a beat begun after the call was taken by a majority.
func (leadership *Leadership) confirm(limit time.Duration) error {
	leadership.mutex.Lock()
	need := leadership.started + 1
	leadership.mutex.Unlock()
	until := time.Now().Add(limit)
	for {
		seen := leadership.confirmed.Count()
		if err := leadership.holds(); err != nil && rpc.CodeOf(err) != rpc.Lameduck {
			return err
		}
		leadership.mutex.Lock()
		done := leadership.finished >= need
		leadership.mutex.Unlock()
		if done {
			return nil
		}
		if !leadership.confirmed.Wait(seen, time.Until(until)) {
			return rpc.Errorf(rpc.NoLeader, "no beat confirmed in %v", limit)
		}
	}
}

// heir is the best core to step down to: newest register, then reach, then id.
func (leadership *Leadership) heir(passed map[int]bool) (Peer, bool) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	best, found := Peer{}, false
	view := leadership.core.members()
	for _, peer := range view.Peers {
		response := leadership.reports[peer.ID]
		if response == nil || !view.mayLead(peer.ID) || !response.Voter || !response.Accepted || response.RefusesWrites || passed[peer.ID] {
			continue
		}
		if !found || fitter(response.Versions, response.Reachable, peer.ID, leadership.reports[best.ID].Versions, leadership.reports[best.ID].Reachable, best.ID) {
			best, found = peer, true
		}
	}
	return best, found
}

// fitter is the rule for candidates.
func fitter(versions message.Versions, reach, id int, otherMarks message.Versions, otherReach, otherID int) bool {
	if versions != otherMarks {
		return otherMarks.Less(versions)
	}
	if reach != otherReach {
		return reach > otherReach
	}
	return id > otherID
}
