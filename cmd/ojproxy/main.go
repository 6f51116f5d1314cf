// Command ojproxy runs a proxy: it forwards callers' requests to backends.
package main

import (
	"net"
	"time"

	"orchidjunction/agent"
	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/process"
	"orchidjunction/serviceproxy"
)

func main() {
	flags := process.NewFlags("ojproxy", "proxy of orchidjunction: forwards callers' tasks to backends")
	dialer := &net.Dialer{Timeout: time.Second}
	guest := &process.Guest{}
	guest.Link = func(owner, borrower process.DataPlane) {
		borrower.(*serviceproxy.Proxy).SetLendingLimit(
			serviceproxy.NewLendingLimit(owner.(*serviceproxy.Proxy), guest.PerSecond, guest.InFlight),
		)
	}
	process.RunDaemon(
		flags,
		message.ProxyKind,
		guest,
		func(daemon *agent.Daemon, goroutines *concurrent.Group, counters *metrics.Counters) (process.DataPlane, func() []message.Probe) {
			proxy := serviceproxy.NewProxy(daemon, goroutines, counters, dialer.DialContext)
			return proxy, proxy.Probes
		},
	)
}
