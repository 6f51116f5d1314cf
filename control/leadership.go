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
	ballot     wire.Ballot
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
	reports   map[int]*wire.BeatTold
	confirmed *run.Bell
	started   uint64
	finished  uint64

	succession *Succession
}

func newLeadership(core *Core, ballot wire.Ballot, establishment *Establishment) *Leadership {
	leadership := &Leadership{core: core, ballot: ballot, revocation: establishment.revocation, since: time.Now(), content: establishment.content, routing: establishment.routing,
		reports: map[int]*wire.BeatTold{}, confirmed: run.NewBell(), writes: run.NewTurn(), succession: newSuccession()}
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
		return &wire.Mishap{Kind: wire.NotLeader, Cause: "leadership " + leadership.ballot.String() + " ended"}
	case leadership.duck:
		return &wire.Mishap{Kind: wire.Lameduck, Cause: "stepping down", Leader: leadership.successor.Address}
	case time.Since(leadership.majority) > leadership.core.place.Suspect:
		return &wire.Mishap{Kind: wire.NotLeader, Cause: "no majority took a beat lately"}
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
	return leadership.write(wire.SettingsRegister, func(wire.Value) (*wire.Value, wire.Texts, error) {
		made, mishap := build(leadership.settings())
		if mishap != nil || made == nil {
			return nil, nil, mishap
		}
		next = made
		value := next.value()
		return &value, next.texts, nil
	}, func() { leadership.content = next })
}

// write puts the next value in the register; build sees the current one. Once
// sent, a write ends taken by a majority, or the leadership ends with it.
func (leadership *Leadership) write(register wire.Register, build func(current wire.Value) (*wire.Value, wire.Texts, error), taken func()) (uint64, error) {
	if mishap := leadership.holds(); mishap != nil {
		return 0, mishap
	}
	leadership.writes.Take()
	defer leadership.writes.Give()
	if mishap := leadership.holds(); mishap != nil {
		return 0, mishap
	}
	current := leadership.value(register)
	next, texts, mishap := build(current)
	if mishap != nil || next == nil {
		return 0, mishap
	}
	message := &wire.Accept{Ballot: leadership.ballot, Register: register, Value: *next, Texts: fresh(*next, current, texts)}
	if mishap := leadership.core.pushValue(leadership.core.members(), message, texts); mishap != nil {
		leadership.core.counts.Add("write_unknown", 1)
		leadership.core.revoke(leadership)
		return 0, &wire.Mishap{Kind: wire.OutcomeUnknown, Cause: mishap.Error()}
	}
	leadership.mutex.Lock()
	leadership.values[register] = *next
	taken()
	leadership.mutex.Unlock()
	leadership.core.commit(register, wire.Accepted{Ballot: leadership.ballot, Value: *next}, texts)
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
	got, _ := run.Gather(core.threads, len(peers), func(index int) (*wire.BeatTold, error) {
		return leadership.beatTo(peers[index], message)
	}, func(got map[int]*wire.BeatTold, _ map[int]error) bool { return view.decides(took(peers, got)) })
	for _, answer := range got {
		if leadership.ballot.Less(answer.Promised) {
			core.sawRound(answer.Promised.Round)
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
func took(peers []Peer, got map[int]*wire.BeatTold) func(id int) bool {
	return func(id int) bool {
		told := got[slices.IndexFunc(peers, func(peer Peer) bool { return peer.ID == id })]
		return told != nil && told.Taken && told.Voter
	}
}

// nextBeat is the next heartbeat and its number.
func (leadership *Leadership) nextBeat(view *View) (uint64, *wire.Beat) {
	table := leadership.core.Table().Mark
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.started++
	message := &wire.Beat{Ballot: leadership.ballot, Leader: view.leader(leadership.ballot), Duck: leadership.duck, Successor: leadership.successor, Table: table}
	for register := range leadership.values {
		message.Committed[register] = wire.Mark{Ballot: leadership.ballot, Serial: leadership.values[register].Serial}
	}
	return leadership.started, message
}

// beatTo is one heartbeat to one core and what its answer tells.
func (leadership *Leadership) beatTo(peer Peer, message *wire.Beat) (*wire.BeatTold, error) {
	core, asked := leadership.core, time.Now()
	told, fault := wire.Ask[wire.Beat, wire.BeatTold](core.line, peer.Address, "beat", core.roundLimit(), core.beatFor(peer, message))
	if fault != nil {
		return nil, fault
	}
	if peer.ID > 0 {
		core.sawClock(peer, told, time.Since(asked))
	}
	leadership.note(peer, told, message.Committed)
	return told, nil
}

// note keeps what a core told and sends it the values it lacks.
func (leadership *Leadership) note(peer Peer, told *wire.BeatTold, committed wire.Marks) {
	leadership.succession.heard(peer, told)
	leadership.mutex.Lock()
	if peer.ID > 0 {
		leadership.reports[peer.ID] = told
	}
	values, now := leadership.values, leadership.content
	leadership.mutex.Unlock()
	if !told.Taken || !told.Voter || told.Refuses {
		return
	}
	for register := range committed {
		if told.Marks[register].Less(committed[register]) {
			leadership.core.counts.Add("copies_mended", 1)
			value := &wire.Accept{Ballot: leadership.ballot, Register: wire.Register(register), Value: values[register]}
			answer, fault := leadership.core.offerTo(peer, value, now.texts, leadership.core.roundLimit())
			if fault != nil || !answer.Taken { // its next answer to a beat shows that it still lacks it
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
		if mishap := leadership.holds(); mishap != nil && wire.KindOf(mishap) != wire.Lameduck {
			return mishap
		}
		leadership.mutex.Lock()
		done := leadership.finished >= need
		leadership.mutex.Unlock()
		if done {
			return nil
		}
		if !leadership.confirmed.Wait(seen, time.Until(until)) {
			return wire.New(wire.NoLeader, "no beat confirmed in %v", limit)
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
		if told == nil || !view.mayLead(peer.ID) || !told.Voter || !told.Taken || told.Refuses || passed[peer.ID] {
			continue
		}
		if !found || fitter(told.Marks, told.Reach, peer.ID, leadership.reports[best.ID].Marks, leadership.reports[best.ID].Reach, best.ID) {
			best, found = peer, true
		}
	}
	return best, found
}

// fitter is the rule for candidates.
func fitter(marks wire.Marks, reach, id int, otherMarks wire.Marks, otherReach, otherID int) bool {
	if marks != otherMarks {
		return otherMarks.Less(marks)
	}
	if reach != otherReach {
		return reach > otherReach
	}
	return id > otherID
}
