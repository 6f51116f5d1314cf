// Command ojsoak runs a deployment of real processes on loopback addresses under overlapping
// signals, restarts, changes, drains and roll-outs drawn from a seed, and holds what
// clients, backends and operators saw against the rules. It exits with 1 if one was broken.
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
	flags := process.NewFlags("ojsoak", "soaks a deployment of real processes on this machine and checks the rules")
	program, folder := "bin/orchidjunction", ""
	seed, seeds, seconds, proxies, clients, backends, slowHeads, term := 1, 1, 60, 6, 36, 6, 0, 14
	isVerbose := false
	flags.Parser.String(&program, "", "program", "the program whose processes are run")
	flags.Parser.String(&folder, "", "folder", "folder for logs and state, kept at the end; a temporary one if empty")
	flags.Parser.Int(&seed, "", "seed", "seed of the first run")
	flags.Parser.Int(&seeds, "", "seeds", "number of runs, each with the next seed")
	flags.Parser.Int(&seconds, "", "seconds", "length of the disturbances of a run")
	flags.Parser.Int(&proxies, "", "proxies", "number of proxies")
	flags.Parser.Int(&clients, "", "clients", "number of clients")
	flags.Parser.Int(&backends, "", "backends", "number of backends of each of the two services")
	flags.Parser.Int(&slowHeads, "", "slow-heads", "connections to the first proxy that send a byte of a head each second")
	flags.Parser.Int(&term, "", "term", "seconds that a roll-out may take")
	flags.Parser.Bool(&isVerbose, "", "verbose", "print what happens")
	flags.Parse()
	if seeds < 1 || seconds < 1 || proxies < 1 || clients < 1 || backends < 1 || term < 1 || seed < 0 || slowHeads < 0 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "numbers must be positive"))
	}
	options := soak.Options{
		Program: program, Folder: folder, Span: time.Duration(seconds) * time.Second,
		Proxies: proxies, Clients: clients, Backends: backends, SlowHeads: slowHeads,
		RolloutTerm: time.Duration(term) * time.Second, Bounds: soak.DefaultBounds(),
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
	fmt.Printf("%d runs, %d with a broken rule\n", seeds, broken)
	if broken > 0 {
		os.Exit(1)
	}
}
