// Command ojproxy is a proxy: it carries callers' requests to backends.
package main

import (
	"net"
	"time"

	"orchidjunction/agent"
	"orchidjunction/concurrent"
	"orchidjunction/data"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/program"
)

func main() {
	flags := program.NewFlags("ojproxy", "a front machine of orchidjunction: carries callers' tasks to backends")
	dialer := &net.Dialer{Timeout: time.Second}
	guest := &program.Guest{}
	guest.Join = func(owner, borrower program.DataPlane) {
		borrower.(*data.Proxy).SetLendingLimit(data.NewLendingLimit(owner.(*data.Proxy), guest.PerSecond, guest.InFlight))
	}
	program.RunDaemon(flags, "proxy", guest, func(daemon *agent.Daemon, goroutines *concurrent.Group, counters *metrics.Counters) (program.DataPlane, func() []message.Probe) {
		proxy := data.NewProxy(daemon, goroutines, counters, dialer.DialContext)
		return proxy, proxy.Probes
	})
}
