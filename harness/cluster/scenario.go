package cluster

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"syscall"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/harness/checker"
	"orchidjunction/harness/standin"
	"orchidjunction/rpc"
)

// Scenario injects faults into a running fleet. Planned says that it does nothing
// but planned work, under which the strictest guarantees hold.
type Scenario struct {
	About   string
	Planned bool
	Inject  func(fleet *Fleet)
}

// Scenarios are all scenarios by name.
var Scenarios = map[string]Scenario{
	"calm":           {About: "no faults", Planned: true, Inject: func(*Fleet) {}},
	"compare":        {About: "latency of a backend called directly and through a proxy, in turns", Planned: true, Inject: compare},
	"misbehaviour":   {About: "backends lose answers and send garbage", Inject: backendsMisbehave},
	"backend-crash":  {About: "backends are killed and come back", Inject: backendsCrash},
	"backend-vanish": {About: "backends fall silent and come back", Inject: backendsVanish},
	"replaced":       {About: "backends are replaced one by one and come back cold", Planned: true, Inject: backendsReplaced},
	"reused":         {About: "a backend's address goes to another service", Inject: addressReused},
	"drained":        {About: "a backend is drained and taken back", Planned: true, Inject: backendDrained},
	"zone-emptied":   {About: "a zone is emptied by settings and taken back", Planned: true, Inject: zoneEmptied},
	"zone-lost":      {About: "a zone loses power", Inject: zoneLost},
	"region-lost":    {About: "a region loses power", Inject: regionLost},
	"keys-withdrawn": {About: "a tenant's keys are withdrawn while its callers are connected", Inject: keysWithdrawn},
	"large":          {About: "settings grow very large", Planned: true, Inject: settingsLarge},
	"proxies-killed": {About: "proxies are killed, one after another", Inject: proxiesKilled},
	"herd":           {About: "half the proxies, a directory and a core are killed at once", Inject: manyKilled},
	"in-turn":        {About: "every machine of ours is restarted in turn", Planned: true, Inject: restartedInTurn},
	"frozen":         {About: "the leader, a proxy and a directory freeze", Inject: frozen},
	"disk-lost":      {About: "each core loses its disk, one after another", Inject: coreDiskLost},
	"cores-replaced": {
		About:   "each core is replaced by a new one: one gone for good, one by plan, then the leader",
		Planned: true,
		Inject:  coresReplaced,
	},
	"core-gone": {About: "all cores are killed for a while", Inject: coreGone},
	"all-down":  {About: "every process of ours is killed at once", Inject: allDown},
	"storm": {
		About:   "dozens of operators change a large tree through all daemons while the leader changes",
		Planned: true,
		Inject:  storm,
	},
	"lending": {About: "the lender storms, falls, restarts and changes its word; the borrower falls", Inject: lendingFaults},
	"warned":  {About: "proxies and a core are warned and killed before they are done", Inject: warnedThenKilled},
	"platform": {
		About:  "the platform refuses, shifts its pages, vanishes, and takes reports slowly or not",
		Inject: platformMisbehaves,
	},
	"cold-herd":      {About: "half of the backends come back cold at once while proxies leave and join", Inject: coldHerd},
	"leader-changes": {About: "the leader is stopped once by SIGTERM, once by SIGKILL", Planned: true, Inject: leaderChanges},
}

// Names returns the names of all scenarios in order.
func Names() []string {
	names := []string{}
	for name := range Scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func leaderChanges(fleet *Fleet) {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		fleet.rest(0.15)
		leader := fleet.Leader()
		if leader == nil {
			fleet.codes = append(fleet.codes, "no leader to stop")
			continue
		}
		leader.Signal(signal)
		code := leader.Wait(8 * time.Second)
		if signal == syscall.SIGTERM && code != 0 {
			fleet.codes = append(fleet.codes, fmt.Sprintf("%s exit %d", leader.Name, code))
		}
		fleet.rest(0.1)
		fleet.start(leader)
	}
}

// rest waits for a part of the run's whole time.
func (fleet *Fleet) rest(part float64) {
	fleet.goroutines.Sleep(time.Duration(part * fleet.Spec.Seconds * float64(time.Second)))
}

// Play runs a scenario from the start of the fleet to the verdicts.
func (fleet *Fleet) Play(scenario Scenario) ([]checker.Verdict, error) {
	defer fleet.Down()
	defer fleet.wait()
	if err := fleet.Up(); err != nil {
		return nil, err
	}
	if err := fleet.Call(); err != nil {
		return nil, err
	}
	ledger := checker.NewChangeRecorder(fleet, fleet.Spec.Seed)
	fleet.ledger = ledger
	if fleet.Spec.Changes > 0 {
		ledger.StartOperators(2, 2*time.Second/time.Duration(fleet.Spec.Changes))
	}
	scenario.Inject(fleet)
	report, err := fleet.Callers()
	ledger.Stop()
	if err != nil {
		return nil, err
	}
	evidence := &checker.Evidence{
		Callers:     []standin.LoadReport{*report},
		Settings:    fleet.settings,
		Zones:       fleet.Zones(),
		LentProxies: fleet.guests,
		Ledger:      ledger,
		Planned:     scenario.Planned,
		Windows:     fleet.windows,
	}
	if evidence.History, err = ledger.History(10 * time.Second); err != nil {
		return nil, err
	}
	if body, err := os.ReadFile(filepath.Join(fleet.Spec.Folder, "origin.log")); err == nil {
		if err := os.WriteFile(filepath.Join(fleet.Spec.Folder, "callers.json"), body, 0o600); err != nil {
			return nil, rpc.Errorf(rpc.DiskFailure, "%v", err)
		}
	}
	fleet.goroutines.Sleep(1500 * time.Millisecond)
	fleet.goroutines.Sleep(4500 * time.Millisecond)
	reports := struct {
		Reports map[string][]string `json:"reports"`
		AtMs    map[string]int64    `json:"at_ms"`
	}{}
	if err := fleet.get(fleet.Platform.PublicAddress, "/stand/reports", &reports); err != nil {
		return nil, rpc.Errorf(rpc.PlatformError, "reports: %v", err)
	}
	evidence.Reports, evidence.ReportAt = reports.Reports, reports.AtMs
	fleet.wait()
	fleet.Down()
	evidence.Backends, evidence.Failures = fleet.Seen(), fleet.codes
	return append(evidence.Judge(), fleet.lent(report, scenario.Planned)...), nil
}

// lent is whether callers were served at the other partner's machines, and how
// each class fared beside its floor. It is due where fronts are there to lend.
func (fleet *Fleet) lent(report *standin.LoadReport, due bool) []checker.Verdict {
	served, refused := 0, 0
	classes := map[string][]float64{}
	for _, try := range report.Tries {
		if try.Status == http.StatusOK {
			classes[try.Class] = append(classes[try.Class], float64(try.ToldMs-try.AtMs))
		}
		if fleet.guests[try.Front] == "" {
			continue
		}
		if try.Status == http.StatusOK {
			served++
		} else {
			refused++
		}
	}
	detail, span := "", time.Since(fleet.called).Seconds()
	for _, class := range sortedKeys(classes) {
		detail += fmt.Sprintf(
			"%s: floor %d, served %.0f a second, p99 %.0f ms; ",
			class,
			fleet.settings.Classes[class].FloorRps,
			float64(len(classes[class]))/span,
			checker.Quantile(classes[class], 0.99),
		)
	}
	verdicts := []checker.Verdict{{Name: "classes beside their floors", Holds: true, Detail: detail}}
	if fleet.peer != nil {
		verdicts = append(
			verdicts,
			checker.Verdict{
				Name:   "lending is seen by callers",
				Timed:  true,
				Holds:  served > 0 || !due,
				Detail: fmt.Sprintf("%d served at the other partner's fronts, %d not", served, refused),
			},
		)
	}
	return verdicts
}

// PlayBoth runs a scenario on several fleets at once and returns the verdicts of
// each.
func PlayBoth(fleets []*Fleet, scenario Scenario, goroutines *concurrent.Group) ([][]checker.Verdict, error) {
	got, failed := concurrent.Gather(goroutines, len(fleets), func(index int) ([]checker.Verdict, error) {
		verdicts, err := fleets[index].Play(scenario)
		if err != nil {
			return nil, err
		}
		return verdicts, nil
	}, func(map[int][]checker.Verdict, map[int]error) bool { return false })
	for _, err := range failed {
		return nil, rpc.AsError(err)
	}
	all := make([][]checker.Verdict, len(fleets))
	for index, verdicts := range got {
		all[index] = verdicts
	}
	return all, nil
}
