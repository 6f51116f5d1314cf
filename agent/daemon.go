// Package agent implements what proxies and directories have in common: the session with the
// cores (session.go), the version of settings, routing and table in force (version.go) and
// its updates (watch.go, relay.go, updates.go), readiness (readiness.go, connectivity.go),
// leader discovery (leader_finder.go), forwarding of requests to the leader (forwarder.go),
// and the operator API (operator_api.go, rollout_api.go).
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

// callbacks are the hooks of the daemon's owner; see the methods that set them.
type callbacks struct {
	apply        func(*Version)
	probes       func() []message.Probe
	isKeyReplica func() bool
	isWarm       func() bool
	usage        func() map[string]uint64
	windows      func() []message.WindowCount
	rollouts     func() []message.RolloutCounts
	demand       func() float64
	onRetire     func(remaining time.Duration)
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

// Daemon is a member of the deployment: it holds a session with a core and applies the newest
// version that it receives. It is safe for concurrent use once Run has been called.
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
	updates       *concurrent.Condition // notified when a new version is in force
	version       atomic.Pointer[Version]
	applyMutex    sync.Mutex // held while a version is applied
	catchingUp    atomic.Bool
	sessionLock   *concurrent.Lock // held during a session heartbeat
	sentCounts    sentCounts
	countsFlush   countsFlush
	reportedUsage map[string]uint64

	// mutex guards the fields below.
	mutex            sync.Mutex
	lastCore         string
	failedAt         map[string]time.Time // by address of the core or parent
	lastResponseAt   time.Time
	behindSince      time.Time // when the core first had a newer version, zero if it has none
	newestSerial     uint64    // the highest serial known
	newestSerialAt   time.Time
	confirmed        bool // a leader has confirmed the version in force
	everConfirmed    bool
	unconfirmedSince time.Time
	lastPauseCheck   time.Time
	leaving          bool
	sessionEnded     bool
	stopsAt          time.Time
	parent           string
	lastPeerQuery    time.Time
	leaderTerm       message.Term
}

// NewDaemon returns a daemon, to be started by Run. The incarnation identifies this process.
func NewDaemon(config Config, incarnation string, client *rpc.Client, goroutines *concurrent.Group, counters *metrics.Counters) *Daemon {
	now := time.Now()
	daemon := &Daemon{
		config:           config,
		intervals:        config.Intervals.withDefaults(),
		incarnation:      incarnation,
		client:           client,
		goroutines:       goroutines,
		counters:         counters,
		clock:            clock.NewClock(config.wallClock()),
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

// OnVersion sets the functions that apply a new version and, unless nil, return the health
// checks of backends.
func (daemon *Daemon) OnVersion(apply func(*Version), probes func() []message.Probe) {
	daemon.callbacks.apply = apply
	if probes != nil {
		daemon.callbacks.probes = probes
	}
}

// SetKeyReplica sets the function that reports whether this daemon replicates idempotency keys.
func (daemon *Daemon) SetKeyReplica(isKeyReplica func() bool) {
	daemon.callbacks.isKeyReplica = isKeyReplica
}

// SetDemand sets the function that returns the callers' demand in requests per second.
func (daemon *Daemon) SetDemand(demand func() float64) { daemon.callbacks.demand = demand }

// SetUsage sets the function that returns the requests served so far by tenant.
func (daemon *Daemon) SetUsage(usage func() map[string]uint64) { daemon.callbacks.usage = usage }

// SetWindows sets the function that returns the requests started in the recent windows.
func (daemon *Daemon) SetWindows(windows func() []message.WindowCount) {
	daemon.callbacks.windows = windows
}

// SetRollouts sets the function that returns the counts for the rollouts in force.
func (daemon *Daemon) SetRollouts(rollouts func() []message.RolloutCounts) {
	daemon.callbacks.rollouts = rollouts
}

// SetWarmedUp sets the function that reports whether this daemon has completed its probes.
func (daemon *Daemon) SetWarmedUp(isWarm func() bool) { daemon.callbacks.isWarm = isWarm }

// OnRetire sets the function that sends the last notifications to other processes. Retire calls
// it after draining, with the remaining grace period.
func (daemon *Daemon) OnRetire(notify func(remaining time.Duration)) {
	daemon.callbacks.onRetire = notify
}

// Now returns the cluster time in milliseconds since the Unix epoch.
func (daemon *Daemon) Now() int64 { return daemon.clock.Now() }

// Client returns the RPC client for calls to other processes.
func (daemon *Daemon) Client() *rpc.Client { return daemon.client }

// Incarnation returns the ID of this process.
func (daemon *Daemon) Incarnation() string { return daemon.incarnation }

// Zone returns the daemon's zone.
func (daemon *Daemon) Zone() string { return daemon.config.Zone }

// Name returns the daemon's name.
func (daemon *Daemon) Name() string { return daemon.config.Name }

// Version returns the version in force. The caller must not modify it.
func (daemon *Daemon) Version() *Version { return daemon.version.Load() }

// Run starts the daemon's goroutines, which end when the group is stopped.
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
	daemon.goroutines.Every(concurrent.Fixed(daemon.intervals.PauseCheck), daemon.checkForPause)
	if !daemon.config.ServesAlone {
		daemon.goroutines.Every(concurrent.Fixed(daemon.intervals.PartitionCheck), daemon.checkReachability)
	}
	if daemon.intervals.UsageCount > 0 {
		daemon.goroutines.Every(concurrent.Fixed(daemon.intervals.UsageCount), daemon.sendUsage)
		if daemon.config.DirectSessions {
			daemon.goroutines.Every(concurrent.Fixed(daemon.intervals.UsageCount), daemon.flushCounts)
		}
	}
}

// Register registers the daemon's RPC handlers with a server.
func (daemon *Daemon) Register(server *rpc.Server) {
	rpc.Handle(server, message.MethodWatch, daemon.onWatch)
	rpc.Handle(server, message.MethodFetch, daemon.onFetch)
	rpc.Handle(server, message.MethodFetchChunks, daemon.onFetchChunks)
	rpc.Handle(server, message.MethodLeader, daemon.onLeader)
	rpc.Handle(server, message.MethodChange, func(_ context.Context, request *message.ChangeRequest) (*message.ChangeResponse, error) {
		return Forward(daemon.Forwarder, message.MethodChange, request)
	})
}
