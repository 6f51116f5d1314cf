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

// Scenario injects faults into a running fleet. Planned means that it does only planned
// work, for which the checks are strictest.
type Scenario struct {
	Description string
	Planned     bool
	Inject      func(fleet *Fleet)
}

// Scenarios holds all scenarios by name.
var Scenarios = map[string]Scenario{
	"calm": {Description: "no faults", Planned: true, Inject: func(*Fleet) {}},
	"compare": {
		Description: "alternate calls to a backend, directly and through a proxy, to compare latencies",
		Planned:     true,
		Inject:      compareLatency,
	},
	"misbehaviour":   {Description: "backends drop responses and send invalid ones", Inject: backendsMisbehave},
	"backend-crash":  {Description: "backends are killed and restarted", Inject: backendsCrash},
	"backend-vanish": {Description: "backends are frozen and resumed", Inject: backendsFreeze},
	"replaced":       {Description: "backends are stopped one by one and restarted cold", Planned: true, Inject: backendsReplaced},
	"reused":         {Description: "a backend's address is reused by another service", Inject: backendAddressReused},
	"drained":        {Description: "a backend is drained and restored", Planned: true, Inject: backendDrained},
	"zone-emptied":   {Description: "a zone is drained by settings and restored", Planned: true, Inject: zoneDrained},
	"zone-lost":      {Description: "a zone loses power", Inject: zoneLost},
	"region-lost":    {Description: "a region loses power", Inject: regionLost},
	"keys-withdrawn": {Description: "a tenant's keys are revoked while its callers are connected", Inject: keysWithdrawn},
	"large":          {Description: "20,000 routes are added to the settings", Planned: true, Inject: settingsLarge},
	"proxies-killed": {Description: "proxies are killed, one after another", Inject: proxiesKilled},
	"herd":           {Description: "half of the proxies, a directory and a core are killed at once", Inject: manyKilled},
	"in-turn":        {Description: "all cores, directories and proxies are restarted one by one", Planned: true, Inject: rollingRestart},
	"frozen":         {Description: "the leader, a proxy and a directory are frozen one by one", Inject: processesFrozen},
	"disk-lost":      {Description: "each core loses its disk, one after another", Inject: coreDiskLost},
	"cores-replaced": {
		Description: "each core is replaced by a new one: a lost one, one as planned, then the leader",
		Planned:     true,
		Inject:      coresReplaced,
	},
	"core-gone": {Description: "all cores are killed for a while", Inject: allCoresKilled},
	"all-down":  {Description: "all cores, directories and proxies are killed at once", Inject: allDaemonsKilled},
	"storm": {
		Description: "dozens of operators change large settings through all daemons during leader changes",
		Planned:     true,
		Inject:      concurrentChanges,
	},
	"lending": {
		Description: "a lending proxy is killed, then lowers its limit; then all daemons of one partner are killed",
		Inject:      lendingFaults,
	},
	"warned": {Description: "proxies and a core get SIGTERM and are killed before they have stopped", Inject: killedWhileStopping},
	"platform": {
		Description: "the platform refuses calls, shifts pages, breaks connections, and delays or refuses usage reports",
		Inject:      platformMisbehaves,
	},
	"cold-herd":      {Description: "half of the backends restart cold at once while proxies leave and join", Inject: coldBackends},
	"leader-changes": {Description: "the leader is stopped by SIGTERM, then by SIGKILL", Planned: true, Inject: leaderChanges},
}

// Names returns the sorted names of all scenarios.
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
		fleet.sleepFraction(0.15)
		leader := fleet.Leader()
		if leader == nil {
			fleet.failures = append(fleet.failures, "no known leader to stop")
			continue
		}
		leader.Signal(signal)
		code := leader.Wait(8 * time.Second)
		if signal == syscall.SIGTERM && code != 0 {
			fleet.failures = append(fleet.failures, fmt.Sprintf("%s ended with exit code %d", leader.Name, code))
		}
		fleet.sleepFraction(0.1)
		fleet.start(leader)
	}
}

// sleepFraction sleeps for a fraction of the run's duration.
func (fleet *Fleet) sleepFraction(fraction float64) {
	fleet.goroutines.Sleep(time.Duration(fraction * fleet.Spec.Seconds * float64(time.Second)))
}

// Run starts the fleet, runs a scenario and returns the verdicts.
func (fleet *Fleet) Run(scenario Scenario) ([]checker.Verdict, error) {
	defer fleet.Shutdown()
	defer fleet.waitForPeer()
	if err := fleet.Bootstrap(); err != nil {
		return nil, err
	}
	if err := fleet.StartLoad(); err != nil {
		return nil, err
	}
	ledger := checker.NewChangeRecorder(fleet, fleet.Spec.Seed)
	fleet.ledger = ledger
	if fleet.Spec.Changes > 0 {
		ledger.StartOperators(2, 2*time.Second/time.Duration(fleet.Spec.Changes))
	}
	scenario.Inject(fleet)
	report, err := fleet.FinishLoad()
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
	if err := fleet.getJSON(fleet.Platform.PublicAddress, "/stand/reports", &reports); err != nil {
		return nil, rpc.Errorf(rpc.PlatformError, "reading the usage reports: %v", err)
	}
	evidence.Reports, evidence.ReportAt = reports.Reports, reports.AtMs
	fleet.waitForPeer()
	fleet.Shutdown()
	evidence.Backends, evidence.Failures = fleet.BackendRecords(), fleet.failures
	return append(evidence.Judge(), fleet.lendingVerdicts(report, scenario.Planned)...), nil
}

// lendingVerdicts reports the rate of each class beside its floor and, with a peer, whether
// callers were served at the other partner's proxies, which must be so if expected.
func (fleet *Fleet) lendingVerdicts(report *standin.LoadReport, expected bool) []checker.Verdict {
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
	detail, seconds := "", time.Since(fleet.loadStart).Seconds()
	for _, class := range sortedKeys(classes) {
		detail += fmt.Sprintf(
			"%s: floor %d/s, served %.0f/s, p99 %.0f ms; ",
			class,
			fleet.settings.Classes[class].FloorRps,
			float64(len(classes[class]))/seconds,
			checker.Quantile(classes[class], 0.99),
		)
	}
	verdicts := []checker.Verdict{{Name: "rates of classes compared with their floors", Holds: true, Detail: detail}}
	if fleet.peer != nil {
		verdicts = append(
			verdicts,
			checker.Verdict{
				Name:   "callers served at the other partner's proxies",
				Timed:  true,
				Holds:  served > 0 || !expected,
				Detail: fmt.Sprintf("%d attempts served there, %d not", served, refused),
			},
		)
	}
	return verdicts
}

// PlayBoth runs a scenario on several fleets at once and returns the verdicts of each.
func PlayBoth(fleets []*Fleet, scenario Scenario, goroutines *concurrent.Group) ([][]checker.Verdict, error) {
	results, failed := concurrent.Gather(goroutines, len(fleets), func(index int) ([]checker.Verdict, error) {
		verdicts, err := fleets[index].Run(scenario)
		if err != nil {
			return nil, err
		}
		return verdicts, nil
	}, func(map[int][]checker.Verdict, map[int]error) bool { return false })
	for _, err := range failed {
		return nil, rpc.AsError(err)
	}
	all := make([][]checker.Verdict, len(fleets))
	for index, verdicts := range results {
		all[index] = verdicts
	}
	return all, nil
}
