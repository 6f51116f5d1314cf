package checker

import (
	"fmt"
	"sort"

	"orchidjunction/harness/standin"
)

// serialsRise: once a backend saw a serial, older ones end within 4 s.
func (evidence *Evidence) serialsRise() (bad []string, detail string) {
	highest, since := uint64(0), int64(0)
	var last *standin.BackendRecord
	detail = evidence.arrivals(func(record *standin.BackendRecord, arrival *standin.Arrival) {
		if record != last {
			highest, since, last = 0, 0, record
		}
		if arrival.Serial > highest {
			highest, since = arrival.Serial, arrival.AtMs
		}
		if arrival.Serial < highest && arrival.AtMs-since > maxLateMs {
			bad = append(
				bad,
				fmt.Sprintf("%s got serial %d, saw %d %d ms before", record.Instance, arrival.Serial, highest, arrival.AtMs-since),
			)
		}
	})
	return bad, detail
}

// inForce: nothing that a front sent, or a directory placed, by a serial older
// than one acknowledged 4 s before, at whatever machine.
func (evidence *Evidence) inForce() (bad []string, detail string) {
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
	needed := func(at int64) uint64 {
		index := sort.Search(len(acks), func(index int) bool { return acks[index].AtMs > at-maxLateMs })
		if index == 0 {
			return 0
		}
		return highest[index-1]
	}
	evidence.arrivals(func(record *standin.BackendRecord, arrival *standin.Arrival) {
		if need := needed(arrival.AtMs); arrival.Serial > 0 && arrival.Serial < need {
			bad = append(
				bad,
				fmt.Sprintf("%s sent %s by serial %d, %d was acknowledged", arrival.Task, record.Instance, arrival.Serial, need),
			)
		}
	})
	for _, callers := range evidence.Callers {
		for _, placed := range callers.Placed {
			if need := needed(placed.AtMs); placed.Serial < need {
				bad = append(bad, fmt.Sprintf("%s placed by serial %d, %d was acknowledged", placed.Directory, placed.Serial, need))
			}
		}
	}
	bad = append(bad, ledger.Behind...)
	return bad, fmt.Sprintf(
		"%d followed, p50 %.0f ms, max %.0f ms",
		len(ledger.InForceMs),
		Quantile(ledger.InForceMs, 0.5),
		Quantile(ledger.InForceMs, 1),
	)
}

// losersNever: what was refused, or lost its race, is nowhere in the trail.
func (evidence *Evidence) losersNever() (bad []string, detail string) {
	if evidence.Ledger == nil {
		return nil, "no operators"
	}
	for _, entry := range evidence.History {
		if kind, refused := evidence.Ledger.Refused[entry.Change]; refused {
			bad = append(bad, fmt.Sprintf("%s refused as %s is serial %d", entry.Change, kind, entry.Serial))
		}
	}
	return bad, fmt.Sprintf("%d refused", len(evidence.Ledger.Refused))
}

func (evidence *Evidence) ackedKept() (bad []string, detail string) {
	if evidence.Ledger == nil {
		return nil, "no operators"
	}
	kept, oldest, last := map[string]uint64{}, uint64(0), uint64(0)
	for _, entry := range evidence.History {
		if entry.Serial <= last {
			bad = append(bad, fmt.Sprintf("trail goes from %d to %d", last, entry.Serial))
		}
		if _, twice := kept[entry.Change]; twice {
			bad = append(bad, entry.Change+" is in the trail twice")
		}
		if oldest == 0 {
			oldest = entry.Serial
		}
		kept[entry.Change], last = entry.Serial, entry.Serial
	}
	serials := map[uint64]string{}
	for change, ack := range evidence.Ledger.Acked {
		if kept[change] != ack.Serial && ack.Serial >= oldest {
			bad = append(bad, fmt.Sprintf("%s acknowledged as %d, kept as %d", change, ack.Serial, kept[change]))
		}
		if other := serials[ack.Serial]; other != "" {
			bad = append(bad, fmt.Sprintf("serial %d acknowledged for %s and %s", ack.Serial, change, other))
		}
		if ack.Serial != ack.Base+1 {
			bad = append(bad, fmt.Sprintf("%s based on %d acknowledged as %d", change, ack.Base, ack.Serial))
		}
		serials[ack.Serial] = change
	}
	return bad, fmt.Sprintf("%d acknowledged, %d unknown", len(evidence.Ledger.Acked), len(evidence.Ledger.Unknown))
}

func (evidence *Evidence) operatorsAnswered() (bad []string, detail string) {
	ledger := evidence.Ledger
	if ledger == nil {
		return nil, "no operators"
	}
	return append(
			bad,
			ledger.Late...), fmt.Sprintf(
			"longest %.0f ms, %d answers, p50 %.0f ms p99 %.0f ms, longest gap between acknowledgements %d ms",
			Quantile(ledger.AnswerMs, 1),
			len(ledger.AnswerMs),
			Quantile(ledger.AnswerMs, 0.5),
			Quantile(ledger.AnswerMs, 0.99),
			ledger.GapMs,
		)
}
