package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"orchidjunction/clock"
	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// Core is one core machine's part in the control plane.
type Core struct {
	place      Place
	line       *rpc.Client
	goroutines *concurrent.Group
	counters   *metrics.Counters
	voter      *Voter
	chart      *Chart
	news       *concurrent.Condition
	prompt     *concurrent.Condition
	random     *draws
	clock      *clock.Clock
	clocks     *Clocks
	known      atomic.Pointer[View]

	sessions *Sessions
	stirs    *Stirs
	platform *PlatformReader
	usage    *Usage
	claims   *ClaimLog
	reading  *concurrent.Lock
	enlisted *Enlisted
	routed   routedBody
	fetched  fetchedAnswers
	meter    *Meter

	mutex      sync.Mutex
	leader     message.Leader
	heard      time.Time
	duck       bool
	successor  message.Leader
	round      uint64
	passed     *message.TransferLeadershipRequest
	leadership *Leadership
	committed  [message.Registers]message.AcceptedValue
	texts      message.Chunks
	held       *content
	table      *message.Table
	tableLog   *message.TableLog
	wanted     message.TableVersion
	refused    diskRefusal
	patience   time.Duration
	asked      int
	toldLeader time.Time
}

func NewCore(place Place, disk Disk, client *rpc.Client, goroutines *concurrent.Group, counters *metrics.Counters) (*Core, error) {
	store, err := OpenStore(disk)
	if err != nil {
		return nil, err
	}
	place = place.filled()
	core := &Core{place: place, line: client, goroutines: goroutines, counters: counters, news: concurrent.NewCondition(), prompt: concurrent.NewCondition(), reading: concurrent.NewLock(),
		random: newDraws(place.Seed + uint64(place.ID)), table: &message.Table{}, heard: time.Now()}
	core.clock, core.clocks = clock.NewClock(place.Wall), newClocks()
	core.tableLog = message.NewTableLog()
	core.enlisted, core.meter = newEnlisted(place.Wire), newMeter()
	core.voter = NewVoter(store, core.diskFault, core.raised)
	core.voter.learns = core.learnMembers
	core.known.Store(place.view(core.voter.State().Voters()))
	if core.claims, err = openClaimLog(disk, place.ID, counters); err != nil {
		return nil, err
	}
	core.chart = &Chart{now: Blank, counters: counters, core: core.members().ID}
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
	core.usage = newUsage(client.Transport())
	core.platform = newPlatformReader(&core.place, client.Transport(), core.Now, counters)
	if accepted, proven := core.voter.State().proven(message.RoutingRegister); proven {
		core.committed[message.RoutingRegister] = accepted
	}
	return core, nil
}

// Run starts the core's duties.
func (core *Core) Run() {
	if view := core.members(); view.known() {
		core.place.MembersChanged(view.Mark, view.addresses())
	}
	core.goroutines.OnStop(core.news.Notify)
	core.goroutines.OnStop(core.prompt.Notify)
	core.goroutines.Start(core.elect)
	core.goroutines.Start(core.claims.write)
	core.goroutines.Every(concurrent.Fixed(repairPace), core.repairDisk)
	core.goroutines.OnStop(core.claims.ring.Close)
	core.goroutines.Every(concurrent.Fixed(mendPace), core.mendClaims)
	core.goroutines.Every(concurrent.Fixed(core.place.Beat), core.lead)
	core.goroutines.Every(concurrent.Fixed(2*core.place.Beat), core.tellSessions)
	core.goroutines.Every(concurrent.Fixed(core.place.Table), core.buildTable)
	core.goroutines.Every(concurrent.Fixed(core.place.Table), core.copyTable)
	core.goroutines.Every(core.paced(concurrent.Fixed(core.place.Beat)), core.changeMembers)
	if core.place.enlists() {
		core.goroutines.Start(core.survey)
	}
	if core.platform.lister != nil {
		core.goroutines.Every(core.paced(core.platform.pace), core.readPlatform)
	}
	if core.place.Metering.Report != nil {
		core.goroutines.Every(core.paced(concurrent.Fixed(meterPace)), core.sealWindows)
		core.goroutines.Every(core.paced(concurrent.Fixed(meterPace)), core.reportWindows)
	} else if core.place.Platform != "" {
		core.goroutines.Every(concurrent.Fixed(usagePace), core.sealUsage)
		core.goroutines.Every(concurrent.Fixed(usagePace), core.deliverUsage)
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
func (core *Core) Register(server *rpc.Server) {
	rpc.Handle(server, "precheck", answer(core.onPrecheck))
	rpc.Handle(server, "promise", answer(core.voterPromise))
	rpc.Handle(server, "accept", answer(core.voterAccept))
	rpc.Handle(server, "beat", answer(core.onBeat))
	rpc.Handle(server, "stepdown", answer(core.onStepDown))
	rpc.Handle(server, "restore", answer(core.onRestore))
	rpc.Handle(server, "tell", answer(core.onTell))
	rpc.Handle(server, "session", answer(core.onSession))
	rpc.Handle(server, "watch", answer(core.onWatch))
	rpc.Handle(server, "fetch", answer(core.onFetch))
	rpc.Handle(server, "who", answer(core.onWho))
	rpc.Handle(server, "confirm", answer(core.onConfirm))
	rpc.Handle(server, "change", answer(core.onChange))
	rpc.Handle(server, "routechange", answer(core.onRouteChange))
	rpc.Handle(server, "routeread", answer(core.onRouteRead))
	rpc.Handle(server, "evacuate", answer(core.onEvacuate))
	rpc.Handle(server, "enlist", answer(core.onEnlist))
	rpc.Handle(server, "leave", answer(core.onLeave))
	rpc.Handle(server, "removal", answer(core.onRemoval))
	rpc.Handle(server, "read", answer(core.onRead))
	rpc.Handle(server, "status", answer(core.onStatus))
	rpc.Handle(server, "count", answer(core.onCount))
	rpc.Handle(server, "parts", answer(core.onParts))
	rpc.Handle(server, "keep", answer(core.onKeep))
	rpc.Handle(server, "pull", answer(core.onPull))
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
	got, _ := concurrent.Gather(core.goroutines, len(view.Peers), func(index int) (*Told, error) { return ask(view.Peers[index]) },
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
func (core *Core) pushValue(view *View, request *message.AcceptRequest, texts message.Chunks) error {
	until := time.Now().Add(core.place.writeLimit())
	voters := append([]Peer{{ID: view.ID, Address: view.Wire}}, view.Peers...)
	push := func(index int) (*message.AcceptResponse, error) {
		if index == 0 {
			return core.acceptHere(request, texts)
		}
		return core.pushTo(voters[index], request, texts, until)
	}
	took := func(got map[int]*message.AcceptResponse) func(id int) bool {
		return func(id int) bool {
			response := got[slices.IndexFunc(voters, func(voter Peer) bool { return voter.ID == id })]
			return response != nil && response.Accepted
		}
	}
	got, _ := concurrent.Gather(core.goroutines, len(voters), push, func(got map[int]*message.AcceptResponse, failed map[int]error) bool {
		open := func(id int) bool {
			index := slices.IndexFunc(voters, func(voter Peer) bool { return voter.ID == id })
			response := got[index]
			return failed[index] == nil && (response == nil || response.Accepted)
		}
		return view.quorum(took(got)) || !view.quorum(open) || time.Until(until) <= 0
	})
	for _, response := range got {
		if !response.Accepted {
			core.sawRound(response.Promised.Number)
		}
	}
	if !view.votes() || !view.quorum(took(got)) {
		return rpc.Errorf(rpc.StaleTerm, "no quorum of membership %d took serial %d under %s", view.Mark.Serial, request.Value.Serial, request.Term)
	}
	return nil
}

// acceptHere offers a value to this core's own replica.
func (core *Core) acceptHere(request *message.AcceptRequest, texts message.Chunks) (*message.AcceptResponse, error) {
	return offer(request, texts, func(request *message.AcceptRequest) (*message.AcceptResponse, error) {
		response, err := core.voter.Accept(request)
		if err != nil {
			return nil, err
		}
		return response, nil
	})
}

// pushTo offers a value to another core, again while that is out of reach.
func (core *Core) pushTo(peer Peer, request *message.AcceptRequest, texts message.Chunks, until time.Time) (*message.AcceptResponse, error) {
	for {
		response, err := core.offerTo(peer, request, texts, time.Until(until))
		if err == nil || rpc.CodeOf(err) != rpc.Unreachable && rpc.CodeOf(err) != rpc.ConnectFailed || time.Until(until) < core.place.Beat {
			return response, err
		}
		if !core.goroutines.Sleep(core.place.Beat / 2) {
			return nil, rpc.Errorf(rpc.Stopping, "stopping")
		}
	}
}

// offer sends a value, and again with what is lacking.
func offer(request *message.AcceptRequest, texts message.Chunks, send func(*message.AcceptRequest) (*message.AcceptResponse, error)) (*message.AcceptResponse, error) {
	response, err := send(request)
	if err != nil || len(response.Missing) == 0 {
		return response, err
	}
	fuller := *request
	fuller.Chunks = make(message.Chunks, len(request.Chunks)+len(response.Missing))
	for digest, text := range request.Chunks {
		fuller.Chunks[digest] = text
	}
	for _, digest := range response.Missing {
		if texts[digest] == nil {
			return nil, rpc.Errorf(rpc.CorruptChunk, "a branch that was asked for is not here")
		}
		fuller.Chunks[digest] = texts[digest]
	}
	return send(&fuller)
}

func (core *Core) offerTo(peer Peer, request *message.AcceptRequest, texts message.Chunks, limit time.Duration) (*message.AcceptResponse, error) {
	until := time.Now().Add(limit)
	return offer(request, texts, func(request *message.AcceptRequest) (*message.AcceptResponse, error) {
		return rpc.Call[message.AcceptRequest, message.AcceptResponse](core.line, peer.Address, "accept", time.Until(until), request)
	})
}

// raised is called when this core's own promise rose; an older leadership here ends.
func (core *Core) raised(term message.Term) {
	core.sawRound(term.Number)
	core.mutex.Lock()
	leadership := core.leadership
	core.mutex.Unlock()
	if leadership != nil && leadership.ballot.Less(term) {
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
			core.leader = message.Leader{Term: leadership.ballot}
		}
		core.heard = time.Now()
	}
	core.mutex.Unlock()
	if mine {
		core.counters.Add("leaderships_ended", 1)
		if core.chart.Now() == Leading {
			core.chart.move(Following)
		}
		core.prompt.Notify()
	}
}

func (core *Core) sawRound(round uint64) {
	core.mutex.Lock()
	core.round = max(core.round, round)
	core.mutex.Unlock()
}

// commit keeps the texts as they are now, since the next vote may drop some.
func (core *Core) commit(register message.Register, accepted message.AcceptedValue, texts message.Chunks) {
	core.mutex.Lock()
	fresh := core.committed[register].Value.Serial < accepted.Value.Serial
	if fresh {
		core.committed[register] = accepted
		if register == message.SettingsRegister {
			core.texts = texts
		}
	}
	core.mutex.Unlock()
	if fresh {
		core.counters.Add("commits", 1)
		core.news.Notify()
		if register == message.RoutingRegister && core.place.enlists() {
			core.goroutines.Start(func() { core.voter.Committed(register, accepted.Version()) })
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

func (core *Core) Table() *message.Table {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.table
}

func (core *Core) holdTable(table *message.Table) {
	core.mutex.Lock()
	fresh := core.table.Version.Less(table.Version)
	if fresh {
		core.tableLog.Record(core.table, table)
		core.table = table
	}
	core.mutex.Unlock()
	if fresh {
		core.news.Notify()
	}
}

func (core *Core) leading() (*Leadership, error) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.leadership == nil {
		err := &rpc.Error{Code: rpc.NotLeader, Message: "another core leads or none"}
		if core.leader.Known() && core.leader.Core != core.members().ID {
			rpc.AsError(err).Leader = core.leader.Address
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
