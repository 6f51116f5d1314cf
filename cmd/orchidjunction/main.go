// orchidjunction is orchidjunction on a platform: a proxy or a core, as its settings tell.
package main

import "C"

import (
	"net/http"
	"net/netip"
	"strconv"

	"github.com/integrii/flaggy"

	"orchidjunction/concurrent"
	"orchidjunction/metrics"
	"orchidjunction/platform"
	"orchidjunction/process"
	"orchidjunction/rpc"
)

const headerBytes = 64 << 10

func main() {
	flags := process.NewFlags("orchidjunction", "a machine of orchidjunction on a platform")
	proxy, core := flaggy.NewSubcommand("proxy"), flaggy.NewSubcommand("core")
	proxy.Description = "carries clients' requests to backends and answers where to go"
	core.Description = "keeps the routing, elects the leader and takes operators' orders"
	flags.Parser.AttachSubcommand(proxy, 1)
	flags.Parser.AttachSubcommand(core, 1)
	flags.Parse()
	if !proxy.Used && !core.Used {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "want proxy or core"))
	}
	source, err := platform.NewSource()
	flags.Exit(err)
	node := &node{source: source, goroutines: concurrent.NewGroup(), counters: metrics.NewCounters()}
	if proxy.Used {
		flags.Exit(node.runProxy())
	} else {
		flags.Exit(node.runCore())
	}
}

// node is one process with its open sides.
type node struct {
	source     *platform.Source
	goroutines *concurrent.Group
	counters   *metrics.Counters
	listeners  []*process.Listener
}

// side is one address and what serves it.
type side struct {
	address string
	handler http.Handler
}

// open listens on every side that has an address.
func (node *node) open(sides ...side) error {
	for _, side := range sides {
		if side.address == "" {
			continue
		}
		listener, err := process.Listen(side.address, side.handler, headerBytes)
		if err != nil {
			return err
		}
		node.listeners = append(node.listeners, listener)
	}
	for _, listener := range node.listeners {
		listener.Serve(node.goroutines)
		node.goroutines.OnStop(listener.Close)
	}
	return nil
}

// inner is where a machine's process takes messages from the others.
func inner(settings *platform.Settings, address string) string {
	if parsed, err := netip.ParseAddrPort(address); err == nil {
		address = parsed.Addr().String()
	}
	return address + ":" + strconv.Itoa(settings.FirstPort)
}

func innerSeeds(settings *platform.Settings) []string {
	seeds := []string{}
	for _, seed := range settings.Seeds {
		seeds = append(seeds, inner(settings, seed))
	}
	return seeds
}
