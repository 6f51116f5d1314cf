package hostproxy

import "sync"

// waitQueues count who waits for room at a backend, by rank; 0 is the highest.
type waitQueues struct {
	mutex sync.Mutex
	count map[int]int
	total int
}

// enter is false when too many wait already.
func (queues *waitQueues) enter(rank int) bool {
	queues.mutex.Lock()
	defer queues.mutex.Unlock()
	if queues.total >= maxWaiting {
		return false
	}
	if queues.count == nil {
		queues.count = map[int]int{}
	}
	queues.count[rank]++
	queues.total++
	return true
}

func (queues *waitQueues) leave(rank int) {
	queues.mutex.Lock()
	queues.count[rank]--
	queues.total--
	queues.mutex.Unlock()
}

func (queues *waitQueues) waiting() bool {
	queues.mutex.Lock()
	defer queues.mutex.Unlock()
	return queues.total > 0
}

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
