package simulation

import (
	"time"

	"orchidjunction/config"
	"orchidjunction/harness/checker"
	"orchidjunction/harness/standin"
)

// Operators starts racing operators.
func (world *World) Operators(count int, pace time.Duration) *checker.Ledger {
	ledger := checker.NewLedger(world, world.Seed)
	ledger.Operate(count, pace)
	return ledger
}

// Start and Serials make the world a ground for operators.
func (world *World) Start(duty func()) { world.goroutines.Start(duty) }

// Serials returns the versions of the settings in force at the daemons that are ready.
func (world *World) Serials() []uint64 {
	serials := []uint64{}
	for _, daemon := range world.Daemons {
		if life := daemon.life(world); life != nil && life.Ready() {
			serials = append(serials, life.Version().Serial)
		}
	}
	return serials
}

func (world *World) seen() []standin.BackendRecord {
	all := append([]standin.BackendRecord{}, world.past...)
	for _, backend := range world.Backends {
		all = append(all, backend.Backend.Seen())
	}
	return all
}

// judge makes the fleet's verdicts of what was seen in this world; each detail
// by its line's name.
func (world *World) judge(ledger *checker.Ledger, reports ...standin.LoadReport) map[string]string {
	settings, err := config.Read(Settings(1000))
	if err != nil {
		world.broke("%v", err)
		return nil
	}
	evidence := &checker.Evidence{
		Callers:  reports,
		Backends: world.seen(),
		Settings: settings,
		Zones:    map[string]string{},
		Ledger:   ledger,
		Windows:  world.windows,
		Planned:  world.planned,
		Jumps:    world.reports,
	}
	for _, backend := range world.Backends {
		evidence.Zones[backend.Listed.Name] = backend.Listed.Zone
	}
	for _, daemon := range world.Daemons {
		evidence.Zones[daemon.PublicAddress] = daemon.Zone
	}
	if ledger != nil {
		if evidence.History, err = ledger.History(20 * time.Second); err != nil {
			world.broke("no trail at the end: %v", err)
		}
	}
	if world.reports {
		evidence.Reports, evidence.ReportAt = world.Platform.Told()
	}
	details := map[string]string{}
	for _, verdict := range evidence.Judge() {
		details[verdict.Name] = verdict.Detail
		if !verdict.Holds {
			world.broke("%s: %s", verdict.Name, verdict.Detail)
		}
	}
	return details
}

func (world *World) ready() bool {
	for _, daemon := range world.Daemons {
		if life := daemon.life(world); life != nil && !life.Ready() {
			return false
		}
	}
	return true
}
