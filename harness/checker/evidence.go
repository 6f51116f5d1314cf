// Package checker checks the guarantees of the system against the records of callers,
// backends, the platform and operators. The simulator and the fleet runner collect
// Evidence, partly with a ChangeRecorder that changes settings while they run;
// Evidence.Judge turns it into Verdicts.
package checker

import (
	"fmt"
	"io"
	"sort"

	"orchidjunction/config"
	"orchidjunction/harness/standin"
	"orchidjunction/message"
)

// Verdict says whether one guarantee held. A Timed one can also fail because the
// machine is slow.
type Verdict struct {
	Name   string `json:"name"`
	Timed  bool   `json:"timed"`
	Holds  bool   `json:"holds"`
	Detail string `json:"detail"`
}

// Window is a span in which a backend, a proxy (Kind "front") or a tenant must not be
// served, in milliseconds since the Unix epoch. Until is 0 while the span is open.
type Window struct {
	Kind    string
	Subject string
	From    int64
	Until   int64
}

// Evidence holds the records of one run. Planned says that only planned work was done,
// ClockSteps that clocks were stepped; Failures are failed steps and exit codes other than 0.
type Evidence struct {
	Callers     []standin.LoadReport
	Backends    []standin.BackendRecord
	Settings    *config.Settings
	Zones       map[string]string
	LentProxies map[string]string
	Ledger      *ChangeRecorder
	History     []message.HistoryEntry
	Planned     bool
	ClockSteps  bool
	Failures    []string
	Windows     []Window
	Reports     map[string][]string
	ReportAt    map[string]int64

	chargesByKey  map[string][]standin.Arrival
	executedByTry map[string]standin.Arrival
}

// maxDelayMs is the 4 s within which changes must be in force, plus 500 ms for transit.
const maxDelayMs = 4500

// Judge returns one verdict per guarantee.
func (evidence *Evidence) Judge() []Verdict {
	evidence.indexArrivals()
	verdicts := []Verdict{}
	for _, check := range []struct {
		name  string
		timed bool
		run   func() ([]string, string)
	}{
		{"no key charged twice", false, evidence.checkChargedOnce},
		{"no busy response for an executed task", false, evidence.checkBusyNotExecuted},
		{"every success with a key was charged", false, evidence.checkSuccessCharged},
		{"responses complete and for the right request", false, evidence.checkResponses},
		{"no task sent to another service's backend", false, evidence.checkService},
		{"no task attributed to the wrong tenant", false, evidence.checkTenant},
		{"no task served in a forbidden region", false, evidence.checkRegions},
		{"no task at a backend 4 s after it began to leave", true, evidence.checkLeavingBackends},
		{"no traffic 4 s after a drain or key revocation", true, evidence.checkDrained},
		{"no older settings at a backend 4 s after newer", true, evidence.checkSerialsPerBackend},
		{"acknowledged settings in force within 4 s", true, evidence.checkInForce},
		{"refused changes never applied", false, evidence.checkRefusedChanges},
		{"no acknowledged change lost", false, evidence.checkAcknowledgedChanges},
		{"resends in 10 s at most 20% of first sends + 60", true, evidence.checkResends},
		{"cold backends within their gentle_rate", true, evidence.checkColdBackends},
		{"operator calls answered within 1 s", true, evidence.checkOperatorCalls},
		{"no task in flight lost by planned work", true, evidence.checkPlannedWork},
		{"classes served within their floor_rps", true, evidence.checkFloors},
		{"usage reported within 5% and 10 s, none missing", true, evidence.checkUsage},
		{"usage reports resent unchanged", false, evidence.checkUsageResends},
		{"no failed step, no exit code other than 0", false, func() ([]string, string) { return evidence.Failures, "" }},
	} {
		bad, detail := check.run()
		if len(bad) > 0 {
			sort.Strings(bad)
			detail += fmt.Sprintf("; %d violations, first: %s", len(bad), bad[0])
		}
		verdicts = append(verdicts, Verdict{Name: check.name, Timed: check.timed, Holds: len(bad) == 0, Detail: detail})
	}
	return verdicts
}

// indexArrivals indexes the arrivals for several checks.
func (evidence *Evidence) indexArrivals() {
	evidence.chargesByKey, evidence.executedByTry = map[string][]standin.Arrival{}, map[string]standin.Arrival{}
	for _, record := range evidence.Backends {
		for _, arrival := range record.Arrivals {
			if arrival.ChargedMs > 0 {
				key := arrival.Tenant + "/" + arrival.Key
				evidence.chargesByKey[key] = append(evidence.chargesByKey[key], arrival)
			}
			if arrival.RanMs > 0 && arrival.Try != "" {
				evidence.executedByTry[arrival.Tenant+"/"+arrival.Try] = arrival
			}
		}
	}
}

func (evidence *Evidence) eachTry(visit func(try standin.Try)) int {
	count := 0
	for _, callers := range evidence.Callers {
		for _, try := range callers.Tries {
			visit(try)
		}
		count += len(callers.Tries)
	}
	return count
}

func (evidence *Evidence) eachArrival(visit func(record *standin.BackendRecord, arrival *standin.Arrival)) string {
	count := 0
	for index := range evidence.Backends {
		record := &evidence.Backends[index]
		for number := range record.Arrivals {
			visit(record, &record.Arrivals[number])
		}
		count += len(record.Arrivals)
	}
	return fmt.Sprintf("%d tasks at backends", count)
}

// Quantile returns the quantile of values at a fraction from 0 to 1; 0 without values.
func Quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64{}, values...)
	sort.Float64s(sorted)
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}

// Print writes one line per verdict and reports whether all hold. With untimed,
// failures of Timed verdicts are printed but not counted.
func Print(writer io.Writer, verdicts []Verdict, untimed bool) bool {
	all := true
	for _, verdict := range verdicts {
		outcome := "holds"
		if !verdict.Holds {
			outcome = "FAILS"
			all = all && untimed && verdict.Timed
		}
		_, _ = fmt.Fprintf(writer, "%s  %-50s %s\n", outcome, verdict.Name, verdict.Detail)
	}
	return all
}
