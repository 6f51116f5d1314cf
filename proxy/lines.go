package proxy

import "sync"

// lines count who waits for room at a backend, by rank; 0 is the highest.
type lines struct {
	mutex sync.Mutex
	count map[int]int
	total int
}

// enter is false when too many wait already.
func (lines *lines) enter(rank int) bool {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	if lines.total >= waitingMost {
		return false
	}
	if lines.count == nil {
		lines.count = map[int]int{}
	}
	lines.count[rank]++
	lines.total++
	return true
}

func (lines *lines) leave(rank int) {
	lines.mutex.Lock()
	lines.count[rank]--
	lines.total--
	lines.mutex.Unlock()
}

func (lines *lines) waiting() bool {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	return lines.total > 0
}

// flight counts what is under way, and lets a planned end wait for it.
type flight struct {
	mutex   sync.Mutex
	running int
}

func (flight *flight) enter() {
	flight.mutex.Lock()
	flight.running++
	flight.mutex.Unlock()
}

func (flight *flight) leave() {
	flight.mutex.Lock()
	flight.running--
	flight.mutex.Unlock()
}

func (flight *flight) now() int {
	flight.mutex.Lock()
	defer flight.mutex.Unlock()
	return flight.running
}

// bodies bound the bytes of requests that are being read.
type bodies struct {
	mutex sync.Mutex
	held  int64
}

func (bodies *bodies) take(size int64) bool {
	bodies.mutex.Lock()
	defer bodies.mutex.Unlock()
	if bodies.held+size > bodiesMost && bodies.held > 0 {
		return false
	}
	bodies.held += size
	return true
}

func (bodies *bodies) give(size int64) {
	bodies.mutex.Lock()
	bodies.held -= size
	bodies.mutex.Unlock()
}
