package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"orchidjunction/run"
	"orchidjunction/wire"
)

// Core is one core machine's part in the control plane.
type Core struct {
	place   Place
	line    *wire.Line
	threads *run.Threads
	counts  *run.Counts
	voter   *Voter
	chart   *Chart
	news    *run.Bell
	prompt  *run.Bell
	random  *draws
	clock   *run.Clock
	clocks  *Clocks
	known   atomic.Pointer[View]

	sessions *Sessions
	stirs    *Stirs
	platform *PlatformReader
	usage    *Usage
	claims   *ClaimLog
	reading  *run.Turn
	enlisted *Enlisted
	routed   routedBody
	fetched  fetchedAnswers
	meter    *Meter

	mutex      sync.Mutex
	leader     wire.Leader
	heard      time.Time
	duck       bool
	successor  wire.Leader
	round      uint64
	passed     *wire.StepDown
	leadership *Leadership
	committed  [wire.Registers]wire.Accepted
	texts      wire.Texts
	held       *content
	table      *wire.Table
	tableLog   *wire.TableLog
	wanted     wire.TableMark
	refused    diskRefusal
	patience   time.Duration
	asked      int
	toldLeader time.Time
}

func NewCore(place Place, disk Disk, line *wire.Line, threads *run.Threads, counts *run.Counts) (*Core, error) {
	store, mishap := OpenStore(disk)
	if mishap != nil {
		return nil, mishap
	}
	place = place.filled()
	core := &Core{place: place, line: line, threads: threads, counts: counts, news: run.NewBell(), prompt: run.NewBell(), reading: run.NewTurn(),
		random: newDraws(place.Seed + uint64(place.ID)), table: &wire.Table{}, heard: time.Now()}
	core.clock, core.clocks = run.NewClock(place.Wall), newClocks()
	core.tableLog = wire.NewTableLog()
	core.enlisted, core.meter = newEnlisted(place.Wire), newMeter()
	core.voter = NewVoter(store, core.diskFault, core.raised)
	core.voter.learns = core.learnMembers
	core.known.Store(place.view(core.voter.State().Voters()))
	if core.claims, mishap = openClaimLog(disk, place.ID, counts); mishap != nil {
		return nil, mishap
	}
	core.chart = &Chart{now: Blank, counts: counts, core: core.members().ID}
	if !core.voter.Blank() {
		core.chart.now = Following
	}
	if kept := core.claims.members; kept.Value.Serial > firstSerial {
		core.learnMembers(kept)
	}
	if fault := store.Fault(); fault != nil {
		core.diskFault(fault)
	}
	core.round = core.voter.State().Promised.Round
	core.patience = core.firstPatience()
	core.sessions = newSessions(place.SessionSpan)
	core.stirs = newStirs()
	core.usage = newUsage(line.Transport())
	core.platform = newPlatformReader(&core.place, line.Transport(), core.Now, counts)
	if accepted, proven := core.voter.State().proven(wire.RoutingRegister); proven {
		core.committed[wire.RoutingRegister] = accepted
	}
	return core, nil
}

// Run starts the core's duties.
func (core *Core) Run() {
	if view := core.members(); view.known() {
		core.place.MembersChanged(view.Mark, view.addresses())
	}
	core.threads.OnStop(core.news.Ring)
	core.threads.OnStop(core.prompt.Ring)
	core.threads.Start(core.elect)
	core.threads.Start(core.claims.write)
	core.threads.Beat(run.Each(repairPace), core.repairDisk)
	core.threads.OnStop(core.claims.ring.Close)
	core.threads.Beat(run.Each(mendPace), core.mendClaims)
	core.threads.Beat(run.Each(core.place.Beat), core.lead)
	core.threads.Beat(run.Each(2*core.place.Beat), core.tellSessions)
	core.threads.Beat(run.Each(core.place.Table), core.buildTable)
	core.threads.Beat(run.Each(core.place.Table), core.copyTable)
	core.threads.Beat(core.paced(run.Each(core.place.Beat)), core.changeMembers)
	if core.place.enlists() {
		core.threads.Start(core.survey)
	}
	if core.platform.lister != nil {
		core.threads.Beat(core.paced(core.platform.pace), core.readPlatform)
	}
	if core.place.Metering.Report != nil {
		core.threads.Beat(core.paced(run.Each(meterPace)), core.sealWindows)
		core.threads.Beat(core.paced(run.Each(meterPace)), core.reportWindows)
	} else if core.place.Platform != "" {
		core.threads.Beat(run.Each(usagePace), core.sealUsage)
		core.threads.Beat(run.Each(usagePace), core.deliverUsage)
	}
}

// paced is the pace of a leader's duty, and of a core's that heard of no leader since
// its start; other cores only look whether they lead.
func (core *Core) paced(leads func() time.Duration) func() time.Duration {
	return func() time.Duration {
		if _, mishap := core.leading(); mishap != nil && !core.cold() {
			return core.place.Suspect / 3
		}
		return leads()
	}
}

// Register opens the core's side of the wire.
func (core *Core) Register(door *wire.Door) {
	wire.Take(door, "precheck", answer(core.onPrecheck))
	wire.Take(door, "promise", answer(core.voterPromise))
	wire.Take(door, "accept", answer(core.voterAccept))
	wire.Take(door, "beat", answer(core.onBeat))
	wire.Take(door, "stepdown", answer(core.onStepDown))
	wire.Take(door, "restore", answer(core.onRestore))
	wire.Take(door, "tell", answer(core.onTell))
	wire.Take(door, "session", answer(core.onSession))
	wire.Take(door, "watch", answer(core.onWatch))
	wire.Take(door, "fetch", answer(core.onFetch))
	wire.Take(door, "who", answer(core.onWho))
	wire.Take(door, "confirm", answer(core.onConfirm))
	wire.Take(door, "change", answer(core.onChange))
	wire.Take(door, "routechange", answer(core.onRouteChange))
	wire.Take(door, "routeread", answer(core.onRouteRead))
	wire.Take(door, "evacuate", answer(core.onEvacuate))
	wire.Take(door, "enlist", answer(core.onEnlist))
	wire.Take(door, "leave", answer(core.onLeave))
	wire.Take(door, "removal", answer(core.onRemoval))
	wire.Take(door, "read", answer(core.onRead))
	wire.Take(door, "status", answer(core.onStatus))
	wire.Take(door, "count", answer(core.onCount))
	wire.Take(door, "parts", answer(core.onParts))
	wire.Take(door, "keep", answer(core.onKeep))
	wire.Take(door, "pull", answer(core.onPull))
}

func answer[Asked, Told any](inner func(*Asked) (*Told, error)) func(context.Context, *Asked) (*Told, error) {
	return func(_ context.Context, asked *Asked) (*Told, error) {
		told, mishap := inner(asked)
		if mishap != nil {
			return nil, mishap
		}
		return told, nil
	}
}

// askPeers asks every other voter of a membership at once, until those that agreed
// are enough.
func askPeers[Told any](core *Core, view *View, ask func(peer Peer) (*Told, error), agrees func(*Told) bool, enough func(has func(id int) bool) bool) map[int]*Told {
	byID := func(got map[int]*Told) map[int]*Told {
		told := make(map[int]*Told, len(got))
		for index, answer := range got {
			told[view.Peers[index].ID] = answer
		}
		return told
	}
	got, _ := run.Gather(core.threads, len(view.Peers), func(index int) (*Told, error) { return ask(view.Peers[index]) },
		func(got map[int]*Told, _ map[int]error) bool { return enough(agreed(byID(got), agrees)) })
	return byID(got)
}

// agreed is which voters gave an answer that agrees.
func agreed[Told any](told map[int]*Told, agrees func(*Told) bool) func(id int) bool {
	return func(id int) bool {
		answer, found := told[id]
		return found && agrees(answer)
	}
}

// never waits for all that are asked.
func never(func(id int) bool) bool { return false }

// pushValue sends the value to every voter of a membership, this one too, until a
// quorum took it; a core gets the branches that it says it lacks.
func (core *Core) pushValue(view *View, message *wire.Accept, texts wire.Texts) error {
	until := time.Now().Add(core.place.writeLimit())
	voters := append([]Peer{{ID: view.ID, Address: view.Wire}}, view.Peers...)
	push := func(index int) (*wire.AcceptTold, error) {
		if index == 0 {
			return core.acceptHere(message, texts)
		}
		return core.pushTo(voters[index], message, texts, until)
	}
	took := func(got map[int]*wire.AcceptTold) func(id int) bool {
		return func(id int) bool {
			told := got[slices.IndexFunc(voters, func(voter Peer) bool { return voter.ID == id })]
			return told != nil && told.Taken
		}
	}
	got, _ := run.Gather(core.threads, len(voters), push, func(got map[int]*wire.AcceptTold, failed map[int]error) bool {
		open := func(id int) bool {
			index := slices.IndexFunc(voters, func(voter Peer) bool { return voter.ID == id })
			told := got[index]
			return failed[index] == nil && (told == nil || told.Taken)
		}
		return view.quorum(took(got)) || !view.quorum(open) || time.Until(until) <= 0
	})
	for _, told := range got {
		if !told.Taken {
			core.sawRound(told.Promised.Round)
		}
	}
	if !view.votes() || !view.quorum(took(got)) {
		return wire.New(wire.StaleBallot, "no quorum of membership %d took serial %d under %s", view.Mark.Serial, message.Value.Serial, message.Ballot)
	}
	return nil
}

// acceptHere offers a value to this core's own replica.
func (core *Core) acceptHere(message *wire.Accept, texts wire.Texts) (*wire.AcceptTold, error) {
	return offer(message, texts, func(message *wire.Accept) (*wire.AcceptTold, error) {
		told, mishap := core.voter.Accept(message)
		if mishap != nil {
			return nil, mishap
		}
		return told, nil
	})
}

// pushTo offers a value to another core, again while that is out of reach.
func (core *Core) pushTo(peer Peer, message *wire.Accept, texts wire.Texts, until time.Time) (*wire.AcceptTold, error) {
	for {
		told, fault := core.offerTo(peer, message, texts, time.Until(until))
		if fault == nil || wire.KindOf(fault) != wire.Unreachable && wire.KindOf(fault) != wire.Unreached || time.Until(until) < core.place.Beat {
			return told, fault
		}
		if !core.threads.Rest(core.place.Beat / 2) {
			return nil, wire.New(wire.Stopping, "stopping")
		}
	}
}

// offer sends a value, and again with what is lacking.
func offer(message *wire.Accept, texts wire.Texts, send func(*wire.Accept) (*wire.AcceptTold, error)) (*wire.AcceptTold, error) {
	told, fault := send(message)
	if fault != nil || len(told.Lacks) == 0 {
		return told, fault
	}
	fuller := *message
	fuller.Texts = make(wire.Texts, len(message.Texts)+len(told.Lacks))
	for digest, text := range message.Texts {
		fuller.Texts[digest] = text
	}
	for _, digest := range told.Lacks {
		if texts[digest] == nil {
			return nil, wire.New(wire.DamagedPart, "a branch that was asked for is not here")
		}
		fuller.Texts[digest] = texts[digest]
	}
	return send(&fuller)
}

func (core *Core) offerTo(peer Peer, message *wire.Accept, texts wire.Texts, limit time.Duration) (*wire.AcceptTold, error) {
	until := time.Now().Add(limit)
	return offer(message, texts, func(message *wire.Accept) (*wire.AcceptTold, error) {
		return wire.Ask[wire.Accept, wire.AcceptTold](core.line, peer.Address, "accept", time.Until(until), message)
	})
}

// raised is called when this core's own promise rose; an older leadership here ends.
func (core *Core) raised(ballot wire.Ballot) {
	core.sawRound(ballot.Round)
	core.mutex.Lock()
	leadership := core.leadership
	core.mutex.Unlock()
	if leadership != nil && leadership.ballot.Less(ballot) {
		core.revoke(leadership)
	}
}

func (core *Core) revoke(leadership *Leadership) {
	leadership.end()
	core.mutex.Lock()
	mine := core.leadership == leadership
	if mine {
		core.leadership = nil
		if core.leader.Ballot == leadership.ballot {
			core.leader = wire.Leader{Ballot: leadership.ballot}
		}
		core.heard = time.Now()
	}
	core.mutex.Unlock()
	if mine {
		core.counts.Add("leaderships_ended", 1)
		if core.chart.Now() == Leading {
			core.chart.move(Following)
		}
		core.prompt.Ring()
	}
}

func (core *Core) sawRound(round uint64) {
	core.mutex.Lock()
	core.round = max(core.round, round)
	core.mutex.Unlock()
}

// commit keeps the texts as they are now, since the next vote may drop some.
func (core *Core) commit(register wire.Register, accepted wire.Accepted, texts wire.Texts) {
	core.mutex.Lock()
	fresh := core.committed[register].Value.Serial < accepted.Value.Serial
	if fresh {
		core.committed[register] = accepted
		if register == wire.SettingsRegister {
			core.texts = texts
		}
	}
	core.mutex.Unlock()
	if fresh {
		core.counts.Add("commits", 1)
		core.news.Ring()
		if register == wire.RoutingRegister && core.place.enlists() {
			core.threads.Start(func() { core.voter.Committed(register, accepted.Mark()) })
		}
	}
}

// Settings are the committed ones and their whole text.
func (core *Core) Settings() (uint64, []byte) {
	now, mishap := core.content()
	if mishap != nil {
		return 0, nil
	}
	return now.serial, now.tree.Body()
}

func (core *Core) Table() *wire.Table {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.table
}

func (core *Core) holdTable(table *wire.Table) {
	core.mutex.Lock()
	fresh := core.table.Mark.Less(table.Mark)
	if fresh {
		core.tableLog.Next(core.table, table)
		core.table = table
	}
	core.mutex.Unlock()
	if fresh {
		core.news.Ring()
	}
}

func (core *Core) leading() (*Leadership, error) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.leadership == nil {
		mishap := &wire.Mishap{Kind: wire.NotLeader, Cause: "another core leads or none"}
		if core.leader.Known() && core.leader.Core != core.members().ID {
			wire.AsMishap(mishap).Leader = core.leader.Address
		}
		return nil, mishap
	}
	return core.leadership, nil
}

// Close lets go of the disk, after the threads ended.
func (core *Core) Close() {
	core.voter.Close()
	core.claims.journal.Close()
	core.line.Close()
}

// leads is whether this core leads as far as its daemons need to know: in a
// system whose daemons speak to the leader itself, one that is cut off says no.
func (core *Core) leads() bool {
	leadership, mishap := core.leading()
	return mishap == nil && (!core.place.Direct || leadership.holds() == nil)
}

// Leads is true while this core leads and every condition stands.
func (core *Core) Leads() bool {
	leadership, mishap := core.leading()
	return mishap == nil && leadership.holds() == nil
}
