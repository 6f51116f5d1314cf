package soak

import (
	"net/http"
	"time"
)

// limitSlack is how much earlier or later than its limit a connection may end: what a busy
// machine's timers and processes take.
const limitSlack = 500 * time.Millisecond

// limits judges whether the limits of the versions in force ended clients' connections and
// refused their heads, and nothing else did.
func (judge *judge) limits() {
	arrivals := judge.byID()
	for _, probe := range judge.log.probes {
		if !judge.calm.inTouch(probe.proxy, probe.begin, probe.end) {
			continue
		}
		versions := judge.possible(probe.begin, probe.end)
		switch probe.kind {
		case restProbe:
			judge.rest(probe, judge.possible(probe.end.Add(-limitSlack), probe.end))
		case reuseProbe:
			judge.report.judged(RuleLimits, endedByLimit(probe.status), "%s: %v after a rest of %v: status %d",
				probe.proxy, probe.kind, rounded(probe), probe.status)
		case slowProbe:
			judge.slowHead(probe, versions)
		case longProbe:
			judge.longHead(probe, versions, len(arrivals[probe.id]))
		case probeKinds:
		}
	}
}

// endedByLimit is whether a request was ended by a limit, or got no answer at all. Any other
// refusal, for want of backends, came on a connection that was open.
func endedByLimit(status int) bool {
	return status == 0 || status == http.StatusRequestTimeout || status == http.StatusRequestHeaderFieldsTooLarge
}

func rounded(probe *limitProbe) time.Duration {
	return probe.end.Sub(probe.begin).Round(time.Millisecond)
}

// spread returns the shortest and the longest of the versions' limits.
func spread(versions []*acknowledged, limit func(limits) time.Duration) (shortest, longest time.Duration) {
	for index, version := range versions {
		value := limit(version.limits)
		if index == 0 || value < shortest {
			shortest = value
		}
		longest = max(longest, value)
	}
	return shortest, longest
}

func (judge *judge) rest(probe *limitProbe, versions []*acknowledged) {
	shortest, longest := spread(versions, func(limits limits) time.Duration { return limits.IdleTimeout })
	took := probe.end.Sub(probe.begin)
	isWrong := probe.open || took < shortest-limitSlack || took > longest+limitSlack && !judge.shrank(probe)
	judge.report.judged(RuleLimits, isWrong, "%s: %v ended after %v, open: %v, limits in force %v to %v",
		probe.proxy, probe.kind, rounded(probe), probe.open, shortest, longest)
}

// shrank reports whether a version with a shorter limit came into force just before the
// probe's end: a connection that has rested for longer ends with it.
func (judge *judge) shrank(probe *limitProbe) bool {
	_, before := spread(judge.possible(probe.begin, probe.end), func(limits limits) time.Duration { return limits.IdleTimeout })
	from := probe.end.Add(-judge.bounds.Apply - limitSlack)
	_, justBefore := spread(judge.possible(from, probe.end), func(limits limits) time.Duration { return limits.IdleTimeout })
	return probe.end.Sub(probe.begin) <= max(before, justBefore)+limitSlack
}

// slowHead judges a head that never ends. One that has begun keeps the wider limits.
func (judge *judge) slowHead(probe *limitProbe, versions []*acknowledged) {
	shortest, longest := spread(versions, func(limits limits) time.Duration { return limits.HeaderTimeout })
	took := probe.end.Sub(probe.begin)
	isWrong := probe.status != http.StatusRequestTimeout || took < shortest-limitSlack || took > longest+limitSlack
	judge.report.judged(RuleLimits, isWrong, "%s: %v ended after %v with %d, limits in force %v to %v",
		probe.proxy, probe.kind, rounded(probe), probe.status, shortest, longest)
}

// longHead judges a head that some versions allow and others don't.
func (judge *judge) longHead(probe *limitProbe, versions []*acknowledged, arrivals int) {
	mayPass, mayFail := false, false
	for _, version := range versions {
		if longHead <= version.limits.HeaderBytes {
			mayPass = true
		} else {
			mayFail = true
		}
	}
	isRefused := probe.status == http.StatusRequestHeaderFieldsTooLarge && arrivals == 0
	isServed := probe.status != http.StatusRequestHeaderFieldsTooLarge && probe.status != 0
	isAllowed := mayPass && isServed || mayFail && isRefused
	judge.report.judged(
		RuleLimits,
		!isAllowed,
		"%s: %v got %d and ran %d times, may pass: %v, may be refused: %v",
		probe.proxy,
		probe.kind,
		probe.status,
		arrivals,
		mayPass,
		mayFail,
	)
}
