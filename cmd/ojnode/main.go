// ojnode is orchidjunction on a platform: a proxy or a core, as its settings tell.
package main

import "C"

import (
	"net/http"

	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"
	"orchidjunction/platform"
	"orchidjunction/program"
	"orchidjunction/run"
	"orchidjunction/wire"
)

const headerBytes = 64 << 10

func main() {
	flags := program.NewFlags("ojnode", "a machine of orchidjunction on a platform")
	proxy, core := flaggy.NewSubcommand("proxy"), flaggy.NewSubcommand("core")
	proxy.Description = "carries clients' requests to backends"
	core.Description = "keeps the routing, elects the leader and answers look-ups"
	flags.Parser.AttachSubcommand(proxy, 1)
	flags.Parser.AttachSubcommand(core, 1)
	flags.Parse()
	if !proxy.Used && !core.Used {
		flags.Exit(wire.New(wire.BadFlag, "want proxy or core"))
	}
	source, mishap := platform.NewSource()
	flags.Exit(mishap)
	node := &node{source: source, threads: run.NewThreads(), counts: run.NewCounts()}
	flags.Exit(node.open())
	node.run()
}

// node is one process with its open sides.
type node struct {
	source    *platform.Source
	threads   *run.Threads
	counts    *run.Counts
	listeners []*program.Listener
}

func (node *node) open() *wire.Mishap {
	settings := node.source.Settings()
	for _, side := range []struct {
		address string
		handler http.Handler
	}{
		{settings.Listen.Ready, http.HandlerFunc(ready)},
		{settings.Listen.Clients, http.HandlerFunc(ready)},
		{settings.Listen.Operators, platform.NewControl(noLeader{}, func() map[string]string { return node.source.Settings().Zones }, node.counts)},
		{settings.Listen.Lookups, platform.NewLookup(node.source.Settings, func() *wire.Table { return nil })},
	} {
		if side.address == "" {
			continue
		}
		listener, mishap := program.Listen(side.address, side.handler, headerBytes)
		if mishap != nil {
			return mishap
		}
		node.listeners = append(node.listeners, listener)
	}
	return nil
}

func (node *node) run() {
	settings := node.source.Settings()
	for _, listener := range node.listeners {
		listener.Serve(node.threads)
		node.threads.OnStop(listener.Close)
	}
	node.source.Follow(node.threads)
	program.LogCounts(node.threads, node.counts, settings.Name)
	program.OnTerm(node.threads, node.threads.Stop)
	klog.Infof("%s: started in zone %s", settings.Name, settings.Zone)
	node.threads.Wait()
}

// ready says not ready until the parts are joined.
func ready(writer http.ResponseWriter, _ *http.Request) {
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// noLeader refuses all orders until the parts are joined.
type noLeader struct{}

func (noLeader) Change(*wire.RouteChange) (*wire.RouteChangeTold, *wire.Mishap) {
	return nil, wire.New(wire.NoLeader, "no leader is known")
}

func (noLeader) Read() (*wire.RouteReadTold, *wire.Mishap) {
	return nil, wire.New(wire.NoLeader, "no leader is known")
}

func (noLeader) Evacuate(*wire.Evacuate) (*wire.EvacuateTold, *wire.Mishap) {
	return nil, wire.New(wire.NoLeader, "no leader is known")
}
