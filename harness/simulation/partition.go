package simulation

import "time"

// cutOff is one way to lose touch: who is cut from all others of ours, and how.
type cutOff struct {
	name    string
	proxies int
	oneWay  int
	flap    time.Duration
	span    time.Duration
}

// part cuts the lone ones from all others of ours for a while, then heals.
func (world *World) part(lone []*Daemon, cut cutOff) {
	inside := map[string]bool{}
	for _, daemon := range lone {
		inside[daemon.Host] = true
	}
	hosts := []string{}
	for _, core := range world.Cores {
		hosts = append(hosts, core.Host)
	}
	for _, daemon := range world.Daemons {
		if !inside[daemon.Host] {
			hosts = append(hosts, daemon.Host)
		}
	}
	turn := func(shut bool) {
		for _, daemon := range lone {
			for _, host := range hosts {
				if cut.oneWay != 2 {
					world.Net.CutOneWay(host, daemon.Host, shut)
				}
				if cut.oneWay != 1 {
					world.Net.CutOneWay(daemon.Host, host, shut)
				}
			}
		}
	}
	for until := time.Now().Add(cut.span); time.Now().Before(until); {
		turn(true)
		if cut.flap == 0 {
			world.Rest(cut.span)
			break
		}
		world.Rest(cut.flap)
		turn(false)
		world.Rest(cut.flap / 8)
	}
	turn(false)
}
