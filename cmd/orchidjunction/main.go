// Command orchidjunction is a machine on the users' platform: a proxy or a core, as its
// subcommand says, with the settings file that the platform names in the environment.
package main

import "C"

import (
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"

	"github.com/integrii/flaggy"

	"orchidjunction/concurrent"
	"orchidjunction/metrics"
	"orchidjunction/platform"
	"orchidjunction/process"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

func main() {
	flags := process.NewFlags("orchidjunction", "a machine of orchidjunction on a platform")
	proxy, core := flaggy.NewSubcommand("proxy"), flaggy.NewSubcommand("core")
	proxy.Description = "carries clients' requests to backends and answers where to go"
	core.Description = "keeps the routing, elects the leader and takes operators' orders"
	flags.Parser.AttachSubcommand(proxy, 1)
	flags.Parser.AttachSubcommand(core, 1)
	limitFlags := process.NewLimitFlags(flags)
	flags.Parse()
	limits, err := limitFlags.Limits()
	flags.Exit(err)
	if !proxy.Used && !core.Used {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "want proxy or core"))
	}
	source, err := platform.NewSource()
	flags.Exit(err)
	node := &node{source: source, goroutines: concurrent.NewGroup(), counters: metrics.NewCounters(), limits: limits}
	limitMemory(source.Settings())
	if proxy.Used {
		flags.Exit(node.runProxy())
	} else {
		flags.Exit(node.runCore())
	}
}

// memoryLimitShare is the part of the process's memory from which on the garbage collector
// works harder rather than let it grow.
const memoryLimitShare = 0.85

// limitMemory tells the runtime how much memory the machine lets the process take.
func limitMemory(settings *platform.Settings) {
	if settings.Machine.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Machine.MemoryMB<<20) * memoryLimitShare))
	}
}

// node is one process with its listeners, in the order in which they were opened.
type node struct {
	source     *platform.Source
	goroutines *concurrent.Group
	counters   *metrics.Counters
	limits     process.ConnLimits // of those outside, unless an operator's routing has others
	listeners  []*process.Listener
	externals  []*process.Listener
}

// endpoint is one address and what serves it. An external one serves those outside, by the
// limits and the budget of their connections; others serve the system's own processes.
type endpoint struct {
	address  string
	handler  http.Handler
	external bool
}

// open listens on every endpoint that has an address.
func (node *node) open(memory process.HeadMemory, endpoints ...endpoint) error {
	budget := process.NewConnBudget(node.source.Settings().Machine.Descriptors)
	node.counters.Gauge("connections_open", func() float64 { return float64(budget.Open()) })
	for _, endpoint := range endpoints {
		if endpoint.address == "" {
			continue
		}
		options := process.ListenOptions{Counters: node.counters}
		if endpoint.external {
			options.Limits, options.Memory, options.Budget = node.limits, memory, budget
		}
		listener, err := process.Listen(endpoint.address, endpoint.handler, options)
		if err != nil {
			return err
		}
		node.listeners = append(node.listeners, listener)
		if endpoint.external {
			node.externals = append(node.externals, listener)
		}
	}
	for _, listener := range node.listeners {
		listener.Serve(node.goroutines)
		node.goroutines.OnStop(listener.Close)
	}
	return nil
}

// setLimits puts an operator's limits in force on the connections of those outside.
func (node *node) setLimits(limits routing.Limits) {
	for _, listener := range node.externals {
		listener.SetLimits(process.ConnLimitsOf(limits))
	}
}

// metricsPath is where every role gives its figures, on its readiness or operators' side.
const metricsPath = "/metrics"

// withMetrics serves the process's figures beside another handler.
func withMetrics(counters *metrics.Counters, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodGet && request.URL.Path == metricsPath {
			counters.ServeHTTP(writer, request)
			return
		}
		handler.ServeHTTP(writer, request)
	})
}

// internalAddress is where a machine's process takes messages from the others: the first
// of the ports that the platform gives it.
func internalAddress(settings *platform.Settings, address string) string {
	if parsed, err := netip.ParseAddrPort(address); err == nil {
		address = parsed.Addr().String()
	}
	return address + ":" + strconv.Itoa(settings.FirstPort)
}

// internalSeeds are the internal addresses of the machines to ask first.
func internalSeeds(settings *platform.Settings) []string {
	seeds := []string{}
	for _, seed := range settings.Seeds {
		seeds = append(seeds, internalAddress(settings, seed))
	}
	return seeds
}
