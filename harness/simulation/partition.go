package simulation

import "time"

// isolation describes a network partition that cuts proxies off from the rest of their
// deployment. oneWay 1 cuts only the traffic to them, 2 only the traffic from them, 0 both.
// With flap the links come back for flap/8 after each flap.
type isolation struct {
	name    string
	proxies int
	oneWay  int
	flap    time.Duration
	span    time.Duration
}

// isolateDaemons cuts daemons off from the rest of the deployment for how.span.
func (world *World) isolateDaemons(isolated []*Daemon, how isolation) {
	isIsolated := map[string]bool{}
	for _, daemon := range isolated {
		isIsolated[daemon.Host] = true
	}
	hosts := []string{}
	for _, core := range world.Cores {
		hosts = append(hosts, core.Host)
	}
	for _, daemon := range world.Daemons {
		if !isIsolated[daemon.Host] {
			hosts = append(hosts, daemon.Host)
		}
	}
	setCut := func(on bool) {
		for _, daemon := range isolated {
			for _, host := range hosts {
				if how.oneWay != 2 {
					world.Net.CutOneWay(host, daemon.Host, on)
				}
				if how.oneWay != 1 {
					world.Net.CutOneWay(daemon.Host, host, on)
				}
			}
		}
	}
	for until := time.Now().Add(how.span); time.Now().Before(until); {
		setCut(true)
		if how.flap == 0 {
			world.Sleep(how.span)
			break
		}
		world.Sleep(how.flap)
		setCut(false)
		world.Sleep(how.flap / 8)
	}
	setCut(false)
}
