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

// watchInterval is the interval at which `rollout watch` polls.
const watchInterval = time.Second

func (command *cli) rolloutCommands(flags *process.Flags, handlers map[*flaggy.Subcommand]func(*cli) error) {
	rollout := flaggy.NewSubcommand("rollout")
	rollout.Description = "roll out a new version of a service: rollout start, status, watch or abort"
	runs := map[*flaggy.Subcommand]func(*cli) error{}
	add := func(name, about string, run func(*cli) error) *flaggy.Subcommand {
		subcommand := flaggy.NewSubcommand(name)
		subcommand.Description = about
		subcommand.AddPositionalValue(&command.name, "service", 1, true, "the service")
		rollout.AttachSubcommand(subcommand, 1)
		runs[subcommand] = run
		return subcommand
	}
	start := add("start", "shift a service's requests gradually to the backends of a version", (*cli).startRollout)
	start.AddPositionalValue(&command.kind, "version", 2, true, "the version, as in the list of backends")
	start.Int(&command.deadlineSeconds, "t", "term", "time in which the rollout must complete, in seconds")
	add("status", "show the state of a service's latest rollout", (*cli).showRollout)
	add("watch", "show each change of a service's latest rollout until it ends", (*cli).watchRollout)
	add("abort", "abort a rollout and return all requests to the previous version", (*cli).abortRollout)
	flags.Parser.AttachSubcommand(rollout, 1)
	handlers[rollout] = func(command *cli) error {
		for subcommand, run := range runs {
			if subcommand.Used {
				return run(command)
			}
		}
		return rpc.Errorf(rpc.BadFlag, "missing subcommand, one of rollout start, status, watch or abort")
	}
}

func (command *cli) rolloutPath() string {
	return agent.RolloutPath + "/" + url.PathEscape(command.name)
}

func (command *cli) startRollout() error {
	if command.deadlineSeconds <= 0 {
		return rpc.Errorf(rpc.BadFlag, "--term: %d is not a positive number of seconds", command.deadlineSeconds)
	}
	body, err := json.Marshal(agent.RolloutRequest{
		Service: command.name, Target: command.kind, TermMs: int64(command.deadlineSeconds) * time.Second.Milliseconds(),
	})
	if err != nil {
		return rpc.Errorf(rpc.BadRequest, "%v", err)
	}
	return command.orderRollout(http.MethodPost, agent.RolloutPath, body)
}

func (command *cli) abortRollout() error {
	return command.orderRollout(http.MethodDelete, command.rolloutPath(), nil)
}

// orderRollout sends a request to start or abort. Without a definite response it retries, which
// starts no second rollout.
func (command *cli) orderRollout(method, path string, body []byte) error {
	receipt := agent.RolloutReceipt{}
	err := command.client.Do(method, path, body, &receipt)
	for attempt := 1; attempt < maxAttempts && err != nil && rpc.CodeOf(err).Status() >= http.StatusInternalServerError; attempt++ {
		time.Sleep(retryDelay)
		err = command.client.Do(method, path, body, &receipt)
	}
	if err != nil {
		return err
	}
	fmt.Printf("rollout %d of %s, already accepted before: %s\n", receipt.ID, command.name, yesNo(receipt.Duplicate))
	return nil
}

func (command *cli) readRollout() (*agent.RolloutStatus, error) {
	status := &agent.RolloutStatus{}
	return status, command.client.Do(http.MethodGet, command.rolloutPath(), nil, status)
}

func (command *cli) showRollout() error {
	status, err := command.readRollout()
	if err != nil {
		return err
	}
	printRollout(status)
	return nil
}

func printRollout(status *agent.RolloutStatus) {
	fmt.Printf("rollout %d of %s to %s: %s, step %d, share %.1f%%\n",
		status.ID, status.Service, status.Target, status.Phase, status.Step, 100*status.Share)
	fmt.Printf("  new version: %d requests, %d evaluated, %d exceed the reference, %d failed\n",
		status.Requests, status.Items, status.Exceedances, status.Failures)
	fmt.Printf("  previous version: %d requests, %d failed, %d in flight\n",
		status.FormerRequests, status.FormerFailures, status.FormerInFlight)
}

// watchRollout prints changes until the rollout ends. It returns an error if it was reverted.
func (command *cli) watchRollout() error {
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
			return rpc.Errorf(rpc.ObjectiveMissed, "the rollout was reverted")
		}
		time.Sleep(watchInterval)
	}
}
