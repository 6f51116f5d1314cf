package run

import (
	"sort"
	"sync"
)

// Counts are named counters, made at first use.
type Counts struct {
	mutex sync.Mutex
	named map[string]uint64
}

func NewCounts() *Counts { return &Counts{named: map[string]uint64{}} }

func (counts *Counts) Add(name string, amount uint64) {
	counts.mutex.Lock()
	counts.named[name] += amount
	counts.mutex.Unlock()
}

func (counts *Counts) Get(name string) uint64 {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	return counts.named[name]
}

func (counts *Counts) All() map[string]uint64 {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	all := make(map[string]uint64, len(counts.named))
	for name, amount := range counts.named {
		all[name] = amount
	}
	return all
}

func (counts *Counts) Names() []string {
	names := []string{}
	for name := range counts.All() {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
