package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"sort"

	"orchidjunction/stand"
	"orchidjunction/wire"
)

// Verdict is one line of what must never happen, as the stand-ins saw it.
type Verdict struct {
	Name   string `json:"name"`
	Timed  bool   `json:"timed"`
	Holds  bool   `json:"holds"`
	Detail string `json:"detail"`
}

// Evidence is all that verdicts are made of.
type Evidence struct {
	Callers  *stand.OriginReport
	Backends []stand.Seen
	Ledger   *Ledger
	Trail    []wire.Entry
	Planned  bool
	Gentle   float64
	Codes    []string
	Windows  []window
	Reports  map[string][]string
	ReportAt map[string]int64
}

func (evidence *Evidence) Judge() []Verdict {
	timed := func(verdict Verdict) Verdict {
		verdict.Timed = true
		return verdict
	}
	return []Verdict{evidence.chargedOnce(), evidence.busyMeansNotRun(), evidence.paidIsCharged(), evidence.wholeReceipts(), evidence.ownService(), timed(evidence.leavingIsLeft()),
		timed(evidence.emptied()), timed(evidence.serialsRise()), timed(evidence.inForce()), evidence.losersNever(), evidence.ackedKept(), timed(evidence.resendsBounded()), timed(evidence.coldGentle()), timed(evidence.operatorsAnswered()), timed(evidence.nothingCut()), timed(evidence.usageReported()), evidence.usageSame(), evidence.exits()}
}

func (evidence *Evidence) charges() map[string]int {
	charges := map[string]int{}
	for _, seen := range evidence.Backends {
		for key, count := range seen.Charges {
			charges[key] += count
		}
	}
	return charges
}

func verdict(name string, bad []string, detail string, values ...any) Verdict {
	text := fmt.Sprintf(detail, values...)
	if len(bad) > 0 {
		sort.Strings(bad)
		text += fmt.Sprintf("; %d bad, first %s", len(bad), bad[0])
	}
	return Verdict{Name: name, Holds: len(bad) == 0, Detail: text}
}

func (evidence *Evidence) chargedOnce() Verdict {
	bad := []string{}
	charges := evidence.charges()
	for key, count := range charges {
		if count > 1 {
			bad = append(bad, fmt.Sprintf("%s %d times", key, count))
		}
	}
	return verdict("no key charged twice", bad, "%d keys charged", len(charges))
}

func (evidence *Evidence) busyMeansNotRun() Verdict {
	bad := []string{}
	for _, seen := range evidence.Backends {
		for key, at := range seen.ChargedAt {
			if told := evidence.Callers.Money[key].BusyAtMs; told > at+5 {
				bad = append(bad, fmt.Sprintf("%s busy %d ms after its charge", key, told-at))
			}
		}
	}
	return verdict("no busy answer for a task that ran", bad, "%d keys", len(evidence.Callers.Money))
}

func (evidence *Evidence) paidIsCharged() Verdict {
	bad := []string{}
	charges, unknown := evidence.charges(), 0
	for key, outcome := range evidence.Callers.Money {
		if outcome.Unknown && !outcome.Paid {
			unknown++
		}
		if outcome.Paid && charges[key] == 0 {
			bad = append(bad, key)
		}
	}
	return verdict("every paid answer has its charge", bad, "%d told unknown", unknown)
}

func (evidence *Evidence) wholeReceipts() Verdict {
	bad := []string{}
	if evidence.Callers.Mangled+evidence.Callers.Foreign > 0 {
		bad = append(bad, fmt.Sprintf("%d mangled, %d foreign", evidence.Callers.Mangled, evidence.Callers.Foreign))
	}
	return verdict("receipts whole and one's own", bad, "%d tries", evidence.Callers.Tries)
}

func (evidence *Evidence) each(name string, count func(stand.Seen) int) Verdict {
	bad, tasks := []string{}, 0
	for _, seen := range evidence.Backends {
		tasks += seen.Tasks
		if found := count(seen); found > 0 {
			bad = append(bad, fmt.Sprintf("%s: %d", seen.Instance, found))
		}
	}
	return verdict(name, bad, "%d sends seen", tasks)
}

func (evidence *Evidence) ownService() Verdict {
	return evidence.each("no task at another service's backend", func(seen stand.Seen) int { return seen.ForeignTasks })
}

func (evidence *Evidence) leavingIsLeft() Verdict {
	return evidence.each("nothing at a leaving backend after 4 s", func(seen stand.Seen) int { return seen.LateTasks })
}

// emptied looks for sends in the spans in which a drained backend, an emptied
// zone's, or a tenant without keys must not be seen.
func (evidence *Evidence) emptied() Verdict {
	bad := []string{}
	for _, window := range evidence.Windows {
		for _, seen := range evidence.Backends {
			for _, arrival := range seen.Arrivals {
				subject := seen.Instance
				if window.tenant {
					subject = arrival.Tenant
				}
				if subject == window.subject && arrival.AtMs > window.from && (window.until == 0 || arrival.AtMs < window.until) {
					bad = append(bad, fmt.Sprintf("%s %d ms too late", subject, arrival.AtMs-window.from))
				}
			}
		}
	}
	return verdict("nothing where emptied or withdrawn after 4 s", bad, "%d windows", len(evidence.Windows))
}

func (evidence *Evidence) serialsRise() Verdict {
	return evidence.each("no daemon slides back once a backend saw newer", func(seen stand.Seen) int { return seen.SlidBack })
}

func (evidence *Evidence) inForce() Verdict {
	bad := []string{}
	for _, late := range evidence.Ledger.Late {
		if len(late) > 6 && late[:6] == "serial" {
			bad = append(bad, late)
		}
	}
	return verdict("acknowledged settings in force in 4 s", bad, "%d followed, p50 %.0f ms, max %.0f ms", len(evidence.Ledger.InForceMs), part(evidence.Ledger.InForceMs, 0.5), part(evidence.Ledger.InForceMs, 1))
}

func (evidence *Evidence) inTrail() map[string]uint64 {
	found := map[string]uint64{}
	for _, entry := range evidence.Trail {
		found[entry.Change] = entry.Serial
	}
	return found
}

func (evidence *Evidence) losersNever() Verdict {
	bad := []string{}
	trail := evidence.inTrail()
	for change, kind := range evidence.Ledger.Refused {
		if serial, found := trail[change]; found {
			bad = append(bad, fmt.Sprintf("%s refused as %s is serial %d", change, kind, serial))
		}
	}
	return verdict("refused and lost changes never in force", bad, "%d refused", len(evidence.Ledger.Refused))
}

func (evidence *Evidence) ackedKept() Verdict {
	bad := []string{}
	trail, serials := evidence.inTrail(), map[uint64]string{}
	for change, serial := range evidence.Ledger.Acked {
		if trail[change] != serial {
			bad = append(bad, fmt.Sprintf("%s acknowledged as %d, kept as %d", change, serial, trail[change]))
		}
		if other := serials[serial]; other != "" {
			bad = append(bad, fmt.Sprintf("serial %d acknowledged for %s and %s", serial, change, other))
		}
		serials[serial] = change
	}
	return verdict("no acknowledged change lost", bad, "%d acknowledged, %d unknown", len(evidence.Ledger.Acked), len(evidence.Ledger.Unknown))
}

func (evidence *Evidence) resendsBounded() Verdict {
	resends := stand.CountResends(evidence.Backends, 0.2, 60)
	return verdict("resends within a fifth and sixty in ten seconds", resends.Outside, "at most %d resends", resends.Most)
}

func (evidence *Evidence) coldGentle() Verdict {
	return evidence.each("cold backends within their gentle rate", func(seen stand.Seen) int {
		if float64(seen.ColdMostPerS) > evidence.Gentle*1.2+1 {
			return seen.ColdMostPerS
		}
		return 0
	})
}

func (evidence *Evidence) operatorsAnswered() Verdict {
	bad := []string{}
	for _, late := range evidence.Ledger.Late {
		if len(late) > 6 && late[:6] != "serial" {
			bad = append(bad, late)
		}
	}
	return verdict("operators answered within a second", bad, "longest %d ms, %d answers, p50 %.0f ms p99 %.0f ms, longest gap between acknowledgements %d ms", evidence.Ledger.LongestMs, len(evidence.Ledger.Answers),
		part(evidence.Ledger.Answers, 0.5), part(evidence.Ledger.Answers, 0.99), evidence.Ledger.gap.Milliseconds())
}

func (evidence *Evidence) nothingCut() Verdict {
	bad := []string{}
	if evidence.Planned && evidence.Callers.Broken > 0 {
		bad = append(bad, fmt.Sprintf("%d broken", evidence.Callers.Broken))
	}
	return verdict("planned stops cut nothing in flight", bad, "%d served, %d not, %d unknown, %d pipes broken, p50 %.1f ms p99 %.1f ms, longest gap %d ms", evidence.Callers.Served, evidence.Callers.Unserved,
		evidence.Callers.Unknown, evidence.Callers.Broken, evidence.Callers.LatencyMs["p50"], evidence.Callers.LatencyMs["p99"], evidence.Callers.GapMs)
}

type usageReport struct {
	ID     string `json:"id"`
	Tenant string `json:"tenant"`
	Period uint64 `json:"period"`
	ToMs   int64  `json:"to_ms"`
	Tasks  int    `json:"tasks"`
}

// usageReported compares what the platform was told with the tasks that the
// backends saw, in all, and looks for late and missing periods.
func (evidence *Evidence) usageReported() Verdict {
	told, seen, bad := map[string]int{}, map[string]int{}, []string{}
	periods, last := map[string]map[uint64]bool{}, uint64(0)
	late := int64(0)
	for id, bodies := range evidence.Reports {
		report := usageReport{}
		json.Unmarshal([]byte(bodies[0]), &report)
		told[report.Tenant] += report.Tasks
		if periods[report.Tenant] == nil {
			periods[report.Tenant] = map[uint64]bool{}
		}
		periods[report.Tenant][report.Period] = true
		last = max(last, report.Period)
		late = max(late, evidence.ReportAt[id]-report.ToMs)
	}
	for tenant, held := range periods {
		for period := uint64(1); period <= last; period++ {
			if !held[period] {
				bad = append(bad, fmt.Sprintf("%s lacks period %d", tenant, period))
			}
		}
	}
	tasks := map[string]bool{}
	for _, backend := range evidence.Backends {
		for _, arrival := range backend.Arrivals {
			if !tasks[arrival.Task] && arrival.Tenant != "" {
				tasks[arrival.Task] = true
				seen[arrival.Tenant]++
			}
		}
	}
	worst := 0.0
	for tenant, count := range seen {
		off := math.Abs(float64(told[tenant]-count)) / float64(count)
		worst = max(worst, off)
		if off > 0.05 {
			bad = append(bad, fmt.Sprintf("%s told %d, seen %d", tenant, told[tenant], count))
		}
	}
	if late > 6000 {
		bad = append(bad, fmt.Sprintf("a report came %d ms after its period", late))
	}
	return verdict("usage reported within 5% and 10 s, none missing", bad, "%d reports, worst %.1f%% off, latest %d ms after its period", len(evidence.Reports), worst*100, late)
}

func (evidence *Evidence) usageSame() Verdict {
	bad := []string{}
	for id, bodies := range evidence.Reports {
		for _, body := range bodies {
			if body != bodies[0] {
				bad = append(bad, id)
			}
		}
	}
	return verdict("no report sent twice with different counts", bad, "%d reports", len(evidence.Reports))
}

func (evidence *Evidence) exits() Verdict {
	return verdict("stops end with 0", evidence.Codes, "%d others", len(evidence.Codes))
}

func part(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64{}, values...)
	sort.Float64s(sorted)
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// Print shows the verdicts; true when all hold. Untimed, those that a slow
// machine alone could fail are shown but do not count.
func Print(writer io.Writer, verdicts []Verdict, untimed bool) bool {
	all := true
	for _, verdict := range verdicts {
		word := "holds"
		if !verdict.Holds {
			word = "FAILS"
			all = all && untimed && verdict.Timed
		}
		fmt.Fprintf(writer, "%s  %-52s %s\n", word, verdict.Name, verdict.Detail)
	}
	return all
}
