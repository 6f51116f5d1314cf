// Command ojcluster runs a deployment of real processes on this machine, injects the
// faults of a scenario and prints the verdicts. It also measures how the system
// scales.
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

func main() {
	flags := process.NewFlags("ojcluster", "runs a deployment of orchidjunction's processes and injects faults; scenarios: "+strings.Join(cluster.Names(), ", "))
	size, scenario, examples, settings := "small", "calm", "examples", ""
	bin, folder := "bin", ""
	spec := cluster.Spec{BasePort: 21000, Seconds: 20, Seed: 1, LagMs: 1000, Changes: 2, Tries: 4}
	rate, seed, untimed := 0, 1, false
	flags.Parser.String(&size, "", "size", "small, volta, saqtau, or both partners together, lending to each other")
	flags.Parser.String(&scenario, "", "scenario", "the faults to inject")
	flags.Parser.String(&examples, "", "examples", "folder with the sizes' settings files")
	flags.Parser.String(&settings, "", "settings", "settings file, when not that of the size")
	flags.Parser.String(&bin, "", "bin", "folder with the programs")
	flags.Parser.String(&folder, "", "folder", "new folder for data and logs; a temporary one when not given")
	flags.Parser.Int(&spec.BasePort, "", "base-port", "first of the ports used on 127.0.0.1")
	flags.Parser.Float64(&spec.Seconds, "", "seconds", "how long callers call")
	flags.Parser.Int(&rate, "", "rate", "tasks a second, when not that of the size")
	flags.Parser.Int(&seed, "", "seed", "seed of everything drawn")
	flags.Parser.Int(&spec.Changes, "", "changes", "settings changes a second, about")
	flags.Parser.Int(&spec.Tries, "", "tries", "tries that a caller makes for one task")
	flags.Parser.Bool(&untimed, "", "untimed", "show the verdicts that a slow machine could fail, but do not count them")
	measured := scaleFlags(flags)
	flags.Parse()
	if measured.play(flags) {
		return
	}
	chosen, found := cluster.Scenarios[scenario]
	if !found {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--scenario: no scenario %q; there are %s", scenario, strings.Join(cluster.Names(), ", ")))
	}
	sizes := []string{size}
	if size == cluster.Both {
		sizes, spec.Guests = []string{"volta", "saqtau"}, 2
	}
	if folder == "" {
		made, err := os.MkdirTemp("", "ojcluster-")
		if err != nil {
			flags.Exit(rpc.Errorf(rpc.BadFlag, "--folder: %v", err))
		}
		folder = made
	}
	goroutines := concurrent.NewGroup()
	fleets, port := []*cluster.Fleet{}, spec.BasePort
	for _, name := range sizes {
		base, found := cluster.Sizes[name]
		if !found {
			flags.Exit(rpc.Errorf(rpc.BadFlag, "--size: no size %q; there are small, volta, saqtau and both", name))
		}
		one := spec
		one.Settings, one.Cores, one.Directories, one.Proxies, one.Backends = filepath.Join(examples, base.Settings+".json"), base.Cores, base.Directories, base.Proxies, base.Backends
		one.Rate, one.MoneyPart, one.Bin, one.Seed = base.Rate, base.MoneyPart, bin, uint64(seed)
		one.BasePort, one.Folder = port, folder
		if len(sizes) > 1 {
			one.Folder = filepath.Join(folder, name)
		}
		if settings != "" {
			one.Settings = settings
		}
		if rate > 0 {
			one.Rate = rate
		}
		laid, err := cluster.NewFleet(one, goroutines)
		flags.Exit(err)
		fleets = append(fleets, laid)
		port += one.Ports()
		fmt.Printf("%s of %s, seed %d: %d cores, %d directories, %d proxies, %d backends, %d tasks a second for %v s; data and logs in %s\n",
			scenario, name, seed, one.Cores, one.Directories, one.Proxies, one.Backends, one.Rate, one.Seconds, one.Folder)
	}
	if len(fleets) == 2 {
		fleets[0].Lend(fleets[1])
		fleets[1].Lend(fleets[0])
	}
	process.OnTerm(goroutines, goroutines.Stop)
	begin := time.Now()
	verdicts, err := cluster.PlayBoth(fleets, chosen, goroutines)
	goroutines.Stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "ojcluster: %v\n", err)
		os.Exit(1)
	}
	all := true
	for index, lines := range verdicts {
		if len(verdicts) > 1 {
			fmt.Printf("%s:\n", sizes[index])
		}
		all = checker.Print(os.Stdout, lines, untimed) && all
	}
	fmt.Printf("%s: %v after %v\n", scenario, map[bool]string{true: "all hold", false: "not all hold"}[all], time.Since(begin).Round(time.Second))
	if !all {
		os.Exit(1)
	}
}
