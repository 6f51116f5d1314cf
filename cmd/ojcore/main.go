// Command ojcore is a core: it votes in elections, leads when it is elected, and
// keeps settings, usage reports and idempotency keys on its disk.
package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/agent"
	"orchidjunction/concurrent"
	"orchidjunction/control"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/process"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

// options is what the command line says beside the core's own configuration.
type options struct {
	data   string
	grace  time.Duration
	limits process.ConnLimits
}

func main() {
	flags, config, given := parse()
	goroutines, counters := concurrent.NewGroup(), metrics.NewCounters()
	client := rpc.NewClient(process.Transport())
	finder := agent.NewLeaderFinder(client, goroutines, knownCores(config))
	config.OnMembershipChange = finder.ObserveMembership
	core, err := control.NewCore(*config, storage.Folder(given.data), client, goroutines, counters)
	if err != nil {
		fmt.Fprintf(os.Stderr, "ojcore: %v\n", err)
		os.Exit(3)
	}
	server := rpc.NewServer(counters)
	core.Register(server)
	forwarder := agent.NewForwarder(finder, client, counters)
	name := nameOf(config)
	operatorAPI := agent.NewOperatorAPI(name, forwarder, counters, core.Settings, core.CanVote)
	internal, err := process.Listen(config.InternalAddress, server, process.ListenOptions{Counters: counters})
	flags.Exit(err)
	operators, err := process.Listen(config.OperatorAddress, operatorAPI, process.ListenOptions{Limits: given.limits, Counters: counters})
	flags.Exit(err)
	internal.Serve(goroutines)
	operators.Serve(goroutines)
	finder.Run()
	core.Run()
	process.LogCounts(goroutines, counters, name)
	process.OnTerm(goroutines, func() {
		begin := time.Now()
		core.Retire(given.grace)
		operators.Drain(given.grace - time.Since(begin))
		goroutines.Stop()
	})
	klog.Infof("%s: started in zone %s", name, config.Zone)
	goroutines.OnStop(func() {
		internal.Close()
		operators.Close()
	})
	goroutines.Wait()
	core.Close()
}

// parse reads the command line and makes the data folder; it ends the process where
// either is wrong.
func parse() (*process.Flags, *control.Config, *options) {
	flags := process.NewFlags("ojcore", "a core machine of orchidjunction: keeps settings on disk and elects the leader")
	config, given := &control.Config{}, &options{}
	peers, seeds := []string{}, []string{}
	heartbeatMs, suspicionMs, graceMs := 75, 300, 6000
	flags.Parser.Int(&config.ID, "", "id", "this core's id, 1 to 99, where it founds the system")
	flags.Parser.String(&config.Zone, "", "zone", "zone this core stands in")
	flags.Parser.String(&config.InternalAddress, "", "wire", "IP:port for the system's own processes")
	flags.Parser.String(&config.OperatorAddress, "", "operate", "IP:port for operators")
	flags.Parser.StringSlice(&peers, "", "peer", "another core as id=IP:port; once per core")
	flags.Parser.StringSlice(
		&seeds,
		"",
		"seed",
		"IP:port of a core that may know who votes, for a new core instead of --id and --peer; once per core",
	)
	flags.Parser.String(&given.data, "", "data", "data folder; only this one is written")
	flags.Parser.String(&config.PlatformAddress, "", "platform", "IP:port of the platform's list")
	flags.Parser.Bool(&config.Bootstrap, "", "found", "let a blank disk found a new system when every core is blank")
	flags.Parser.Int(&heartbeatMs, "", "beat-ms", "milliseconds between the leader's heartbeats")
	flags.Parser.Int(&suspicionMs, "", "suspect-ms", "silence after which a leader is suspected")
	flags.Parser.Int(&graceMs, "", "grace-ms", "grace after SIGTERM")
	limitFlags := process.NewLimitFlags(flags)
	flags.Parse()
	limits, err := limitFlags.Limits()
	flags.Exit(err)
	given.limits = limits
	flags.Exit(takePeers(config, peers))
	flags.Exit(takeSeeds(config, seeds))
	config.HeartbeatInterval = process.Milliseconds(heartbeatMs)
	config.SuspicionTimeout = process.Milliseconds(suspicionMs)
	config.Seed = uint64(time.Now().UnixNano())
	if graceMs < 0 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--grace-ms: %d is below 0", graceMs))
	}
	given.grace = process.Milliseconds(graceMs)
	flags.Exit(config.Check())
	flags.Exit(rpc.CheckAddress("--operate", config.OperatorAddress))
	if config.PlatformAddress != "" {
		flags.Exit(rpc.CheckAddress("--platform", config.PlatformAddress))
	}
	if given.data == "" {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--data must be given"))
	}
	if err := os.MkdirAll(given.data, 0o700); err != nil {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--data: %v", err))
	}
	return flags, config, given
}

// takePeers reads the values of --peer.
func takePeers(config *control.Config, peers []string) error {
	for _, text := range peers {
		id, address, _ := strings.Cut(text, "=")
		number, err := strconv.Atoi(id)
		if err != nil {
			return rpc.Errorf(rpc.BadFlag, "--peer: %q is not id=IP:port", text)
		}
		config.Peers = append(config.Peers, message.Peer{ID: number, Address: address})
	}
	return nil
}
