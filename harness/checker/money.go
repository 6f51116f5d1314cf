package checker

import (
	"fmt"
	"net/http"

	"orchidjunction/harness/standin"
)

func (evidence *Evidence) chargedOnce() (bad []string, detail string) {
	for key, charges := range evidence.charges {
		if len(charges) > 1 {
			bad = append(
				bad,
				fmt.Sprintf(
					"%s by %s at %d and by %s at %d",
					key,
					charges[0].Task,
					charges[0].ChargedMs,
					charges[1].Task,
					charges[1].ChargedMs,
				),
			)
		}
	}
	return bad, fmt.Sprintf("%d keys charged", len(evidence.charges))
}

// busyMeansNotRun: a try told "busy" or "not run" ran nowhere, before or after
// its answer, and its key was not charged when the try was made.
func (evidence *Evidence) busyMeansNotRun() (bad []string, detail string) {
	response := 0
	evidence.tries(func(try standin.Try) {
		if try.Status != http.StatusServiceUnavailable && (try.Status == 0 || try.Outcome != "not_run") {
			return
		}
		response++
		if arrival, found := evidence.ran[try.Tenant+"/"+try.ID]; found {
			bad = append(bad, fmt.Sprintf("try %s told %d %s, ran at %d as %s", try.ID, try.Status, try.Code, arrival.RanMs, arrival.Task))
		}
		for _, charge := range evidence.charges[try.Tenant+"/"+try.Key] {
			if try.Key != "" && try.Status == http.StatusServiceUnavailable && charge.ChargedMs < try.AtMs {
				bad = append(bad, fmt.Sprintf("try %s told %s, key charged %d ms before it", try.ID, try.Code, try.AtMs-charge.ChargedMs))
			}
		}
	})
	return bad, fmt.Sprintf("%d tries told not run", response)
}

func (evidence *Evidence) paidIsCharged() (bad []string, detail string) {
	paid := 0
	evidence.tries(func(try standin.Try) {
		if try.Key == "" || try.Status != http.StatusOK {
			return
		}
		paid++
		if len(evidence.charges[try.Tenant+"/"+try.Key]) == 0 {
			bad = append(bad, try.ID)
		}
	})
	return bad, fmt.Sprintf("%d paid answers", paid)
}
