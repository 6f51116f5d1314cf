package control

import (
	"slices"
	"sync"
	"time"

	"orchidjunction/message"
)

// probeHintInterval is the minimum time between two increases of a backend's hint.
const probeHintInterval = 500 * time.Millisecond

// ProbeHints counts for each backend how often a proxy found its state changed. Proxies get the
// count with the table and probe the backend immediately when it increases. Only the fact that
// something changed is shared, not the state. ProbeHints is safe for concurrent use.
type ProbeHints struct {
	mutex    sync.Mutex
	states   map[string]map[string]probeState // by backend, then by proxy
	newest   map[string]probeState
	counts   map[string]uint64
	raisedAt map[string]time.Time
}

// probeState is the part of a probe's result that affects routing.
type probeState struct {
	incarnation string
	healthy     bool
	leaving     bool
	warmingUp   bool
}

func newProbeHints() *ProbeHints {
	return &ProbeHints{
		states:   map[string]map[string]probeState{},
		newest:   map[string]probeState{},
		counts:   map[string]uint64{},
		raisedAt: map[string]time.Time{},
	}
}

// observe increases the hints of the backends for which a session reports a state that is new
// both for its proxy and among all proxies.
func (hints *ProbeHints) observe(session *message.Session) {
	hints.mutex.Lock()
	defer hints.mutex.Unlock()
	for _, probe := range session.Probes {
		state := probeState{incarnation: probe.Incarnation, healthy: probe.Healthy, leaving: probe.Leaving, warmingUp: probe.WarmingUp}
		hints.observeState(session.Member.Name, probe.Backend, state)
	}
}

func (hints *ProbeHints) observeState(proxy, backend string, state probeState) {
	states := hints.states[backend]
	if states == nil {
		states = map[string]probeState{}
		hints.states[backend] = states
	}
	former, hasFormer := states[proxy]
	isNew := hasFormer && former != state && hints.newest[backend] != state
	if isNew && time.Since(hints.raisedAt[backend]) < probeHintInterval {
		return // the next session reports it again
	}
	states[proxy] = state
	if isNew {
		hints.newest[backend], hints.raisedAt[backend] = state, time.Now()
		hints.counts[backend]++
	}
}

// apply returns the backends with their hints, which never fall below those of the former table.
// It returns the same slice if all hints are already set.
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
	hints.removeUnlisted(backends)
	return hinted
}

// removeUnlisted drops the states of backends that are no longer listed. Their counts are kept.
func (hints *ProbeHints) removeUnlisted(backends []message.Backend) {
	if len(hints.states) == 0 {
		return
	}
	isListed := make(map[string]bool, len(backends))
	for index := range backends {
		isListed[backends[index].Name] = true
	}
	for name := range hints.states {
		if !isListed[name] {
			delete(hints.states, name)
			delete(hints.newest, name)
			delete(hints.raisedAt, name)
		}
	}
}
