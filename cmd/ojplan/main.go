// Command ojplan forecasts what a change of settings would move before it is made.
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

// The exit statuses beside 0.
const (
	exitInvalid = 1
	exitMoves   = 3
	exitSilent  = 4
	exitShort   = 5
)

// options is what the command line says.
type options struct {
	daemons  []string
	empties  []string
	whole    string
	partial  string
	asJSON   bool
	capacity float64
}

func main() {
	flags, given := parse()
	client := operator.NewClient(given.daemons, process.Transport())
	held, err := client.Read(false)
	end(err, exitSilent)
	status, err := client.Status()
	end(err, exitSilent)
	before, err := config.Read(held.Settings)
	end(err, exitInvalid)
	after, err := config.Read(given.next(flags, held.Settings, before))
	end(err, exitInvalid)
	fleet := planner.Fleet{Serial: held.Serial, Settings: before, Backends: status.Backends, Capacity: given.capacity}
	for _, known := range status.Members {
		fleet.Members = append(fleet.Members, known.Member)
	}
	forecast := planner.NewForecast(fleet, after)
	if given.asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(forecast); err != nil {
			flags.Exit(rpc.Errorf(rpc.DiskFailure, "output: %v", err))
		}
	} else {
		show(forecast)
	}
	if len(forecast.Shorts) > 0 {
		os.Exit(exitShort)
	}
	if forecast.Moving() {
		os.Exit(exitMoves)
	}
}

// parse reads the command line; it ends the process where that is wrong.
func parse() (*process.Flags, *options) {
	flags := process.NewFlags(
		"ojplan",
		"shows what a change would move; exit 0 nothing, 3 something, 5 floors short, 1 invalid, 4 no answer",
	)
	given := &options{capacity: 30}
	flags.Parser.StringSlice(&given.daemons, "d", "daemon", "IP:port of a daemon's operators' side; may be given more than once")
	flags.Parser.String(&given.whole, "", "whole", "file with a whole new version")
	flags.Parser.String(&given.partial, "", "partial", "file with a partial new version")
	flags.Parser.StringSlice(&given.empties, "", "empty", "zone to empty; may be given more than once")
	flags.Parser.Float64(&given.capacity, "", "backend-rps", "tasks a second that one backend carries, to set against the floors")
	flags.Parser.Bool(&given.asJSON, "", "json", "print the forecast as JSON")
	flags.Parse()
	if len(given.daemons) == 0 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--daemon must be given"))
	}
	for _, daemon := range given.daemons {
		flags.Exit(rpc.CheckAddress("--daemon", daemon))
	}
	if given.whole != "" && given.partial != "" || given.whole == "" && given.partial == "" && len(given.empties) == 0 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "want one of --whole and --partial, or --empty"))
	}
	if given.capacity <= 0 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--backend-rps: %v is not above 0", given.capacity))
	}
	return flags, given
}

// next is the text of the settings as they would be after the change.
func (given *options) next(flags *process.Flags, held []byte, before *config.Settings) []byte {
	body := held
	if file := given.whole + given.partial; file != "" {
		change, err := os.ReadFile(file)
		if err != nil {
			flags.Exit(rpc.Errorf(rpc.BadFlag, "%v", err))
		}
		if body = change; given.partial != "" {
			body, err = config.Patch(held, change)
			end(err, exitInvalid)
		}
	}
	if len(given.empties) == 0 {
		return body
	}
	zones := append(before.Drained.Zones, given.empties...)
	drained, err := json.Marshal(map[string]any{"drained": map[string]any{"zones": zones}})
	end(err, exitInvalid)
	body, err = config.Patch(body, drained)
	end(err, exitInvalid)
	return body
}

// show prints a forecast as text.
func show(forecast *planner.Forecast) {
	fmt.Printf("%d of %d tenants move\n", len(forecast.Moves), forecast.Tenants)
	for _, move := range forecast.Moves {
		fmt.Printf("  %-20s leaves %s, joins %s\n", move.Tenant, names(move.Left), names(move.Joined))
	}
	for _, room := range forecast.Rooms {
		fmt.Printf("service %-20s %d backends, then %d %v\n", room.Service, room.Before, room.After, room.ByZone)
	}
	for _, change := range forecast.Changes {
		fmt.Printf("route %s: %s %v, then %v\n", change.Route, change.Field, change.Before, change.After)
	}
	for _, short := range forecast.Shorts {
		fmt.Printf("SHORT %s: floors of %d a second, backends for %.0f\n", short.Service, short.Floor, short.Capacity)
	}
}

// names joins names for a line of text.
func names(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, " ")
}

// end prints an error and ends the process with a status; without one it does nothing.
func end(err error, status int) {
	if err == nil {
		return
	}
	for _, detail := range rpc.AsError(err).Details {
		fmt.Fprintf(os.Stderr, "%s: %s: %s\n", detail.Path, detail.Code, detail.Message)
	}
	fmt.Fprintf(os.Stderr, "ojplan: %s: %s\n", rpc.CodeOf(err), rpc.AsError(err).Message)
	os.Exit(status)
}
