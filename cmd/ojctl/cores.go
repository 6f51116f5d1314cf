package main

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"orchidjunction/message"
	"orchidjunction/process"
	"orchidjunction/rpc"
)

// retryDelay is the pause before a request without a definite response is sent again.
const retryDelay = 300 * time.Millisecond

func (command *cli) coreCommands(flags *process.Flags, handlers map[*flaggy.Subcommand]func(*cli) error) {
	core := flaggy.NewSubcommand("core")
	core.Description = "list the cores or remove a voter: core list, core remove ID"
	list := flaggy.NewSubcommand("list")
	list.Description = "list the voters, the next voters during a change, and the learners"
	remove := flaggy.NewSubcommand("remove")
	remove.Description = "immediately replace a voter by a waiting learner"
	remove.AddPositionalValue(&command.name, "id", 1, true, "ID of the core, as shown by core list")
	core.AttachSubcommand(list, 1)
	core.AttachSubcommand(remove, 1)
	flags.Parser.AttachSubcommand(core, 1)
	handlers[core] = func(command *cli) error {
		switch {
		case list.Used:
			return command.listCores()
		case remove.Used:
			return command.removeCore()
		}
		return rpc.Errorf(rpc.BadFlag, "missing subcommand, core list or core remove ID")
	}
}

func (command *cli) listCores() error {
	membership, err := command.client.Cores()
	if err != nil {
		return err
	}
	printMembership(membership)
	return nil
}

func printMembership(membership *message.MembershipStatus) {
	fmt.Printf("membership %d, term %s\n", membership.Version, membership.Term)
	printVoters("voter", membership.Voters)
	printVoters("next", membership.Next)
	for _, learner := range membership.Learners {
		fmt.Printf(
			"learner   - %-21s seen %s, silent %d ms, synced %s\n",
			learner.Address,
			yesNo(learner.Seen),
			learner.SilentMs,
			yesNo(learner.Synced),
		)
	}
}

func printVoters(kind string, voters []message.VoterStatus) {
	for _, voter := range voters {
		leaving := ""
		if voter.Leaving {
			leaving = ", leaving"
		}
		fmt.Printf("%-7s %3d %-21s seen %s, silent %d ms%s\n", kind, voter.ID, voter.Address, yesNo(voter.Seen), voter.SilentMs, leaving)
	}
}

// removeCore sends the removal and retries while the outcome is unknown: removing a core that is
// already removed is acknowledged.
func (command *cli) removeCore() error {
	id, err := strconv.Atoi(command.name)
	if err != nil || id < 1 || id > message.MaxPeerID {
		return rpc.Errorf(rpc.BadFlag, "core remove: %q is not a core ID; use core list to show the IDs", command.name)
	}
	removed, err := command.client.RemoveCore(id)
	for attempt := 1; attempt < maxAttempts && isRetryable(err); attempt++ {
		time.Sleep(retryDelay)
		removed, err = command.client.RemoveCore(id)
	}
	if err != nil {
		return err
	}
	printJSON(removed)
	if removed.Again {
		fmt.Fprintf(os.Stderr, "ojctl: core %d was already removed from the voters\n", id)
	}
	return nil
}

// isRetryable reports whether a request may be sent again to learn its outcome.
func isRetryable(err error) bool {
	return err != nil && (rpc.CodeOf(err) == rpc.OutcomeUnknown || rpc.CodeOf(err) == rpc.NotStarted || rpc.CodeOf(err) == rpc.Unreachable)
}
