// Command ojdirectory runs a directory node: it tells callers which proxies to use.
package main

import (
	"orchidjunction/agent"
	"orchidjunction/concurrent"
	"orchidjunction/directory"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/process"
)

func main() {
	flags := process.NewFlags("ojdirectory", "directory node of orchidjunction: tells callers which proxies to use")
	process.RunDaemon(
		flags,
		message.DirectoryKind,
		nil,
		func(daemon *agent.Daemon, _ *concurrent.Group, counters *metrics.Counters) (process.DataPlane, func() []message.Probe) {
			return directory.NewDirectory(daemon, counters), nil
		},
	)
}
