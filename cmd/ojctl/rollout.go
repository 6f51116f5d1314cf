package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/integrii/flaggy"

	"orchidjunction/agent"
	"orchidjunction/message"
	"orchidjunction/process"
	"orchidjunction/rpc"
)

// watchInterval is the pause between two looks at a roll-out.
const watchInterval = time.Second

// rolloutCommands adds `rollout start`, `status`, `watch` and `abort`.
func (command *errand) rolloutCommands(flags *process.Flags, uses map[*flaggy.Subcommand]func(*errand) error) {
	rollout := flaggy.NewSubcommand("rollout")
	rollout.Description = "brings a new version of a service into use: rollout start, status, watch or abort"
	runs := map[*flaggy.Subcommand]func(*errand) error{}
	add := func(name, about string, run func(*errand) error) *flaggy.Subcommand {
		subcommand := flaggy.NewSubcommand(name)
		subcommand.Description = about
		subcommand.AddPositionalValue(&command.name, "service", 1, true, "the service")
		rollout.AttachSubcommand(subcommand, 1)
		runs[subcommand] = run
		return subcommand
	}
	start := add("start", "shifts a service's requests to the backends of a version", (*errand).startRollout)
	start.AddPositionalValue(&command.kind, "version", 2, true, "the version, as the list of backends names it")
	start.Int(&command.termSeconds, "t", "term", "seconds within which it is to be complete")
	add("status", "shows where a service's newest roll-out stands", (*errand).showRollout)
	add("watch", "shows each change of a service's newest roll-out until it ends", (*errand).watchRollout)
	add("abort", "gives all requests back to the former version", (*errand).abortRollout)
	flags.Parser.AttachSubcommand(rollout, 1)
	uses[rollout] = func(command *errand) error {
		for subcommand, run := range runs {
			if subcommand.Used {
				return run(command)
			}
		}
		return rpc.Errorf(rpc.BadFlag, "want rollout start, status, watch or abort")
	}
}

func (command *errand) rolloutPath() string {
	return agent.RolloutPath + "/" + url.PathEscape(command.name)
}

func (command *errand) startRollout() error {
	if command.termSeconds <= 0 {
		return rpc.Errorf(rpc.BadFlag, "--term: %d seconds, want one at least", command.termSeconds)
	}
	body, err := json.Marshal(agent.RolloutRequest{
		Service: command.name, Target: command.kind, TermMs: int64(command.termSeconds) * time.Second.Milliseconds(),
	})
	if err != nil {
		return rpc.Errorf(rpc.BadRequest, "%v", err)
	}
	return command.orderRollout(http.MethodPost, agent.RolloutPath, body)
}

func (command *errand) abortRollout() error {
	return command.orderRollout(http.MethodDelete, command.rolloutPath(), nil)
}

// orderRollout sends an order; one without a clear answer is sent again, which starts nothing
// anew.
func (command *errand) orderRollout(method, path string, body []byte) error {
	receipt := agent.RolloutReceipt{}
	err := command.client.Ask(method, path, body, &receipt)
	for try := 1; try < tries && err != nil && rpc.CodeOf(err).Status() >= http.StatusInternalServerError; try++ {
		time.Sleep(orderRest)
		err = command.client.Ask(method, path, body, &receipt)
	}
	if err != nil {
		return err
	}
	fmt.Printf("roll-out %d of %s, taken before: %s\n", receipt.ID, command.name, mark(receipt.Duplicate))
	return nil
}

func (command *errand) readRollout() (*agent.RolloutStatus, error) {
	status := &agent.RolloutStatus{}
	return status, command.client.Ask(http.MethodGet, command.rolloutPath(), nil, status)
}

func (command *errand) showRollout() error {
	status, err := command.readRollout()
	if err != nil {
		return err
	}
	printRollout(status)
	return nil
}

func printRollout(status *agent.RolloutStatus) {
	fmt.Printf("roll-out %d of %s to %s: %s, step %d, share %.1f%%\n",
		status.ID, status.Service, status.Target, status.Phase, status.Step, 100*status.Share)
	fmt.Printf("  new version: %d requests, %d judged, %d exceed the reference, %d failed\n",
		status.Requests, status.Items, status.Exceedances, status.Failures)
	fmt.Printf("  former version: %d requests, %d failed, %d in flight\n",
		status.FormerRequests, status.FormerFailures, status.FormerInFlight)
}

// watchRollout ends with an error if the roll-out does not become complete.
func (command *errand) watchRollout() error {
	shown := agent.RolloutStatus{}
	for {
		status, err := command.readRollout()
		if err != nil && rpc.CodeOf(err).Status() < http.StatusInternalServerError {
			return err
		}
		if err == nil && (status.ID != shown.ID || status.Phase != shown.Phase || status.Step != shown.Step) {
			printRollout(status)
			shown = *status
		}
		switch shown.Phase {
		case message.RolloutComplete.String():
			return nil
		case message.RolloutReverted.String():
			return rpc.Errorf(rpc.ObjectiveMissed, "the roll-out was reverted")
		}
		time.Sleep(watchInterval)
	}
}
