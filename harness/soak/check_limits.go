package soak

import (
	"net/http"
	"time"
)

// limitTolerance is how much earlier or later than its limit a connection may end, as a busy
// machine delays timers and processes.
const limitTolerance = 500 * time.Millisecond

// checkLimits checks that connections end and headers are refused by the limits in force only.
func (checker *ruleChecker) checkLimits() {
	arrivals := checker.arrivalsByID()
	for _, probe := range checker.recorder.probes {
		if !checker.disturbances.undisturbed(probe.proxy, probe.begin, probe.end) {
			continue
		}
		versions := checker.possibleVersions(probe.begin, probe.end)
		switch probe.kind {
		case idleProbe:
			checker.checkIdleClose(probe, checker.possibleVersions(probe.end.Add(-limitTolerance), probe.end))
		case reuseProbe:
			checker.report.record(RuleLimits, refusedByLimit(probe.status), "%s: %v probe after %v idle: status %d",
				probe.proxy, probe.kind, roundedDuration(probe), probe.status)
		case slowHeaderProbe:
			checker.checkSlowHeader(probe, versions)
		case longHeaderProbe:
			checker.checkLongHeader(probe, versions, len(arrivals[probe.requestID]))
		case probeKindCount:
		}
	}
}

// refusedByLimit reports whether a limit refused a request, or it got no response. Any other
// status, as for a lack of backends, shows that the connection was open.
func refusedByLimit(status int) bool {
	return status == 0 || status == http.StatusRequestTimeout || status == http.StatusRequestHeaderFieldsTooLarge
}

func roundedDuration(probe *limitProbe) time.Duration {
	return probe.end.Sub(probe.begin).Round(time.Millisecond)
}

func limitRange(versions []*configChange, limit func(connLimits) time.Duration) (shortest, longest time.Duration) {
	for index, version := range versions {
		value := limit(version.limits)
		if index == 0 || value < shortest {
			shortest = value
		}
		longest = max(longest, value)
	}
	return shortest, longest
}

func (checker *ruleChecker) checkIdleClose(probe *limitProbe, versions []*configChange) {
	shortest, longest := limitRange(versions, func(limits connLimits) time.Duration { return limits.IdleTimeout })
	took := probe.end.Sub(probe.begin)
	isWrong := probe.stillOpen || took < shortest-limitTolerance || took > longest+limitTolerance && !checker.matchesRecentIdleLimit(probe)
	checker.report.record(RuleLimits, isWrong, "%s: %v probe ended after %v, still open: %v, limits in force %v to %v",
		probe.proxy, probe.kind, roundedDuration(probe), probe.stillOpen, shortest, longest)
}

// matchesRecentIdleLimit reports whether a connection ended within the longest idle limit during
// the probe or up to Bounds.Apply before its end. A new, shorter limit ends connections that have
// been idle for longer.
func (checker *ruleChecker) matchesRecentIdleLimit(probe *limitProbe) bool {
	_, fullSpan := limitRange(
		checker.possibleVersions(probe.begin, probe.end),
		func(limits connLimits) time.Duration { return limits.IdleTimeout },
	)
	from := probe.end.Add(-checker.bounds.Apply - limitTolerance)
	_, recent := limitRange(checker.possibleVersions(from, probe.end), func(limits connLimits) time.Duration { return limits.IdleTimeout })
	return probe.end.Sub(probe.begin) <= max(fullSpan, recent)+limitTolerance
}

// checkSlowHeader checks a header that never ends. Changes can only widen the limits of a
// header that has begun.
func (checker *ruleChecker) checkSlowHeader(probe *limitProbe, versions []*configChange) {
	shortest, longest := limitRange(versions, func(limits connLimits) time.Duration { return limits.HeaderTimeout })
	took := probe.end.Sub(probe.begin)
	isWrong := probe.status != http.StatusRequestTimeout || took < shortest-limitTolerance || took > longest+limitTolerance
	checker.report.record(RuleLimits, isWrong, "%s: %v probe ended after %v with status %d, limits in force %v to %v",
		probe.proxy, probe.kind, roundedDuration(probe), probe.status, shortest, longest)
}

// checkLongHeader checks a header that some versions allow and others refuse.
func (checker *ruleChecker) checkLongHeader(probe *limitProbe, versions []*configChange, arrivals int) {
	mayPass, mayFail := false, false
	for _, version := range versions {
		if longHeaderBytes <= version.limits.HeaderBytes {
			mayPass = true
		} else {
			mayFail = true
		}
	}
	isRefused := probe.status == http.StatusRequestHeaderFieldsTooLarge && arrivals == 0
	isServed := probe.status != http.StatusRequestHeaderFieldsTooLarge && probe.status != 0
	isAllowed := mayPass && isServed || mayFail && isRefused
	checker.report.record(
		RuleLimits,
		!isAllowed,
		"%s: %v probe got status %d, executed %d times, may pass: %v, may be refused: %v",
		probe.proxy,
		probe.kind,
		probe.status,
		arrivals,
		mayPass,
		mayFail,
	)
}
