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
	"orchidjunction/storage"
)

// Core is one core machine's part in the control plane.
type Core struct {
	config       Config
	client       *rpc.Client
	goroutines   *concurrent.Group
	counters     *metrics.Counters
	replica      *Replica
	role         *RoleState
	updates      *concurrent.Condition
	wakeElection *concurrent.Condition
	random       *randomSource
	clock        *clock.Clock
	peerClocks   *PeerClocks
	view         atomic.Pointer[View]

	sessions     *Sessions
	probeHints   *ProbeHints
	backends     *BackendReader
	usage        *Usage
	claims       *ClaimLog
	contentLock  *concurrent.Lock
	founding     *Founding
	routingCache routingCache
	fetchCache   fetchCache
	windows      *WindowMeter

	mutex           sync.Mutex
	leader          message.Leader
	leaderSeenAt    time.Time
	lameduck        bool
	successor       message.Leader
	highestTerm     uint64
	transfer        *message.TransferLeadershipRequest
	leadership      *Leadership
	committed       [message.Registers]message.AcceptedValue
	chunks          message.Chunks
	cachedContent   *content
	table           *message.Table
	tableLog        *message.TableLog
	wantedTable     message.TableVersion
	diskFailure     diskFailure
	electionTimeout time.Duration
	joinAttempts    int
	sharedAt        time.Time
}

func NewCore(place Config, disk storage.Disk, client *rpc.Client, goroutines *concurrent.Group, counters *metrics.Counters) (*Core, error) {
	store, err := OpenStore(disk)
	if err != nil {
		return nil, err
	}
	place = place.withDefaults()
	core := &Core{config: place, client: client, goroutines: goroutines, counters: counters, updates: concurrent.NewCondition(), wakeElection: concurrent.NewCondition(), contentLock: concurrent.NewLock(),
		random: newRandomSource(place.Seed + uint64(place.ID)), table: &message.Table{}, leaderSeenAt: time.Now()}
	core.clock, core.peerClocks = clock.NewClock(place.Wall), newPeerClocks()
	core.tableLog = message.NewTableLog()
	core.founding, core.windows = newFounding(place.InternalAddress), newWindowMeter()
	core.replica = NewReplica(store, core.diskFailed, core.promiseRaised)
	core.replica.onMembership = core.learnMembership
	core.view.Store(place.view(core.replica.State().Membership()))
	if core.claims, err = openClaimLog(disk, place.ID, counters); err != nil {
		return nil, err
	}
	core.role = &RoleState{current: Blank, counters: counters, core: core.membership().ID}
	if !core.replica.Blank() {
		core.role.current = Following
	}
	if kept := core.claims.membership; kept.Value.Serial > firstSerial {
		core.learnMembership(kept)
	}
	if err := store.Err(); err != nil {
		core.diskFailed(err)
	}
	core.highestTerm = core.replica.State().Promised.Number
	core.electionTimeout = core.firstElectionTimeout()
	core.sessions = newSessions(place.SessionTTL)
	core.probeHints = newProbeHints()
	core.usage = newUsage(client.Transport())
	core.backends = newBackendReader(&core.config, client.Transport(), core.Now, counters)
	if accepted, proven := core.replica.State().provenCommitted(message.RoutingRegister); proven {
		core.committed[message.RoutingRegister] = accepted
	}
	return core, nil
}

// Run starts the core's duties.
func (core *Core) Run() {
	if view := core.membership(); view.known() {
		core.config.OnMembershipChange(view.Version, view.addresses())
	}
	core.goroutines.OnStop(core.updates.Notify)
	core.goroutines.OnStop(core.wakeElection.Notify)
	core.goroutines.Start(core.runElections)
	core.goroutines.Start(core.claims.runWriter)
	core.goroutines.Every(concurrent.Fixed(repairInterval), core.repairDisk)
	core.goroutines.OnStop(core.claims.queue.Close)
	core.goroutines.Every(concurrent.Fixed(claimRepairInterval), core.repairClaims)
	core.goroutines.Every(concurrent.Fixed(core.config.HeartbeatInterval), core.sendHeartbeats)
	core.goroutines.Every(concurrent.Fixed(2*core.config.HeartbeatInterval), core.shareSessions)
	core.goroutines.Every(concurrent.Fixed(core.config.TableInterval), core.buildTable)
	core.goroutines.Every(concurrent.Fixed(core.config.TableInterval), core.followTable)
	core.goroutines.Every(core.leaderInterval(concurrent.Fixed(core.config.HeartbeatInterval)), core.changeMembership)
	if core.config.discoversPeers() {
		core.goroutines.Start(core.proveCommittedRouting)
	}
	if core.backends.lister != nil {
		core.goroutines.Every(core.leaderInterval(core.backends.interval), core.readBackends)
	}
	if core.config.Metering.Report != nil {
		core.goroutines.Every(core.leaderInterval(concurrent.Fixed(windowInterval)), core.sealWindows)
		core.goroutines.Every(core.leaderInterval(concurrent.Fixed(windowInterval)), core.reportWindows)
	} else if core.config.PlatformAddress != "" {
		core.goroutines.Every(concurrent.Fixed(usageInterval), core.sealUsage)
		core.goroutines.Every(concurrent.Fixed(usageInterval), core.deliverUsage)
	}
}

// leaderInterval is the pace of a leader's duty, and of a core's that heard of no leader since
// its start; other cores only look whether they lead.
func (core *Core) leaderInterval(leads func() time.Duration) func() time.Duration {
	return func() time.Duration {
		if _, err := core.currentLeadership(); err != nil && !core.neverHeardLeader() {
			return core.config.SuspicionTimeout / 3
		}
		return leads()
	}
}

// Register opens the core's side of the wire.
func (core *Core) Register(server *rpc.Server) {
	rpc.Handle(server, "precheck", handler(core.onPreVote))
	rpc.Handle(server, "promise", handler(core.onPrepare))
	rpc.Handle(server, "accept", handler(core.onAccept))
	rpc.Handle(server, "beat", handler(core.onHeartbeat))
	rpc.Handle(server, "stepdown", handler(core.onTransferLeadership))
	rpc.Handle(server, "restore", handler(core.onReplicaState))
	rpc.Handle(server, "tell", handler(core.onShareSessions))
	rpc.Handle(server, "session", handler(core.onSession))
	rpc.Handle(server, "watch", handler(core.onWatch))
	rpc.Handle(server, "fetch", handler(core.onFetch))
	rpc.Handle(server, "who", handler(core.onLeader))
	rpc.Handle(server, "confirm", handler(core.onReadIndex))
	rpc.Handle(server, "change", handler(core.onChange))
	rpc.Handle(server, "routechange", handler(core.onRouteChange))
	rpc.Handle(server, "routeread", handler(core.onRouteRead))
	rpc.Handle(server, "evacuate", handler(core.onEvacuate))
	rpc.Handle(server, "enlist", handler(core.onJoin))
	rpc.Handle(server, "leave", handler(core.onLeave))
	rpc.Handle(server, "removal", handler(core.onRemoveVoter))
	rpc.Handle(server, "read", handler(core.onRead))
	rpc.Handle(server, "status", handler(core.onStatus))
	rpc.Handle(server, "count", handler(core.onCount))
	rpc.Handle(server, "parts", handler(core.onFetchChunks))
	rpc.Handle(server, "keep", handler(core.onRecordClaims))
	rpc.Handle(server, "pull", handler(core.onFetchClaims))
}

func handler[Asked, Told any](inner func(*Asked) (*Told, error)) func(context.Context, *Asked) (*Told, error) {
	return func(_ context.Context, asked *Asked) (*Told, error) {
		told, err := inner(asked)
		if err != nil {
			return nil, err
		}
		return told, nil
	}
}

// callPeers asks every other voter of a membership at once, until those that agreed
// are enough.
func callPeers[Told any](core *Core, view *View, ask func(peer Peer) (*Told, error), agrees func(*Told) bool, enough func(has func(id int) bool) bool) map[int]*Told {
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

// waitForAll waits for all that are asked.
func waitForAll(func(id int) bool) bool { return false }

// replicate sends the value to every voter of a membership, this one too, until a
// quorum took it; a core gets the branches that it says it lacks.
func (core *Core) replicate(view *View, request *message.AcceptRequest, chunks message.Chunks) error {
	until := time.Now().Add(core.config.writeTimeout())
	voters := append([]Peer{{ID: view.ID, Address: view.Address}}, view.Peers...)
	push := func(index int) (*message.AcceptResponse, error) {
		if index == 0 {
			return core.acceptLocally(request, chunks)
		}
		return core.replicateTo(voters[index], request, chunks, until)
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
			core.observeTermNumber(response.Promised.Number)
		}
	}
	if !view.votes() || !view.quorum(took(got)) {
		return rpc.Errorf(rpc.StaleTerm, "no quorum of membership %d took serial %d under %s", view.Version.Serial, request.Value.Serial, request.Term)
	}
	return nil
}

// acceptLocally offers a value to this core's own replica.
func (core *Core) acceptLocally(request *message.AcceptRequest, chunks message.Chunks) (*message.AcceptResponse, error) {
	return sendAccept(request, chunks, func(request *message.AcceptRequest) (*message.AcceptResponse, error) {
		response, err := core.replica.Accept(request)
		if err != nil {
			return nil, err
		}
		return response, nil
	})
}

// replicateTo offers a value to another core, again while that is out of reach.
func (core *Core) replicateTo(peer Peer, request *message.AcceptRequest, chunks message.Chunks, until time.Time) (*message.AcceptResponse, error) {
	for {
		response, err := core.offerTo(peer, request, chunks, time.Until(until))
		if err == nil || rpc.CodeOf(err) != rpc.Unreachable && rpc.CodeOf(err) != rpc.ConnectFailed || time.Until(until) < core.config.HeartbeatInterval {
			return response, err
		}
		if !core.goroutines.Sleep(core.config.HeartbeatInterval / 2) {
			return nil, rpc.Errorf(rpc.Stopping, "stopping")
		}
	}
}

// sendAccept sends a value, and again with what is lacking.
func sendAccept(request *message.AcceptRequest, chunks message.Chunks, send func(*message.AcceptRequest) (*message.AcceptResponse, error)) (*message.AcceptResponse, error) {
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
		if chunks[digest] == nil {
			return nil, rpc.Errorf(rpc.CorruptChunk, "a branch that was asked for is not here")
		}
		fuller.Chunks[digest] = chunks[digest]
	}
	return send(&fuller)
}

func (core *Core) offerTo(peer Peer, request *message.AcceptRequest, chunks message.Chunks, limit time.Duration) (*message.AcceptResponse, error) {
	until := time.Now().Add(limit)
	return sendAccept(request, chunks, func(request *message.AcceptRequest) (*message.AcceptResponse, error) {
		return rpc.Call[message.AcceptRequest, message.AcceptResponse](core.client, peer.Address, "accept", time.Until(until), request)
	})
}

// promiseRaised is called when this core's own promise rose; an older leadership here ends.
func (core *Core) promiseRaised(term message.Term) {
	core.observeTermNumber(term.Number)
	core.mutex.Lock()
	leadership := core.leadership
	core.mutex.Unlock()
	if leadership != nil && leadership.term.Less(term) {
		core.endLeadership(leadership)
	}
}

func (core *Core) endLeadership(leadership *Leadership) {
	leadership.end()
	core.mutex.Lock()
	mine := core.leadership == leadership
	if mine {
		core.leadership = nil
		if core.leader.Term == leadership.term {
			core.leader = message.Leader{Term: leadership.term}
		}
		core.leaderSeenAt = time.Now()
	}
	core.mutex.Unlock()
	if mine {
		core.counters.Add("leaderships_ended", 1)
		if core.role.Current() == Leading {
			core.role.transition(Following)
		}
		core.wakeElection.Notify()
	}
}

func (core *Core) observeTermNumber(round uint64) {
	core.mutex.Lock()
	core.highestTerm = max(core.highestTerm, round)
	core.mutex.Unlock()
}

// commit keeps the texts as they are now, since the next vote may drop some.
func (core *Core) commit(register message.Register, accepted message.AcceptedValue, chunks message.Chunks) {
	core.mutex.Lock()
	fresh := core.committed[register].Value.Serial < accepted.Value.Serial
	if fresh {
		core.committed[register] = accepted
		if register == message.SettingsRegister {
			core.chunks = chunks
		}
	}
	core.mutex.Unlock()
	if fresh {
		core.counters.Add("commits", 1)
		core.updates.Notify()
		if register == message.RoutingRegister && core.config.discoversPeers() {
			core.goroutines.Start(func() { core.replica.MarkCommitted(register, accepted.Version()) })
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

func (core *Core) setTable(table *message.Table) {
	core.mutex.Lock()
	fresh := core.table.Version.Less(table.Version)
	if fresh {
		core.tableLog.Record(core.table, table)
		core.table = table
	}
	core.mutex.Unlock()
	if fresh {
		core.updates.Notify()
	}
}

func (core *Core) currentLeadership() (*Leadership, error) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.leadership == nil {
		err := &rpc.Error{Code: rpc.NotLeader, Message: "another core leads or none"}
		if core.leader.Known() && core.leader.Core != core.membership().ID {
			rpc.AsError(err).Leader = core.leader.Address
		}
		return nil, err
	}
	return core.leadership, nil
}

// Close lets go of the disk, after the threads ended.
func (core *Core) Close() {
	core.replica.Close()
	core.claims.journal.Close()
	core.client.Close()
}

// servesAsLeader is whether this core leads as far as its daemons need to know: in a
// system whose daemons speak to the leader itself, one that is cut off says no.
func (core *Core) servesAsLeader() bool {
	leadership, err := core.currentLeadership()
	return err == nil && (!core.config.DirectSessions || leadership.check() == nil)
}

// Leads is true while this core leads and every condition stands.
func (core *Core) Leads() bool {
	leadership, err := core.currentLeadership()
	return err == nil && leadership.check() == nil
}
