package checker

import (
	"fmt"
	"net/http"

	"orchidjunction/harness/standin"
)

func (evidence *Evidence) checkChargedOnce() (bad []string, detail string) {
	for key, charges := range evidence.chargesByKey {
		if len(charges) > 1 {
			bad = append(
				bad,
				fmt.Sprintf(
					"%s charged by task %s at %d and by %s at %d",
					key,
					charges[0].Task,
					charges[0].ChargedMs,
					charges[1].Task,
					charges[1].ChargedMs,
				),
			)
		}
	}
	return bad, fmt.Sprintf("%d keys charged", len(evidence.chargesByKey))
}

// checkBusyNotExecuted checks that an attempt answered "busy" or "not run" was executed
// nowhere, before or after, and that its key was not charged before it was made.
func (evidence *Evidence) checkBusyNotExecuted() (bad []string, detail string) {
	notRun := 0
	evidence.eachTry(func(try standin.Try) {
		if try.Status != http.StatusServiceUnavailable && (try.Status == 0 || try.Outcome != "not_run") {
			return
		}
		notRun++
		if arrival, found := evidence.executedByTry[try.Tenant+"/"+try.ID]; found {
			bad = append(
				bad,
				fmt.Sprintf(
					"attempt %s was answered %d %s, but executed at %d as task %s",
					try.ID,
					try.Status,
					try.Code,
					arrival.RanMs,
					arrival.Task,
				),
			)
		}
		for _, charge := range evidence.chargesByKey[try.Tenant+"/"+try.Key] {
			if try.Key != "" && try.Status == http.StatusServiceUnavailable && charge.ChargedMs < try.AtMs {
				bad = append(
					bad,
					fmt.Sprintf(
						"attempt %s was answered %s, but its key was charged %d ms earlier",
						try.ID,
						try.Code,
						try.AtMs-charge.ChargedMs,
					),
				)
			}
		}
	})
	return bad, fmt.Sprintf("%d attempts answered as not executed", notRun)
}

func (evidence *Evidence) checkSuccessCharged() (bad []string, detail string) {
	succeeded := 0
	evidence.eachTry(func(try standin.Try) {
		if try.Key == "" || try.Status != http.StatusOK {
			return
		}
		succeeded++
		if len(evidence.chargesByKey[try.Tenant+"/"+try.Key]) == 0 {
			bad = append(bad, try.ID)
		}
	})
	return bad, fmt.Sprintf("%d successful attempts with a key", succeeded)
}
