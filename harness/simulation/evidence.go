package simulation

import (
	"time"

	"orchidjunction/config"
	"orchidjunction/harness/checker"
	"orchidjunction/harness/standin"
)

// StartOperators starts operators that change the settings concurrently.
func (world *World) StartOperators(count int, pace time.Duration) *checker.ChangeRecorder {
	ledger := checker.NewChangeRecorder(world, world.Seed)
	ledger.StartOperators(count, pace)
	return ledger
}

// Start implements checker.System.
func (world *World) Start(task func()) { world.goroutines.Start(task) }

// Serials returns the version of the settings that each ready daemon applies.
func (world *World) Serials() []uint64 {
	serials := []uint64{}
	for _, daemon := range world.Daemons {
		if running := daemon.running(world); running != nil && running.Ready() {
			serials = append(serials, running.Version().Serial)
		}
	}
	return serials
}

func (world *World) backendRecords() []standin.BackendRecord {
	all := append([]standin.BackendRecord{}, world.formerBackends...)
	for _, backend := range world.Backends {
		all = append(all, backend.Backend.Seen())
	}
	return all
}

// judge runs the checks on what was observed in this world, records each failed one as a
// violation and returns the verdicts' details by check name.
func (world *World) judge(ledger *checker.ChangeRecorder, reports ...standin.LoadReport) map[string]string {
	settings, err := config.Read(Settings(1000))
	if err != nil {
		world.reportViolation("%v", err)
		return nil
	}
	evidence := &checker.Evidence{
		Callers:    reports,
		Backends:   world.backendRecords(),
		Settings:   settings,
		Zones:      map[string]string{},
		Ledger:     ledger,
		Windows:    world.windows,
		Planned:    world.plannedOnly,
		ClockSteps: world.checkUsageReports,
	}
	for _, backend := range world.Backends {
		evidence.Zones[backend.Listed.Name] = backend.Listed.Zone
	}
	for _, daemon := range world.Daemons {
		evidence.Zones[daemon.PublicAddress] = daemon.Zone
	}
	if ledger != nil {
		if evidence.History, err = ledger.History(20 * time.Second); err != nil {
			world.reportViolation("failed to read the change history at the end: %v", err)
		}
	}
	if world.checkUsageReports {
		evidence.Reports, evidence.ReportAt = world.Platform.Told()
	}
	details := map[string]string{}
	for _, verdict := range evidence.Judge() {
		details[verdict.Name] = verdict.Detail
		if !verdict.Holds {
			world.reportViolation("%s: %s", verdict.Name, verdict.Detail)
		}
	}
	return details
}

func (world *World) daemonsReady() bool {
	for _, daemon := range world.Daemons {
		if running := daemon.running(world); running != nil && !running.Ready() {
			return false
		}
	}
	return true
}
