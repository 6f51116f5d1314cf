// Command orchidjunction runs a proxy or a core on a platform. The platform provides the settings
// file, whose path is in the environment.
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
	flags := process.NewFlags("orchidjunction", "runs a proxy or a core of orchidjunction on a platform")
	proxy, core := flaggy.NewSubcommand("proxy"), flaggy.NewSubcommand("core")
	proxy.Description = "forward clients' requests to backends and answer look-ups of proxies"
	core.Description = "store the routing, elect the leader and serve the operator API"
	flags.Parser.AttachSubcommand(proxy, 1)
	flags.Parser.AttachSubcommand(core, 1)
	limitFlags := process.NewLimitFlags(flags)
	flags.Parse()
	limits, err := limitFlags.Limits()
	flags.Exit(err)
	if !proxy.Used && !core.Used {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "missing subcommand, proxy or core"))
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

// memoryLimitShare is the share of the process's memory above which the garbage collector works
// harder: the soft memory limit of the Go runtime.
const memoryLimitShare = 0.85

// limitMemory sets the soft memory limit of the runtime according to the settings.
func limitMemory(settings *platform.Settings) {
	if settings.Machine.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Machine.MemoryMB<<20) * memoryLimitShare))
	}
}

// node is a process with its listeners, in the order of opening.
type node struct {
	source     *platform.Source
	goroutines *concurrent.Group
	counters   *metrics.Counters
	limits     process.ConnLimits // of external listeners, overridden by the operator's routing
	listeners  []*process.Listener
	externals  []*process.Listener
}

// endpoint is a listen address with its handler. The limits and the budget of connections apply to
// external endpoints; the others serve processes of the system.
type endpoint struct {
	address  string
	handler  http.Handler
	external bool
}

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

func (node *node) setLimits(limits routing.Limits) {
	for _, listener := range node.externals {
		listener.SetLimits(process.ConnLimitsOf(limits))
	}
}

// metricsPath is the path of the metrics: on the readiness address of a proxy, on the operator
// address of a core.
const metricsPath = "/metrics"

func withMetrics(counters *metrics.Counters, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodGet && request.URL.Path == metricsPath {
			counters.ServeHTTP(writer, request)
			return
		}
		handler.ServeHTTP(writer, request)
	})
}

// internalAddress returns the address for calls between processes: the machine's IP address with
// the first port of its range.
func internalAddress(settings *platform.Settings, address string) string {
	if parsed, err := netip.ParseAddrPort(address); err == nil {
		address = parsed.Addr().String()
	}
	return address + ":" + strconv.Itoa(settings.FirstPort)
}

// internalSeeds returns the internal addresses of the seed machines.
func internalSeeds(settings *platform.Settings) []string {
	seeds := []string{}
	for _, seed := range settings.Seeds {
		seeds = append(seeds, internalAddress(settings, seed))
	}
	return seeds
}
