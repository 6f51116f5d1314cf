package hostproxy

import "sync"

// waitQueues count who waits for room at a backend, by rank; 0 is the highest.
type waitQueues struct {
	mutex sync.Mutex
	count map[int]int
	total int
}

// enter is false when too many wait already.
func (lines *waitQueues) enter(rank int) bool {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	if lines.total >= maxWaiting {
		return false
	}
	if lines.count == nil {
		lines.count = map[int]int{}
	}
	lines.count[rank]++
	lines.total++
	return true
}

func (lines *waitQueues) leave(rank int) {
	lines.mutex.Lock()
	lines.count[rank]--
	lines.total--
	lines.mutex.Unlock()
}

func (lines *waitQueues) waiting() bool {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	return lines.total > 0
}

// inFlightCounts counts what is under way, and lets a planned end wait for it.
type inFlightCounts struct {
	mutex   sync.Mutex
	running int
}

func (flight *inFlightCounts) enter() {
	flight.mutex.Lock()
	flight.running++
	flight.mutex.Unlock()
}

func (flight *inFlightCounts) leave() {
	flight.mutex.Lock()
	flight.running--
	flight.mutex.Unlock()
}

func (flight *inFlightCounts) now() int {
	flight.mutex.Lock()
	defer flight.mutex.Unlock()
	return flight.running
}

// bodyMemory bound the bytes of requests that are being read.
type bodyMemory struct {
	mutex sync.Mutex
	held  int64
}

func (bodies *bodyMemory) take(size int64) bool {
	bodies.mutex.Lock()
	defer bodies.mutex.Unlock()
	if bodies.held+size > maxBodies && bodies.held > 0 {
		return false
	}
	bodies.held += size
	return true
}

func (bodies *bodyMemory) give(size int64) {
	bodies.mutex.Lock()
	bodies.held -= size
	bodies.mutex.Unlock()
}
