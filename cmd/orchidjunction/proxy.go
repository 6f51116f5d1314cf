package main

import (
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/agent"
	"orchidjunction/hostproxy"
	"orchidjunction/message"
	"orchidjunction/platform"
	"orchidjunction/process"
	"orchidjunction/rpc"
)

// Intervals and timeouts of a proxy on the platform.
const (
	sessionInterval    = 500 * time.Millisecond
	watchTimeout       = 2500 * time.Millisecond
	pulseInterval      = 500 * time.Millisecond
	checkReachInterval = 500 * time.Millisecond
	// usageInterval is the interval at which usage counts are reported to the leader. Until then
	// only this process has them, and a crash loses them.
	usageInterval = 250 * time.Millisecond
	// backendUserTimeout is the maximum time until a backend acknowledges sent bytes.
	backendUserTimeout = 700 * time.Millisecond
	// retireLinger is the time for which a stopping proxy still accepts requests, until clients
	// have learned that it is leaving.
	retireLinger = 2500 * time.Millisecond
)

// keepAlive detects connections to backends whose machine is gone.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

func agentConfig(settings *platform.Settings) agent.Config {
	address := internalAddress(settings, settings.Address)
	return agent.Config{
		Name:            settings.Name,
		Kind:            message.ProxyKind,
		Zone:            settings.Zone,
		InternalAddress: address,
		PublicAddress:   settings.Listen.Clients,
		OperatorAddress: address,
		Seeds:           internalSeeds(settings),
		Intervals: agent.Intervals{
			Session: sessionInterval, Watch: watchTimeout, FindLeader: findLeaderInterval,
			PauseCheck: pulseInterval, PartitionCheck: checkReachInterval, UsageCount: usageInterval,
		},
		ForwardLimits:  agent.ForwardLimits{Attempt: attemptTimeout},
		DirectSessions: true,
		ServesAlone:    true,
		Routed:         true,
	}
}

func proxyConfig(settings *platform.Settings) hostproxy.Config {
	return hostproxy.Config{
		Name:               settings.Name,
		Zone:               settings.Zone,
		Regions:            settings.Zones,
		Headers:            platform.RequestHeaders(),
		RetryRatio:         settings.Bounds.RetryRatio,
		RetryExtra:         settings.Bounds.RetryExtra,
		WarmupExcess:       settings.Bounds.WarmupExcess,
		WarmupExtra:        settings.Bounds.WarmupExtra,
		UsageWindow:        settings.Bounds.ReportWindow,
		MemoryBytes:        int64(settings.Machine.MemoryMB) << 20,
		UserTimeout:        backendUserTimeout,
		BackendListLag:     settings.Platform.ListLag,
		LinkBytesPerSecond: settings.Machine.LinkMbps * 1e6 / 8,
	}
}

func (node *node) runProxy() error {
	settings := node.source.Settings()
	client := rpc.NewClient(process.WANTransport(userTimeout))
	config := agentConfig(settings)
	if err := config.Check(); err != nil {
		return err
	}
	daemon := agent.NewDaemon(config, agent.NewID(), client, node.goroutines, node.counters)
	planeConfig := proxyConfig(settings)
	control := process.SetUserTimeout(backendUserTimeout)
	if planeConfig.LinkBytesPerSecond > 0 {
		control = process.Controls(control, process.SetReceiveBuffer(hostproxy.TransferWindow))
	}
	dialer := &net.Dialer{Control: control, KeepAliveConfig: keepAlive}
	plane := hostproxy.NewProxy(planeConfig, dialer.DialContext, daemon.Now, node.goroutines, node.counters)
	daemon.OnVersion(func(version *agent.Version) {
		if version.Servable() {
			plane.Apply(version.Routing, version.ServingTable(), version.Rollouts)
		}
	}, nil)
	daemon.SetWindows(plane.UsageWindows)
	daemon.SetRollouts(plane.RolloutCounts)
	daemon.SetWarmedUp(plane.Ready)
	daemon.OnRetire(plane.FinishUploads)
	server := rpc.NewServer(node.counters)
	daemon.Register(server)
	lookups := platform.NewLookup(node.source.Settings, func() *message.Table { return daemon.Version().Table },
		func() (string, bool) { return settings.Listen.Clients, plane.Ready() })
	lookups.SetHasHomes(plane.HasHomeRegions)
	ready := withMetrics(node.counters, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if !daemon.Ready() || plane.Draining() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	plane.OnLimits(node.setLimits)
	if err := node.open(
		plane.RequestMemory(),
		endpoint{address: settings.Listen.Clients, handler: plane, external: true},
		endpoint{address: config.InternalAddress, handler: server},
		endpoint{address: settings.Listen.Ready, handler: ready},
		endpoint{address: settings.Listen.Lookups, handler: lookups, external: true},
	); err != nil {
		return err
	}
	daemon.Run()
	plane.Run()
	node.source.Follow(node.goroutines, platform.ProxyLiveFields, node.counters)
	process.LogCounts(node.goroutines, node.counters, settings.Name)
	process.OnTerminate(node.goroutines, func() {
		plane.StartDrain()
		grace := settings.Bounds.Grace - graceMargin
		finished := daemon.Retire(min(retireLinger, grace/2), grace, node.listeners[0].Drain)
		klog.Infof("%s: stopping, all requests in flight finished: %v", settings.Name, finished)
		node.goroutines.Stop()
	})
	klog.Infof("%s: proxy started in zone %s", settings.Name, settings.Zone)
	node.goroutines.Wait()
	client.Close()
	return nil
}
