package hostproxy

import "sync"

// inFlightCounts counts what is under way, and lets a planned end wait for it.
type inFlightCounts struct {
	mutex   sync.Mutex
	running int
}

func (counts *inFlightCounts) enter() {
	counts.mutex.Lock()
	counts.running++
	counts.mutex.Unlock()
}

func (counts *inFlightCounts) leave() {
	counts.mutex.Lock()
	counts.running--
	counts.mutex.Unlock()
}

func (counts *inFlightCounts) now() int {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	return counts.running
}
