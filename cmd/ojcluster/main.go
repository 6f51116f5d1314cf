// Command ojcluster runs a deployment of real processes on this machine, injects the faults of a
// scenario and prints the verdicts. It also generates the tables of the capacity page.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/harness/checker"
	"orchidjunction/harness/cluster"
	"orchidjunction/process"
	"orchidjunction/rpc"
)

// options holds the command-line options. spec holds those that are the same for every fleet.
type options struct {
	size     string
	scenario string
	examples string
	settings string
	bin      string
	folder   string
	rate     int
	seed     int
	untimed  bool
	spec     cluster.Spec
}

func main() {
	flags := process.NewFlags(
		"ojcluster",
		"runs a deployment of orchidjunction's processes and injects faults; scenarios: "+strings.Join(cluster.Names(), ", "),
	)
	opts := parse(flags)
	scenario, found := cluster.Scenarios[opts.scenario]
	if !found {
		flags.Exit(
			rpc.Errorf(rpc.BadFlag, "--scenario: unknown scenario %q, want one of %s", opts.scenario, strings.Join(cluster.Names(), ", ")),
		)
	}
	sizes := opts.sizes()
	goroutines := concurrent.NewGroup()
	fleets := opts.newFleets(flags, sizes, goroutines)
	process.OnTerminate(goroutines, goroutines.Stop)
	start := time.Now()
	verdicts, err := cluster.PlayBoth(fleets, scenario, goroutines)
	goroutines.Stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "ojcluster: %v\n", err)
		os.Exit(1)
	}
	allHold := true
	for index, lines := range verdicts {
		if len(verdicts) > 1 {
			fmt.Printf("%s:\n", sizes[index])
		}
		allHold = checker.Print(os.Stdout, lines, opts.untimed) && allHold
	}
	fmt.Printf(
		"%s: %v after %v\n",
		opts.scenario,
		map[bool]string{true: "all verdicts hold", false: "not all verdicts hold"}[allHold],
		time.Since(start).Round(time.Second),
	)
	if !allHold {
		os.Exit(1)
	}
}

// parse parses the command line. It runs the capacity subcommand, if given, and exits.
func parse(flags *process.Flags) *options {
	opts := &options{
		size: "small", scenario: "calm", examples: "examples", bin: "bin", seed: 1,
		spec: cluster.Spec{BasePort: 21000, Seconds: 20, Seed: 1, LagMs: 1000, Changes: 2, Tries: 4},
	}
	flags.Parser.String(
		&opts.size,
		"",
		"size",
		"size of the deployment: small, volta, saqtau, or both (volta and saqtau, lending to each other)",
	)
	flags.Parser.String(&opts.scenario, "", "scenario", "faults to inject")
	flags.Parser.String(&opts.examples, "", "examples", "folder with the settings files of the sizes")
	flags.Parser.String(&opts.settings, "", "settings", "settings file; default: that of the size")
	flags.Parser.String(&opts.bin, "", "bin", "folder with the executables")
	flags.Parser.String(&opts.folder, "", "folder", "new folder for data and logs; default: a temporary one")
	flags.Parser.Int(&opts.spec.BasePort, "", "base-port", "first port to use on 127.0.0.1")
	flags.Parser.Float64(&opts.spec.Seconds, "", "seconds", "duration of the load in seconds")
	flags.Parser.Int(&opts.rate, "", "rate", "tasks per second; 0 means that of the size")
	flags.Parser.Int(&opts.seed, "", "seed", "seed of the random generators")
	flags.Parser.Int(&opts.spec.Changes, "", "changes", "approximate number of settings changes per second")
	flags.Parser.Int(&opts.spec.Tries, "", "tries", "maximum number of attempts of a caller per task")
	flags.Parser.Bool(&opts.untimed, "", "untimed", "do not fail on verdicts that depend on the speed of the machine, only print them")
	capacity := capacityFlags(flags)
	flags.Parse()
	if capacity.command.Used {
		flags.Exit(capacity.write())
		os.Exit(0)
	}
	return opts
}

func (opts *options) sizes() []string {
	if opts.size != cluster.Both {
		return []string{opts.size}
	}
	opts.spec.Guests = 2
	return []string{"volta", "saqtau"}
}

// newFleets returns a fleet of each size, on separate ports. Two fleets lend to each other.
func (opts *options) newFleets(flags *process.Flags, sizes []string, goroutines *concurrent.Group) []*cluster.Fleet {
	if opts.folder == "" {
		created, err := os.MkdirTemp("", "ojcluster-")
		if err != nil {
			flags.Exit(rpc.Errorf(rpc.BadFlag, "--folder: %v", err))
		}
		opts.folder = created
	}
	fleets, port := []*cluster.Fleet{}, opts.spec.BasePort
	for _, name := range sizes {
		base, found := cluster.Sizes[name]
		if !found {
			flags.Exit(rpc.Errorf(rpc.BadFlag, "--size: unknown size %q, want small, volta, saqtau or both", name))
		}
		spec := opts.specOf(&base, port)
		if len(sizes) > 1 {
			spec.Folder = filepath.Join(opts.folder, name)
		}
		fleet, err := cluster.NewFleet(spec, goroutines)
		flags.Exit(err)
		fleets = append(fleets, fleet)
		port += spec.Ports()
		fmt.Printf(
			"%s of %s, seed %d: %d cores, %d directories, %d proxies, %d backends, %d tasks per second for %v s; data and logs in %s\n",
			opts.scenario,
			name,
			opts.seed,
			spec.Cores,
			spec.Directories,
			spec.Proxies,
			spec.Backends,
			spec.Rate,
			spec.Seconds,
			spec.Folder,
		)
	}
	if len(fleets) == 2 {
		fleets[0].Lend(fleets[1])
		fleets[1].Lend(fleets[0])
	}
	return fleets
}

// specOf returns the spec of a fleet of one size with port as its first port.
func (opts *options) specOf(base *cluster.Spec, port int) cluster.Spec {
	spec := opts.spec
	spec.Settings = filepath.Join(opts.examples, base.Settings+".json")
	spec.Cores, spec.Directories, spec.Proxies, spec.Backends = base.Cores, base.Directories, base.Proxies, base.Backends
	spec.Rate, spec.MoneyPart = base.Rate, base.MoneyPart
	spec.Bin, spec.Seed = opts.bin, uint64(opts.seed)
	spec.BasePort, spec.Folder = port, opts.folder
	if opts.settings != "" {
		spec.Settings = opts.settings
	}
	if opts.rate > 0 {
		spec.Rate = opts.rate
	}
	return spec
}
