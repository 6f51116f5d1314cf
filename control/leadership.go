package control

import (
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"orchidjunction/route"
	"orchidjunction/run"
	"orchidjunction/wire"
)

// Leadership lives from one establishment to the next revocation.
type Leadership struct {
	core       *Core
	ballot     wire.Term
	revocation *Revocation
	since      time.Time
	rewritten  [wire.Registers]uint64
	promised   []int

	writes *run.Turn

	mutex     sync.Mutex
	ended     bool
	duck      bool
	successor wire.Leader
	majority  time.Time
	values    [wire.Registers]wire.Value
	content   *content
	routing   *route.Book
	reports   map[int]*wire.HeartbeatResponse
	confirmed *run.Bell
	started   uint64
	finished  uint64

	succession *Succession
}

func newLeadership(core *Core, ballot wire.Term, establishment *Establishment) *Leadership {
	leadership := &Leadership{core: core, ballot: ballot, revocation: establishment.revocation, since: time.Now(), content: establishment.content, routing: establishment.routing,
		reports: map[int]*wire.HeartbeatResponse{}, confirmed: run.NewBell(), writes: run.NewTurn(), succession: newSuccession()}
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
	leadership.confirmed.Ring()
}

func (leadership *Leadership) value(register wire.Register) wire.Value {
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
		return &wire.Error{Code: wire.NotLeader, Message: "leadership " + leadership.ballot.String() + " ended"}
	case leadership.duck:
		return &wire.Error{Code: wire.Lameduck, Message: "stepping down", Leader: leadership.successor.Address}
	case time.Since(leadership.majority) > leadership.core.place.Suspect:
		return &wire.Error{Code: wire.NotLeader, Message: "no majority took a beat lately"}
	}
	return nil
}

func (leadership *Leadership) conditions() []wire.Condition {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	since := time.Since(leadership.majority)
	return []wire.Condition{
		{Name: RevokedCondition, Holds: leadership.revocation.Complete, Detail: string(leadership.revocation.Method) + ", ballot " + leadership.revocation.Revoked.String()},
		{Name: PromisedCondition, Holds: !leadership.ended, Detail: fmt.Sprintf("ballot %s at cores %v", leadership.ballot, leadership.promised)},
		{Name: RewrittenCondition, Holds: !leadership.ended, Detail: fmt.Sprintf("settings from serial %d, reports from %d", leadership.rewritten[wire.SettingsRegister], leadership.rewritten[wire.ReportsRegister])},
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
	return leadership.write(wire.SettingsRegister, func(wire.Value) (*wire.Value, wire.Chunks, error) {
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
func (leadership *Leadership) write(register wire.Register, build func(current wire.Value) (*wire.Value, wire.Chunks, error), taken func()) (uint64, error) {
	if err := leadership.holds(); err != nil {
		return 0, err
	}
	leadership.writes.Take()
	defer leadership.writes.Give()
	if err := leadership.holds(); err != nil {
		return 0, err
	}
	current := leadership.value(register)
	next, texts, err := build(current)
	if err != nil || next == nil {
		return 0, err
	}
	message := &wire.AcceptRequest{Term: leadership.ballot, Register: register, Value: *next, Chunks: fresh(*next, current, texts)}
	if err := leadership.core.pushValue(leadership.core.members(), message, texts); err != nil {
		leadership.core.counts.Add("write_unknown", 1)
		leadership.core.revoke(leadership)
		return 0, &wire.Error{Code: wire.OutcomeUnknown, Message: err.Error()}
	}
	leadership.mutex.Lock()
	leadership.values[register] = *next
	taken()
	leadership.mutex.Unlock()
	leadership.core.commit(register, wire.AcceptedValue{Term: leadership.ballot, Value: *next}, texts)
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
	number, message := leadership.nextBeat(view)
	peers := append(slices.Clone(view.Peers), leadership.succession.waiting(learnerSpan*core.place.Suspect, view)...)
	got, _ := run.Gather(core.threads, len(peers), func(index int) (*wire.HeartbeatResponse, error) {
		return leadership.beatTo(peers[index], message)
	}, func(got map[int]*wire.HeartbeatResponse, _ map[int]error) bool { return view.decides(took(peers, got)) })
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
	leadership.confirmed.Ring()
	return true
}

// took is which voters took a heartbeat, of the answers by the peers' places.
func took(peers []Peer, got map[int]*wire.HeartbeatResponse) func(id int) bool {
	return func(id int) bool {
		told := got[slices.IndexFunc(peers, func(peer Peer) bool { return peer.ID == id })]
		return told != nil && told.Accepted && told.Voter
	}
}

// nextBeat is the next heartbeat and its number.
func (leadership *Leadership) nextBeat(view *View) (uint64, *wire.HeartbeatRequest) {
	table := leadership.core.Table().Version
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.started++
	message := &wire.HeartbeatRequest{Term: leadership.ballot, Leader: view.leader(leadership.ballot), Lameduck: leadership.duck, Successor: leadership.successor, Table: table}
	for register := range leadership.values {
		message.Committed[register] = wire.Version{Term: leadership.ballot, Serial: leadership.values[register].Serial}
	}
	return leadership.started, message
}

// beatTo is one heartbeat to one core and what its answer tells.
func (leadership *Leadership) beatTo(peer Peer, message *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	core, asked := leadership.core, time.Now()
	told, err := wire.Call[wire.HeartbeatRequest, wire.HeartbeatResponse](core.line, peer.Address, "beat", core.roundLimit(), core.beatFor(peer, message))
	if err != nil {
		return nil, err
	}
	if peer.ID > 0 {
		core.sawClock(peer, told, time.Since(asked))
	}
	leadership.note(peer, told, message.Committed)
	return told, nil
}

// note keeps what a core told and sends it the values it lacks.
func (leadership *Leadership) note(peer Peer, told *wire.HeartbeatResponse, committed wire.Versions) {
	leadership.succession.heard(peer, told)
	leadership.mutex.Lock()
	if peer.ID > 0 {
		leadership.reports[peer.ID] = told
	}
	values, now := leadership.values, leadership.content
	leadership.mutex.Unlock()
	if !told.Accepted || !told.Voter || told.RefusesWrites {
		return
	}
	for register := range committed {
		if told.Versions[register].Less(committed[register]) {
			leadership.core.counts.Add("copies_mended", 1)
			value := &wire.AcceptRequest{Term: leadership.ballot, Register: wire.Register(register), Value: values[register]}
			answer, err := leadership.core.offerTo(peer, value, now.texts, leadership.core.roundLimit())
			if err != nil || !answer.Accepted { // its next answer to a beat shows that it still lacks it
				leadership.core.counts.Add("copies_not_mended", 1)
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
		if err := leadership.holds(); err != nil && wire.CodeOf(err) != wire.Lameduck {
			return err
		}
		leadership.mutex.Lock()
		done := leadership.finished >= need
		leadership.mutex.Unlock()
		if done {
			return nil
		}
		if !leadership.confirmed.Wait(seen, time.Until(until)) {
			return wire.Errorf(wire.NoLeader, "no beat confirmed in %v", limit)
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
		told := leadership.reports[peer.ID]
		if told == nil || !view.mayLead(peer.ID) || !told.Voter || !told.Accepted || told.RefusesWrites || passed[peer.ID] {
			continue
		}
		if !found || fitter(told.Versions, told.Reachable, peer.ID, leadership.reports[best.ID].Versions, leadership.reports[best.ID].Reachable, best.ID) {
			best, found = peer, true
		}
	}
	return best, found
}

// fitter is the rule for candidates.
func fitter(marks wire.Versions, reach, id int, otherMarks wire.Versions, otherReach, otherID int) bool {
	if marks != otherMarks {
		return otherMarks.Less(marks)
	}
	if reach != otherReach {
		return reach > otherReach
	}
	return id > otherID
}
