// Command ojdir is a directory node: it tells callers which proxies to use.
package main

import (
	"orchidjunction/agent"
	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/place"
	"orchidjunction/program"
)

func main() {
	flags := program.NewFlags("ojdir", "a directory node of orchidjunction: tells callers where to go")
	program.RunDaemon(flags, "dir", nil, func(daemon *agent.Daemon, _ *concurrent.Group, counters *metrics.Counters) (program.DataPlane, func() []message.Probe) {
		return place.NewDirectory(daemon, counters), nil
	})
}
