package checker

import (
	"fmt"
	"sort"

	"orchidjunction/harness/standin"
)

// checkSerialsPerBackend checks that older serials end at a backend within 4 s of a newer one.
func (evidence *Evidence) checkSerialsPerBackend() (bad []string, detail string) {
	highest, since := uint64(0), int64(0)
	var last *standin.BackendRecord
	detail = evidence.eachArrival(func(record *standin.BackendRecord, arrival *standin.Arrival) {
		if record != last {
			highest, since, last = 0, 0, record
		}
		if arrival.Serial > highest {
			highest, since = arrival.Serial, arrival.AtMs
		}
		if arrival.Serial < highest && arrival.AtMs-since > maxDelayMs {
			bad = append(
				bad,
				fmt.Sprintf(
					"%s got serial %d after serial %d, seen %d ms earlier",
					record.Instance,
					arrival.Serial,
					highest,
					arrival.AtMs-since,
				),
			)
		}
	})
	return bad, detail
}

// checkInForce checks that no proxy sends and no directory places with a serial older than
// one that any machine acknowledged 4 s before.
func (evidence *Evidence) checkInForce() (bad []string, detail string) {
	if evidence.Ledger == nil {
		return nil, "no operators"
	}
	ledger := evidence.Ledger
	acks := []Ack{}
	for _, ack := range ledger.Acked {
		acks = append(acks, ack)
	}
	sort.Slice(acks, func(left, right int) bool { return acks[left].AtMs < acks[right].AtMs })
	highest := make([]uint64, len(acks))
	for index, ack := range acks {
		highest[index] = ack.Serial
		if index > 0 {
			highest[index] = max(ack.Serial, highest[index-1])
		}
	}
	newestDue := func(at int64) uint64 {
		index := sort.Search(len(acks), func(index int) bool { return acks[index].AtMs > at-maxDelayMs })
		if index == 0 {
			return 0
		}
		return highest[index-1]
	}
	evidence.eachArrival(func(record *standin.BackendRecord, arrival *standin.Arrival) {
		if due := newestDue(arrival.AtMs); arrival.Serial > 0 && arrival.Serial < due {
			bad = append(
				bad,
				fmt.Sprintf("task %s at %s used serial %d, acknowledged was %d", arrival.Task, record.Instance, arrival.Serial, due),
			)
		}
	})
	for _, callers := range evidence.Callers {
		for _, placed := range callers.Placed {
			if due := newestDue(placed.AtMs); placed.Serial < due {
				bad = append(
					bad,
					fmt.Sprintf("directory %s placed with serial %d, acknowledged was %d", placed.Directory, placed.Serial, due),
				)
			}
		}
	}
	bad = append(bad, ledger.NotInForce...)
	return bad, fmt.Sprintf(
		"%d changes followed, in force after p50 %.0f ms, max %.0f ms",
		len(ledger.InForceMs),
		Quantile(ledger.InForceMs, 0.5),
		Quantile(ledger.InForceMs, 1),
	)
}

// checkRefusedChanges checks that changes that were refused, for instance for an outdated base, are
// not in the history.
func (evidence *Evidence) checkRefusedChanges() (bad []string, detail string) {
	if evidence.Ledger == nil {
		return nil, "no operators"
	}
	for _, entry := range evidence.History {
		if code, refused := evidence.Ledger.Refused[entry.Change]; refused {
			bad = append(bad, fmt.Sprintf("%s was refused as %s but is serial %d in the history", entry.Change, code, entry.Serial))
		}
	}
	return bad, fmt.Sprintf("%d changes refused", len(evidence.Ledger.Refused))
}

func (evidence *Evidence) checkAcknowledgedChanges() (bad []string, detail string) {
	if evidence.Ledger == nil {
		return nil, "no operators"
	}
	serialOf, oldest, last := map[string]uint64{}, uint64(0), uint64(0)
	for _, entry := range evidence.History {
		if entry.Serial <= last {
			bad = append(bad, fmt.Sprintf("history goes from serial %d to %d", last, entry.Serial))
		}
		if _, isDuplicate := serialOf[entry.Change]; isDuplicate {
			bad = append(bad, entry.Change+" is in the history twice")
		}
		if oldest == 0 {
			oldest = entry.Serial
		}
		serialOf[entry.Change], last = entry.Serial, entry.Serial
	}
	changeOf := map[uint64]string{}
	for change, ack := range evidence.Ledger.Acked {
		if serialOf[change] != ack.Serial && ack.Serial >= oldest {
			bad = append(bad, fmt.Sprintf("%s acknowledged as serial %d, in the history as %d", change, ack.Serial, serialOf[change]))
		}
		if other := changeOf[ack.Serial]; other != "" {
			bad = append(bad, fmt.Sprintf("serial %d acknowledged for %s and %s", ack.Serial, change, other))
		}
		if ack.Serial != ack.Base+1 {
			bad = append(bad, fmt.Sprintf("%s based on serial %d acknowledged as %d", change, ack.Base, ack.Serial))
		}
		changeOf[ack.Serial] = change
	}
	return bad, fmt.Sprintf("%d changes acknowledged, %d outcomes unknown", len(evidence.Ledger.Acked), len(evidence.Ledger.Unknown))
}

func (evidence *Evidence) checkOperatorCalls() (bad []string, detail string) {
	ledger := evidence.Ledger
	if ledger == nil {
		return nil, "no operators"
	}
	return append(
			bad,
			ledger.SlowCalls...), fmt.Sprintf(
			"longest %.0f ms, %d answers, p50 %.0f ms p99 %.0f ms, longest gap between acknowledgements %d ms",
			Quantile(ledger.AnswerMs, 1),
			len(ledger.AnswerMs),
			Quantile(ledger.AnswerMs, 0.5),
			Quantile(ledger.AnswerMs, 0.99),
			ledger.LongestAckGapMs,
		)
}
