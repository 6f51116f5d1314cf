package hostproxy

import "sync"

// waitQueue is where requests of one priority wait for room at a backend of one service.
type waitQueue struct {
	service  string
	priority int // 0 is the highest
}

// waitQueues count who waits for room at a backend.
type waitQueues struct {
	mutex sync.Mutex
	count map[waitQueue]int
	total int
}

// enter is false when too many wait already.
func (queues *waitQueues) enter(queue waitQueue) bool {
	queues.mutex.Lock()
	defer queues.mutex.Unlock()
	if queues.total >= maxQueuedRequests {
		return false
	}
	if queues.count == nil {
		queues.count = map[waitQueue]int{}
	}
	queues.count[queue]++
	queues.total++
	return true
}

func (queues *waitQueues) leave(queue waitQueue) {
	queues.mutex.Lock()
	defer queues.mutex.Unlock()
	queues.total--
	queues.count[queue]--
	if queues.count[queue] == 0 {
		delete(queues.count, queue)
	}
}

// outranked is whether a request of a higher priority waits for the same service.
func (queues *waitQueues) outranked(queue waitQueue) bool {
	queues.mutex.Lock()
	defer queues.mutex.Unlock()
	for other := range queues.count {
		if other.service == queue.service && other.priority < queue.priority {
			return true
		}
	}
	return false
}

func (queues *waitQueues) waiting() bool {
	queues.mutex.Lock()
	defer queues.mutex.Unlock()
	return queues.total > 0
}
