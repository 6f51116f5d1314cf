// Command ojctl is the operators' command: it reads and changes settings, drains
// zones and backends, and reports status and service-level objectives. Exit codes:
// 0 done, 1 refused, 2 wrong use, 3 outcome unknown, 4 no daemon answers.
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
	exitRefused = 1
	exitUnknown = 3
	exitSilent  = 4
	tries       = 5
)

type errand struct {
	client   *operator.Client
	daemons  []string
	file     string
	name     string
	kind     string
	changeID string
	operator string
	base     int
	whole    bool

	termSeconds int
}

func main() {
	flags := process.NewFlags("ojctl", "reads and changes orchidjunction's settings")
	command := &errand{base: -1}
	flags.Parser.StringSlice(&command.daemons, "d", "daemon", "IP:port of a daemon's operators' side; may be given more than once")
	uses := map[*flaggy.Subcommand]func(*errand) error{}
	add := func(name, about string, run func(*errand) error, shape func(*flaggy.Subcommand)) {
		subcommand := flaggy.NewSubcommand(name)
		subcommand.Description = about
		if shape != nil {
			shape(subcommand)
		}
		flags.Parser.AttachSubcommand(subcommand, 1)
		uses[subcommand] = run
	}
	file := func(subcommand *flaggy.Subcommand) {
		subcommand.AddPositionalValue(&command.file, "file", 1, true, "settings as JSON, - for standard input")
	}
	change := func(subcommand *flaggy.Subcommand) {
		subcommand.Int(&command.base, "b", "base", "serial that the change is based on; what is in force when not given")
		subcommand.String(&command.changeID, "c", "change", "change id; the same id never makes a second change")
		subcommand.String(&command.operator, "o", "operator", "who changes it, for the history")
	}
	which := func(subcommand *flaggy.Subcommand) {
		subcommand.AddPositionalValue(&command.kind, "kind", 1, true, "zone or backend")
		subcommand.AddPositionalValue(&command.name, "name", 2, true, "which one")
		change(subcommand)
	}
	add("check", "reads a settings file and names everything wrong in it", (*errand).check, file)
	add("digest", "gives the form of a tenant's key that settings keep", (*errand).digest, func(subcommand *flaggy.Subcommand) {
		subcommand.AddPositionalValue(&command.name, "key", 1, true, "the key")
	})
	add("show", "shows the settings in force", (*errand).show, func(subcommand *flaggy.Subcommand) {
		subcommand.Bool(&command.whole, "e", "effective", "show each route's values and the branch they come from")
	})
	add("put", "puts a whole version in force", (*errand).put, func(subcommand *flaggy.Subcommand) { file(subcommand); change(subcommand) })
	add(
		"patch",
		"lays a partial version over the one in force",
		(*errand).patch,
		func(subcommand *flaggy.Subcommand) { file(subcommand); change(subcommand) },
	)
	add("drain", "empties a zone or a backend", (*errand).drain, which)
	add("refill", "takes a zone or a backend back", (*errand).refill, which)
	add("history", "lists the changes in force so far", (*errand).history, nil)
	add(
		"aims",
		"reports against service-level aims, from the counters of all daemons",
		(*errand).aims,
		func(subcommand *flaggy.Subcommand) {
			subcommand.AddPositionalValue(&command.file, "file", 1, true, "aims as OpenSLO documents")
		},
	)
	command.coreCommands(flags, uses)
	command.rolloutCommands(flags, uses)
	add("status", "shows the leader, the cores and every daemon", (*errand).status, nil)
	flags.Parse()
	for subcommand, run := range uses {
		if !subcommand.Used {
			continue
		}
		if subcommand.Name != "check" && subcommand.Name != "digest" {
			if len(command.daemons) == 0 {
				flags.Exit(rpc.Errorf(rpc.BadFlag, "--daemon must be given"))
			}
			for _, daemon := range command.daemons {
				flags.Exit(rpc.CheckAddress("--daemon", daemon))
			}
		}
		command.client = operator.NewClient(command.daemons, process.Transport())
		end(run(command))
		return
	}
	flags.Exit(
		rpc.Errorf(
			rpc.BadFlag,
			"want a command: check, digest, show, put, patch, drain, refill, history, aims, core, rollout or status",
		),
	)
}

// end prints an error and turns it into the exit status that scripts read.
func end(err error) {
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
		os.Exit(exitUnknown)
	case rpc.CodeOf(err) == rpc.Unreachable || rpc.CodeOf(err).Status() == 503:
		os.Exit(exitSilent)
	}
	os.Exit(exitRefused)
}

func (command *errand) read() ([]byte, error) {
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

func show(document any) {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(document); err != nil {
		end(rpc.Errorf(rpc.OutcomeUnknown, "output: %v", err))
	}
}

func (command *errand) check() error {
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

func (command *errand) digest() error {
	sum := sha256.Sum256([]byte(command.name))
	fmt.Println("sha256:" + hex.EncodeToString(sum[:]))
	return nil
}

func (command *errand) show() error {
	settings, err := command.client.Read(command.whole)
	if err != nil {
		return err
	}
	if !settings.Confirmed {
		fmt.Fprintln(os.Stderr, "ojctl: no leader; this is what the asked daemon has in force")
	}
	if !command.whole {
		show(settings)
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

func (command *errand) change(body []byte) (operator.Change, error) {
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

// apply sends the change; an unknown outcome is asked again under the same id.
func (command *errand) apply(change operator.Change, send func(operator.Change) (*operator.Outcome, error)) error {
	outcome, err := send(change)
	for try := 1; try < tries && err != nil && rpc.CodeOf(err) == rpc.OutcomeUnknown; try++ {
		outcome, err = send(change)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "change id %s\n", change.Change)
		return err
	}
	show(outcome)
	return nil
}

func (command *errand) put() error {
	return command.send(func(change operator.Change) (*operator.Outcome, error) { return command.client.Put(change) })
}

func (command *errand) patch() error {
	return command.send(func(change operator.Change) (*operator.Outcome, error) { return command.client.Patch(change) })
}

func (command *errand) send(send func(operator.Change) (*operator.Outcome, error)) error {
	body, err := command.read()
	if err != nil {
		return err
	}
	if !json.Valid(body) {
		return rpc.Errorf(rpc.BadFlag, "%s is not JSON", command.file)
	}
	change, err := command.change(body)
	if err != nil {
		return err
	}
	return command.apply(change, send)
}

func (command *errand) drain() error  { return command.mark(true) }
func (command *errand) refill() error { return command.mark(false) }

// mark empties or refills; losing a race to another change, it looks again.
func (command *errand) mark(drained bool) error {
	if command.kind != "zone" && command.kind != "backend" {
		return rpc.Errorf(rpc.BadFlag, "%q is neither zone nor backend", command.kind)
	}
	for try := 0; ; try++ {
		settings, err := command.client.Read(false)
		if err != nil {
			return err
		}
		tree, err := config.Read(settings.Settings)
		if err != nil {
			return err
		}
		names := tree.Drained.Zones
		if command.kind == "backend" {
			names = tree.Drained.Backends
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
		if err == nil || rpc.CodeOf(err) != rpc.StaleBase || command.base >= 0 || try >= tries {
			return err
		}
	}
}

func (command *errand) history() error {
	trail := struct {
		Serial  uint64                 `json:"serial"`
		Changes []message.HistoryEntry `json:"changes"`
	}{}
	if err := command.client.Ask("GET", "/v1/changes", nil, &trail); err != nil {
		return err
	}
	for _, entry := range trail.Changes {
		fmt.Printf("%6d  %-8s %-26s %s\n", entry.Serial, entry.Kind, entry.Change, entry.Operator)
	}
	return nil
}

func (command *errand) status() error {
	status, err := command.client.Status()
	if err != nil {
		return err
	}
	fmt.Printf(
		"leader core %d at %s, ballot %s, %s, revoked by %s\n",
		status.Leader.Core,
		status.Leader.Address,
		status.Leader.Term,
		status.State,
		status.Revocation,
	)
	for _, condition := range status.Conditions {
		fmt.Printf("  [%s] %s (%s)\n", mark(condition.Holds), condition.Name, condition.Detail)
	}
	fmt.Printf(
		"settings serial %d, table %s/%d, %d backends\n",
		status.Serial,
		status.Table.Term,
		status.Table.Number,
		len(status.Backends),
	)
	showMembership(&status.Membership)
	for _, core := range status.Cores {
		fmt.Printf(
			"core %d %-21s voter %s seen %s serial %d under %s\n",
			core.Core,
			core.Address,
			mark(core.Voter),
			mark(core.Seen),
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
			mark(daemon.Member.Ready),
			mark(daemon.Member.Leaving),
			daemon.Serial,
			daemon.Table.Number,
			strings.TrimSpace(daemon.Parent),
		)
	}
	return nil
}

// aims asks every daemon that the leader knows for its counters.
func (command *errand) aims() error {
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
	sums, silent := status.Counts, 0
	for _, daemon := range status.Members {
		counts := map[string]uint64{}
		if err := operator.NewClient([]string{daemon.Member.OperatorAddress}, process.Transport()).
			Ask("GET", "/v1/counts", nil, &counts); err != nil {
			silent++
			continue
		}
		for name, count := range counts {
			sums[name] += count
		}
	}
	if silent > 0 {
		fmt.Fprintf(os.Stderr, "ojctl: %d daemons did not tell their counters\n", silent)
	}
	missed := 0
	for _, report := range slo.Evaluate(documents, sums) {
		fmt.Printf(
			"%-24s target %.4f, %d of %d, %.4f, met %s, budget left %.0f%%\n",
			report.Name,
			report.Target,
			report.Good,
			report.Total,
			report.Ratio,
			mark(report.Met),
			100*report.Left,
		)
		if !report.Met {
			missed++
		}
	}
	if missed > 0 {
		return rpc.Errorf(rpc.ObjectiveMissed, "%d aims are missed", missed)
	}
	return nil
}

func mark(holds bool) string {
	if holds {
		return "yes"
	}
	return "no"
}
