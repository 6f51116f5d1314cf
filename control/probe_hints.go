package control

import (
	"slices"
	"sync"
	"time"

	"orchidjunction/message"
)

// probeHintInterval is how often one backend's hint rises at most.
const probeHintInterval = 500 * time.Millisecond

// ProbeHints counts for each backend how often some proxy found it changed. The count
// goes out with the table, and each proxy then probes the backend itself at once: all
// that is shared is that there is something to see. It is safe for concurrent use.
type ProbeHints struct {
	mutex     sync.Mutex
	findings  map[string]map[string]finding // by backend, then by proxy
	known     map[string]finding
	counts    map[string]uint64
	changedAt map[string]time.Time
}

// finding is what of a probe makes a difference to where requests go.
type finding struct {
	incarnation string
	healthy     bool
	leaving     bool
	warmingUp   bool
}

func newProbeHints() *ProbeHints {
	return &ProbeHints{
		findings:  map[string]map[string]finding{},
		known:     map[string]finding{},
		counts:    map[string]uint64{},
		changedAt: map[string]time.Time{},
	}
}

// observe raises the hints of backends of which a session has a finding that is new to
// its proxy and to everybody.
func (hints *ProbeHints) observe(session *message.Session) {
	hints.mutex.Lock()
	defer hints.mutex.Unlock()
	for _, probe := range session.Probes {
		found := finding{incarnation: probe.Incarnation, healthy: probe.Healthy, leaving: probe.Leaving, warmingUp: probe.WarmingUp}
		hints.observeFinding(session.Member.Name, probe.Backend, found)
	}
}

func (hints *ProbeHints) observeFinding(proxy, backend string, found finding) {
	byProxy := hints.findings[backend]
	if byProxy == nil {
		byProxy = map[string]finding{}
		hints.findings[backend] = byProxy
	}
	former, hasFormer := byProxy[proxy]
	isNew := hasFormer && former != found && hints.known[backend] != found
	if isNew && time.Since(hints.changedAt[backend]) < probeHintInterval {
		return // it is new again with the next session
	}
	byProxy[proxy] = found
	if isNew {
		hints.known[backend], hints.changedAt[backend] = found, time.Now()
		hints.counts[backend]++
	}
}

// apply returns the backends with their hints, which never fall below those of a former
// table. It returns the same slice if all have them already.
func (hints *ProbeHints) apply(backends, former []message.Backend) []message.Backend {
	hints.mutex.Lock()
	defer hints.mutex.Unlock()
	for index := range former {
		if hint := former[index].ProbeHint; hint > 0 {
			hints.counts[former[index].Name] = max(hints.counts[former[index].Name], hint)
		}
	}
	hinted := backends
	for index := range backends {
		count := hints.counts[backends[index].Name]
		if backends[index].ProbeHint == count {
			continue
		}
		if &hinted[0] == &backends[0] {
			hinted = slices.Clone(backends)
		}
		hinted[index].ProbeHint = count
	}
	hints.forgetUnlisted(backends)
	return hinted
}

// forgetUnlisted drops the findings of backends that are gone. Their counts stay.
func (hints *ProbeHints) forgetUnlisted(backends []message.Backend) {
	if len(hints.findings) == 0 {
		return
	}
	isListed := make(map[string]bool, len(backends))
	for index := range backends {
		isListed[backends[index].Name] = true
	}
	for name := range hints.findings {
		if !isListed[name] {
			delete(hints.findings, name)
			delete(hints.known, name)
			delete(hints.changedAt, name)
		}
	}
}
