// Command ojcluster runs a deployment of real processes on this machine, injects the
// faults of a scenario and prints the verdicts. It also writes the
// tables of the capacity page.
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

// options is what the command line says beside what holds for every fleet.
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
	given := parse(flags)
	chosen, found := cluster.Scenarios[given.scenario]
	if !found {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--scenario: no scenario %q; there are %s", given.scenario, strings.Join(cluster.Names(), ", ")))
	}
	sizes := given.sizes()
	goroutines := concurrent.NewGroup()
	fleets := given.newFleets(flags, sizes, goroutines)
	process.OnTerm(goroutines, goroutines.Stop)
	begin := time.Now()
	verdicts, err := cluster.PlayBoth(fleets, chosen, goroutines)
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
		allHold = checker.Print(os.Stdout, lines, given.untimed) && allHold
	}
	fmt.Printf(
		"%s: %v after %v\n",
		given.scenario,
		map[bool]string{true: "all hold", false: "not all hold"}[allHold],
		time.Since(begin).Round(time.Second),
	)
	if !allHold {
		os.Exit(1)
	}
}

// parse reads the command line. Where that asks for a measurement, it is made here and
// the process ends.
func parse(flags *process.Flags) *options {
	given := &options{
		size: "small", scenario: "calm", examples: "examples", bin: "bin", seed: 1,
		spec: cluster.Spec{BasePort: 21000, Seconds: 20, Seed: 1, LagMs: 1000, Changes: 2, Tries: 4},
	}
	flags.Parser.String(&given.size, "", "size", "small, volta, saqtau, or both partners together, lending to each other")
	flags.Parser.String(&given.scenario, "", "scenario", "the faults to inject")
	flags.Parser.String(&given.examples, "", "examples", "folder with the sizes' settings files")
	flags.Parser.String(&given.settings, "", "settings", "settings file, when not that of the size")
	flags.Parser.String(&given.bin, "", "bin", "folder with the programs")
	flags.Parser.String(&given.folder, "", "folder", "new folder for data and logs; a temporary one when not given")
	flags.Parser.Int(&given.spec.BasePort, "", "base-port", "first of the ports used on 127.0.0.1")
	flags.Parser.Float64(&given.spec.Seconds, "", "seconds", "how long callers call")
	flags.Parser.Int(&given.rate, "", "rate", "tasks a second, when not that of the size")
	flags.Parser.Int(&given.seed, "", "seed", "seed of everything drawn")
	flags.Parser.Int(&given.spec.Changes, "", "changes", "settings changes a second, about")
	flags.Parser.Int(&given.spec.Tries, "", "tries", "tries that a caller makes for one task")
	flags.Parser.Bool(&given.untimed, "", "untimed", "show the verdicts that a slow machine could fail, but do not count them")
	capacity := capacityFlags(flags)
	flags.Parse()
	if capacity.command.Used {
		flags.Exit(capacity.write())
		os.Exit(0)
	}
	return given
}

// sizes are the names of the fleets to run.
func (given *options) sizes() []string {
	if given.size != cluster.Both {
		return []string{given.size}
	}
	given.spec.Guests = 2
	return []string{"volta", "saqtau"}
}

// newFleets returns a fleet of each size on ports of its own; two lend to each other.
func (given *options) newFleets(flags *process.Flags, sizes []string, goroutines *concurrent.Group) []*cluster.Fleet {
	if given.folder == "" {
		made, err := os.MkdirTemp("", "ojcluster-")
		if err != nil {
			flags.Exit(rpc.Errorf(rpc.BadFlag, "--folder: %v", err))
		}
		given.folder = made
	}
	fleets, port := []*cluster.Fleet{}, given.spec.BasePort
	for _, name := range sizes {
		base, found := cluster.Sizes[name]
		if !found {
			flags.Exit(rpc.Errorf(rpc.BadFlag, "--size: no size %q; there are small, volta, saqtau and both", name))
		}
		spec := given.specOf(&base, port)
		if len(sizes) > 1 {
			spec.Folder = filepath.Join(given.folder, name)
		}
		fleet, err := cluster.NewFleet(spec, goroutines)
		flags.Exit(err)
		fleets = append(fleets, fleet)
		port += spec.Ports()
		fmt.Printf(
			"%s of %s, seed %d: %d cores, %d directories, %d proxies, %d backends, %d tasks a second for %v s; data and logs in %s\n",
			given.scenario,
			name,
			given.seed,
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

// specOf is the spec of a fleet of one size whose ports begin at port.
func (given *options) specOf(base *cluster.Spec, port int) cluster.Spec {
	spec := given.spec
	spec.Settings = filepath.Join(given.examples, base.Settings+".json")
	spec.Cores, spec.Directories, spec.Proxies, spec.Backends = base.Cores, base.Directories, base.Proxies, base.Backends
	spec.Rate, spec.MoneyPart = base.Rate, base.MoneyPart
	spec.Bin, spec.Seed = given.bin, uint64(given.seed)
	spec.BasePort, spec.Folder = port, given.folder
	if given.settings != "" {
		spec.Settings = given.settings
	}
	if given.rate > 0 {
		spec.Rate = given.rate
	}
	return spec
}
