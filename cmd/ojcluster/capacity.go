package main

import (
	"strings"

	"github.com/integrii/flaggy"

	"orchidjunction/harness/sweep"
	"orchidjunction/process"
	"orchidjunction/rpc"
)

// capacityPage is the command that writes the tables of the capacity page.
type capacityPage struct {
	command       *flaggy.Subcommand
	entries, page string
}

func capacityFlags(flags *process.Flags) *capacityPage {
	capacity := &capacityPage{command: flaggy.NewSubcommand("capacity"), page: "docs/CAPACITY.md"}
	capacity.command.Description = "writes the tables of the capacity page from journal entries of the bench's sweep"
	capacity.command.String(&capacity.entries, "", "entries", "files of journal entries, comma between")
	capacity.command.String(&capacity.page, "", "page", "the page")
	flags.Parser.AttachSubcommand(capacity.command, 1)
	return capacity
}

// write writes the tables.
func (capacity *capacityPage) write() error {
	if capacity.entries == "" {
		return rpc.Errorf(rpc.BadFlag, "--entries must be given")
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
