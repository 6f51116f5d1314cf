package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Rule names what must hold.
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

// maxShown is how many cases of a broken rule are kept as text.
const maxShown = 5

// Report is how often each rule was judged and broken.
type Report struct {
	Seed     uint64
	Requests int
	Served   int
	Judged   map[Rule]int
	Broken   map[Rule]int
	Cases    map[Rule][]string
	Notes    []string
}

func newReport(seed uint64) *Report {
	return &Report{Seed: seed, Judged: map[Rule]int{}, Broken: map[Rule]int{}, Cases: map[Rule][]string{}}
}

// Holds reports whether no rule was broken and something was served.
func (report *Report) Holds() bool {
	broken := 0
	for _, count := range report.Broken {
		broken += count
	}
	return broken == 0 && report.Served > 0
}

// String returns the report as text, one rule a line.
func (report *Report) String() string {
	text := &strings.Builder{}
	line := func(format string, values ...any) { text.WriteString(fmt.Sprintf(format, values...) + "\n") }
	line("seed %d: %d requests, %d served", report.Seed, report.Requests, report.Served)
	for _, rule := range rules {
		line("  %-9s judged %6d, broken %d", rule, report.Judged[rule], report.Broken[rule])
		for _, shown := range report.Cases[rule] {
			line("    %s", shown)
		}
	}
	for _, note := range report.Notes {
		line("  %s", note)
	}
	return text.String()
}

// judged counts one case of a rule; a broken one is kept with its text.
func (report *Report) judged(rule Rule, isBroken bool, format string, values ...any) {
	report.Judged[rule]++
	if !isBroken {
		return
	}
	report.Broken[rule]++
	if len(report.Cases[rule]) < maxShown {
		report.Cases[rule] = append(report.Cases[rule], fmt.Sprintf(format, values...))
	}
}

// judge holds what was recorded against the rules.
type judge struct {
	log    *evidence
	calm   *calm
	bounds Bounds
	report *Report
}

func (judge *judge) all() {
	arrivals := judge.byID()
	for _, exchange := range judge.log.exchanges {
		if exchange.isProbe {
			continue
		}
		judge.report.Requests++
		if exchange.status == http.StatusOK {
			judge.report.Served++
		}
		judge.answer(exchange, arrivals[exchange.id])
		judge.lost(exchange, arrivals[exchange.id])
	}
	for _, arrival := range judge.log.arrivals {
		exchange := judge.log.exchanges[arrival.id]
		judge.unasked(arrival, exchange)
		if exchange != nil {
			judge.drain(arrival, exchange)
			judge.config(arrival, exchange)
		}
	}
	for _, shift := range judge.log.shifts {
		judge.shift(shift)
	}
	for _, version := range judge.log.versions {
		judge.acknowledged("version", version.sentAt, version.ackedAt)
	}
}

func (judge *judge) byID() map[string][]*arrival {
	arrivals := map[string][]*arrival{}
	for _, arrival := range judge.log.arrivals {
		arrivals[arrival.id] = append(arrivals[arrival.id], arrival)
	}
	return arrivals
}

// answer judges what a client got.
func (judge *judge) answer(exchange *exchange, arrivals []*arrival) {
	if exchange.method == http.MethodPost {
		judge.report.judged(RuleTwice, len(arrivals) > 1, "%s ran %d times", exchange.id, len(arrivals))
		isPromise := exchange.status == http.StatusTooManyRequests || exchange.status == http.StatusServiceUnavailable
		judge.report.judged(RuleRefused, isPromise && len(arrivals) > 0, "%s got %d and ran", exchange.id, exchange.status)
	}
	if exchange.status != http.StatusOK {
		return
	}
	wanted := answerBody(exchange.seal, exchange.id)
	isOwn := slices.ContainsFunc(arrivals, func(arrival *arrival) bool { return arrival.backend.ID == exchange.seal })
	judge.report.judged(RuleMixed, !isOwn || exchange.answer != wanted,
		"%s: sealed by %q, answer %.60q", exchange.id, exchange.seal, exchange.answer)
}

// lost judges requests whose connection ended without an answer around the planned end of
// their proxy.
func (judge *judge) lost(exchange *exchange, arrivals []*arrival) {
	until := exchange.endedAt
	if !judge.calm.planned(exchange.proxy, exchange.sentAt, until) || judge.calm.unplanned(exchange.sentAt, until) {
		return
	}
	isGone := exchange.status == 0 && !exchange.timedOut
	isLate := until.Sub(exchange.sentAt) > judge.bounds.LossSlack
	judge.report.judged(RuleLost, isGone && (len(arrivals) > 0 || exchange.method == http.MethodGet && isLate && !exchange.reused),
		"%s %s at %s: connection ended after %v, ran %d times", exchange.method, exchange.id, exchange.proxy,
		until.Sub(exchange.sentAt).Round(time.Millisecond), len(arrivals))
}

// unasked judges whether a backend ran what a client sent.
func (judge *judge) unasked(arrival *arrival, exchange *exchange) {
	if exchange == nil {
		judge.report.judged(RuleUnasked, true, "%s ran %q, which no client sent", arrival.backend.ID, arrival.id)
		return
	}
	isSame := arrival.method == exchange.method && arrival.path == exchange.path && (!arrival.complete || arrival.body == exchange.body)
	judge.report.judged(RuleUnasked, !isSame, "%s ran %s as %s %s, body as sent: %v",
		arrival.backend.ID, arrival.id, arrival.method, arrival.path, arrival.body == exchange.body)
}

// drain judges whether a request came to a backend that had left for too long.
func (judge *judge) drain(arrival *arrival, exchange *exchange) {
	leftAt := arrival.backend.left()
	if leftAt.IsZero() || arrival.at.Before(leftAt) {
		return
	}
	if !judge.calm.inTouch(exchange.proxy, exchange.sentAt, arrival.at) {
		return
	}
	late := arrival.at.Sub(leftAt)
	onItsWay := arrival.at.Sub(exchange.sentAt)
	judge.report.judged(RuleDrain, late > judge.bounds.Drain, "%s by %s came to %s %v after that left, on its way for %v",
		arrival.id, exchange.proxy, arrival.backend.ID, late.Round(time.Millisecond), onItsWay.Round(time.Millisecond))
}

// config judges whether a request ran at a service that only an older version allows.
func (judge *judge) config(arrival *arrival, exchange *exchange) {
	if exchange.service != "" {
		judge.report.judged(RuleConfig, arrival.backend.Service != exchange.service, "%s ran at %s", exchange.path, arrival.backend.Service)
		return
	}
	if !judge.calm.inTouch(exchange.proxy, exchange.sentAt.Add(-judge.bounds.Apply), arrival.at) {
		return
	}
	allowed := map[string]bool{}
	for _, version := range judge.possible(exchange.sentAt, arrival.at) {
		allowed[version.movedTo] = true
	}
	judge.report.judged(RuleConfig, !allowed[arrival.backend.Service], "%s by %s ran at %s, which only an older version allows",
		arrival.id, exchange.proxy, arrival.backend.Service)
}

// possible returns the versions that may have been in force at some time of a span, at a
// machine in touch.
func (judge *judge) possible(from, to time.Time) []*acknowledged {
	versions := []*acknowledged{}
	for _, version := range judge.log.versions {
		if version.sentAt.After(to) {
			break
		}
		if !version.ackedAt.IsZero() && version.ackedAt.Add(judge.bounds.Apply).Before(from) {
			versions = versions[:0]
		}
		versions = append(versions, version)
	}
	return versions
}

// acknowledged judges whether an order was acknowledged in time while the cores were calm.
func (judge *judge) acknowledged(what string, sentAt, ackedAt time.Time) {
	until := sentAt.Add(judge.bounds.Acknowledge)
	if !judge.calm.settled(sentAt, until) {
		return
	}
	judge.report.judged(RuleOrders, ackedAt.IsZero() || ackedAt.After(until), "%s sent at %s, acknowledged: %v",
		what, sentAt.Format(time.StampMilli), !ackedAt.IsZero())
}

// shift judges a roll-out: its acknowledgement, its end and, if the version was bad, what
// was sent to it.
func (judge *judge) shift(shift *shift) {
	judge.acknowledged("roll-out of "+shift.target, shift.sentAt, shift.ackedAt)
	judge.report.Notes = append(judge.report.Notes, fmt.Sprintf("roll-out of %s, bad: %v, complete: %v, reverted: %v after %v of %v",
		shift.target, shift.isBad, shift.complete, shift.reverted, shift.finalAt.Sub(shift.sentAt).Round(time.Millisecond), shift.over))
	if !shift.isBad {
		return
	}
	judge.report.judged(RuleExposure, shift.complete, "the bad version %s is complete", shift.target)
	all, exposed, badAnswers := 0, 0, 0
	var revertDue time.Time
	for _, arrival := range judge.log.arrivals {
		exchange := judge.log.exchanges[arrival.id]
		if exchange == nil || arrival.backend.Service != shift.service || arrival.at.Before(shift.sentAt) {
			continue
		}
		inTerm := arrival.at.Before(shift.sentAt.Add(shift.over))
		if inTerm {
			all++
		}
		if arrival.backend.Revision != shift.target || !judge.calm.inTouch(exchange.proxy, exchange.sentAt, arrival.at) {
			continue
		}
		if inTerm {
			exposed++
		}
		if arrival.wasBad {
			badAnswers++
		}
		if badAnswers == badAnswersToRevert && revertDue.IsZero() {
			revertDue = arrival.at.Add(judge.bounds.Rollback)
		}
		judge.report.judged(RuleExposure, !revertDue.IsZero() && exchange.sentAt.After(revertDue),
			"%s by %s ran at %s, sent %v after the roll-back was due", arrival.id, exchange.proxy, shift.target,
			exchange.sentAt.Sub(revertDue).Round(time.Millisecond))
	}
	most := judge.bounds.CanaryShare*float64(all) + float64(judge.bounds.CanaryExtra)
	judge.report.judged(RuleExposure, float64(exposed) > most, "%s got %d of %d requests", shift.target, exposed, all)
}

// readBack judges the configuration that the operator reads at the end: the newest that
// was acknowledged, or one sent after it that got no clear answer.
func (judge *judge) readBack(status int, body string) {
	allowed := []string{}
	for _, version := range judge.log.versions {
		if !version.ackedAt.IsZero() {
			allowed = allowed[:0]
		}
		allowed = append(allowed, fmt.Sprintf(`"r%d"`, version.version))
	}
	isAllowed := slices.ContainsFunc(allowed, func(version string) bool { return strings.Contains(body, version) })
	judge.report.judged(RuleConfig, status != http.StatusOK || !isAllowed,
		"read back: status %d, none of %v: %.80q", status, allowed, body)
}
