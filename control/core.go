// Package control implements a core, one of the few machines that hold the system's
// state. The cores elect a leader (election.go, revocation.go, establishment.go). The
// leader replicates changes of the registers to a quorum (leadership.go, replication.go),
// replaces voters (replacement.go), and builds the table of daemons and backends (table.go,
// sessions.go, backends.go). Every core serves committed values to the daemons
// (registers.go) and records claims on idempotency keys (claims.go).
//
// Package consensus has the rules of agreement, and package replica a core's durable
// state. This package adds messages, clocks, time-outs and goroutines.
package control

import (
	"net/http"
	"sync"
	"time"

	"orchidjunction/clock"
	"orchidjunction/concurrent"
	"orchidjunction/consensus"
	"orchidjunction/discovery"
	"orchidjunction/idempotency"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/replica"
	"orchidjunction/rollout"
	"orchidjunction/rpc"
	"orchidjunction/storage"
	"orchidjunction/usage"
)

// Core is one core. It is safe for concurrent use.
type Core struct {
	config     Config
	client     *rpc.Client
	goroutines *concurrent.Group
	counters   *metrics.Counters
	random     *randomSource
	clock      *clock.Clock
	peerClocks *PeerClocks
	clockTrust clockTrust

	// Consensus.
	replica  *replica.Replica
	members  *consensus.Tracker
	role     *RoleState
	founders *Founders
	founding *foundingStore

	// Daemons, backends and usage.
	sessions    *Sessions
	probeHints  *ProbeHints
	backends    *discovery.Reader
	usage       *usage.Sums
	windows     *usage.Windows
	reporting   reportingState
	usageCopies *usageCopies
	claims      *idempotency.Log

	platformClient *http.Client
	readsBackends  bool

	// updates is notified when a value is committed, a table is built or the leader changes,
	// and wakeElection when the election loop has work to do.
	updates          *concurrent.Condition
	wakeElection     *concurrent.Condition
	contentLock      *concurrent.Lock
	routingCache     routingCache
	rolloutsCache    rolloutsCache
	rolloutReports   rolloutReports
	waitingRollouts  []rollout.Waiting
	observedBackends observedBackends
	listed           listedBackendsCache
	fetchCache       fetchCache

	// mutex guards the fields below. It is never held during a call or a disk write.
	mutex            sync.Mutex
	election         electionState
	leadership       *Leadership
	committed        [message.Registers]message.AcceptedValue
	chunks           message.Chunks
	content          *settingsContent
	tables           tableState
	diskFailure      diskFailure
	sessionsSharedAt time.Time
}

// NewCore opens the data on a disk and returns a core that Run starts. It returns CorruptStore
// or DiskFailure if the data cannot be read.
func NewCore(
	config Config,
	disk storage.Disk,
	client *rpc.Client,
	goroutines *concurrent.Group,
	counters *metrics.Counters,
) (*Core, error) {
	store, err := replica.OpenStore(disk)
	if err != nil {
		return nil, err
	}
	core := newCore(config, store, client, goroutines, counters)
	if core.founding, err = openFoundingStore(disk); err != nil {
		return nil, err
	}
	if core.claims, err = idempotency.OpenLog(disk, core.config.ID, counters); err != nil {
		return nil, err
	}
	if stored := core.claims.Membership(); stored.Value.Serial > consensus.InitialSerial {
		core.learnMembership(stored)
	}
	if core.config.Metering.Report != nil {
		core.usageCopies.open(usage.OpenWindowLog(disk, core.windows))
	}
	if err := store.Err(); err != nil {
		core.diskFailed(err)
	}
	core.election.timeout = core.firstElectionTimeout()
	for _, register := range commitMarkedRegisters {
		if accepted, isProven := core.replica.State().ProvenCommitted(register); isProven {
			core.committed[register] = accepted
		}
	}
	return core, nil
}

// newCore returns a core without a claim log and with no election time-out set.
func newCore(config Config, store *replica.Store, client *rpc.Client, goroutines *concurrent.Group, counters *metrics.Counters) *Core {
	config = config.withDefaults()
	core := &Core{
		config:       config,
		client:       client,
		goroutines:   goroutines,
		counters:     counters,
		random:       newRandomSource(config.Seed + uint64(config.ID)),
		clock:        clock.NewClock(config.Wall),
		peerClocks:   newPeerClocks(),
		clockTrust:   newClockTrust(),
		founders:     newFounders(config.InternalAddress),
		sessions:     newSessions(config.SessionTTL),
		probeHints:   newProbeHints(),
		usage:        usage.NewSums(),
		windows:      usage.NewWindows(),
		reporting:    reportingState{startedAt: time.Now()},
		updates:      concurrent.NewCondition(),
		wakeElection: concurrent.NewCondition(),
		contentLock:  concurrent.NewLock(),
		tables:       newTableState(),
	}
	core.usageCopies = newUsageCopies(core)
	core.replica = replica.New(store, replica.Callbacks{
		DiskFailed:         core.diskFailed,
		PromiseRaised:      core.promiseRaised,
		MembershipAccepted: core.learnMembership,
	})
	core.members = consensus.NewTracker(config.initialView(core.replica.State().Membership()), core.membershipChanged)
	core.role = newRoleState(Following, core.membership().ID, counters)
	if core.replica.Blank() {
		core.role = newRoleState(Blank, core.membership().ID, counters)
	}
	core.election.leaderSeenAt = time.Now()
	core.election.highestTerm = core.replica.State().Promised.Number
	core.platformClient = &http.Client{Transport: client.Transport()}
	core.backends = discovery.NewReader(core.discoveryOptions(), counters)
	core.registerGauges()
	return core
}

// Run starts the core's goroutines. They end when the group is stopped.
func (core *Core) Run() {
	if view := core.membership(); view.HasMembership() {
		core.config.OnMembershipChange(view.Version, view.Addresses())
	}
	core.goroutines.OnStop(core.updates.Notify)
	core.goroutines.OnStop(core.wakeElection.Notify)
	core.goroutines.OnStop(core.claims.Stop)
	core.goroutines.Start(core.runElections)
	core.goroutines.Start(core.claims.RunWriter)
	if core.config.discoversPeers() {
		core.goroutines.Start(core.runRoutingRecovery)
	}
	core.startPeriodicTasks()
}

// startPeriodicTasks starts the periodic tasks. Most of them act only on the leader.
func (core *Core) startPeriodicTasks() {
	config, every := &core.config, core.goroutines.Every
	every(concurrent.Fixed(repairInterval), core.repairDisk)
	every(concurrent.Fixed(claimRepairInterval), core.repairClaims)
	every(concurrent.Fixed(config.HeartbeatInterval), core.sendHeartbeats)
	every(concurrent.Fixed(2*config.HeartbeatInterval), core.shareSessions)
	every(concurrent.Fixed(config.TableInterval), core.buildTable)
	every(concurrent.Fixed(config.TableInterval), core.fetchLeaderTable)
	every(core.leaderInterval(concurrent.Fixed(rolloutDecisionInterval)), core.decideRollouts)
	every(core.leaderInterval(concurrent.Fixed(config.HeartbeatInterval)), core.changeMembership)
	if core.readsBackends {
		every(core.leaderInterval(core.backends.Interval), core.readBackends)
	}
	switch {
	case config.Metering.Report != nil:
		every(concurrent.Fixed(journalInterval), core.journalUsage)
		every(concurrent.Fixed(copyInterval), core.copyUsage)
		every(core.leaderInterval(concurrent.Fixed(fetchCountsInterval)), core.fetchUsage)
		every(core.leaderInterval(concurrent.Fixed(windowInterval)), core.sealWindows)
		every(core.leaderInterval(concurrent.Fixed(windowInterval)), core.reportWindows)
	case config.PlatformAddress != "":
		every(concurrent.Fixed(usageInterval), core.sealUsage)
		every(concurrent.Fixed(usageInterval), core.deliverUsage)
	}
}

// leaderInterval returns the interval of a task that runs on the leader, and on a core that
// has heard of no leader since its start. Other cores only check in between whether they lead.
func (core *Core) leaderInterval(interval func() time.Duration) func() time.Duration {
	return func() time.Duration {
		if _, err := core.currentLeadership(); err != nil && !core.neverHeardLeader() {
			return core.config.SuspicionTimeout / 3
		}
		return interval()
	}
}

// Close closes the disk. The goroutines must have ended.
func (core *Core) Close() {
	core.replica.Close()
	core.claims.Close()
	core.usageCopies.close()
	core.client.Close()
}

// currentLeadership returns this core's leadership, or else NotLeader with the address of the
// leader if it is known.
func (core *Core) currentLeadership() (*Leadership, error) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.leadership != nil {
		return core.leadership, nil
	}
	notLeader := &rpc.Error{Code: rpc.NotLeader, Message: "this core is not the leader"}
	if leader := core.election.leader; leader.Known() && leader.Core != core.membership().ID {
		notLeader.Leader = leader.Address
	}
	return nil, notLeader
}

// endLeadership ends a leadership of this core. Only the first call for a leadership changes
// the core's state.
func (core *Core) endLeadership(leadership *Leadership) {
	leadership.end()
	core.mutex.Lock()
	isCurrent := core.leadership == leadership
	if isCurrent {
		core.leadership = nil
		core.election.leadershipEnded(leadership.term)
	}
	core.mutex.Unlock()
	if !isCurrent {
		return
	}
	core.counters.Add("leaderships_ended", 1)
	if core.role.Current() == Leading {
		core.role.transition(Following)
	}
	core.wakeElection.Notify()
}

// Leads reports whether this core leads and every condition of its leadership holds.
func (core *Core) Leads() bool {
	leadership, err := core.currentLeadership()
	return err == nil && leadership.check() == nil
}

// advertisesLeadership reports whether this core tells daemons that it leads. Where daemons
// hold their sessions with the leader itself, a leader that is cut off from the majority does
// not.
func (core *Core) advertisesLeadership() bool {
	leadership, err := core.currentLeadership()
	return err == nil && (!core.config.DirectSessions || leadership.check() == nil)
}
