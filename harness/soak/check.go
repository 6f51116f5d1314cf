package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Rule is the name of a property that must hold.
type Rule string

// The rules of a soak.
const (
	RuleConfig   Rule = "CONFIG"
	RuleDrain    Rule = "DRAIN"
	RuleExposure Rule = "EXPOSURE"
	RuleLimits   Rule = "LIMITS"
	RuleLost     Rule = "LOST"
	RuleMixed    Rule = "MIXED"
	RuleOrders   Rule = "ORDERS"
	RuleRefused  Rule = "REFUSED"
	RuleTwice    Rule = "TWICE"
	RuleUnasked  Rule = "UNASKED"
)

var rules = []Rule{RuleConfig, RuleDrain, RuleExposure, RuleLimits, RuleLost, RuleMixed, RuleOrders, RuleRefused, RuleTwice, RuleUnasked}

// maxCases limits the violations of a rule that are kept as text.
const maxCases = 5

// Report counts how often each rule was checked and broken.
type Report struct {
	Seed     uint64
	Requests int
	Served   int
	Checked  map[Rule]int
	Broken   map[Rule]int
	Cases    map[Rule][]string
	Notes    []string
}

func newReport(seed uint64) *Report {
	return &Report{Seed: seed, Checked: map[Rule]int{}, Broken: map[Rule]int{}, Cases: map[Rule][]string{}}
}

// Holds reports whether no rule was broken and at least one request was served.
func (report *Report) Holds() bool {
	broken := 0
	for _, count := range report.Broken {
		broken += count
	}
	return broken == 0 && report.Served > 0
}

// String returns the report as text, one line per rule.
func (report *Report) String() string {
	text := &strings.Builder{}
	line := func(format string, values ...any) { text.WriteString(fmt.Sprintf(format, values...) + "\n") }
	line("seed %d: %d requests, %d served", report.Seed, report.Requests, report.Served)
	for _, rule := range rules {
		line("  %-9s checked %6d, broken %d", rule, report.Checked[rule], report.Broken[rule])
		for _, example := range report.Cases[rule] {
			line("    %s", example)
		}
	}
	for _, note := range report.Notes {
		line("  %s", note)
	}
	return text.String()
}

// record counts one check of a rule, and keeps the text of a violation.
func (report *Report) record(rule Rule, isBroken bool, format string, values ...any) {
	report.Checked[rule]++
	if !isBroken {
		return
	}
	report.Broken[rule]++
	if len(report.Cases[rule]) < maxCases {
		report.Cases[rule] = append(report.Cases[rule], fmt.Sprintf(format, values...))
	}
}

type ruleChecker struct {
	recorder     *recorder
	disturbances *disturbances
	bounds       Bounds
	report       *Report
}

func (checker *ruleChecker) checkTraffic() {
	arrivals := checker.arrivalsByID()
	for _, exchange := range checker.recorder.exchanges {
		if exchange.isProbe {
			continue
		}
		checker.report.Requests++
		if exchange.status == http.StatusOK {
			checker.report.Served++
		}
		checker.checkResponse(exchange, arrivals[exchange.id])
		checker.checkLost(exchange, arrivals[exchange.id])
	}
	for _, arrival := range checker.recorder.arrivals {
		exchange := checker.recorder.exchanges[arrival.id]
		checker.checkUnasked(arrival, exchange)
		if exchange != nil {
			checker.checkDrain(arrival, exchange)
			checker.checkConfig(arrival, exchange)
		}
	}
	for _, rollout := range checker.recorder.rollouts {
		checker.checkRollout(rollout)
	}
	for _, version := range checker.recorder.configChanges {
		checker.checkAcknowledged("configuration", version.sentAt, version.acknowledgedAt)
	}
}

func (checker *ruleChecker) arrivalsByID() map[string][]*arrival {
	arrivals := map[string][]*arrival{}
	for _, arrival := range checker.recorder.arrivals {
		arrivals[arrival.id] = append(arrivals[arrival.id], arrival)
	}
	return arrivals
}

// checkResponse checks MIXED, and for POST also TWICE and REFUSED: 429 and 503 tell a
// client that its request was not executed.
func (checker *ruleChecker) checkResponse(exchange *exchange, arrivals []*arrival) {
	if exchange.method == http.MethodPost {
		checker.report.record(RuleTwice, len(arrivals) > 1, "%s was executed %d times", exchange.id, len(arrivals))
		saysNotExecuted := exchange.status == http.StatusTooManyRequests || exchange.status == http.StatusServiceUnavailable
		checker.report.record(
			RuleRefused,
			saysNotExecuted && len(arrivals) > 0,
			"%s was answered %d but executed",
			exchange.id,
			exchange.status,
		)
	}
	if exchange.status != http.StatusOK {
		return
	}
	wanted := responseBody(exchange.seal, exchange.id)
	ranAtSealer := slices.ContainsFunc(arrivals, func(arrival *arrival) bool { return arrival.backend.ID == exchange.seal })
	checker.report.record(RuleMixed, !ranAtSealer || exchange.responseBody != wanted,
		"%s: response sealed by %q, body %.60q", exchange.id, exchange.seal, exchange.responseBody)
}

// checkLost checks requests in flight during a planned stop of their proxy: an executed one
// must get its backend's response, unless the backend broke that off, and a GET on a new
// connection must get some response if it lasted beyond LossSlack.
func (checker *ruleChecker) checkLost(exchange *exchange, arrivals []*arrival) {
	until := exchange.endedAt
	if !checker.disturbances.stoppedAsPlanned(exchange.proxy, exchange.sentAt, until) ||
		checker.disturbances.anyUnplanned(exchange.sentAt, until) {
		return
	}
	if slices.ContainsFunc(arrivals, func(arrival *arrival) bool { return arrival.brokenOff }) {
		return
	}
	gotNoResponse := exchange.status == 0 && !exchange.timedOut
	// The proxy's own error in place of the response of a backend at work is a lost response too.
	replaced := len(arrivals) > 0 && exchange.status >= http.StatusInternalServerError && exchange.seal == "" &&
		until.Sub(exchange.sentAt) < requestDeadline
	outlastedSlack := until.Sub(exchange.sentAt) > checker.bounds.LossSlack
	checker.report.record(
		RuleLost,
		replaced || gotNoResponse && (len(arrivals) > 0 || exchange.method == http.MethodGet && outlastedSlack && !exchange.onReusedConn),
		"%s %s at %s: status %d without a backend's response after %v, executed %d times",
		exchange.method,
		exchange.id,
		exchange.proxy,
		exchange.status,
		until.Sub(exchange.sentAt).Round(time.Millisecond),
		len(arrivals),
	)
}

// checkUnasked checks that a backend executed exactly what a client sent.
func (checker *ruleChecker) checkUnasked(arrival *arrival, exchange *exchange) {
	if exchange == nil {
		checker.report.record(RuleUnasked, true, "%s executed %q, which no client sent", arrival.backend.ID, arrival.id)
		return
	}
	isSame := arrival.method == exchange.method && arrival.path == exchange.path &&
		(!arrival.bodyComplete || arrival.bodyDigest == exchange.bodyDigest)
	checker.report.record(RuleUnasked, !isSame, "%s executed %s as %s %s, body as sent: %v",
		arrival.backend.ID, arrival.id, arrival.method, arrival.path, arrival.bodyDigest == exchange.bodyDigest)
}

// checkDrain checks that no request reaches a backend that has been leaving for too long.
func (checker *ruleChecker) checkDrain(arrival *arrival, exchange *exchange) {
	leavingSince := arrival.backend.leavingSince()
	if leavingSince.IsZero() || arrival.at.Before(leavingSince) {
		return
	}
	if !checker.disturbances.undisturbed(exchange.proxy, exchange.sentAt, arrival.at) {
		return
	}
	sinceLeaving := arrival.at.Sub(leavingSince)
	inTransit := arrival.at.Sub(exchange.sentAt)
	checker.report.record(
		RuleDrain,
		sinceLeaving > checker.bounds.Drain,
		"%s via %s reached %s %v after it began to leave, in transit for %v",
		arrival.id,
		exchange.proxy,
		arrival.backend.ID,
		sinceLeaving.Round(time.Millisecond),
		inTransit.Round(time.Millisecond),
	)
}

// checkConfig checks that a request ran at a service that some version allows which may have been
// in force at that time.
func (checker *ruleChecker) checkConfig(arrival *arrival, exchange *exchange) {
	if exchange.routeService != "" {
		checker.report.record(
			RuleConfig,
			arrival.backend.Service != exchange.routeService,
			"%s was executed at service %s",
			exchange.path,
			arrival.backend.Service,
		)
		return
	}
	if !checker.disturbances.undisturbed(exchange.proxy, exchange.sentAt.Add(-checker.bounds.Apply), arrival.at) {
		return
	}
	allowed := map[string]bool{}
	for _, version := range checker.possibleVersions(exchange.sentAt, arrival.at) {
		allowed[version.service] = true
	}
	checker.report.record(
		RuleConfig,
		!allowed[arrival.backend.Service],
		"%s via %s was executed at service %s, which only an older version allows",
		arrival.id,
		exchange.proxy,
		arrival.backend.Service,
	)
}

// possibleVersions returns the versions that an undisturbed machine may have used in a span.
func (checker *ruleChecker) possibleVersions(from, to time.Time) []*configChange {
	versions := []*configChange{}
	for _, version := range checker.recorder.configChanges {
		if version.sentAt.After(to) {
			break
		}
		if !version.acknowledgedAt.IsZero() && version.acknowledgedAt.Add(checker.bounds.Apply).Before(from) {
			versions = versions[:0]
		}
		versions = append(versions, version)
	}
	return versions
}

// checkAcknowledged checks that undisturbed cores acknowledged an order in time.
func (checker *ruleChecker) checkAcknowledged(what string, sentAt, acknowledgedAt time.Time) {
	until := sentAt.Add(checker.bounds.Acknowledge)
	if !checker.disturbances.coresUndisturbed(sentAt, until) {
		return
	}
	checker.report.record(RuleOrders, acknowledgedAt.IsZero() || acknowledgedAt.After(until), "%s sent at %s, acknowledged: %v",
		what, sentAt.Format(time.StampMilli), !acknowledgedAt.IsZero())
}

// checkRollout checks a rollout's acknowledgement and, for a bad version, its outcome and
// the requests that reached it.
func (checker *ruleChecker) checkRollout(rollout *rolloutRecord) {
	checker.checkAcknowledged("rollout of "+rollout.target, rollout.sentAt, rollout.acknowledgedAt)
	checker.report.Notes = append(checker.report.Notes, fmt.Sprintf(
		"rollout of %s: bad %v, complete %v, reverted %v, ended after %v of %v",
		rollout.target,
		rollout.isBad,
		rollout.completed,
		rollout.reverted,
		rollout.endedAt.Sub(rollout.sentAt).Round(time.Millisecond),
		rollout.term,
	))
	if !rollout.isBad {
		return
	}
	checker.report.record(RuleExposure, rollout.completed, "rollout of bad version %s was completed", rollout.target)
	total, exposed, failures := 0, 0, 0
	var revertDue time.Time
	for _, arrival := range checker.recorder.arrivals {
		exchange := checker.recorder.exchanges[arrival.id]
		if exchange == nil || arrival.backend.Service != rollout.service || arrival.at.Before(rollout.sentAt) {
			continue
		}
		withinTerm := arrival.at.Before(rollout.sentAt.Add(rollout.term))
		if withinTerm {
			total++
		}
		if arrival.backend.Revision != rollout.target || !checker.disturbances.undisturbed(exchange.proxy, exchange.sentAt, arrival.at) {
			continue
		}
		if withinTerm {
			exposed++
		}
		if arrival.failed {
			failures++
		}
		if failures == failuresToRevert && revertDue.IsZero() {
			revertDue = arrival.at.Add(checker.bounds.Rollback)
		}
		checker.report.record(RuleExposure, !revertDue.IsZero() && exchange.sentAt.After(revertDue),
			"%s via %s was executed at version %s, sent %v after the rollback was due", arrival.id, exchange.proxy, rollout.target,
			exchange.sentAt.Sub(revertDue).Round(time.Millisecond))
	}
	allowed := checker.bounds.CanaryShare*float64(total) + float64(checker.bounds.CanaryExtra)
	checker.report.record(RuleExposure, float64(exposed) > allowed, "bad version %s got %d of %d requests", rollout.target, exposed, total)
}

// checkReadBack checks that the final configuration is the newest acknowledged one, or one
// sent after it with an unknown outcome.
func (checker *ruleChecker) checkReadBack(status int, body string) {
	allowed := []string{}
	for _, version := range checker.recorder.configChanges {
		if !version.acknowledgedAt.IsZero() {
			allowed = allowed[:0]
		}
		allowed = append(allowed, fmt.Sprintf(`"r%d"`, version.version))
	}
	isAllowed := slices.ContainsFunc(allowed, func(version string) bool { return strings.Contains(body, version) })
	checker.report.record(RuleConfig, status != http.StatusOK || !isAllowed,
		"configuration read back: status %d, want one of %v, got %.80q", status, allowed, body)
}
