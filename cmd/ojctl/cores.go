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

// orderRest is the pause before an order without a clear answer is sent again.
const orderRest = 300 * time.Millisecond

// coreCommands adds `core list` and `core remove`.
func (command *errand) coreCommands(flags *process.Flags, uses map[*flaggy.Subcommand]func(*errand) error) {
	core := flaggy.NewSubcommand("core")
	core.Description = "lists the cores that vote, or removes one: core list, core remove ID"
	list := flaggy.NewSubcommand("list")
	list.Description = "lists the voters, the voters to come and the learners"
	remove := flaggy.NewSubcommand("remove")
	remove.Description = "gives a core's vote to a waiting learner at once"
	remove.AddPositionalValue(&command.name, "id", 1, true, "the core's ID as the list shows it")
	core.AttachSubcommand(list, 1)
	core.AttachSubcommand(remove, 1)
	flags.Parser.AttachSubcommand(core, 1)
	uses[core] = func(command *errand) error {
		switch {
		case list.Used:
			return command.listCores()
		case remove.Used:
			return command.removeCore()
		}
		return rpc.Errorf(rpc.BadFlag, "want core list or core remove ID")
	}
}

func (command *errand) listCores() error {
	membership, err := command.client.Cores()
	if err != nil {
		return err
	}
	showMembership(membership)
	return nil
}

// showMembership prints a membership, one core a line.
func showMembership(membership *message.MembershipStatus) {
	fmt.Printf("membership %d, ballot %s\n", membership.Version, membership.Term)
	showVoters("voter", membership.Voters)
	showVoters("next", membership.Next)
	for _, learner := range membership.Learners {
		fmt.Printf(
			"learner   - %-21s seen %s, silent %d ms, synced %s\n",
			learner.Address,
			mark(learner.Seen),
			learner.SilentMs,
			mark(learner.Synced),
		)
	}
}

func showVoters(kind string, voters []message.VoterStatus) {
	for _, voter := range voters {
		leaving := ""
		if voter.Leaving {
			leaving = ", leaving"
		}
		fmt.Printf("%-7s %3d %-21s seen %s, silent %d ms%s\n", kind, voter.ID, voter.Address, mark(voter.Seen), voter.SilentMs, leaving)
	}
}

// removeCore sends the removal, and again while its outcome is unknown: once removed,
// a core stays so, and the order is acknowledged.
func (command *errand) removeCore() error {
	id, err := strconv.Atoi(command.name)
	if err != nil || id < 1 || id > message.MaxPeerID {
		return rpc.Errorf(rpc.BadFlag, "core remove: %q is no core's ID; core list shows them", command.name)
	}
	removed, err := command.client.RemoveCore(id)
	for try := 1; try < tries && asksAgain(err); try++ {
		time.Sleep(orderRest)
		removed, err = command.client.RemoveCore(id)
	}
	if err != nil {
		return err
	}
	show(removed)
	if removed.Again {
		fmt.Fprintf(os.Stderr, "ojctl: core %d had no vote any more\n", id)
	}
	return nil
}

// asksAgain is whether an order may be sent again to learn its outcome.
func asksAgain(err error) bool {
	return err != nil && (rpc.CodeOf(err) == rpc.OutcomeUnknown || rpc.CodeOf(err) == rpc.NotStarted || rpc.CodeOf(err) == rpc.Unreachable)
}
