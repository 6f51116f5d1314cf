// Package metrics is the counters of a process. Operators read them by ojctl status and
// in the log; a counter's name never changes its meaning.
package metrics

import (
	"maps"
	"slices"
	"sync"
)

// Counters is a set of named counters, each created at its first use. It is safe for
// concurrent use.
type Counters struct {
	mutex  sync.Mutex
	values map[string]uint64
}

// NewCounters returns an empty set.
func NewCounters() *Counters { return &Counters{values: map[string]uint64{}} }

// Add increases a counter by amount.
func (counters *Counters) Add(name string, amount uint64) {
	counters.mutex.Lock()
	counters.values[name] += amount
	counters.mutex.Unlock()
}

// Get returns a counter's value, 0 if it was never used.
func (counters *Counters) Get(name string) uint64 {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	return counters.values[name]
}

// All returns a copy of all counters by name.
func (counters *Counters) All() map[string]uint64 {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	return maps.Clone(counters.values)
}

// Names returns the names of all counters in order.
func (counters *Counters) Names() []string {
	return slices.Sorted(maps.Keys(counters.All()))
}
