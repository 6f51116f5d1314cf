// Package agent is what every daemon shares, proxy or directory: its session with the
// cores (session.go), the version of settings, routing and table that is in force in it
// (version.go) and the updates of that (watch.go, relay.go, updates.go), whether it may
// serve (readiness.go, connectivity.go), the search for the leader (leader_finder.go),
// the forwarding of orders to the leader (forwarder.go), and the operators' API.
package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"orchidjunction/clock"
	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// callbacks are what the daemon's owner brings; see the methods that set them.
type callbacks struct {
	apply        func(*Version)
	probes       func() []message.Probe
	isKeyReplica func() bool
	isWarm       func() bool
	usage        func() map[string]uint64
	windows      func() []message.WindowCount
	rollouts     func() []message.RolloutCounts
	demand       func() float64
	onRetire     func(rest time.Duration)
}

func defaultCallbacks() callbacks {
	return callbacks{
		apply:        func(*Version) {},
		probes:       func() []message.Probe { return nil },
		isKeyReplica: func() bool { return false },
		isWarm:       func() bool { return true },
		usage:        func() map[string]uint64 { return nil },
		windows:      func() []message.WindowCount { return nil },
		rollouts:     func() []message.RolloutCounts { return nil },
		demand:       func() float64 { return 0 },
		onRetire:     func(time.Duration) {},
	}
}

// Daemon is a member of the deployment: it holds a session with a core and serves by the
// newest version that it gets. It is safe for concurrent use once Run was called.
type Daemon struct {
	config        Config
	intervals     Intervals
	incarnation   string
	client        *rpc.Client
	goroutines    *concurrent.Group
	counters      *metrics.Counters
	clock         *clock.Clock
	callbacks     callbacks
	LeaderFinder  *LeaderFinder
	Forwarder     *Forwarder
	connectivity  connectivity
	watchState    watchState
	updates       *concurrent.Condition // notified when another version is in force
	version       atomic.Pointer[Version]
	applyMutex    sync.Mutex // held while a version is put in force
	catchingUp    atomic.Bool
	sessionLock   *concurrent.Lock // held over a heartbeat of the session
	sentCounts    sentCounts
	countsFlush   countsFlush
	reportedUsage map[string]uint64

	// mutex guards what follows.
	mutex            sync.Mutex
	lastCore         string
	failedAt         map[string]time.Time // by the cores' and parents' addresses
	lastResponseAt   time.Time
	behindSince      time.Time // since when the core holds a newer version, zero if it does not
	newestSeen       uint64    // the highest serial heard of
	newestSeenAt     time.Time
	confirmed        bool // the version in force was proved by a leader
	everConfirmed    bool
	unconfirmedSince time.Time
	lastPauseCheck   time.Time
	leaving          bool
	ended            bool
	endsAt           time.Time
	parent           string
	lastPeerQuery    time.Time
	leaderTerm       message.Term
}

// NewDaemon returns a daemon that Run starts. Incarnation identifies this process.
func NewDaemon(config Config, incarnation string, client *rpc.Client, goroutines *concurrent.Group, counters *metrics.Counters) *Daemon {
	now := time.Now()
	daemon := &Daemon{
		config:           config,
		intervals:        config.Intervals.withDefaults(),
		incarnation:      incarnation,
		client:           client,
		goroutines:       goroutines,
		counters:         counters,
		clock:            clock.NewClock(config.wall()),
		callbacks:        defaultCallbacks(),
		updates:          concurrent.NewCondition(),
		sessionLock:      concurrent.NewLock(),
		failedAt:         map[string]time.Time{},
		lastPauseCheck:   now,
		unconfirmedSince: now,
	}
	daemon.connectivity.recordCoreContact(now)
	daemon.countsFlush.voterIndex = rand.IntN(voterIndexRange)
	daemon.LeaderFinder = NewLeaderFinder(client, goroutines, config.Seeds).WithIntervals(daemon.intervals)
	if config.DirectSessions && config.Routed {
		daemon.LeaderFinder.onResponse = daemon.fetchInitialVersion
	}
	daemon.Forwarder = NewForwarder(daemon.LeaderFinder, client, counters).WithLimits(config.ForwardLimits)
	daemon.version.Store(&Version{Table: &message.Table{}})
	daemon.registerGauges()
	return daemon
}

// OnVersion sets what puts each new version in force, and what returns the health checks
// of backends.
func (daemon *Daemon) OnVersion(apply func(*Version), probes func() []message.Probe) {
	daemon.callbacks.apply = apply
	if probes != nil {
		daemon.callbacks.probes = probes
	}
}

// SetKeepsClaims sets what says whether this daemon is a replica of idempotency keys.
func (daemon *Daemon) SetKeepsClaims(isKeyReplica func() bool) {
	daemon.callbacks.isKeyReplica = isKeyReplica
}

// SetDemand sets what returns the requests a second that callers ask of this daemon.
func (daemon *Daemon) SetDemand(demand func() float64) { daemon.callbacks.demand = demand }

// SetUsage sets what returns the requests served so far, by tenant.
func (daemon *Daemon) SetUsage(usage func() map[string]uint64) { daemon.callbacks.usage = usage }

// SetWindows sets what returns the requests begun so far in the last few windows.
func (daemon *Daemon) SetWindows(windows func() []message.WindowCount) {
	daemon.callbacks.windows = windows
}

// SetRollouts sets what returns what was counted so far for the roll-outs in force.
func (daemon *Daemon) SetRollouts(rollouts func() []message.RolloutCounts) {
	daemon.callbacks.rollouts = rollouts
}

// SetWarm sets what says whether this daemon has probed what it needs.
func (daemon *Daemon) SetWarm(isWarm func() bool) { daemon.callbacks.isWarm = isWarm }

// OnRetire sets what others must be notified of before a planned end, within the rest of its
// time.
func (daemon *Daemon) OnRetire(finish func(rest time.Duration)) { daemon.callbacks.onRetire = finish }

// Now returns the time of day as the cores agree on it, in milliseconds since the Unix
// epoch.
func (daemon *Daemon) Now() int64 { return daemon.clock.Now() }

// Client returns the client for calls to other processes.
func (daemon *Daemon) Client() *rpc.Client { return daemon.client }

// Incarnation returns what identifies this process.
func (daemon *Daemon) Incarnation() string { return daemon.incarnation }

// Zone returns the zone that this daemon is in.
func (daemon *Daemon) Zone() string { return daemon.config.Zone }

// Name returns the daemon's name.
func (daemon *Daemon) Name() string { return daemon.config.Name }

// Version returns the version in force. It must not be changed.
func (daemon *Daemon) Version() *Version { return daemon.version.Load() }

// Run starts the daemon's goroutines. They end when the group is stopped.
func (daemon *Daemon) Run() {
	daemon.LeaderFinder.Run()
	daemon.goroutines.OnStop(daemon.updates.Notify)
	daemon.goroutines.Start(daemon.runSessions)
	if daemon.config.DirectSessions {
		daemon.goroutines.OnStop(func() { daemon.watchState.stop(daemon.watchState.current()) })
		daemon.goroutines.Start(daemon.watchCores)
	} else {
		daemon.goroutines.Start(daemon.watchParents)
	}
	daemon.goroutines.Start(daemon.confirmVersion)
	daemon.goroutines.Every(concurrent.Fixed(daemon.intervals.Pulse), daemon.checkForPause)
	if !daemon.config.ServesAlone {
		daemon.goroutines.Every(concurrent.Fixed(daemon.intervals.CheckReach), daemon.checkReachability)
	}
	if daemon.intervals.UsageCount > 0 {
		daemon.goroutines.Every(concurrent.Fixed(daemon.intervals.UsageCount), daemon.sendUsage)
		if daemon.config.DirectSessions {
			daemon.goroutines.Every(concurrent.Fixed(daemon.intervals.UsageCount), daemon.flushCounts)
		}
	}
}

// Register makes a server answer the calls to this daemon.
func (daemon *Daemon) Register(server *rpc.Server) {
	rpc.Handle(server, message.MethodWatch, daemon.onWatch)
	rpc.Handle(server, message.MethodFetch, daemon.onFetch)
	rpc.Handle(server, message.MethodFetchChunks, daemon.onFetchChunks)
	rpc.Handle(server, message.MethodLeader, daemon.onLeader)
	rpc.Handle(server, message.MethodChange, func(_ context.Context, request *message.ChangeRequest) (*message.ChangeResponse, error) {
		return Forward(daemon.Forwarder, message.MethodChange, request)
	})
}
