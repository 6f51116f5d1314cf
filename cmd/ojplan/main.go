// Command ojplan forecasts the effects of a change of settings before it is made.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"orchidjunction/config"
	"orchidjunction/operator"
	"orchidjunction/planner"
	"orchidjunction/process"
	"orchidjunction/rpc"
)

// Exit status if not 0.
const (
	exitInvalid     = 1
	exitChanges     = 3
	exitUnreachable = 4
	exitFloorsShort = 5
)

type options struct {
	daemons    []string
	drainZones []string
	whole      string
	partial    string
	asJSON     bool
	capacity   float64
}

func main() {
	flags, opts := parse()
	client := operator.NewClient(opts.daemons, process.Transport())
	current, err := client.Read(false)
	exitOnError(err, exitUnreachable)
	status, err := client.Status()
	exitOnError(err, exitUnreachable)
	before, err := config.Read(current.Settings)
	exitOnError(err, exitInvalid)
	after, err := config.Read(opts.newSettings(flags, current.Settings, before))
	exitOnError(err, exitInvalid)
	fleet := planner.Fleet{Serial: current.Serial, Settings: before, Backends: status.Backends, Capacity: opts.capacity}
	for _, member := range status.Members {
		fleet.Members = append(fleet.Members, member.Member)
	}
	forecast := planner.NewForecast(fleet, after)
	if opts.asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(forecast); err != nil {
			flags.Exit(rpc.Errorf(rpc.DiskFailure, "writing the forecast: %v", err))
		}
	} else {
		printForecast(forecast)
	}
	if len(forecast.Shortages) > 0 {
		os.Exit(exitFloorsShort)
	}
	if forecast.HasEffect() {
		os.Exit(exitChanges)
	}
}

func parse() (*process.Flags, *options) {
	flags := process.NewFlags(
		"ojplan",
		"forecasts the effects of a change of settings; exit status: 0 no effect, 1 invalid, 3 effects, 4 no daemon reachable, 5 too few backends for the guaranteed rates",
	)
	opts := &options{capacity: 30}
	flags.Parser.StringSlice(&opts.daemons, "d", "daemon", "IP:port of a daemon's operator API; may be repeated")
	flags.Parser.String(&opts.whole, "", "whole", "file with complete new settings")
	flags.Parser.String(&opts.partial, "", "partial", "file with partial settings to merge into the current ones")
	flags.Parser.StringSlice(&opts.drainZones, "", "empty", "zone to drain; may be repeated")
	flags.Parser.Float64(
		&opts.capacity,
		"",
		"backend-rps",
		"capacity of one backend in tasks per second, compared with the guaranteed rates (floors)",
	)
	flags.Parser.Bool(&opts.asJSON, "", "json", "print the forecast as JSON")
	flags.Parse()
	if len(opts.daemons) == 0 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--daemon is required"))
	}
	for _, daemon := range opts.daemons {
		flags.Exit(rpc.CheckAddress("--daemon", daemon))
	}
	if opts.whole != "" && opts.partial != "" || opts.whole == "" && opts.partial == "" && len(opts.drainZones) == 0 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "one of --whole, --partial and --empty is required; --whole and --partial exclude each other"))
	}
	if opts.capacity <= 0 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--backend-rps: %v is not positive", opts.capacity))
	}
	return flags, opts
}

func (opts *options) newSettings(flags *process.Flags, current []byte, before *config.Settings) []byte {
	body := current
	if file := opts.whole + opts.partial; file != "" {
		change, err := os.ReadFile(file)
		if err != nil {
			flags.Exit(rpc.Errorf(rpc.BadFlag, "%v", err))
		}
		if body = change; opts.partial != "" {
			body, err = config.Patch(current, change)
			exitOnError(err, exitInvalid)
		}
	}
	if len(opts.drainZones) == 0 {
		return body
	}
	zones := append(before.Drained.Zones, opts.drainZones...)
	drained, err := json.Marshal(map[string]any{"drained": map[string]any{"zones": zones}})
	exitOnError(err, exitInvalid)
	body, err = config.Patch(body, drained)
	exitOnError(err, exitInvalid)
	return body
}

func printForecast(forecast *planner.Forecast) {
	fmt.Printf("%d of %d tenants change proxies\n", len(forecast.Moves), forecast.Tenants)
	for _, move := range forecast.Moves {
		fmt.Printf("  %-20s leaves %s, joins %s\n", move.Tenant, joinNames(move.Left), joinNames(move.Joined))
	}
	for _, service := range forecast.CapacityChanges {
		fmt.Printf("service %-20s backends before %d, after %d %v\n", service.Service, service.Before, service.After, service.ByZone)
	}
	for _, change := range forecast.Changes {
		fmt.Printf("route %s: %s before %v, after %v\n", change.Route, change.Field, change.Before, change.After)
	}
	for _, shortfall := range forecast.Shortages {
		fmt.Printf(
			"SHORT %s: guaranteed rates of %d tasks per second, capacity of the backends %.0f\n",
			shortfall.Service,
			shortfall.Floor,
			shortfall.Capacity,
		)
	}
}

func joinNames(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, " ")
}

// exitOnError prints err and exits with status. It does nothing if err is nil.
func exitOnError(err error, status int) {
	if err == nil {
		return
	}
	for _, detail := range rpc.AsError(err).Details {
		fmt.Fprintf(os.Stderr, "%s: %s: %s\n", detail.Path, detail.Code, detail.Message)
	}
	fmt.Fprintf(os.Stderr, "ojplan: %s: %s\n", rpc.CodeOf(err), rpc.AsError(err).Message)
	os.Exit(status)
}
