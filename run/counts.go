package run

import (
	"sort"
	"sync"
)

// Counts is a set of named counters, each created at its first use.
type Counts struct {
	mutex sync.Mutex
	named map[string]uint64
}

// NewCounts returns an empty set of counters.
func NewCounts() *Counts { return &Counts{named: map[string]uint64{}} }

// Add increases a counter by amount.
func (counts *Counts) Add(name string, amount uint64) {
	counts.mutex.Lock()
	counts.named[name] += amount
	counts.mutex.Unlock()
}

// Get returns a counter's value, 0 if it was never used.
func (counts *Counts) Get(name string) uint64 {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	return counts.named[name]
}

// All returns a copy of all counters by name.
func (counts *Counts) All() map[string]uint64 {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	all := make(map[string]uint64, len(counts.named))
	for name, amount := range counts.named {
		all[name] = amount
	}
	return all
}

// Names returns the names of all counters in order.
func (counts *Counts) Names() []string {
	names := []string{}
	for name := range counts.All() {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
