package usage

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"orchidjunction/config"
)

// Guards against requests lost or counted twice, and periods reported twice, while wall
// clocks jump by up to an hour, leaders change, and proxies come and go.
func TestSumsReportEachRequestOnceAcrossClockJumps(test *testing.T) {
	body, err := os.ReadFile("../examples/small.json")
	if err != nil {
		test.Fatal(err)
	}
	tree, err := config.Read(body)
	if err != nil {
		test.Fatal(err)
	}
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 59))
		sums, state, now := NewSums(), &State{}, int64(1_700_000_000_000)
		sincePeriodEnd := int64(0)
		counts, total, reported, periods := map[string]uint64{}, uint64(0), uint64(0), map[string]bool{}
		for step := range 400 {
			incarnation := fmt.Sprint("proxy-", random.IntN(3)+step/150)
			added := uint64(random.IntN(20))
			counts[incarnation] += added
			total += added
			sums.Add(incarnation, map[string]uint64{"alder": counts[incarnation]})
			elapsed := int64(random.IntN(900))
			now += elapsed
			sincePeriodEnd += elapsed
			switch random.IntN(40) {
			case 0:
				now -= 3_600_000
			case 1:
				now += 1_800_000
			case 2:
				sums = NewSums()
				for known, count := range counts {
					sums.Add(known, map[string]uint64{"alder": count})
				}
			}
			previousPeriod := state.Period
			endsPeriod := sincePeriodEnd > Period.Milliseconds()
			if endsPeriod {
				sincePeriodEnd = 0
			}
			state = sums.Next(
				state,
				SealInput{Partner: tree.Partner, Tenants: tree.TenantNames(), WallMs: now, SinceMs: elapsed, EndsPeriod: endsPeriod},
			)
			if state.Period == previousPeriod {
				continue
			}
			for _, report := range state.Pending {
				if report.Period != state.Period {
					continue
				}
				if periods[report.ID] {
					test.Fatalf("seed %d: report %s sealed twice", seed, report.ID)
				}
				if report.ToMs < report.FromMs {
					test.Fatalf("seed %d: report %s ends before it begins: from %d to %d", seed, report.ID, report.FromMs, report.ToMs)
				}
				periods[report.ID] = true
				reported += report.Tasks
				sums.MarkDelivered(report.ID)
			}
		}
		for _, open := range state.Open {
			reported += open
		}
		if reported != total || len(periods) < 30 {
			test.Fatalf("seed %d: %d requests counted, %d reported, in %d reports", seed, total, reported, len(periods))
		}
	}
}
