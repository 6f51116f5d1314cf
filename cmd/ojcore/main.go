// Command ojcore runs a core: it takes part in elections, leads if elected, and stores settings,
// usage reports and idempotency keys on disk.
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

// options holds the command-line options that are not part of control.Config.
type options struct {
	data   string
	grace  time.Duration
	limits process.ConnLimits
}

func main() {
	flags, config, opts := parse()
	goroutines, counters := concurrent.NewGroup(), metrics.NewCounters()
	client := rpc.NewClient(process.Transport())
	finder := agent.NewLeaderFinder(client, goroutines, coreAddresses(config))
	config.OnMembershipChange = finder.ObserveMembership
	core, err := control.NewCore(*config, storage.Folder(opts.data), client, goroutines, counters)
	if err != nil {
		fmt.Fprintf(os.Stderr, "ojcore: %v\n", err)
		os.Exit(3)
	}
	server := rpc.NewServer(counters)
	core.Register(server)
	forwarder := agent.NewForwarder(finder, client, counters)
	name := coreName(config)
	operatorAPI := agent.NewOperatorAPI(name, forwarder, counters, core.Settings, core.CanVote)
	internal, err := process.Listen(config.InternalAddress, server, process.ListenOptions{Counters: counters})
	flags.Exit(err)
	operators, err := process.Listen(config.OperatorAddress, operatorAPI, process.ListenOptions{Limits: opts.limits, Counters: counters})
	flags.Exit(err)
	internal.Serve(goroutines)
	operators.Serve(goroutines)
	finder.Run()
	core.Run()
	process.LogCounts(goroutines, counters, name)
	process.OnTerminate(goroutines, func() {
		start := time.Now()
		core.Retire(opts.grace)
		operators.Drain(opts.grace - time.Since(start))
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

// parse parses the command line and creates the data folder. It exits on errors.
func parse() (*process.Flags, *control.Config, *options) {
	flags := process.NewFlags("ojcore", "core of orchidjunction: elects the leader and stores settings on disk")
	config, opts := &control.Config{}, &options{}
	peers, seeds := []string{}, []string{}
	heartbeatMs, suspicionMs, graceMs := 75, 300, 6000
	flags.Parser.Int(&config.ID, "", "id", "ID of this core, 1 to 99; not for a joining core (--seed)")
	flags.Parser.String(&config.Zone, "", "zone", "zone of this core")
	flags.Parser.String(&config.InternalAddress, "", "wire", "IP:port to listen on for calls of other processes of the system")
	flags.Parser.String(&config.OperatorAddress, "", "operate", "IP:port to listen on for operators")
	flags.Parser.StringSlice(&peers, "", "peer", "another core as id=IP:port; repeat for each core")
	flags.Parser.StringSlice(
		&seeds,
		"",
		"seed",
		"internal IP:port of an existing core, for a joining core instead of --id and --peer; repeat for each core",
	)
	flags.Parser.String(&opts.data, "", "data", "data folder; nothing is written elsewhere")
	flags.Parser.String(&config.PlatformAddress, "", "platform", "IP:port of the platform's API that lists backends")
	flags.Parser.Bool(&config.Bootstrap, "", "found", "create a new system if the disks of all cores are blank")
	flags.Parser.Int(&heartbeatMs, "", "beat-ms", "interval of the leader's heartbeats in milliseconds")
	flags.Parser.Int(&suspicionMs, "", "suspect-ms", "time without heartbeats after which the leader is suspected, in milliseconds")
	flags.Parser.Int(&graceMs, "", "grace-ms", "maximum duration of the shutdown after SIGTERM in milliseconds")
	limitFlags := process.NewLimitFlags(flags)
	flags.Parse()
	limits, err := limitFlags.Limits()
	flags.Exit(err)
	opts.limits = limits
	flags.Exit(configurePeers(config, peers))
	flags.Exit(configureSeeds(config, seeds))
	config.HeartbeatInterval = process.Milliseconds(heartbeatMs)
	config.SuspicionTimeout = process.Milliseconds(suspicionMs)
	config.Seed = uint64(time.Now().UnixNano())
	if graceMs < 0 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--grace-ms: %d is negative", graceMs))
	}
	opts.grace = process.Milliseconds(graceMs)
	flags.Exit(config.Check())
	flags.Exit(rpc.CheckAddress("--operate", config.OperatorAddress))
	if config.PlatformAddress != "" {
		flags.Exit(rpc.CheckAddress("--platform", config.PlatformAddress))
	}
	if opts.data == "" {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--data is required"))
	}
	if err := os.MkdirAll(opts.data, 0o700); err != nil {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--data: %v", err))
	}
	return flags, config, opts
}

func configurePeers(config *control.Config, peers []string) error {
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
