// Command ojdir is a directory node: it tells callers which proxies to use.
package main

import (
	"orchidjunction/member"
	"orchidjunction/message"
	"orchidjunction/place"
	"orchidjunction/program"
	"orchidjunction/run"
)

func main() {
	flags := program.NewFlags("ojdir", "a directory node of orchidjunction: tells callers where to go")
	program.RunDaemon(flags, "dir", nil, func(daemon *member.Daemon, _ *run.Threads, counts *run.Counts) (program.Plane, func() []message.Probe) {
		return place.NewDirectory(daemon, counts), nil
	})
}
