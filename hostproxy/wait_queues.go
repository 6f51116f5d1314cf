package hostproxy

import "sync"

// waitQueue identifies a queue of requests waiting for capacity, by service and priority.
type waitQueue struct {
	service  string
	priority int // 0 is the highest
}

// waitQueues counts the requests waiting for backend capacity.
type waitQueues struct {
	mutex  sync.Mutex
	counts map[waitQueue]int
	total  int
}

// enter returns false if maxQueuedRequests requests are waiting already.
func (queues *waitQueues) enter(queue waitQueue) bool {
	queues.mutex.Lock()
	defer queues.mutex.Unlock()
	if queues.total >= maxQueuedRequests {
		return false
	}
	if queues.counts == nil {
		queues.counts = map[waitQueue]int{}
	}
	queues.counts[queue]++
	queues.total++
	return true
}

func (queues *waitQueues) leave(queue waitQueue) {
	queues.mutex.Lock()
	defer queues.mutex.Unlock()
	queues.total--
	queues.counts[queue]--
	if queues.counts[queue] == 0 {
		delete(queues.counts, queue)
	}
}

// hasHigherPriority reports whether a request of higher priority waits for the same service.
func (queues *waitQueues) hasHigherPriority(queue waitQueue) bool {
	queues.mutex.Lock()
	defer queues.mutex.Unlock()
	for other := range queues.counts {
		if other.service == queue.service && other.priority < queue.priority {
			return true
		}
	}
	return false
}

func (queues *waitQueues) anyWaiting() bool {
	queues.mutex.Lock()
	defer queues.mutex.Unlock()
	return queues.total > 0
}
