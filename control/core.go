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
	line    *wire.Client
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
	passed     *wire.TransferLeadershipRequest
	leadership *Leadership
	committed  [wire.Registers]wire.AcceptedValue
	texts      wire.Chunks
	held       *content
	table      *wire.Table
	tableLog   *wire.TableLog
	wanted     wire.TableVersion
	refused    diskRefusal
	patience   time.Duration
	asked      int
	toldLeader time.Time
}

func NewCore(place Place, disk Disk, line *wire.Client, threads *run.Threads, counts *run.Counts) (*Core, error) {
	store, err := OpenStore(disk)
	if err != nil {
		return nil, err
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
	if core.claims, err = openClaimLog(disk, place.ID, counts); err != nil {
		return nil, err
	}
	core.chart = &Chart{now: Blank, counts: counts, core: core.members().ID}
	if !core.voter.Blank() {
		core.chart.now = Following
	}
	if kept := core.claims.members; kept.Value.Serial > firstSerial {
		core.learnMembers(kept)
	}
	if err := store.Fault(); err != nil {
		core.diskFault(err)
	}
	core.round = core.voter.State().Promised.Number
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
		if _, err := core.leading(); err != nil && !core.cold() {
			return core.place.Suspect / 3
		}
		return leads()
	}
}

// Register opens the core's side of the wire.
func (core *Core) Register(door *wire.Server) {
	wire.Handle(door, "precheck", answer(core.onPrecheck))
	wire.Handle(door, "promise", answer(core.voterPromise))
	wire.Handle(door, "accept", answer(core.voterAccept))
	wire.Handle(door, "beat", answer(core.onBeat))
	wire.Handle(door, "stepdown", answer(core.onStepDown))
	wire.Handle(door, "restore", answer(core.onRestore))
	wire.Handle(door, "tell", answer(core.onTell))
	wire.Handle(door, "session", answer(core.onSession))
	wire.Handle(door, "watch", answer(core.onWatch))
	wire.Handle(door, "fetch", answer(core.onFetch))
	wire.Handle(door, "who", answer(core.onWho))
	wire.Handle(door, "confirm", answer(core.onConfirm))
	wire.Handle(door, "change", answer(core.onChange))
	wire.Handle(door, "routechange", answer(core.onRouteChange))
	wire.Handle(door, "routeread", answer(core.onRouteRead))
	wire.Handle(door, "evacuate", answer(core.onEvacuate))
	wire.Handle(door, "enlist", answer(core.onEnlist))
	wire.Handle(door, "leave", answer(core.onLeave))
	wire.Handle(door, "removal", answer(core.onRemoval))
	wire.Handle(door, "read", answer(core.onRead))
	wire.Handle(door, "status", answer(core.onStatus))
	wire.Handle(door, "count", answer(core.onCount))
	wire.Handle(door, "parts", answer(core.onParts))
	wire.Handle(door, "keep", answer(core.onKeep))
	wire.Handle(door, "pull", answer(core.onPull))
}

func answer[Asked, Told any](inner func(*Asked) (*Told, error)) func(context.Context, *Asked) (*Told, error) {
	return func(_ context.Context, asked *Asked) (*Told, error) {
		told, err := inner(asked)
		if err != nil {
			return nil, err
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
func (core *Core) pushValue(view *View, message *wire.AcceptRequest, texts wire.Chunks) error {
	until := time.Now().Add(core.place.writeLimit())
	voters := append([]Peer{{ID: view.ID, Address: view.Wire}}, view.Peers...)
	push := func(index int) (*wire.AcceptResponse, error) {
		if index == 0 {
			return core.acceptHere(message, texts)
		}
		return core.pushTo(voters[index], message, texts, until)
	}
	took := func(got map[int]*wire.AcceptResponse) func(id int) bool {
		return func(id int) bool {
			told := got[slices.IndexFunc(voters, func(voter Peer) bool { return voter.ID == id })]
			return told != nil && told.Accepted
		}
	}
	got, _ := run.Gather(core.threads, len(voters), push, func(got map[int]*wire.AcceptResponse, failed map[int]error) bool {
		open := func(id int) bool {
			index := slices.IndexFunc(voters, func(voter Peer) bool { return voter.ID == id })
			told := got[index]
			return failed[index] == nil && (told == nil || told.Accepted)
		}
		return view.quorum(took(got)) || !view.quorum(open) || time.Until(until) <= 0
	})
	for _, told := range got {
		if !told.Accepted {
			core.sawRound(told.Promised.Number)
		}
	}
	if !view.votes() || !view.quorum(took(got)) {
		return wire.Errorf(wire.StaleTerm, "no quorum of membership %d took serial %d under %s", view.Mark.Serial, message.Value.Serial, message.Term)
	}
	return nil
}

// acceptHere offers a value to this core's own replica.
func (core *Core) acceptHere(message *wire.AcceptRequest, texts wire.Chunks) (*wire.AcceptResponse, error) {
	return offer(message, texts, func(message *wire.AcceptRequest) (*wire.AcceptResponse, error) {
		told, err := core.voter.Accept(message)
		if err != nil {
			return nil, err
		}
		return told, nil
	})
}

// pushTo offers a value to another core, again while that is out of reach.
func (core *Core) pushTo(peer Peer, message *wire.AcceptRequest, texts wire.Chunks, until time.Time) (*wire.AcceptResponse, error) {
	for {
		told, err := core.offerTo(peer, message, texts, time.Until(until))
		if err == nil || wire.CodeOf(err) != wire.Unreachable && wire.CodeOf(err) != wire.ConnectFailed || time.Until(until) < core.place.Beat {
			return told, err
		}
		if !core.threads.Rest(core.place.Beat / 2) {
			return nil, wire.Errorf(wire.Stopping, "stopping")
		}
	}
}

// offer sends a value, and again with what is lacking.
func offer(message *wire.AcceptRequest, texts wire.Chunks, send func(*wire.AcceptRequest) (*wire.AcceptResponse, error)) (*wire.AcceptResponse, error) {
	told, err := send(message)
	if err != nil || len(told.Missing) == 0 {
		return told, err
	}
	fuller := *message
	fuller.Chunks = make(wire.Chunks, len(message.Chunks)+len(told.Missing))
	for digest, text := range message.Chunks {
		fuller.Chunks[digest] = text
	}
	for _, digest := range told.Missing {
		if texts[digest] == nil {
			return nil, wire.Errorf(wire.CorruptChunk, "a branch that was asked for is not here")
		}
		fuller.Chunks[digest] = texts[digest]
	}
	return send(&fuller)
}

func (core *Core) offerTo(peer Peer, message *wire.AcceptRequest, texts wire.Chunks, limit time.Duration) (*wire.AcceptResponse, error) {
	until := time.Now().Add(limit)
	return offer(message, texts, func(message *wire.AcceptRequest) (*wire.AcceptResponse, error) {
		return wire.Call[wire.AcceptRequest, wire.AcceptResponse](core.line, peer.Address, "accept", time.Until(until), message)
	})
}

// raised is called when this core's own promise rose; an older leadership here ends.
func (core *Core) raised(ballot wire.Term) {
	core.sawRound(ballot.Number)
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
		if core.leader.Term == leadership.ballot {
			core.leader = wire.Leader{Term: leadership.ballot}
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
func (core *Core) commit(register wire.Register, accepted wire.AcceptedValue, texts wire.Chunks) {
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
			core.threads.Start(func() { core.voter.Committed(register, accepted.Version()) })
		}
	}
}

// Settings are the committed ones and their whole text.
func (core *Core) Settings() (uint64, []byte) {
	now, err := core.content()
	if err != nil {
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
	fresh := core.table.Version.Less(table.Version)
	if fresh {
		core.tableLog.Record(core.table, table)
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
		err := &wire.Error{Code: wire.NotLeader, Message: "another core leads or none"}
		if core.leader.Known() && core.leader.Core != core.members().ID {
			wire.AsError(err).Leader = core.leader.Address
		}
		return nil, err
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
	leadership, err := core.leading()
	return err == nil && (!core.place.Direct || leadership.holds() == nil)
}

// Leads is true while this core leads and every condition stands.
func (core *Core) Leads() bool {
	leadership, err := core.leading()
	return err == nil && leadership.holds() == nil
}
