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

// The times of a core on the platform. Regions are tens of milliseconds apart;
// suspicionTimeout leaves room for lost heartbeats.
const (
	heartbeatInterval = 150 * time.Millisecond
	suspicionTimeout  = 750 * time.Millisecond
	tableInterval     = 150 * time.Millisecond
	sessionTTL        = 2500 * time.Millisecond
	findInterval      = 50 * time.Millisecond // between questions for the leader
	// attemptTimeout bounds one attempt to bring a change to the leader, reportTimeout one
	// to report usage, and userTimeout the time in which sent bytes must be acknowledged.
	attemptTimeout = 800 * time.Millisecond
	reportTimeout  = 1000 * time.Millisecond
	userTimeout    = 1500 * time.Millisecond
	// settleAfter is the time after a window's end in which its counts come in;
	// reportMargin is kept free before a report is due.
	settleAfter  = 3500 * time.Millisecond
	reportMargin = 1100 * time.Millisecond
	// graceMargin is kept free between the last work of a process and its end.
	graceMargin = 500 * time.Millisecond
)

// How the list of backends is read.
const (
	minListInterval = 300 * time.Millisecond
	maxListInterval = time.Second
	// listShare is the part of the time to leave a backend that one interval may take.
	listShare = 3.5
	// listsUntilGone is how many whole lists in a row must lack a backend that is gone.
	listsUntilGone = 2
)

// replaceShare leaves most of the time in which a newcomer has to count for
// electing a leader, catching up and two rounds of the quorum.
const replaceShare = 4

// listInterval leaves the larger part of the time to leave a backend for the list's lag
// and for telling everybody.
func listInterval(settings *platform.Settings) time.Duration {
	interval := time.Duration(float64(settings.Bounds.Drain-settings.Platform.Lag) / listShare)
	return max(minListInterval, min(maxListInterval, interval))
}

// runCore runs a core until the process is asked to end.
func (node *node) runCore() error {
	settings := node.source.Settings()
	if err := makeDataFolder(settings.Folder); err != nil {
		return err
	}
	client := rpc.NewClient(process.WANTransport(userTimeout))
	finder := agent.NewLeaderFinder(client, node.goroutines, internalSeeds(settings)).
		WithIntervals(agent.Intervals{FindLeader: findInterval})
	var core *control.Core
	platformClient := platform.NewClient(settings.Platform.Address, process.WANTransport(userTimeout), func() int64 { return core.Now() })
	config := coreConfig(settings, platformClient)
	config.OnMembershipChange = finder.ObserveMembership
	config.ListZones = func() []string { return slices.Collect(maps.Keys(node.source.Settings().Zones)) }
	if err := config.Check(); err != nil {
		return err
	}
	core, err := control.NewCore(config, storage.Folder(settings.Folder), client, node.goroutines, node.counters)
	if err != nil {
		return err
	}
	server := rpc.NewServer(node.counters)
	core.Register(server)
	forwarder := agent.NewForwarder(finder, client, node.counters).WithLimits(agent.ForwardLimits{Attempt: attemptTimeout})
	forwarder.SetLocalLeader(core.Leader)
	operators := platform.NewControl(
		platform.NewLeaderOrders(forwarder),
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
	node.source.Follow(node.goroutines)
	process.LogCounts(node.goroutines, node.counters, settings.Name)
	process.OnTerm(node.goroutines, func() {
		begin, grace := time.Now(), settings.Bounds.Grace-graceMargin
		core.Retire(grace)
		node.listeners[1].Drain(grace - time.Since(begin))
		node.goroutines.Stop()
	})
	klog.Infof("%s: core started in zone %s", settings.Name, settings.Zone)
	node.goroutines.Wait()
	core.Close()
	return nil
}

// makeDataFolder makes the folder in which a core keeps its state.
func makeDataFolder(folder string) error {
	if folder == "" {
		return rpc.Errorf(rpc.BadFlag, "a core needs a data folder")
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return rpc.Errorf(rpc.BadFlag, "data folder: %v", err)
	}
	return nil
}

// coreConfig is the config of a core by the platform's settings.
func coreConfig(settings *platform.Settings, platformClient *platform.Client) control.Config {
	config := control.Config{
		Name:              settings.Name,
		Zone:              settings.Zone,
		InternalAddress:   internalAddress(settings, settings.Address),
		Seeds:             internalSeeds(settings),
		Bootstrap:         settings.First,
		MinFounders:       2*settings.Survive.Machines + 1,
		HeartbeatInterval: heartbeatInterval,
		SuspicionTimeout:  suspicionTimeout,
		Seed:              uint64(time.Now().UnixNano()),
		DirectSessions:    true,
		TableInterval:     tableInterval,
		SessionTTL:        sessionTTL,
		ListBackends:      platformClient.ListBackends,
		ListInterval:      listInterval(settings),
		ListsUntilGone:    listsUntilGone,
		ReplaceAfter:      settings.Bounds.CatchUp / replaceShare,
		Rollouts:          rollout.Bounds{Share: settings.Bounds.CanaryShare, Extra: settings.Bounds.CanaryExtra},
	}
	if !settings.Metered() {
		return config
	}
	config.Metering = control.Metering{
		Window:        settings.Bounds.ReportWindow,
		SettleAfter:   settleAfter,
		SettleLatest:  settings.Bounds.UsageDelay - reportMargin,
		TakeoverQuiet: settings.Bounds.Lease,
		Report: func(report control.WindowReport) control.ReportResult {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			return platformClient.Report(ctx, report)
		},
	}
	return config
}
