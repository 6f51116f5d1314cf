// Command ojsoak runs a deployment of real processes on loopback addresses under overlapping
// signals, restarts, changes, drains and rollouts, randomly drawn from a seed, and checks the
// observations of clients, backends and operators against the rules. It exits with 1 if a rule
// was violated.
package main

import (
	"fmt"
	"os"
	"time"

	"orchidjunction/harness/soak"
	"orchidjunction/process"
	"orchidjunction/rpc"
)

func main() {
	flags := process.NewFlags("ojsoak", "soak test: runs a deployment of real processes on this machine under faults and checks the rules")
	program, folder := "bin/orchidjunction", ""
	seed, seeds, seconds, proxies, clients, backends, slowHeads, term := 1, 1, 60, 6, 36, 6, 0, 14
	isVerbose := false
	flags.Parser.String(&program, "", "program", "path of the orchidjunction executable")
	flags.Parser.String(&folder, "", "folder", "folder for logs and state, kept at the end; default: a temporary one")
	flags.Parser.Int(&seed, "", "seed", "seed of the first run")
	flags.Parser.Int(&seeds, "", "seeds", "number of runs, each with the next seed")
	flags.Parser.Int(&seconds, "", "seconds", "duration of fault injection per run in seconds")
	flags.Parser.Int(&proxies, "", "proxies", "number of proxies")
	flags.Parser.Int(&clients, "", "clients", "number of clients")
	flags.Parser.Int(&backends, "", "backends", "number of backends per service (there are two)")
	flags.Parser.Int(
		&slowHeads,
		"",
		"slow-heads",
		"number of connections to the first proxy that send one byte of a request head per second",
	)
	flags.Parser.Int(&term, "", "term", "maximum duration of a rollout in seconds")
	flags.Parser.Bool(&isVerbose, "", "verbose", "print events")
	flags.Parse()
	if seeds < 1 || seconds < 1 || proxies < 1 || clients < 1 || backends < 1 || term < 1 || seed < 0 || slowHeads < 0 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "all numbers must be positive; --seed and --slow-heads may be 0"))
	}
	options := soak.Options{
		Program: program, Folder: folder, Duration: time.Duration(seconds) * time.Second,
		Proxies: proxies, Clients: clients, Backends: backends, SlowHeads: slowHeads,
		RolloutDuration: time.Duration(term) * time.Second, Bounds: soak.DefaultBounds(),
		Printf: func(format string, values ...any) {
			if isVerbose {
				fmt.Printf(format+"\n", values...)
			}
		},
	}
	broken := 0
	for run := range seeds {
		options.Seed = uint64(seed + run)
		report, err := soak.Run(options)
		flags.Exit(err)
		fmt.Print(report)
		if !report.Holds() {
			broken++
		}
	}
	fmt.Printf("%d runs, %d with a violated rule\n", seeds, broken)
	if broken > 0 {
		os.Exit(1)
	}
}
