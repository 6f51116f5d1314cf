// Command ojplan forecasts what a change of settings would move before it is made.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"orchidjunction/config"
	"orchidjunction/control"
	"orchidjunction/operator"
	"orchidjunction/planner"
	"orchidjunction/process"
	"orchidjunction/rpc"
)

const (
	exitInvalid = 1
	exitMoves   = 3
	exitSilent  = 4
	exitShort   = 5
)

func main() {
	flags := process.NewFlags("ojplan", "shows what a change would move; exit 0 nothing, 3 something, 5 floors short, 1 invalid, 4 no answer")
	daemons, empties, whole, partial, asJSON, capacity := []string{}, []string{}, "", "", false, 30.0
	flags.Parser.StringSlice(&daemons, "d", "daemon", "IP:port of a daemon's operators' side; may be given more than once")
	flags.Parser.String(&whole, "", "whole", "file with a whole new version")
	flags.Parser.String(&partial, "", "partial", "file with a partial new version")
	flags.Parser.StringSlice(&empties, "", "empty", "zone to empty; may be given more than once")
	flags.Parser.Float64(&capacity, "", "backend-rps", "tasks a second that one backend carries, to set against the floors")
	flags.Parser.Bool(&asJSON, "", "json", "print the forecast as JSON")
	flags.Parse()
	if len(daemons) == 0 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--daemon must be given"))
	}
	for _, daemon := range daemons {
		flags.Exit(control.CheckAddress("--daemon", daemon))
	}
	if whole != "" && partial != "" || whole == "" && partial == "" && len(empties) == 0 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "want one of --whole and --partial, or --empty"))
	}
	if capacity <= 0 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--backend-rps: %v is not above 0", capacity))
	}
	client := operator.NewClient(daemons, process.Transport())
	held, mishap := client.Read(false)
	end(mishap, exitSilent)
	status, mishap := client.Status()
	end(mishap, exitSilent)
	before, mishap := config.Read(held.Settings)
	end(mishap, exitInvalid)
	body := []byte(held.Settings)
	if file := whole + partial; file != "" {
		change, err := os.ReadFile(file)
		if err != nil {
			flags.Exit(rpc.Errorf(rpc.BadFlag, "%v", err))
		}
		if body = change; partial != "" {
			body, mishap = config.Patch(held.Settings, change)
			end(mishap, exitInvalid)
		}
	}
	if len(empties) > 0 {
		drained, _ := json.Marshal(map[string]any{"drained": map[string]any{"zones": append(before.Drained.Zones, empties...)}})
		body, mishap = config.Patch(body, drained)
		end(mishap, exitInvalid)
	}
	after, mishap := config.Read(body)
	end(mishap, exitInvalid)
	fleet := planner.Fleet{Serial: held.Serial, Settings: before, Backends: status.Backends, Capacity: capacity}
	for _, known := range status.Members {
		fleet.Members = append(fleet.Members, known.Member)
	}
	forecast := planner.NewForecast(fleet, after)
	if asJSON {
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

func names(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, " ")
}

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
