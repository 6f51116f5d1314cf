package control

import (
	"orchidjunction/message"
	"slices"
	"sync"
	"time"
)

// ProbeHints counts, for each backend, how often some proxy found it changed. The
// count goes out with the table, and each proxy then looks for itself at once:
// what is shared is only that there is something to see.
type ProbeHints struct {
	mutex     sync.Mutex
	findings  map[string]map[string]finding
	known     map[string]finding
	counts    map[string]uint64
	changedAt map[string]time.Time
}

// finding is what makes a difference to where tasks go.
type finding struct {
	incarnation string
	healthy     bool
	leaving     bool
	warmingUp   bool
}

// probeHintInterval is how often one backend is looked at anew by all.
const probeHintInterval = 500 * time.Millisecond

func newProbeHints() *ProbeHints {
	return &ProbeHints{findings: map[string]map[string]finding{}, known: map[string]finding{}, counts: map[string]uint64{}, changedAt: map[string]time.Time{}}
}

// observe counts a finding that is new to the proxy that tells it and to everybody.
func (hints *ProbeHints) observe(session *message.Session) {
	hints.mutex.Lock()
	defer hints.mutex.Unlock()
	for _, probe := range session.Probes {
		now := finding{incarnation: probe.Incarnation, healthy: probe.Healthy, leaving: probe.Leaving, warmingUp: probe.WarmingUp}
		told := hints.findings[probe.Backend]
		if told == nil {
			told = map[string]finding{}
			hints.findings[probe.Backend] = told
		}
		before, found := told[session.Member.Name]
		told[session.Member.Name] = now
		if !found || before == now || hints.known[probe.Backend] == now {
			continue
		}
		if time.Since(hints.changedAt[probe.Backend]) < probeHintInterval {
			told[session.Member.Name] = before
			continue
		}
		hints.known[probe.Backend], hints.changedAt[probe.Backend] = now, time.Now()
		hints.counts[probe.Backend]++
	}
}

// apply gives backends with their counts, which never fall below what was given
// out; the same ones where they have them already.
func (hints *ProbeHints) apply(backends, before []message.Backend) []message.Backend {
	hints.mutex.Lock()
	defer hints.mutex.Unlock()
	for index := range before {
		if before[index].ProbeHint > 0 {
			hints.counts[before[index].Name] = max(hints.counts[before[index].Name], before[index].ProbeHint)
		}
	}
	laid := backends
	for index := range backends {
		if count := hints.counts[backends[index].Name]; backends[index].ProbeHint != count {
			if &laid[0] == &backends[0] {
				laid = slices.Clone(backends)
			}
			laid[index].ProbeHint = count
		}
	}
	if len(hints.findings) == 0 {
		return laid
	}
	listed := make(map[string]bool, len(backends))
	for index := range backends {
		listed[backends[index].Name] = true
	}
	for name := range hints.findings {
		if !listed[name] {
			delete(hints.findings, name)
			delete(hints.known, name)
			delete(hints.changedAt, name)
		}
	}
	return laid
}
