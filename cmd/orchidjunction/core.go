package main

import (
	"context"
	"maps"
	"net/http"
	"os"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/agent"
	"orchidjunction/control"
	"orchidjunction/platform"
	"orchidjunction/process"
	"orchidjunction/rollout"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

// Intervals and timeouts of a core on the platform. The latency between regions is tens of
// milliseconds; suspicionTimeout tolerates lost heartbeats.
const (
	heartbeatInterval  = 150 * time.Millisecond
	suspicionTimeout   = 750 * time.Millisecond
	tableInterval      = 150 * time.Millisecond
	sessionTTL         = 2500 * time.Millisecond
	findLeaderInterval = 50 * time.Millisecond // between queries for the leader
	// attemptTimeout bounds one attempt to forward a change to the leader, reportTimeout one
	// to report usage, and userTimeout the time until sent bytes are acknowledged.
	attemptTimeout = 800 * time.Millisecond
	reportTimeout  = 1000 * time.Millisecond
	userTimeout    = 1500 * time.Millisecond
	// usageSettleDelay is the time after a window's end in which its counts arrive;
	// reportMargin is reserved before a report is due.
	usageSettleDelay = 3500 * time.Millisecond
	reportMargin     = 1100 * time.Millisecond
	// graceMargin is reserved between the last work of a process and the end of its grace period.
	graceMargin = 500 * time.Millisecond
)

// Constants for reading the list of backends.
const (
	minListInterval = 300 * time.Millisecond
	maxListInterval = time.Second
	// drainDivisor is the ratio of the time to drain a backend, less the lag of the list, to the
	// interval between two reads.
	drainDivisor = 3.5
	// missingListsUntilGone is the number of consecutive complete lists without a backend after
	// which it counts as gone.
	missingListsUntilGone = 2
)

// replaceDivisor divides the time within which a new core must count: a voter is replaced after
// being silent for that part. The rest is left for an election, catching up and two quorum rounds.
const replaceDivisor = 4

// listInterval returns the interval between two reads of the list. It leaves most of the time to
// drain a backend for the lag of the list and for informing all processes.
func listInterval(settings *platform.Settings) time.Duration {
	interval := time.Duration(float64(settings.Bounds.Drain-settings.Platform.ListLag) / drainDivisor)
	return max(minListInterval, min(maxListInterval, interval))
}

func (node *node) runCore() error {
	settings := node.source.Settings()
	if err := makeDataFolder(settings.StateDir); err != nil {
		return err
	}
	client := rpc.NewClient(process.WANTransport(userTimeout))
	finder := agent.NewLeaderFinder(client, node.goroutines, internalSeeds(settings)).
		WithIntervals(agent.Intervals{FindLeader: findLeaderInterval})
	var core *control.Core
	platformAddress := func() string { return node.source.Settings().Platform.Address }
	platformClient := platform.NewClient(platformAddress, process.WANTransport(userTimeout), func() int64 { return core.Now() })
	config := coreConfig(settings, platformClient)
	config.OnMembershipChange = finder.ObserveMembership
	config.ListZones = func() []string { return slices.Collect(maps.Keys(node.source.Settings().Zones)) }
	if err := config.Check(); err != nil {
		return err
	}
	core, err := control.NewCore(config, storage.Folder(settings.StateDir), client, node.goroutines, node.counters)
	if err != nil {
		return err
	}
	server := rpc.NewServer(node.counters)
	core.Register(server)
	forwarder := agent.NewForwarder(finder, client, node.counters).WithLimits(agent.ForwardLimits{Attempt: attemptTimeout})
	forwarder.SetLocalLeader(core.Leader)
	operators := platform.NewOperatorAPI(
		platform.NewLeaderCommands(forwarder),
		func() map[string]string { return node.source.Settings().Zones },
		node.counters,
	)
	orders := http.NewServeMux()
	orders.Handle(agent.RolloutPath, agent.NewRolloutAPI(forwarder, node.counters))
	orders.Handle(agent.RolloutPath+"/", agent.NewRolloutAPI(forwarder, node.counters))
	orders.Handle("/", operators)
	if err := node.open(
		nil,
		endpoint{address: config.InternalAddress, handler: server},
		endpoint{address: settings.Listen.Operators, handler: withMetrics(node.counters, orders), external: true},
	); err != nil {
		return err
	}
	finder.Run()
	core.Run()
	node.source.Follow(node.goroutines, platform.CoreLiveFields, node.counters)
	process.LogCounts(node.goroutines, node.counters, settings.Name)
	process.OnTerminate(node.goroutines, func() {
		start, grace := time.Now(), settings.Bounds.Grace-graceMargin
		core.Retire(grace)
		node.listeners[1].Drain(grace - time.Since(start))
		node.goroutines.Stop()
	})
	klog.Infof("%s: core started in zone %s", settings.Name, settings.Zone)
	node.goroutines.Wait()
	core.Close()
	return nil
}

func makeDataFolder(folder string) error {
	if folder == "" {
		return rpc.Errorf(rpc.BadFlag, "a core requires a data folder in the settings")
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return rpc.Errorf(rpc.BadFlag, "data folder: %v", err)
	}
	return nil
}

func coreConfig(settings *platform.Settings, platformClient *platform.Client) control.Config {
	config := control.Config{
		Name:                     settings.Name,
		Zone:                     settings.Zone,
		InternalAddress:          internalAddress(settings, settings.Address),
		Seeds:                    internalSeeds(settings),
		Bootstrap:                settings.Bootstrap,
		MinFounders:              2*settings.Survive.Machines + 1,
		HeartbeatInterval:        heartbeatInterval,
		SuspicionTimeout:         suspicionTimeout,
		Seed:                     uint64(time.Now().UnixNano()),
		DirectSessions:           true,
		TableInterval:            tableInterval,
		SessionTTL:               sessionTTL,
		ListBackends:             platformClient.ListBackends,
		ListInterval:             listInterval(settings),
		MissingListsUntilRemoved: missingListsUntilGone,
		ReplaceAfter:             settings.Bounds.CatchUp / replaceDivisor,
		Rollouts:                 rollout.Bounds{Share: settings.Bounds.CanaryShare, Extra: settings.Bounds.CanaryExtra},
	}
	if !settings.Metered() {
		return config
	}
	config.Metering = control.Metering{
		Window:              settings.Bounds.ReportWindow,
		SettleAfter:         usageSettleDelay,
		SettleLatest:        settings.Bounds.UsageDelay - reportMargin,
		TakeoverQuietPeriod: settings.Bounds.Lease,
		Report: func(report control.WindowReport) control.ReportResult {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			return platformClient.Report(ctx, report)
		},
	}
	return config
}
