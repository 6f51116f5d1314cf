package main

import (
	"context"
	"os"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/agent"
	"orchidjunction/control"
	"orchidjunction/platform"
	"orchidjunction/process"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

const (
	beat        = 150 * time.Millisecond
	suspect     = 750 * time.Millisecond
	tablePace   = 150 * time.Millisecond
	sessionSpan = 2500 * time.Millisecond
	listShare   = 3.5
	listFastest = 300 * time.Millisecond
	listSlowest = time.Second
	goneAfter   = 2
	settle      = 3500 * time.Millisecond
	callLimit   = 1000 * time.Millisecond
	userTimeout = 1500 * time.Millisecond
	sendLimit   = 800 * time.Millisecond
	seekPace    = 50 * time.Millisecond
	graceRest   = 500 * time.Millisecond
	reportRest  = 1100 * time.Millisecond

	// replaceShare leaves most of the time in which a newcomer has to count for
	// electing a leader, catching up and two rounds of the quorum.
	replaceShare = 4
)

// listPace leaves the larger part of the time to leave a backend for the list's lag
// and for telling everybody.
func listPace(settings *platform.Settings) time.Duration {
	return max(listFastest, min(listSlowest, time.Duration(float64(settings.Bounds.Drain-settings.Platform.Lag)/listShare)))
}

// runCore is the life of a core.
func (node *node) runCore() error {
	settings := node.source.Settings()
	if settings.Folder == "" {
		return rpc.Errorf(rpc.BadFlag, "a core needs a data folder")
	}
	if err := os.MkdirAll(settings.Folder, 0o700); err != nil {
		return rpc.Errorf(rpc.BadFlag, "data folder: %v", err)
	}
	line := rpc.NewClient(process.WANTransport(userTimeout))
	var core *control.Core
	finder := agent.NewLeaderFinder(line, node.goroutines, innerSeeds(settings)).WithIntervals(agent.Intervals{FindLeader: seekPace})
	client := platform.NewClient(settings.Platform.Address, process.WANTransport(userTimeout), func() int64 { return core.Now() })
	config := control.Config{
		Name: settings.Name, Zone: settings.Zone, InternalAddress: inner(settings, settings.Address), Seeds: innerSeeds(settings), Bootstrap: settings.First,
		MinFounders: 2*settings.Survive.Machines + 1, HeartbeatInterval: beat, SuspicionTimeout: suspect, Seed: uint64(time.Now().UnixNano()), DirectSessions: true, TableInterval: tablePace,
		SessionTTL: sessionSpan, ListBackends: client.ListBackends, ListInterval: listPace(settings), ListsUntilGone: goneAfter,
		ReplaceAfter: settings.Bounds.CatchUp / replaceShare, OnMembershipChange: finder.ObserveMembership,
	}
	if settings.Metered() {
		config.Metering = control.Metering{Window: settings.Bounds.ReportWindow, SettleAfter: settle, SettleLatest: settings.Bounds.UsageDelay - reportRest, TakeoverQuiet: settings.Bounds.Lease, Report: func(report control.WindowReport) control.ReportResult {
			ctx, cancel := context.WithTimeout(context.Background(), callLimit)
			defer cancel()
			return client.Report(ctx, report)
		}}
	}
	if err := config.Check(); err != nil {
		return err
	}
	core, err := control.NewCore(config, storage.Folder(settings.Folder), line, node.goroutines, node.counters)
	if err != nil {
		return err
	}
	server := rpc.NewServer(node.counters)
	core.Register(server)
	forwarder := agent.NewForwarder(finder, line, node.counters).WithLimits(agent.ForwardLimits{Attempt: sendLimit})
	forwarder.SetLocalLeader(core.Leader)
	orders := platform.NewControl(platform.NewLeaderOrders(forwarder), func() map[string]string { return node.source.Settings().Zones }, node.counters)
	if err := node.open(side{config.InternalAddress, server}, side{settings.Listen.Operators, orders}); err != nil {
		return err
	}
	finder.Run()
	core.Run()
	node.source.Follow(node.goroutines)
	process.LogCounts(node.goroutines, node.counters, settings.Name)
	process.OnTerm(node.goroutines, func() {
		begin, grace := time.Now(), settings.Bounds.Grace-graceRest
		core.Retire(grace)
		node.listeners[1].Drain(grace - time.Since(begin))
		node.goroutines.Stop()
	})
	klog.Infof("%s: core started in zone %s", settings.Name, settings.Zone)
	node.goroutines.Wait()
	core.Close()
	return nil
}
