package main

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"orchidjunction/member"
	"orchidjunction/message"
	"orchidjunction/platform"
	"orchidjunction/program"
	"orchidjunction/proxy"
	"orchidjunction/rpc"

	"k8s.io/klog/v2"
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
	client := rpc.NewClient(program.FarTransport(userTimeout))
	address := inner(settings, settings.Address)
	place := member.Place{Name: settings.Name, Kind: "proxy", Zone: settings.Zone, Wire: address, Outer: settings.Listen.Clients, Operate: address, Seeds: innerSeeds(settings),
		Paces: member.Paces{Session: sessionPace, Watch: watchPace, Seek: seekPace, Feel: feelPace, Look: lookPace, Count: -1},
		Hold:  member.HoldLimits{Send: sendLimit}, Direct: true, ServesAlone: true, Routed: true}
	if err := place.Check(); err != nil {
		return err
	}
	daemon := member.NewDaemon(place, incarnation(), client, node.goroutines, node.counters)
	dialer := &net.Dialer{Control: program.UserTimeout(backendSilent), KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}}
	plane := proxy.NewProxy(proxy.Place{Name: settings.Name, Zone: settings.Zone, Regions: settings.Zones, Headers: platform.RequestHeaders(),
		RetryRatio: settings.Bounds.RetryRatio, RetryExtra: float64(settings.Bounds.RetryExtra), WarmupExcess: settings.Bounds.WarmupExcess,
		WarmupExtra: settings.Bounds.WarmupExtra, UsageWindow: settings.Bounds.ReportWindow, ListLag: settings.Platform.Lag, LinkBytes: settings.Machine.LinkMbps * 1e6 / 8}, dialer.DialContext, daemon.Now, node.goroutines, node.counters)
	daemon.Serve(func(version *member.Version) {
		if version.Book != nil && version.Routing > 0 && version.Table.Complete {
			plane.Lay(version.Book, version.Table)
		}
	}, nil)
	daemon.Meter(plane.Windows)
	daemon.Warm(plane.Ready)
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
	program.LogCounts(node.goroutines, node.counters, settings.Name)
	program.OnTerm(node.goroutines, func() {
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
