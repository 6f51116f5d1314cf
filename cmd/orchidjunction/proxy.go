package main

import (
	"crypto/rand"
	"encoding/hex"
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

const (
	sessionPace   = 500 * time.Millisecond
	watchPace     = 2500 * time.Millisecond
	feelPace      = 500 * time.Millisecond
	lookPace      = 500 * time.Millisecond
	backendSilent = 700 * time.Millisecond
	linger        = 2500 * time.Millisecond
)

// runProxy is the life of a proxy.
func (node *node) runProxy() error {
	settings := node.source.Settings()
	client := rpc.NewClient(process.WANTransport(userTimeout))
	address := inner(settings, settings.Address)
	config := agent.Config{
		Name: settings.Name, Kind: "proxy", Zone: settings.Zone, InternalAddress: address, PublicAddress: settings.Listen.Clients, OperatorAddress: address, Seeds: innerSeeds(settings),
		Intervals:     agent.Intervals{Session: sessionPace, Watch: watchPace, FindLeader: seekPace, Pulse: feelPace, CheckReach: lookPace, UsageCount: -1},
		ForwardLimits: agent.ForwardLimits{Attempt: sendLimit}, DirectSessions: true, ServesAlone: true, Routed: true,
	}
	if err := config.Check(); err != nil {
		return err
	}
	daemon := agent.NewDaemon(config, incarnation(), client, node.goroutines, node.counters)
	dialer := &net.Dialer{Control: process.SetUserTimeout(backendSilent), KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}}
	plane := hostproxy.NewProxy(hostproxy.Config{
		Name: settings.Name, Zone: settings.Zone, Regions: settings.Zones, Headers: platform.RequestHeaders(),
		RetryRatio: settings.Bounds.RetryRatio, RetryExtra: float64(settings.Bounds.RetryExtra), WarmupExcess: settings.Bounds.WarmupExcess,
		WarmupExtra: settings.Bounds.WarmupExtra, UsageWindow: settings.Bounds.ReportWindow, ListLag: settings.Platform.Lag, LinkBytes: settings.Machine.LinkMbps * 1e6 / 8,
	}, dialer.DialContext, daemon.Now, node.goroutines, node.counters)
	daemon.OnVersion(func(version *agent.Version) {
		if version.Routing != nil && version.RoutingSerial > 0 && version.Table.Complete {
			plane.Apply(version.Routing, version.Table)
		}
	}, nil)
	daemon.SetWindows(plane.Windows)
	daemon.SetWarm(plane.Ready)
	server := rpc.NewServer(node.counters)
	daemon.Register(server)
	lookups := platform.NewLookup(node.source.Settings, func() *message.Table { return daemon.Version().Table },
		func() (string, bool) { return settings.Listen.Clients, plane.Ready() })
	ready := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if !daemon.Ready() || plane.Leaving() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if err := node.open(side{settings.Listen.Clients, plane}, side{address, server}, side{settings.Listen.Ready, ready}, side{settings.Listen.Lookups, lookups}); err != nil {
		return err
	}
	daemon.Run()
	plane.Run()
	node.source.Follow(node.goroutines)
	process.LogCounts(node.goroutines, node.counters, settings.Name)
	process.OnTerm(node.goroutines, func() {
		plane.Leave()
		grace := settings.Bounds.Grace - graceRest
		whole := daemon.Retire(min(linger, grace/2), grace, node.listeners[0].Drain)
		klog.Infof("%s: stops, all in flight finished: %v", settings.Name, whole)
		node.goroutines.Stop()
	})
	klog.Infof("%s: proxy started in zone %s", settings.Name, settings.Zone)
	node.goroutines.Wait()
	client.Close()
	return nil
}

// incarnation names this life of the process.
func incarnation() string {
	var random [8]byte
	rand.Read(random[:])
	return hex.EncodeToString(random[:])
}
