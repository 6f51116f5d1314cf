package control

import (
	"orchidjunction/message"
	"slices"
	"sync"
	"time"
)

// Stirs counts, for each backend, how often some proxy found it changed. The
// count goes out with the table, and each proxy then looks for itself at once:
// what is shared is only that there is something to see.
type Stirs struct {
	mutex  sync.Mutex
	told   map[string]map[string]finding
	known  map[string]finding
	counts map[string]uint64
	at     map[string]time.Time
}

// finding is what makes a difference to where tasks go.
type finding struct {
	incarnation string
	healthy     bool
	leaving     bool
	cold        bool
}

// stirPace is how often one backend is looked at anew by all.
const stirPace = 500 * time.Millisecond

func newStirs() *Stirs {
	return &Stirs{told: map[string]map[string]finding{}, known: map[string]finding{}, counts: map[string]uint64{}, at: map[string]time.Time{}}
}

// take counts a finding that is new to the proxy that tells it and to everybody.
func (stirs *Stirs) take(session *message.Session) {
	stirs.mutex.Lock()
	defer stirs.mutex.Unlock()
	for _, probe := range session.Probes {
		now := finding{incarnation: probe.Incarnation, healthy: probe.Healthy, leaving: probe.Leaving, cold: probe.WarmingUp}
		told := stirs.told[probe.Backend]
		if told == nil {
			told = map[string]finding{}
			stirs.told[probe.Backend] = told
		}
		before, found := told[session.Member.Name]
		told[session.Member.Name] = now
		if !found || before == now || stirs.known[probe.Backend] == now {
			continue
		}
		if time.Since(stirs.at[probe.Backend]) < stirPace {
			told[session.Member.Name] = before
			continue
		}
		stirs.known[probe.Backend], stirs.at[probe.Backend] = now, time.Now()
		stirs.counts[probe.Backend]++
	}
}

// lay gives backends with their counts, which never fall below what was given
// out; the same ones where they have them already.
func (stirs *Stirs) lay(backends, before []message.Backend) []message.Backend {
	stirs.mutex.Lock()
	defer stirs.mutex.Unlock()
	for index := range before {
		if before[index].ProbeHint > 0 {
			stirs.counts[before[index].Name] = max(stirs.counts[before[index].Name], before[index].ProbeHint)
		}
	}
	laid := backends
	for index := range backends {
		if count := stirs.counts[backends[index].Name]; backends[index].ProbeHint != count {
			if &laid[0] == &backends[0] {
				laid = slices.Clone(backends)
			}
			laid[index].ProbeHint = count
		}
	}
	if len(stirs.told) == 0 {
		return laid
	}
	listed := make(map[string]bool, len(backends))
	for index := range backends {
		listed[backends[index].Name] = true
	}
	for name := range stirs.told {
		if !listed[name] {
			delete(stirs.told, name)
			delete(stirs.known, name)
			delete(stirs.at, name)
		}
	}
	return laid
}
