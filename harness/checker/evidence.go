// Package checker checks the guarantees of the system against what callers, backends,
// the platform and operators recorded. The simulator and the fleet runner collect
// Evidence, partly by a Ledger that makes changes of settings while they run;
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

// Verdict is whether one guarantee held. A Timed one can fail on a slow machine
// alone.
type Verdict struct {
	Name   string `json:"name"`
	Timed  bool   `json:"timed"`
	Holds  bool   `json:"holds"`
	Detail string `json:"detail"`
}

// Window is a span in which a backend, a proxy ("front") or a tenant must not be
// served, in milliseconds since the Unix epoch. Until is 0 while the span is open.
type Window struct {
	Kind    string
	Subject string
	From    int64
	Until   int64
}

// Evidence is the records of one run. Planned says that only planned work was done,
// Jumps that clocks were stepped; Codes are processes that ended in a wrong way.
type Evidence struct {
	Callers  []standin.LoadReport
	Backends []standin.BackendRecord
	Settings *config.Settings
	Zones    map[string]string
	Guests   map[string]string
	Ledger   *Ledger
	History  []message.HistoryEntry
	Planned  bool
	Jumps    bool
	Codes    []string
	Windows  []Window
	Reports  map[string][]string
	ReportAt map[string]int64

	charges map[string][]standin.Arrival
	ran     map[string]standin.Arrival
}

// maxLateMs is when what was told must be in force, with a little for the way there.
const maxLateMs = 4500

// Judge returns one verdict for each guarantee.
func (evidence *Evidence) Judge() []Verdict {
	evidence.gather()
	verdicts := []Verdict{}
	for _, line := range []struct {
		name  string
		timed bool
		look  func() ([]string, string)
	}{
		{"no key charged twice", false, evidence.chargedOnce},
		{"no busy answer for a task that ran", false, evidence.busyMeansNotRun},
		{"every paid answer has its charge", false, evidence.paidIsCharged},
		{"receipts whole and one's own", false, evidence.wholeReceipts},
		{"no task at another service's backend", false, evidence.ownService},
		{"no task with a wrong tenant", false, evidence.ownTenant},
		{"nothing in a region its owner forbade", false, evidence.ownRegion},
		{"nothing at a leaving backend after 4 s", true, evidence.leavingIsLeft},
		{"nothing where emptied or withdrawn after 4 s", true, evidence.emptied},
		{"no slide back once a backend saw newer", true, evidence.serialsRise},
		{"acknowledged settings in force in 4 s", true, evidence.inForce},
		{"refused and lost changes never in force", false, evidence.losersNever},
		{"no acknowledged change lost", false, evidence.ackedKept},
		{"resends within a fifth and sixty in ten seconds", true, evidence.resendsBounded},
		{"cold backends within their gentle rate", true, evidence.coldGentle},
		{"operators answered within a second", true, evidence.operatorsAnswered},
		{"planned stops cut nothing in flight", true, evidence.nothingCut},
		{"classes served within their floors", true, evidence.floorsKept},
		{"usage reported within 5% and 10 s, none missing", true, evidence.usageReported},
		{"no report sent twice with different counts", false, evidence.usageSame},
		{"stops end with 0", false, func() ([]string, string) { return evidence.Codes, "" }},
	} {
		bad, detail := line.look()
		if len(bad) > 0 {
			sort.Strings(bad)
			detail += fmt.Sprintf("; %d bad, first %s", len(bad), bad[0])
		}
		verdicts = append(verdicts, Verdict{Name: line.name, Timed: line.timed, Holds: len(bad) == 0, Detail: detail})
	}
	return verdicts
}

// gather sorts what several lines ask for.
func (evidence *Evidence) gather() {
	evidence.charges, evidence.ran = map[string][]standin.Arrival{}, map[string]standin.Arrival{}
	for _, record := range evidence.Backends {
		for _, arrival := range record.Arrivals {
			if arrival.ChargedMs > 0 {
				name := arrival.Tenant + "/" + arrival.Key
				evidence.charges[name] = append(evidence.charges[name], arrival)
			}
			if arrival.RanMs > 0 && arrival.Try != "" {
				evidence.ran[arrival.Tenant+"/"+arrival.Try] = arrival
			}
		}
	}
}

func (evidence *Evidence) tries(look func(try standin.Try)) int {
	count := 0
	for _, callers := range evidence.Callers {
		for _, try := range callers.Tries {
			look(try)
		}
		count += len(callers.Tries)
	}
	return count
}

func (evidence *Evidence) arrivals(look func(record *standin.BackendRecord, arrival *standin.Arrival)) string {
	count := 0
	for index := range evidence.Backends {
		record := &evidence.Backends[index]
		for number := range record.Arrivals {
			look(record, &record.Arrivals[number])
		}
		count += len(record.Arrivals)
	}
	return fmt.Sprintf("%d sends seen", count)
}

// Quantile returns the quantile of the values, 0 without values; part is between 0 and
// 1.
func Quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64{}, values...)
	sort.Float64s(sorted)
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// Print writes one line for each verdict and returns whether all hold. With
// untimed, failed verdicts that are Timed are printed but not counted.
func Print(writer io.Writer, verdicts []Verdict, untimed bool) bool {
	all := true
	for _, verdict := range verdicts {
		word := "holds"
		if !verdict.Holds {
			word = "FAILS"
			all = all && untimed && verdict.Timed
		}
		_, _ = fmt.Fprintf(writer, "%s  %-50s %s\n", word, verdict.Name, verdict.Detail)
	}
	return all
}
