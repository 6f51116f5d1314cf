package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"orchidjunction/concurrent"
	"orchidjunction/harness/capacity"
	"orchidjunction/process"
	"orchidjunction/rpc"
)

// scaling is the command line of the scale run and of the processes it starts.
type scaling struct {
	run, capacity, core, hollow *flaggy.Subcommand
	results, page, sweep, spec  string
	port                        int
}

func scaleFlags(flags *process.Flags) *scaling {
	scaling := &scaling{
		results: "docs/measure/scale",
		page:    "docs/CAPACITY.md",
		sweep:   "all",
		port:    24000,
		run: flaggy.NewSubcommand(
			"scale",
		),
		capacity: flaggy.NewSubcommand("capacity"),
		core:     flaggy.NewSubcommand("scale-core"),
		hollow:   flaggy.NewSubcommand("scale-hollow"),
	}
	names := []string{"all", "state"}
	for _, sweep := range capacity.Sweeps {
		names = append(names, sweep.Name)
	}
	scaling.run.Description = "measures each role's cost as the fleet grows, with hollow daemons; uses about four cores"
	scaling.run.String(&scaling.sweep, "", "sweep", "which size grows, comma between: "+strings.Join(names, ", "))
	scaling.run.Int(&scaling.port, "", "first-port", "first of the ports used on 127.0.0.1")
	scaling.capacity.Description = "writes the tables of the capacity page, and the plots, from the results"
	scaling.capacity.String(&scaling.page, "", "page", "the page")
	for _, command := range []*flaggy.Subcommand{scaling.run, scaling.capacity} {
		command.String(&scaling.results, "", "results", "folder of the results")
		flags.Parser.AttachSubcommand(command, 1)
	}
	for _, command := range []*flaggy.Subcommand{scaling.core, scaling.hollow} {
		command.Hidden = true
		command.String(&scaling.spec, "", "spec", "the process's place as JSON")
		flags.Parser.AttachSubcommand(command, 1)
	}
	return scaling
}

// play is whether the command line asked for any of this.
func (scaling *scaling) play(flags *process.Flags) bool {
	switch {
	case scaling.core.Used:
		spec := capacity.CoreSpec{}
		flags.Exit(scaling.read(&spec))
		flags.Exit(capacity.RunCore(spec))
	case scaling.hollow.Used:
		spec := capacity.SimulatedSpec{}
		flags.Exit(scaling.read(&spec))
		flags.Exit(capacity.RunSimulatedDaemons(spec))
	case scaling.run.Used:
		flags.Exit(scaling.measure())
	case scaling.capacity.Used:
		flags.Exit(capacity.WritePage(scaling.page, scaling.results))
	default:
		return false
	}
	return true
}

func (scaling *scaling) read(spec any) error {
	if err := json.Unmarshal([]byte(scaling.spec), spec); err != nil {
		return rpc.Errorf(rpc.BadFlag, "--spec: %v", err)
	}
	return nil
}

func (scaling *scaling) measure() error {
	goroutines := concurrent.NewGroup()
	process.OnTerm(goroutines, goroutines.Stop)
	defer goroutines.Stop()
	played := false
	for name := range strings.SplitSeq(scaling.sweep, ",") {
		if name == "all" || name == "state" {
			played = true
			if err := capacity.PlayStates(scaling.results, os.Stdout); err != nil {
				return err
			}
		}
		for index := range capacity.Sweeps {
			if sweep := &capacity.Sweeps[index]; name == "all" || name == sweep.Name {
				played = true
				if err := sweep.Play(scaling.results, scaling.port, goroutines, os.Stdout); err != nil {
					return err
				}
			}
		}
	}
	if !played {
		return rpc.Errorf(rpc.BadFlag, "--sweep: nothing is called %s", scaling.sweep)
	}
	fmt.Println("results in", scaling.results)
	return nil
}
