package capacity

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"time"

	"orchidjunction/rpc"
)

// The size asked for within two years.
const (
	fullDaemons  = 16000
	fullBackends = 85000
	fullServices = 3100
	fullRequests = 3.3e6
	fullRoutes   = 130000
	fullTenants  = 610000
	fullChanges  = 89000.0 / 86400
	fullEnds     = (9200.0 + 310) / 86400
	// tablesAnEnd is how many tables one daemon's end and start make: it is gone,
	// it is there, it is ready.
	tablesAnEnd = 3
	rackSize    = 40
	fullZones   = 100

	mostProcessor = 0.031
	mostMemoryMB  = 256
	mostBytes     = 4096
	coreMachines  = 19
)

const (
	pageBegin = "<!-- written by: ojcluster capacity -->"
	pageEnd   = "<!-- end of what ojcluster capacity writes -->"
)

// evidence is what was measured, by the name of its run.
type evidence struct {
	folder string
	runs   map[string]*Run
	states *States
}

func readEvidence(folder string) (*evidence, error) {
	found := &evidence{folder: folder, runs: map[string]*Run{}, states: &States{}}
	names, _ := filepath.Glob(filepath.Join(folder, "*.json"))
	for _, path := range names {
		run, name := &Run{}, strings.TrimSuffix(filepath.Base(path), ".json")
		if err := read(folder, name, run); err != nil {
			return nil, err
		}
		if run.Along != "" {
			found.runs[name] = run
		}
	}
	if err := read(folder, "state", found.states); err != nil {
		return nil, err
	}
	return found, nil
}

// quantity is one number of a result; false where the point did not get so far.
type quantity func(result *Result) (float64, bool)

func steady(role string, of func(Rates) float64) quantity {
	return func(result *Result) (float64, bool) {
		rates, found := result.Steady[role]
		return of(rates), found
	}
}

func perChange(role string, of func(Rates) float64) quantity {
	return func(result *Result) (float64, bool) {
		changing, found := result.Changing[role]
		if len(result.Changes) < result.Point.Changes || len(result.Changes) == 0 {
			return 0, false
		}
		pace := max(1, meanAll(result)/1000)
		return max(0, of(changing)-of(result.Steady[role])) * pace, found
	}
}

// meanAll is the mean of how long the changes took to be in force everywhere.
func meanAll(result *Result) float64 {
	sum := 0.0
	for _, spread := range result.Changes {
		sum += spread.All
	}
	return sum / float64(max(1, len(result.Changes)))
}

func everywhere(result *Result) (float64, bool) {
	return meanAll(result), len(result.Changes) == result.Point.Changes && len(result.Changes) > 0
}

func processor(rates Rates) float64   { return rates.Processor }
func messages(rates Rates) float64    { return rates.Messages }
func bytesIn(rates Rates) float64     { return rates.BytesIn }
func bytesOut(rates Rates) float64    { return rates.BytesOut }
func resident(rates Rates) float64    { return rates.ResidentMB }
func descriptors(rates Rates) float64 { return rates.Descriptors }

// stormMost is what a daemon may get a second while nothing changes; where it
// is more, tables follow each other without end.
const stormMost = 5000

func (result *Result) storms() bool { return result.Steady[daemonRole].BytesIn > stormMost }

// fit lays a line through those points of a run that got so far and stood still
// while nothing changed.
func (found *evidence) fit(name string, of quantity) (Fit, bool) {
	run := found.runs[name]
	if run == nil {
		return Fit{}, false
	}
	sizes, values := []float64{}, []float64{}
	for _, result := range run.Results {
		if value, measured := of(result); measured && !result.storms() {
			sizes, values = append(sizes, result.Point.Size(run.Along)), append(values, value)
		}
	}
	return FitLine(sizes, values), len(sizes) >= 2
}

func (found *evidence) state(kind string, of func(State) float64) Fit {
	sizes, values := []float64{}, []float64{}
	for _, state := range found.states.Results {
		if state.Kind == kind {
			sizes, values = append(sizes, float64(state.Size)), append(values, of(state))
		}
	}
	return FitLine(sizes, values)
}

func packed(state State) float64   { return state.PackedKB * 1024 }
func held(state State) float64     { return state.HeldMB }
func unpacked(state State) float64 { return state.UnpackMs / 1000 }
func laid(state State) float64     { return state.ApplyMs / 1000 }

// number is short and readable over many sizes.
func number(value float64) string {
	negative := ""
	if value < 0 {
		negative, value = "-", -value
	}
	switch {
	case value == 0:
		return "0"
	case value >= 1e12:
		return fmt.Sprintf("%s%.3g T", negative, value/1e12)
	case value >= 1e9:
		return fmt.Sprintf("%s%.3g G", negative, value/1e9)
	case value >= 1e6:
		return fmt.Sprintf("%s%.3g M", negative, value/1e6)
	case value >= 1e3:
		return fmt.Sprintf("%s%.3g k", negative, value/1e3)
	case value < 0.001:
		return fmt.Sprintf("%s%.2e", negative, value)
	}
	return fmt.Sprintf("%s%.3g", negative, value)
}

type table struct{ text strings.Builder }

func (table *table) row(cells ...string) {
	table.text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func (table *table) head(cells ...string) {
	table.row(cells...)
	table.row(slices.Repeat([]string{"---"}, len(cells))...)
}

// WritePage writes the tables and plots of the results in a folder into their
// marked places of the page.
func WritePage(page, results string) error {
	found, err := readEvidence(results)
	if err != nil {
		return err
	}
	body, err := os.ReadFile(page)
	if err != nil {
		return rpc.Errorf(rpc.NotFound, "%v", err)
	}
	before, rest, begins := strings.Cut(string(body), pageBegin)
	_, after, ends := strings.Cut(rest, pageEnd)
	if !begins || !ends {
		return rpc.Errorf(rpc.BadFlag, "%s has no place for the tables", page)
	}
	if err := found.plot(); err != nil {
		return err
	}
	text := before + pageBegin + "\n\n" + found.tables() + "\n" + pageEnd + after
	if err := os.WriteFile(page, []byte(text), 0o644); err != nil {
		return rpc.Errorf(rpc.DiskFailure, "%v", err)
	}
	return nil
}

func (found *evidence) tables() string {
	return "### At the full size, by role\n\n" + found.roles() + "\n### Slopes of the fleet runs\n\n" + found.slopes() + "\n### Slopes of state\n\n" + found.stateSlopes() +
		"\n### Each point\n\n" + found.points()
}

var slopeLines = []struct {
	run, role, what string
	of              quantity
}{
	{"daemons", leaderRole, "processor, steady (cores)", steady(leaderRole, processor)},
	{"daemons", leaderRole, "messages/s, steady", steady(leaderRole, messages)},
	{"daemons", leaderRole, "bytes/s in, steady", steady(leaderRole, bytesIn)},
	{"daemons", leaderRole, "bytes/s out, steady", steady(leaderRole, bytesOut)},
	{"daemons", leaderRole, "resident MB", steady(leaderRole, resident)},
	{"daemons", leaderRole, "descriptors", steady(leaderRole, descriptors)},
	{"daemons", leaderRole, "processor seconds a change", perChange(leaderRole, processor)},
	{"daemons", leaderRole, "bytes out a change", perChange(leaderRole, bytesOut)},
	{"daemons", followerRole, "processor, steady (cores)", steady(followerRole, processor)},
	{"daemons", followerRole, "resident MB", steady(followerRole, resident)},
	{"daemons", followerRole, "descriptors", steady(followerRole, descriptors)},
	{"daemons", daemonRole, "processor, steady (cores)", steady(daemonRole, processor)},
	{"daemons", daemonRole, "bytes/s in, steady", steady(daemonRole, bytesIn)},
	{"daemons", daemonRole, "bytes/s out, steady", steady(daemonRole, bytesOut)},
	{"daemons", "all", "ms until a change is everywhere", everywhere},
	{"daemons-slowed", leaderRole, "processor, steady (cores), 1 ms burnt a session", steady(leaderRole, processor)},
	{"backends", leaderRole, "processor, steady (cores)", steady(leaderRole, processor)},
	{"backends", leaderRole, "bytes/s in, steady", steady(leaderRole, bytesIn)},
	{"backends", leaderRole, "resident MB", steady(leaderRole, resident)},
	{"backends", followerRole, "processor, steady (cores)", steady(followerRole, processor)},
	{"backends", daemonRole, "processor, steady (cores)", steady(daemonRole, processor)},
	{"backends", daemonRole, "resident MB", steady(daemonRole, resident)},
	{"routes", leaderRole, "processor, steady (cores)", steady(leaderRole, processor)},
	{"routes", leaderRole, "processor seconds a change", perChange(leaderRole, processor)},
	{"routes", leaderRole, "bytes out a change", perChange(leaderRole, bytesOut)},
	{"routes", followerRole, "processor seconds a change", perChange(followerRole, processor)},
	{"routes", daemonRole, "processor seconds a change", perChange(daemonRole, processor)},
	{"routes", daemonRole, "bytes in a change", perChange(daemonRole, bytesIn)},
	{"routes", "all", "ms until a change is everywhere", everywhere},
	{"tenants", leaderRole, "processor seconds a change", perChange(leaderRole, processor)},
	{"tenants", daemonRole, "bytes in a change", perChange(daemonRole, bytesIn)},
	{"tenants", "all", "ms until a change is everywhere", everywhere},
	{"usage", leaderRole, "processor, steady (cores)", steady(leaderRole, processor)},
	{"usage", leaderRole, "bytes/s in, steady", steady(leaderRole, bytesIn)},
	{"usage", daemonRole, "processor, steady (cores)", steady(daemonRole, processor)},
	{"usage", daemonRole, "bytes/s out, steady", steady(daemonRole, bytesOut)},
	{"cores", leaderRole, "processor, steady (cores)", steady(leaderRole, processor)},
	{"cores", leaderRole, "bytes out a change", perChange(leaderRole, bytesOut)},
}

func (found *evidence) slopes() string {
	table := &table{}
	table.head("run", "role", "what", "base", "slope", "± slope", "left over", "points")
	for _, line := range slopeLines {
		run := found.runs[line.run]
		fit, measured := found.fit(line.run, line.of)
		if !measured {
			table.row(line.run, line.role, line.what, "not measured", "", "", "", "")
			continue
		}
		table.row(
			line.run,
			line.role,
			line.what,
			number(fit.Base),
			number(fit.Slope)+" per "+strings.ToLower(run.Along),
			number(fit.SlopeError),
			fmt.Sprintf("%.0f%%", 100*fit.Left),
			fmt.Sprint(fit.Points),
		)
	}
	return table.text.String()
}

func (found *evidence) stateSlopes() string {
	table := &table{}
	table.head(
		"kind",
		"bytes on the wire",
		"left over",
		"held bytes",
		"left over",
		"µs to unpack",
		"left over",
		"µs to put in force",
		"left over",
		"points",
	)
	part := func(fit Fit) string { return fmt.Sprintf("%.0f%%", 100*fit.Left) }
	for _, kind := range stateKinds {
		wired, memory := found.state(kind, packed), found.state(kind, held)
		unpack, apply := found.state(kind, unpacked), found.state(kind, laid)
		table.row(
			"one of "+kind,
			number(wired.Slope),
			part(wired),
			number(memory.Slope*(1<<20)),
			part(memory),
			number(unpack.Slope*1e6),
			part(unpack),
			number(apply.Slope*1e6),
			part(apply),
			fmt.Sprint(wired.Points),
		)
	}
	return table.text.String()
}

func (found *evidence) points() string {
	table := &table{}
	table.head(
		"run",
		"size",
		"leader: cores",
		"follower: cores",
		"daemon: cores",
		"leader: MB",
		"daemon: bytes/s in / out",
		"change at 50 / 99 / 100% (ms, median)",
		"restarted: all ready (ms)",
		"leader killed: change everywhere (ms)",
		"load before",
		"what failed",
	)
	for _, name := range slices.Sorted(maps.Keys(found.runs)) {
		run := found.runs[name]
		for _, result := range run.Results {
			half, most, all := medianSpread(result.Changes)
			failed := strings.Join(result.Failed, "; ")
			if result.storms() {
				failed = strings.TrimSpace("**storm**: tables without end " + failed)
			}
			table.row(
				name,
				number(result.Point.Size(run.Along)),
				number(result.Steady[leaderRole].Processor),
				number(result.Steady[followerRole].Processor),
				number(result.Steady[daemonRole].Processor),
				number(
					result.Steady[leaderRole].ResidentMB,
				),
				number(result.Steady[daemonRole].BytesIn)+" / "+number(result.Steady[daemonRole].BytesOut),
				fmt.Sprintf(
					"%.0f / %.0f / %.0f",
					half,
					most,
					all,
				),
				fmt.Sprintf("%d in %.0f", result.Restarted, result.ReadyMs),
				fmt.Sprintf("%.0f", result.Killed.All),
				fmt.Sprintf("%.0f", result.LoadBefore),
				failed,
			)
		}
		if len(run.Results) > 0 {
			table.row(
				name,
				"measured "+time.UnixMilli(run.Results[0].AtMs).UTC().Format("2006-01-02 15:04"),
				fmt.Sprintf("%d processors, %s", run.Processors, run.Machine),
				"",
				"",
				"",
				"",
				"",
				"",
				"",
				"",
				"",
			)
		}
	}
	return table.text.String()
}

func medianSpread(spreads []Spread) (half, most, all float64) {
	if len(spreads) == 0 {
		return 0, 0, 0
	}
	middle := func(of func(Spread) float64) float64 {
		values := []float64{}
		for _, spread := range spreads {
			values = append(values, of(spread))
		}
		sort.Float64s(values)
		return values[len(values)/2]
	}
	half = middle(func(spread Spread) float64 { return spread.Half })
	most = middle(func(spread Spread) float64 { return spread.Most })
	all = middle(func(spread Spread) float64 { return spread.All })
	return half, most, all
}
