package main

import (
	"strings"

	"github.com/integrii/flaggy"

	"orchidjunction/harness/sweep"
	"orchidjunction/process"
	"orchidjunction/rpc"
)

// capacityCommand is the subcommand that generates the tables of the capacity page.
type capacityCommand struct {
	command       *flaggy.Subcommand
	entries, page string
}

func capacityFlags(flags *process.Flags) *capacityCommand {
	capacity := &capacityCommand{command: flaggy.NewSubcommand("capacity"), page: "docs/CAPACITY.md"}
	capacity.command.Description = "generate the tables of the capacity page from the journal entries of a benchmark sweep"
	capacity.command.String(&capacity.entries, "", "entries", "comma-separated files with journal entries")
	capacity.command.String(&capacity.page, "", "page", "the page to update")
	flags.Parser.AttachSubcommand(capacity.command, 1)
	return capacity
}

func (capacity *capacityCommand) write() error {
	if capacity.entries == "" {
		return rpc.Errorf(rpc.BadFlag, "--entries is required")
	}
	sweeps := []*sweep.Sweep{}
	for path := range strings.SplitSeq(capacity.entries, ",") {
		read, err := sweep.Read(path)
		if err != nil {
			return err
		}
		sweeps = append(sweeps, read)
	}
	return sweep.WritePage(capacity.page, sweeps)
}
