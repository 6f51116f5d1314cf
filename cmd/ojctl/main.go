// Command ojctl is the operators' command-line tool: it reads and changes settings, drains zones
// and backends, and reports status and service-level objectives. Exit status: 0 success,
// 1 rejected, 2 usage error, 3 outcome unknown, 4 no daemon reachable.
package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/integrii/flaggy"

	"orchidjunction/agent"
	"orchidjunction/config"
	"orchidjunction/message"
	"orchidjunction/operator"
	"orchidjunction/process"
	"orchidjunction/rpc"
	"orchidjunction/slo"
)

const (
	exitRejected       = 1
	exitOutcomeUnknown = 3
	exitUnreachable    = 4
	maxAttempts        = 5
)

type cli struct {
	client    *operator.Client
	daemons   []string
	file      string
	name      string
	kind      string
	changeID  string
	operator  string
	base      int
	effective bool

	deadlineSeconds int
}

func main() {
	flags := process.NewFlags("ojctl", "operates orchidjunction: settings, drains, rollouts, cores and status")
	command := &cli{base: -1}
	flags.Parser.StringSlice(&command.daemons, "d", "daemon", "IP:port of a daemon's operator API; may be repeated")
	handlers := map[*flaggy.Subcommand]func(*cli) error{}
	add := func(name, about string, run func(*cli) error, shape func(*flaggy.Subcommand)) {
		subcommand := flaggy.NewSubcommand(name)
		subcommand.Description = about
		if shape != nil {
			shape(subcommand)
		}
		flags.Parser.AttachSubcommand(subcommand, 1)
		handlers[subcommand] = run
	}
	file := func(subcommand *flaggy.Subcommand) {
		subcommand.AddPositionalValue(&command.file, "file", 1, true, "JSON settings file, - for standard input")
	}
	change := func(subcommand *flaggy.Subcommand) {
		subcommand.Int(&command.base, "b", "base", "serial of the settings that the change is based on; default: the current one")
		subcommand.String(&command.changeID, "c", "change", "change ID; a change is applied only once per ID; default: a random one")
		subcommand.String(&command.operator, "o", "operator", "name of the operator, for the history")
	}
	targetArguments := func(subcommand *flaggy.Subcommand) {
		subcommand.AddPositionalValue(&command.kind, "kind", 1, true, "zone or backend")
		subcommand.AddPositionalValue(&command.name, "name", 2, true, "name of the zone or backend")
		change(subcommand)
	}
	add("check", "validate a settings file offline and list all errors", (*cli).check, file)
	add("digest", "print the digest of a tenant's key for the settings", (*cli).digest, func(subcommand *flaggy.Subcommand) {
		subcommand.AddPositionalValue(&command.name, "key", 1, true, "the tenant's key")
	})
	add("show", "show the current settings", (*cli).show, func(subcommand *flaggy.Subcommand) {
		subcommand.Bool(&command.effective, "e", "effective", "show the effective values of each route and where they are set")
	})
	add("put", "replace all settings", (*cli).put, func(subcommand *flaggy.Subcommand) { file(subcommand); change(subcommand) })
	add(
		"patch",
		"merge a partial version into the current settings",
		(*cli).patch,
		func(subcommand *flaggy.Subcommand) { file(subcommand); change(subcommand) },
	)
	add("drain", "drain a zone or a backend", (*cli).drain, targetArguments)
	add("refill", "end the drain of a zone or a backend", (*cli).refill, targetArguments)
	add("history", "list the applied changes", (*cli).history, nil)
	add(
		"aims",
		"evaluate service-level objectives from the counters of all daemons",
		(*cli).objectives,
		func(subcommand *flaggy.Subcommand) {
			subcommand.AddPositionalValue(&command.file, "file", 1, true, "service-level objectives as OpenSLO documents")
		},
	)
	command.coreCommands(flags, handlers)
	command.rolloutCommands(flags, handlers)
	add("status", "show the leader, the cores and all daemons", (*cli).status, nil)
	flags.Parse()
	for subcommand, run := range handlers {
		if !subcommand.Used {
			continue
		}
		if subcommand.Name != "check" && subcommand.Name != "digest" {
			if len(command.daemons) == 0 {
				flags.Exit(rpc.Errorf(rpc.BadFlag, "--daemon is required"))
			}
			for _, daemon := range command.daemons {
				flags.Exit(rpc.CheckAddress("--daemon", daemon))
			}
		}
		command.client = operator.NewClient(command.daemons, process.Transport())
		exitOnError(run(command))
		return
	}
	flags.Exit(
		rpc.Errorf(
			rpc.BadFlag,
			"missing command, one of check, digest, show, put, patch, drain, refill, history, aims, core, rollout or status",
		),
	)
}

// exitOnError prints err and exits with its status. It does nothing if err is nil.
func exitOnError(err error) {
	if err == nil {
		return
	}
	for _, detail := range rpc.AsError(err).Details {
		fmt.Fprintf(os.Stderr, "%s: %s: %s\n", detail.Path, detail.Code, detail.Message)
	}
	plain := *rpc.AsError(err)
	plain.Details = nil
	fmt.Fprintf(os.Stderr, "ojctl: %v\n", &plain)
	switch {
	case rpc.CodeOf(err) == rpc.BadFlag:
		os.Exit(2)
	case rpc.CodeOf(err) == rpc.OutcomeUnknown:
		os.Exit(exitOutcomeUnknown)
	case rpc.CodeOf(err) == rpc.Unreachable || rpc.CodeOf(err).Status() == 503:
		os.Exit(exitUnreachable)
	}
	os.Exit(exitRejected)
}

func (command *cli) read() ([]byte, error) {
	var body []byte
	var err error
	if command.file == "-" {
		buffer := bytes.Buffer{}
		_, err = buffer.ReadFrom(os.Stdin)
		body = buffer.Bytes()
	} else {
		body, err = os.ReadFile(command.file)
	}
	if err != nil {
		return nil, rpc.Errorf(rpc.BadFlag, "%v", err)
	}
	return body, nil
}

func printJSON(document any) {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(document); err != nil {
		exitOnError(rpc.Errorf(rpc.OutcomeUnknown, "writing the result: %v", err))
	}
}

func (command *cli) check() error {
	body, err := command.read()
	if err != nil {
		return err
	}
	settings, err := config.Read(body)
	if err != nil {
		return err
	}
	fmt.Printf("valid: %d classes, %d routes, %d tenants\n", len(settings.Classes), len(settings.Resolve()), len(settings.Tenants))
	return nil
}

func (command *cli) digest() error {
	sum := sha256.Sum256([]byte(command.name))
	fmt.Println("sha256:" + hex.EncodeToString(sum[:]))
	return nil
}

func (command *cli) show() error {
	settings, err := command.client.Read(command.effective)
	if err != nil {
		return err
	}
	if !settings.Confirmed {
		fmt.Fprintln(os.Stderr, "ojctl: no leader; showing the settings of the daemon that answered")
	}
	if !command.effective {
		printJSON(settings)
		return nil
	}
	routes := []config.Effective{}
	if err := json.Unmarshal(settings.Effective, &routes); err != nil {
		return rpc.Errorf(rpc.BadMessage, "effective routes: %v", err)
	}
	fmt.Printf("serial %d\n", settings.Serial)
	for _, route := range routes {
		fmt.Printf("%s %s/%s: %s %s\n", route.Class, route.Service, route.Route, route.Method, route.Path)
		names := []string{}
		for name := range route.Values {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Printf("  %-16s %-12v from %s\n", name, route.Values[name].Value, route.Values[name].From)
		}
	}
	return nil
}

func (command *cli) change(body []byte) (operator.Change, error) {
	change := operator.Change{Base: uint64(max(command.base, 0)), Change: command.changeID, Operator: command.operator, Settings: body}
	if change.Change == "" {
		change.Change = agent.NewID()
	}
	if command.base < 0 {
		settings, err := command.client.Read(false)
		if err != nil {
			return change, err
		}
		change.Base = settings.Serial
	}
	return change, nil
}

// apply sends the change. If the outcome is unknown, it retries with the same change ID.
func (command *cli) apply(change operator.Change, send func(operator.Change) (*operator.Outcome, error)) error {
	outcome, err := send(change)
	for attempt := 1; attempt < maxAttempts && err != nil && rpc.CodeOf(err) == rpc.OutcomeUnknown; attempt++ {
		outcome, err = send(change)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "change ID %s\n", change.Change)
		return err
	}
	printJSON(outcome)
	return nil
}

func (command *cli) put() error {
	return command.send(func(change operator.Change) (*operator.Outcome, error) { return command.client.Put(change) })
}

func (command *cli) patch() error {
	return command.send(func(change operator.Change) (*operator.Outcome, error) { return command.client.Patch(change) })
}

func (command *cli) send(send func(operator.Change) (*operator.Outcome, error)) error {
	body, err := command.read()
	if err != nil {
		return err
	}
	if !json.Valid(body) {
		return rpc.Errorf(rpc.BadFlag, "%s is not valid JSON", command.file)
	}
	change, err := command.change(body)
	if err != nil {
		return err
	}
	return command.apply(change, send)
}

func (command *cli) drain() error  { return command.setDrained(true) }
func (command *cli) refill() error { return command.setDrained(false) }

// setDrained begins or ends a drain. If another change comes first, it reads the settings again
// and retries.
func (command *cli) setDrained(drained bool) error {
	if command.kind != "zone" && command.kind != "backend" {
		return rpc.Errorf(rpc.BadFlag, "%q is neither \"zone\" nor \"backend\"", command.kind)
	}
	for attempt := 0; ; attempt++ {
		settings, err := command.client.Read(false)
		if err != nil {
			return err
		}
		current, err := config.Read(settings.Settings)
		if err != nil {
			return err
		}
		names := current.Drained.Zones
		if command.kind == "backend" {
			names = current.Drained.Backends
		}
		kept := []string{}
		for _, name := range names {
			if name != command.name {
				kept = append(kept, name)
			}
		}
		if drained {
			kept = append(kept, command.name)
		}
		body, _ := json.Marshal(map[string]any{"drained": map[string]any{command.kind + "s": kept}})
		change := operator.Change{Base: settings.Serial, Change: command.changeID, Operator: command.operator, Settings: body}
		if command.base >= 0 {
			change.Base = uint64(command.base)
		}
		if change.Change == "" {
			change.Change = agent.NewID()
		}
		err = command.apply(change, command.client.Patch)
		if err == nil || rpc.CodeOf(err) != rpc.StaleBase || command.base >= 0 || attempt >= maxAttempts {
			return err
		}
	}
}

func (command *cli) history() error {
	history := struct {
		Serial  uint64                 `json:"serial"`
		Changes []message.HistoryEntry `json:"changes"`
	}{}
	if err := command.client.Do("GET", "/v1/changes", nil, &history); err != nil {
		return err
	}
	for _, entry := range history.Changes {
		fmt.Printf("%6d  %-8s %-26s %s\n", entry.Serial, entry.Kind, entry.Change, entry.Operator)
	}
	return nil
}

func (command *cli) status() error {
	status, err := command.client.Status()
	if err != nil {
		return err
	}
	fmt.Printf(
		"leader core %d at %s, term %s, %s, revocation by %s\n",
		status.Leader.Core,
		status.Leader.Address,
		status.Leader.Term,
		status.State,
		status.Revocation,
	)
	for _, condition := range status.Conditions {
		fmt.Printf("  [%s] %s (%s)\n", yesNo(condition.Holds), condition.Name, condition.Detail)
	}
	fmt.Printf(
		"settings serial %d, table %s/%d, %d backends\n",
		status.Serial,
		status.Table.Term,
		status.Table.Number,
		len(status.Backends),
	)
	printMembership(&status.Membership)
	for _, core := range status.Cores {
		fmt.Printf(
			"core %d %-21s voter %s seen %s serial %d term %s\n",
			core.Core,
			core.Address,
			yesNo(core.Voter),
			yesNo(core.Seen),
			core.Versions[0].Serial,
			core.Versions[0].Term,
		)
	}
	for _, daemon := range status.Members {
		fmt.Printf(
			"%-5s %-16s %-12s ready %s leaving %s serial %d table %d parent %s\n",
			daemon.Member.Kind,
			daemon.Member.Name,
			daemon.Member.Zone,
			yesNo(daemon.Member.Ready),
			yesNo(daemon.Member.Leaving),
			daemon.Serial,
			daemon.Table.Number,
			strings.TrimSpace(daemon.Parent),
		)
	}
	return nil
}

// objectives evaluates the objectives on the counters of all daemons that the leader knows.
func (command *cli) objectives() error {
	body, err := command.read()
	if err != nil {
		return err
	}
	documents, err := slo.Read(body)
	if err != nil {
		return err
	}
	status, err := command.client.Status()
	if err != nil {
		return err
	}
	totals, unreachable := status.Counts, 0
	for _, daemon := range status.Members {
		counts := map[string]uint64{}
		if err := operator.NewClient([]string{daemon.Member.OperatorAddress}, process.Transport()).
			Do("GET", "/v1/counts", nil, &counts); err != nil {
			unreachable++
			continue
		}
		for name, count := range counts {
			totals[name] += count
		}
	}
	if unreachable > 0 {
		fmt.Fprintf(os.Stderr, "ojctl: no counters from %d unreachable daemons\n", unreachable)
	}
	missed := 0
	for _, report := range slo.Evaluate(documents, totals) {
		fmt.Printf(
			"%-24s target %.4f, good %d of %d, ratio %.4f, met %s, error budget left %.0f%%\n",
			report.Name,
			report.Target,
			report.Good,
			report.Total,
			report.Ratio,
			yesNo(report.Met),
			100*report.Left,
		)
		if !report.Met {
			missed++
		}
	}
	if missed > 0 {
		return rpc.Errorf(rpc.ObjectiveMissed, "%d objectives missed", missed)
	}
	return nil
}

func yesNo(holds bool) string {
	if holds {
		return "yes"
	}
	return "no"
}
